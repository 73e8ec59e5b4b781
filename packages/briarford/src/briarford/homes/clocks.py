"""Tells whether the clock of this entry can be trusted."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PeerClocks"]

READING_KEPT_S = 60.0


@dataclass(slots=True, frozen=True)
class _Reading:
    agrees: bool
    heard_at: float


class PeerClocks:
    """Compares this entry's clock with those of other entries.

    :param skew_s: how far two good clocks may differ, in seconds.
    """

    __slots__ = ("_readings", "_skew_s")

    def __init__(self, skew_s: float) -> None:
        self._skew_s = skew_s
        self._readings: dict[str, _Reading] = {}

    @property
    def empty(self) -> bool:
        """Whether no peer was heard of late."""
        return not self._readings

    def receive_reading(
        self, peer: str, sent_at: float, asked_at: float, now: float
    ) -> None:
        """Take in a peer's clock.

        :param sent_at: the peer's clock, read between the other two.
        :param asked_at: own clock before the question was sent.
        :param now: own clock when the answer arrived.
        """
        earliest = asked_at - self._skew_s
        latest = now + self._skew_s
        self._readings[peer] = _Reading(earliest <= sent_at <= latest, now)
        oldest = now - READING_KEPT_S
        self._readings = {
            name: reading
            for name, reading in self._readings.items()
            if reading.heard_at >= oldest
        }

    def is_own_clock_trusted(self) -> bool:
        """Whether at least half of the peers heard of late agree."""
        if not self._readings:
            return False
        agreeing = sum(r.agrees for r in self._readings.values())
        return 2 * agreeing >= len(self._readings)
