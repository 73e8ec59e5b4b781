"""Limits the cancels that an entry passes on to others.

Each one costs a message an agent and entry. Many clients may cancel at once,
and anyone may cancel what does not exist.
"""

from __future__ import annotations

__all__ = ["CancelBudget"]

CANCELS_PER_S = 50.0
BURST = 100.0


class CancelBudget:
    """A token bucket of cancels."""

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self) -> None:
        self._tokens = BURST
        self._refilled_at = 0.0

    def take(self, now: float) -> bool:
        """Whether one more cancel may be passed on now, which is counted."""
        passed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(BURST, self._tokens + passed_s * CANCELS_PER_S)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
