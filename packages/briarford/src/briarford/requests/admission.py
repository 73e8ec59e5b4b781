"""Refuses at once what cannot end within its objective.

Answers overload: the wait of a new request is estimated from the work that
waits before it and from how fast such work was started lately. While nothing
waits, nothing is refused.
"""

from __future__ import annotations

from collections import deque

__all__ = [
    "MAX_RETRY_AFTER_S",
    "MIN_RETRY_AFTER_S",
    "DrainRate",
    "estimate_wait_s",
]

WINDOW_S = 1.0  # several times the length of a usual task
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0  # bursts of the deployments last about four seconds


# Settles where one task in ten starts late: more urgent requests that come
# afterwards are not in the estimate.
CAUTION_UP = 1.15
CAUTION_DOWN = 0.985
MOST_CAUTION = 10.0


class Caution:
    """Multiplies estimates of waits by how wrong they were lately."""

    __slots__ = ("factor",)

    def __init__(self) -> None:
        self.factor = 1.0

    def placed(self, *, late: bool) -> None:
        """Note that a task has been given to a worker."""
        if late:
            self.factor = min(MOST_CAUTION, self.factor * CAUTION_UP)
        else:
            self.factor = max(1.0, self.factor * CAUTION_DOWN)


class DrainRate:
    """Measures how much work is started a second."""

    __slots__ = ("_started", "_sum")

    def __init__(self) -> None:
        self._started: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def started(self, work: float, now: float) -> None:
        """Note work that has been given to a worker."""
        self._started.append((now, work))
        self._sum += work

    def bounced(self, work: float) -> None:
        """Take back work that its worker had no room for."""
        if self._started:
            at, last = self._started[-1]
            self._started[-1] = (at, last - work)
            self._sum -= work

    def per_s(self, now: float) -> float:
        """Return the work started a second in the last window."""
        while self._started and self._started[0][0] < now - WINDOW_S:
            self._sum -= self._started.popleft()[1]
        return max(0.0, self._sum) / WINDOW_S


def estimate_wait_s(waiting: float, per_s: float) -> float:
    """Return how long new work waits behind other work.

    :param waiting: work that waits before it.
    :param per_s: work that is started a second.
    """
    if waiting <= 0.0:
        return 0.0
    if per_s <= 0.0:
        return float("inf")
    return waiting / per_s
