"""Settings of one process, read once from a TOML file when it starts.

What operators change while a process runs is in the preset record.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from briarford.exceptions import SettingsError
from briarford_daemon.addresses import split_address

__all__ = [
    "Address",
    "AgentSettings",
    "EntrySettings",
    "load_settings",
    "split_address",
]

Address = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$",
        description="IP number and port, as in 127.0.0.1:7300",
    ),
]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,39}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
LogLevel = Annotated[str, msgspec.Meta(pattern="^(debug|info|warning|error)$")]

S = TypeVar("S", bound="ProcessSettings")


class ProcessSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings that entries and agents have in common.

    :param name: unique among the processes of its role.
    :param zone: its availability zone.
    :param http: where it serves HTTP.
    :param log_level: debug, info, warning or error.
    :param stop_within_s: seconds that a graceful stop takes at most.
    """

    name: Name
    zone: Name
    http: Address
    log_level: LogLevel = "info"
    stop_within_s: Seconds = 30.0


class EntrySettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of an entry.

    :param rpc: where it serves agents and other entries.
    :param store: address of the key-value service; None without one.
    :param peers: where some other entries serve agents and entries; reached
        even while the store does not answer.
    """

    rpc: Address
    store: Address | None = None
    peers: tuple[Address, ...] = ()


class AgentSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of an agent.

    :param entries: where some entries serve agents; the agent learns the
        addresses of the others from them.
    """

    entries: tuple[Address, ...]


def load_settings(path: Path, kind: type[S]) -> S:
    """Read and check a settings file.

    :param path: a TOML file.
    :param kind: the class of the settings.
    :raises SettingsError: names the key and what is allowed.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(
            f"cannot read '{path}': {exc.strerror}; check the path"
        ) from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(f"'{path}' is not TOML: {exc}") from exc
    try:
        settings = msgspec.convert(raw, kind)
    except msgspec.ValidationError as exc:
        allowed = ", ".join(f.name for f in msgspec.structs.fields(kind))
        raise SettingsError(
            f"'{path}': {_reword_error(str(exc))}; its keys are {allowed}"
        ) from exc
    split_address(settings.http)
    return settings


def _reword_error(message: str) -> str:
    """Reword an error of msgspec in terms of the keys of a TOML file."""
    message = message.replace("Object contains unknown field", "unknown key")
    message = message.replace("Object missing required field", "missing key")
    message = re.sub(r" - at `\$\.?([^`]*)`", r" at '\1'", message)
    return message.replace("`", "'")
