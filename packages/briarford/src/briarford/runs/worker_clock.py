"""Where the clock of a worker stands at least.

A lease ends at a time on the clock of the worker, which may be slow. If that
time were worked out from the present time, a process that is paused between
the two would grant the lease for as long again. It is therefore worked out
from the last reading of the clock, and does not depend on when that is done.
"""

from __future__ import annotations

__all__ = ["CLOCK_DRIFT_FACTOR", "WorkerClock"]

CLOCK_DRIFT_FACTOR = 1.02  # a worker's clock may be 2% slow
MS_PER_S = 1000


class WorkerClock:
    """One reading of the clock of a worker, and when it was received.

    Both clocks of the agent are read one after the other, the steady one
    first: a pause between the two then counts as a suspension, which makes
    leases shorter.

    :param reading_ms: the clock of the worker, in its milliseconds.
    :param steady_now: the steady clock of the agent, in seconds, which may
        stand still while the machine is suspended.
    :param now: Unix time in seconds, with suspensions.
    """

    __slots__ = ("_reading_ms", "_received_at", "_steady_at")

    def __init__(self, reading_ms: int, steady_now: float, now: float) -> None:
        self._reading_ms = reading_ms
        self._steady_at = steady_now
        self._received_at = now

    def reached_by_ms(self, when: float, steady_now: float, now: float) -> int:
        """Return what the clock shows at least at a later time.

        :param when: Unix time in seconds.
        :param steady_now: the steady clock, in seconds.
        :param now: Unix time in seconds.
        :return: milliseconds on the clock of the worker.
        """
        suspended_s = now - self._received_at - (steady_now - self._steady_at)
        passed_s = when - self._received_at - max(0.0, suspended_s)
        passed_ms = int(passed_s / CLOCK_DRIFT_FACTOR * MS_PER_S)
        return max(0, self._reading_ms + passed_ms)
