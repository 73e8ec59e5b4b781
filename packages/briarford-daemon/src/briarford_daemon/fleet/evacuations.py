"""Follows the requests of operators to evacuate zones in the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from briarford.evacuations import Evacuations
from briarford.store import ChangeStore, KeyChanges, KeyListing, KeyValue
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.prefix_watch import PrefixWatch, WatchPace

__all__ = ["EvacuationFollower", "EvacuationSource", "watch_evacuations"]

# An agent lists the requests: entries pass changes on within a heartbeat, and
# an agent that no entry has informed must know within five seconds, also if
# the connection of one listing has become silent. A watch of this length
# would need a listing every other time as well, so it would cost more calls.
LIST_PERIOD_S = 2.5
RETRY_DELAY_S = 0.3


class EvacuationSource(Protocol):
    """Where the operators keep their requests.

    The adapter of the platform implements it.

    :param prefix: the beginning of the keys of all requests.
    :param common_prefix: the beginning of these keys and of the key of the
        configuration.
    """

    prefix: str
    common_prefix: str

    def decode_zone(self, key: str) -> str | None:
        """Return the zone that a key evacuates; None if it is none of them."""


class EvacuationFollower:
    """Passes the requests under a prefix to :class:`Evacuations`.

    :param source: where the operators keep the requests.
    :param evacuations: what the process knows of evacuations.
    :param clock: clock of the process.
    :param wake: called after each read.
    """

    def __init__(
        self,
        source: EvacuationSource,
        evacuations: Evacuations,
        clock: BootClock,
        wake: Callable[[], None],
    ) -> None:
        self._source = source
        self._evacuations = evacuations
        self._clock = clock
        self._wake = wake

    def listed(self, listing: KeyListing) -> None:
        """Pass a listing of all requests on."""
        self._evacuations.requests_listed(
            listing.revision,
            self._by_zone(listing.items),
            self._clock.now(),
        )
        self._wake()

    def changed(self, changes: KeyChanges) -> None:
        """Pass changes of single requests on."""
        removed = [self._source.decode_zone(k) for k in changes.deleted]
        self._evacuations.requests_changed(
            changes.revision,
            self._by_zone(changes.written),
            [z for z in removed if z is not None],
            self._clock.now(),
        )
        if changes.written or changes.deleted:
            self._wake()

    def _by_zone(self, items: Iterable[KeyValue]) -> dict[str, int]:
        """Return the revisions of requests by zone."""
        found = {}
        for item in items:
            zone = self._source.decode_zone(item.key)
            if zone is not None:
                found[zone] = item.version
        return found


def watch_evacuations(
    store: ChangeStore,
    clock: BootClock,
    source: EvacuationSource,
    follower: EvacuationFollower,
) -> PrefixWatch:
    """Return the watch of a process that reads nothing else there."""
    pace = WatchPace(0.0, 0.0, RETRY_DELAY_S, retry_at_once=True)
    return PrefixWatch(
        store, clock, source.prefix, pace, (follower,), lambda _: LIST_PERIOD_S
    )
