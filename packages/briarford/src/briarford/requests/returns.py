"""When refused callers may come back.

Under overload hundreds of callers are refused in a second. If all were to
return as soon as the work that waits now is started, they would find the room
taken by one another. Each is therefore given the time at which the work before
it is started, at the measured rate, and that includes the work of the callers
of its priority or a higher one that were asked to return earlier.
"""

from __future__ import annotations

__all__ = ["ReturnTimes"]

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0  # bursts in the deployments last about 4 s
# Beyond the longest wait nothing is known of the room. Callers are spread over
# the last part of it by multiples of the golden ratio, which stay apart.
SPREAD_S = 2.0
GOLDEN_RATIO = 0.618034


class ReturnTimes:
    """Gives refused callers times to return, one after the other."""

    __slots__ = ("_booked_until", "_spread")

    def __init__(self) -> None:
        self._booked_until: dict[int, float] = {}
        self._spread = 0.0

    def book(
        self,
        priority: int,
        work: float,
        wait_s: float,
        per_s: float,
        now: float,
    ) -> float:
        """Return when there will be room for a job that is refused now.

        :param priority: of its route; 0 is the highest.
        :param work: its expected work.
        :param wait_s: seconds until the work that waits leaves room for it.
        :param per_s: work that is started per second.
        :param now: Unix time in seconds.
        """
        booked = [at for p, at in self._booked_until.items() if p <= priority]
        latest = now + MAX_RETRY_AFTER_S
        at = max(now + max(MIN_RETRY_AFTER_S, wait_s), *booked, now)
        if at > latest or per_s <= 0.0:
            self._spread = (self._spread + GOLDEN_RATIO) % 1.0
            return latest - SPREAD_S * self._spread
        self._booked_until[priority] = at + work / per_s
        return at
