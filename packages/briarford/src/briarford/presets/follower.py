"""Decides how a process finds newer preset records: from the store or peers.

The follower lists the record's key and then watches it. A watch can stop
delivering changes without an error, so each watch is short, and a list
follows every watch that reported no change or failed. If a list fails, the
follower asks the peers for their records, then waits and lists again.

The follower does no input or output: the caller carries out each effect and
passes the result back as an event.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from briarford.presets.holder import Adopted, Ignored, PresetHolder
from briarford.presets.messages import SleepUntil, Woken
from briarford.store import KeyListing

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

WATCH_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 4.0
FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.5


@dataclass(slots=True, frozen=True)
class ListRecord:
    """Effect: list the record's key.

    :param deadline: Unix seconds.
    """

    deadline: float


@dataclass(slots=True, frozen=True)
class WatchRecord:
    """Effect: wait for a change of the record's key.

    :param after: revision of the store; only later changes are reported.
    :param deadline: Unix seconds at which the watch ends without a change.
    """

    after: int
    deadline: float


@dataclass(slots=True, frozen=True)
class AskPeers:
    """Effect: ask the peers for the records that they have adopted.

    :param deadline: Unix seconds.
    """

    deadline: float


@dataclass(slots=True, frozen=True)
class StoreAnswered:
    """Event: the store answered a list or a watch.

    :param listing: key listing with the record's key; None if a watch saw no
        change.
    """

    listing: KeyListing | None


@dataclass(slots=True, frozen=True)
class StoreCallFailed:
    """Event: the last list or watch failed or got no answer."""


@dataclass(slots=True, frozen=True)
class PeersAnswered:
    """Event: the encoded records of the peers that answered in time."""

    records: tuple[bytes, ...]


FollowEffect = ListRecord | WatchRecord | AskPeers | SleepUntil
FollowEvent = StoreAnswered | StoreCallFailed | PeersAnswered | Woken


class PresetFollower:
    """Decides the next call, and passes each record found to the holder.

    :param holder: adopts a record if it is newer than its own.
    :param rng: jitters the retry delays, so that processes do not call the
        store at the same time after a failure.
    """

    __slots__ = (
        "_last_effect",
        "_retry_delay_s",
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
        self._last_effect: FollowEffect = SleepUntil(0.0)
        self._retry_delay_s = FIRST_RETRY_DELAY_S

    def start(self, now: float) -> FollowEffect:
        """Return the first effect: a list of the record's key."""
        return self._remember_effect(ListRecord(now + CALL_TIMEOUT_S))

    def handle(self, event: FollowEvent, now: float) -> FollowEffect:
        """Process the result of the last effect and return the next one."""
        match event:
            case StoreAnswered(listing):
                return self._remember_effect(
                    self._handle_listing(listing, now)
                )
            case Woken():
                return self._remember_effect(ListRecord(now + CALL_TIMEOUT_S))
            case StoreCallFailed():
                return self._remember_effect(self._handle_store_failure(now))
            case PeersAnswered(records):
                for encoded in records:
                    self.receive_record(encoded, now)
                return self._remember_effect(self._back_off(now))

    def receive_record(self, encoded: bytes, now: float) -> Adopted | Ignored:
        """Pass a record to the holder, whichever process sent it.

        A record that is adopted is queued for :meth:`pop_adopted`.
        """
        result = self.holder.adopt_if_newer(encoded, now)
        if isinstance(result, Adopted):
            self.adopted.append(result)
            self.counts["adopted"] += 1
        else:
            self.counts[result.reason] += 1
        return result

    def pop_adopted(self) -> list[Adopted]:
        """Return the records adopted since the last call, oldest first."""
        records, self.adopted = self.adopted, []
        return records

    def _remember_effect(self, effect: FollowEffect) -> FollowEffect:
        self._last_effect = effect
        return effect

    def _handle_listing(
        self, listing: KeyListing | None, now: float
    ) -> FollowEffect:
        self._retry_delay_s = FIRST_RETRY_DELAY_S
        if listing is None:
            return ListRecord(now + CALL_TIMEOUT_S)
        for item in listing.items:
            self.receive_record(item.value, now)
        return WatchRecord(listing.revision, now + WATCH_TIMEOUT_S)

    def _handle_store_failure(self, now: float) -> FollowEffect:
        self.counts["store-failed"] += 1
        if isinstance(self._last_effect, WatchRecord):
            return ListRecord(now + CALL_TIMEOUT_S)
        return AskPeers(now + CALL_TIMEOUT_S)

    def _back_off(self, now: float) -> SleepUntil:
        wait_s = self._rng.uniform(0.5, 1.0) * self._retry_delay_s
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, self._retry_delay_s * 2)
        return SleepUntil(now + wait_s)
