"""Numbers the batches of a session to detect repeated and missing ones."""

from __future__ import annotations

import enum

__all__ = ["Arrival", "Sequence"]


class Arrival(enum.Enum):
    """How the number of a batch follows the numbers received before."""

    NEXT = "next"
    REPEATED = "repeated"  # received before
    GAP = "gap"  # at least one batch before it is missing


class Sequence:
    """Numbers the batches to send and checks those that arrive."""

    __slots__ = ("_received", "_sent")

    def __init__(self) -> None:
        self._received = 0
        self._sent = 0

    @property
    def sent(self) -> int:
        """Number of the last batch sent."""
        return self._sent

    @property
    def received(self) -> int:
        """Number of the last batch received without a gap."""
        return self._received

    def next(self) -> int:
        """Return the number of the next batch to send."""
        self._sent += 1
        return self._sent

    def check(self, seq: int) -> Arrival:
        """Classify the number of a batch; if it is the next one, record it."""
        if seq <= self._received:
            return Arrival.REPEATED
        if seq > self._received + 1:
            return Arrival.GAP
        self._received = seq
        return Arrival.NEXT
