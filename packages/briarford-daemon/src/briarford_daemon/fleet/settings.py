"""Settings of an entry or agent process, read from a TOML file."""

from __future__ import annotations

import os
import tomllib
from typing import Annotated, Literal

import msgspec

from briarford.exceptions import SettingsError
from briarford.intake import IntakeLimits, Machine

__all__ = ["FleetSettings", "load_fleet_settings"]


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of an entry or agent process.

    :param name: name of the process, unique among the processes of its role.
    :param zone: availability zone of the process.
    :param ip: IP number on which agents listen for entries, and on which the
        metrics are served.
    :param rpc_port: port on which agents serve entries.
    :param store: host and port of the key-value service.
    :param http: host and port on which an entry serves clients, or an agent
        its worker.
    :param health: host and port on which an entry answers the checks of the
        load balancer; empty for agents.
    :param metrics_port: port on which the metrics are served.
    :param stop_within_s: longest time of a graceful stop in seconds.
    :param evacuations: whether operators may evacuate zones.
    :param prefer_own_zone: whether an entry prefers workers of its own zone
        among equal ones.
    :param log_level: debug, info, warning or error.
    :param memory_mb: memory of the machine in MiB.
    :param max_open_files: descriptors that the process may have.
    :param intake: limits on what connections and jobs hold.
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
    evacuations: bool = False
    prefer_own_zone: bool = False
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    # As the smallest machines of the users.
    memory_mb: Annotated[float, msgspec.Meta(ge=1.0, le=1e6)] = 128.0
    max_open_files: Annotated[int, msgspec.Meta(ge=1, le=2**30)] = 3075
    intake: IntakeLimits = IntakeLimits()

    @property
    def machine(self) -> Machine:
        """What the machine of the process has."""
        return Machine(self.memory_mb, self.max_open_files)


def load_fleet_settings(path: str | os.PathLike[str]) -> FleetSettings:
    """Read and check a settings file.

    :raises SettingsError: names the key and what is wrong with it.
    """
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
        return msgspec.convert(raw, FleetSettings)
    except OSError as exc:
        raise SettingsError(
            f"cannot read '{path}': {exc.strerror}; check the path"
        ) from exc
    except (
        tomllib.TOMLDecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as exc:
        raise SettingsError(f"'{path}' is not TOML: {exc}") from exc
    except msgspec.ValidationError as exc:
        raise SettingsError(f"'{path}': {exc}") from exc
