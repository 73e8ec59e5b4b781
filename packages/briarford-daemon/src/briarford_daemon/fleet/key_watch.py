"""Follows one key of the key-value service."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from briarford.store import ChangeStore, KeyChanges, KeyListing, KeyValue
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.prefix_watch import (
    PrefixFollower,
    PrefixWatch,
    WatchPace,
)

__all__ = ["KeyWatch"]

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
    :param prefix: prefix to follow in place of the key, so that other keys
        are read with the same calls; the key begins with it.
    :param others: get all keys of the prefix.
    :param on_failure: as in :class:`PrefixWatch`.
    """

    def __init__(
        self,
        store: ChangeStore,
        clock: BootClock,
        key: str,
        on_read: Callable[[KeyValue | None], None],
        prefix: str = "",
        others: Sequence[PrefixFollower] = (),
        on_failure: Callable[[], None] | None = None,
    ) -> None:
        self._key = key
        self._on_read = on_read
        pace = WatchPace(
            WATCH_WAIT_S, REREAD_PERIOD_S, RETRY_DELAY_S, retry_at_once=True
        )
        self._watch = PrefixWatch(
            store,
            clock,
            prefix or key,
            pace,
            (self, *others),
            on_failure=on_failure,
        )

    async def run(self) -> None:
        """Follow the key until cancelled; a failed call is only logged."""
        await self._watch.run()

    def listed(self, listing: KeyListing) -> None:
        """Pass the value of the key on."""
        found = [i for i in listing.items if i.key == self._key]
        self._on_read(found[0] if found else None)

    def changed(self, changes: KeyChanges) -> None:
        """Pass a new value of the key on."""
        for item in changes.written:
            if item.key == self._key:
                self._on_read(item)
