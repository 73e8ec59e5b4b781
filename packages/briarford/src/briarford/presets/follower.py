"""Keeps a process's record up to date with the store and with peers.

A watch alone is not trusted, as it may go silent for good: each watch is
short, and a plain read follows one that brought nothing.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from briarford.presets.holder import Adopted, Ignored, PresetHolder
from briarford.presets.messages import SleepUntil, Woken
from briarford.store import Listing

__all__ = [
    "AskPeers",
    "FollowEffect",
    "FollowEvent",
    "ListRecord",
    "PeersAnswered",
    "PresetFollower",
    "StoreAnswered",
    "StoreCallFailed",
    "WatchRecord",
]

WATCH_S = 2.0
CALL_S = 4.0
FIRST_DELAY_S = 0.2
LONGEST_DELAY_S = 1.5


@dataclass(slots=True, frozen=True)
class ListRecord:
    """From a follower: list the record's key by a deadline."""

    deadline: float


@dataclass(slots=True, frozen=True)
class WatchRecord:
    """From a follower: watch the record's key by a deadline.

    :param after: revision of the store from which on changes count.
    """

    after: int
    deadline: float


@dataclass(slots=True, frozen=True)
class AskPeers:
    """From a follower: ask the peers for their record by a deadline."""

    deadline: float


@dataclass(slots=True, frozen=True)
class StoreAnswered:
    """To a follower: a listing, or None if a watch saw no change."""

    listing: Listing | None


@dataclass(slots=True, frozen=True)
class StoreCallFailed:
    """To a follower: the store did not serve the last effect."""


@dataclass(slots=True, frozen=True)
class PeersAnswered:
    """To a follower: the records of the peers that answered."""

    records: tuple[bytes, ...]


FollowEffect = ListRecord | WatchRecord | AskPeers | SleepUntil
FollowEvent = StoreAnswered | StoreCallFailed | PeersAnswered | Woken


class PresetFollower:
    """Decides what to ask next; the holder takes what comes.

    :param holder: gets each record that is found.
    :param rng: spreads the repeats of the processes.
    """

    __slots__ = (
        "_delay_s",
        "_last",
        "_rng",
        "adopted",
        "counts",
        "holder",
    )

    def __init__(self, holder: PresetHolder, rng: random.Random) -> None:
        self.holder = holder
        self.adopted: list[Adopted] = []
        self.counts: Counter[str] = Counter()
        self._rng = rng
        self._last: FollowEffect = SleepUntil(0.0)
        self._delay_s = FIRST_DELAY_S

    def start(self, now: float) -> FollowEffect:
        """Return the first effect."""
        return self._next(ListRecord(now + CALL_S))

    def handle(self, event: FollowEvent, now: float) -> FollowEffect:
        """Take what became of the last effect and return the next one."""
        match event:
            case StoreAnswered(listing):
                return self._next(self._take_listing(listing, now))
            case Woken():
                return self._next(ListRecord(now + CALL_S))
            case StoreCallFailed():
                return self._next(self._after_failure(now))
            case PeersAnswered(records):
                for encoded in records:
                    self.offer(encoded, now)
                return self._next(self._back_off(now))

    def offer(self, encoded: bytes, now: float) -> Adopted | Ignored:
        """Take a record from anywhere; what is adopted is queued."""
        result = self.holder.offer(encoded, now)
        if isinstance(result, Adopted):
            self.adopted.append(result)
            self.counts["adopted"] += 1
        else:
            self.counts[result.reason] += 1
        return result

    def pop_adopted(self) -> list[Adopted]:
        """Return the records adopted since the last call."""
        taken, self.adopted = self.adopted, []
        return taken

    def _next(self, effect: FollowEffect) -> FollowEffect:
        self._last = effect
        return effect

    def _take_listing(
        self, listing: Listing | None, now: float
    ) -> FollowEffect:
        self._delay_s = FIRST_DELAY_S
        if listing is None:
            return ListRecord(now + CALL_S)
        for item in listing.items:
            self.offer(item.value, now)
        return WatchRecord(listing.revision, now + WATCH_S)

    def _after_failure(self, now: float) -> FollowEffect:
        self.counts["store-failed"] += 1
        if isinstance(self._last, WatchRecord):
            return ListRecord(now + CALL_S)
        return AskPeers(now + CALL_S)

    def _back_off(self, now: float) -> SleepUntil:
        wait_s = self._rng.uniform(0.5, 1.0) * self._delay_s
        self._delay_s = min(LONGEST_DELAY_S, self._delay_s * 2)
        return SleepUntil(now + wait_s)
