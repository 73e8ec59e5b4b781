"""Limits and keeps the cancels that an entry passes on to others.

Each one costs a message an agent and entry. Many clients may cancel at once,
and anyone may cancel what does not exist.
"""

from __future__ import annotations

from collections import OrderedDict

from briarford.runs.cancels import KEEP_CANCEL_S

__all__ = ["MAX_ASKED", "MAX_KNOWN", "CancelBudget", "RecentCancels"]

CANCELS_PER_S = 50.0
BURST = 100.0
# Each agent gets all of them when it attaches, and passes them on.
MAX_ASKED = 200
# They cost memory only, and come from all entries.
MAX_KNOWN = 2000


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


class RecentCancels:
    """Jobs that were cancelled lately, the oldest cancel first.

    :param limit: how many are kept; the oldest are dropped beyond it.
    """

    __slots__ = ("_expiries", "_limit")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._expiries: OrderedDict[str, float] = OrderedDict()

    def has(self, job: str, now: float) -> bool:
        """Whether the cancel of a job is kept."""
        expires_at = self._expiries.get(job)
        return expires_at is not None and now < expires_at

    def keep(self, job: str, now: float) -> None:
        """Keep the cancel of a job for ``KEEP_CANCEL_S``."""
        self._expiries.pop(job, None)
        self._expiries[job] = now + KEEP_CANCEL_S
        if len(self._expiries) > self._limit:
            self._expiries.popitem(last=False)

    def remove(self, job: str) -> None:
        """Forget the cancel of a job."""
        self._expiries.pop(job, None)

    def jobs(self, now: float) -> list[str]:
        """Return the jobs whose cancels are kept."""
        while self._expiries:
            if next(iter(self._expiries.values())) > now:
                break
            self._expiries.popitem(last=False)
        return list(self._expiries)
