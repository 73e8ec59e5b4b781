"""Reloads the settings of a running process."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable

from msgspec.structs import asdict

from briarford.exceptions import SettingsError
from briarford_daemon.fleet.settings import FleetSettings, load_fleet_settings

__all__ = ["SettingsWatch"]

LOGGER = logging.getLogger("briarford.settings")

POLL_PERIOD_S = 2.0  # the file may be replaced without a signal
# Names and addresses of sockets are used only at the start of a process, so a
# change of the other settings needs a restart.
RELOADABLE = frozenset({"log_level", "stop_within_s"})


class SettingsWatch:
    """Holds the settings in force and reloads their file.

    It does so after a signal, and periodically in case the file was changed
    without a signal. A file that cannot be used leaves the settings as they
    are.

    :param path: the settings file.
    :raises SettingsError: if the file cannot be used at the start.
    """

    def __init__(self, path: str | os.PathLike[str]) -> None:
        self._path = path
        self.current = load_fleet_settings(path)
        self._last_error = ""
        self._last_needs_restart: frozenset[str] = frozenset()
        self._subscribers: list[Callable[[FleetSettings], None]] = []

    def subscribe(self, callback: Callable[[FleetSettings], None]) -> None:
        """Have a function called with the settings after each change."""
        self._subscribers.append(callback)

    async def run(self) -> None:
        """Check the file for changes periodically, until cancelled."""
        while True:
            await asyncio.sleep(POLL_PERIOD_S)
            self.reload("change")

    def reload(self, cause: str) -> None:
        """Read the file and apply the changes that need no restart.

        Logs what was applied and which changes need a restart. A periodic
        check does not log the same changes again. The same error of the file
        is logged once, also if a signal caused the reading.

        :param cause: why the file is read: ``signal``, or ``change`` for a
            periodic check.
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
        # Applied after the log line, which a higher log level would suppress.
        if applied:
            self.current = FleetSettings(**{**previous, **applied})
            logging.getLogger().setLevel(self.current.log_level.upper())
            for callback in self._subscribers:
                callback(self.current)
