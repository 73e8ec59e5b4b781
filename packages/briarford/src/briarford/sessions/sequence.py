"""Numbering of the batches of a session."""

from __future__ import annotations

import enum

__all__ = ["Arrival", "Sequence"]


class Arrival(enum.Enum):
    """How a batch's number compares with the numbers before it."""

    NEXT = "next"
    REPEATED = "repeated"
    GAP = "gap"


class Sequence:
    """Checks the numbers of arriving batches and gives out those to send."""

    __slots__ = ("_received", "_sent")

    def __init__(self) -> None:
        self._received = 0
        self._sent = 0

    @property
    def sent(self) -> int:
        """Number of the last batch that was sent."""
        return self._sent

    @property
    def received(self) -> int:
        """Number of the last batch that arrived."""
        return self._received

    def next(self) -> int:
        """Return the number of the next batch to send."""
        self._sent += 1
        return self._sent

    def check(self, seq: int) -> Arrival:
        """Classify the number of a batch that arrived."""
        if seq <= self._received:
            return Arrival.REPEATED
        if seq > self._received + 1:
            return Arrival.GAP
        self._received = seq
        return Arrival.NEXT
