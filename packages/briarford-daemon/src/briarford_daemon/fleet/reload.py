"""Takes changed settings while a process runs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from msgspec.structs import asdict

from briarford.exceptions import SettingsError
from briarford_daemon.fleet.settings import FleetSettings, load_fleet_settings

__all__ = ["SettingsWatch"]

LOGGER = logging.getLogger("briarford.settings")

POLL_PERIOD_S = 2.0  # a file may be replaced without a signal
# Sockets and names are applied once, at the start.
RELOADABLE = frozenset({"log_level", "stop_within_s"})


class SettingsWatch:
    """Reads the settings file again after a signal or a silent change.

    :param path: the file.
    :raises SettingsError: if it cannot be used.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self.current = load_fleet_settings(path)
        self._last_error = ""
        self._last_needs_restart: frozenset[str] = frozenset()
        self._subscribers: list[Callable[[FleetSettings], None]] = []

    def subscribe(self, apply: Callable[[FleetSettings], None]) -> None:
        """Have changed settings given to a part of the process."""
        self._subscribers.append(apply)

    async def run(self) -> None:
        """Look at the file again and again, until cancelled."""
        while True:
            await asyncio.sleep(POLL_PERIOD_S)
            self.reload("change")

    def reload(self, cause: str) -> None:
        """Read the file and take what has changed.

        :param cause: for the log, ``signal`` or ``change``.
        """
        try:
            loaded = load_fleet_settings(self._path)
        except SettingsError as exc:
            if exc.message != self._last_error:
                self._last_error = exc.message
                LOGGER.error(
                    "settings-unusable",
                    extra={"cause": cause, "error": exc.message},
                )
            return
        self._last_error = ""
        previous = asdict(self.current)
        changed = {k: v for k, v in asdict(loaded).items() if previous[k] != v}
        applied = {k: v for k, v in changed.items() if k in RELOADABLE}
        needs_restart = frozenset(changed.keys() - RELOADABLE)
        if (
            not applied
            and needs_restart == self._last_needs_restart
            and cause == "change"
        ):
            return
        self._last_needs_restart = needs_restart
        LOGGER.info(
            "settings-reloaded",
            extra={
                "cause": cause,
                "taken": applied,
                "needs_restart": sorted(needs_restart),
            },
        )
        # After the line: the new level may leave it out.
        if applied:
            self.current = FleetSettings(**{**previous, **applied})
            logging.getLogger().setLevel(self.current.log_level.upper())
            for apply in self._subscribers:
                apply(self.current)
