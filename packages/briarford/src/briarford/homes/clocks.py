"""Compares the clock of this entry with those of other entries.

The home of a client-chosen id depends on the time at which it was created, so
an entry whose clock is wrong must neither extend its lease on the view nor
write the view.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PeerClocks"]

READING_MAX_AGE_S = 60.0


@dataclass(slots=True, frozen=True)
class _Reading:
    """Result of the last comparison with one peer.

    :param agrees: whether the two clocks were within the allowed skew.
    :param received_at: own clock when the peer's reply arrived.
    """

    agrees: bool
    received_at: float


class PeerClocks:
    """Decides by majority of the peers whether the own clock is right.

    Each reply of a peer carries its clock. Only the last reading of each
    peer counts, and only for ``READING_MAX_AGE_S``.

    :param skew_s: how far two good clocks may differ, in seconds.
    """

    __slots__ = ("_readings", "_skew_s")

    def __init__(self, skew_s: float) -> None:
        self._skew_s = skew_s
        self._readings: dict[str, _Reading] = {}

    @property
    def empty(self) -> bool:
        """Whether there is no recent reading of any peer."""
        return not self._readings

    def receive_reading(
        self, peer: str, sent_at: float, asked_at: float, now: float
    ) -> None:
        """Compare the clock in a peer's reply with the own clock.

        The peer read its clock between request and reply, so its time must
        lie between those two, give or take the skew. Readings that have
        become too old are dropped.

        :param peer: the peer's name.
        :param sent_at: the peer's clock when it sent the reply, in Unix
            seconds.
        :param asked_at: own clock before the request was sent.
        :param now: own clock when the reply arrived.
        """
        earliest = asked_at - self._skew_s
        latest = now + self._skew_s
        self._readings[peer] = _Reading(earliest <= sent_at <= latest, now)
        oldest = now - READING_MAX_AGE_S
        self._readings = {
            name: reading
            for name, reading in self._readings.items()
            if reading.received_at >= oldest
        }

    def is_own_clock_trusted(self) -> bool:
        """Whether at least half of the recently read peers agree.

        Without any recent reading the clock is not trusted.
        """
        if not self._readings:
            return False
        agreeing = sum(r.agrees for r in self._readings.values())
        return 2 * agreeing >= len(self._readings)
