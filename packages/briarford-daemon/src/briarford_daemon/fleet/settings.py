"""Settings of a process of the fleet, read from TOML."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from briarford.exceptions import SettingsError

__all__ = ["FleetSettings", "load_fleet_settings"]


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry or an agent is told.

    :param name: unique among the processes of its role.
    :param zone: its availability zone.
    :param ip: its IP number.
    :param rpc_port: where agents serve entries.
    :param store: host and port of the key-value service.
    :param http: where an entry serves clients, or an agent its worker.
    :param health: where an entry answers the balancer; empty for agents.
    :param metrics_port: where it serves its metrics.
    :param stop_within_s: a graceful stop takes at most so long.
    :param log_level: debug, info, warning or error.
    """

    name: str
    zone: str
    ip: str
    rpc_port: int
    store: str
    http: str
    health: str = ""
    metrics_port: int = 9464
    stop_within_s: float = 6.0
    log_level: Literal["debug", "info", "warning", "error"] = "info"


def load_fleet_settings(path: Path) -> FleetSettings:
    """Read and check a settings file.

    :raises SettingsError: names the key and what is wrong with it.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        return msgspec.convert(raw, FleetSettings)
    except OSError as exc:
        raise SettingsError(
            f"cannot read '{path}': {exc.strerror}; check the path"
        ) from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(f"'{path}' is not TOML: {exc}") from exc
    except msgspec.ValidationError as exc:
        raise SettingsError(f"'{path}': {exc}") from exc
