"""Follows one key of the key-value service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from briarford.exceptions import StoreError
from briarford.store import ChangeStore, KeyValue
from briarford_daemon.fleet.clock import BootClock

__all__ = ["KeyWatch"]

LOGGER = logging.getLogger("briarford.registry")

CALL_TIMEOUT_S = 0.8
# A new configuration has to be in force two seconds after its write, also if
# the connection of the watch has become silent.
WATCH_WAIT_S = 1.0
# The service may drop its history without notice to a watch.
REREAD_PERIOD_S = 5.0
RETRY_DELAY_S = 0.3


class KeyWatch:
    """Reads a key once, and then follows its changes.

    After a failed call, and periodically, the key is read again.

    :param store: client of the key-value service.
    :param clock: clock of the process.
    :param key: the key.
    :param on_read: called with the key and its value after each read, with
        None if the key does not exist; also if it has not changed.
    """

    def __init__(
        self,
        store: ChangeStore,
        clock: BootClock,
        key: str,
        on_read: Callable[[KeyValue | None], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._on_read = on_read
        self._revision: int | None = None
        self._reread_at = 0.0
        self._failed = False

    async def run(self) -> None:
        """Follow the key until cancelled; a failed call is only logged."""
        while True:
            try:
                await self._read()
            except StoreError as exc:
                LOGGER.debug(
                    "key-not-read",
                    extra={"key": self._key, "error": exc.message},
                )
                # The first retry follows at once: the connection of a watch
                # may be broken while the service answers on others.
                if self._failed:
                    await asyncio.sleep(RETRY_DELAY_S)
                self._failed = True
                self._revision = None
            else:
                self._failed = False

    async def _read(self) -> None:
        """Read the key if that is due, else wait for a change of it."""
        now = self._clock.now()
        if self._revision is None or now >= self._reread_at:
            listing = await self._store.list(self._key, now + CALL_TIMEOUT_S)
            self._revision = listing.revision
            self._reread_at = now + REREAD_PERIOD_S
            found = [i for i in listing.items if i.key == self._key]
            self._on_read(found[0] if found else None)
            return
        changes = await self._store.changes(
            self._key, self._revision, now + WATCH_WAIT_S
        )
        if changes is None:
            self._revision = None
            return
        self._revision = changes.revision
        for item in changes.written:
            if item.key == self._key:
                self._on_read(item)
