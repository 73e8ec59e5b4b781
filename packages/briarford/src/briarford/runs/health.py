"""Whether a worker is trusted with runs, judged by how its runs end.

Answers the load pattern of a worker that fails or stalls all that it starts:
failing fast makes it look idle, so it would draw work from its peers.
"""

from __future__ import annotations

__all__ = ["WorkerHealth"]

# A faulty job fails everywhere; three different jobs in a row without a
# success in between point to the worker.
FAILURES_TO_SUSPEND = 3
FIRST_SUSPENSION_S = 1.0  # about the time in which a fault shows or passes
LONGEST_SUSPENSION_S = 4.0
SLOWNESS_WEIGHT = 0.1  # weight of the newest run in the moving average
SLOWNESS_RANGE = (0.2, 12.0)


class WorkerHealth:
    """Learns the speed of a worker and suspends it after failures."""

    __slots__ = (
        "_failed_jobs",
        "_suspended_until",
        "_suspension_s",
        "slowness",
    )

    def __init__(self) -> None:
        self.slowness = 1.0
        self._failed_jobs: set[str] = set()
        self._suspended_until = 0.0
        self._suspension_s = 0.0

    def succeeded(self, ran_s: float, expected_s: float) -> None:
        """Note a run that ended as done."""
        self._failed_jobs.clear()
        self._suspended_until = 0.0
        self._suspension_s = 0.0
        if expected_s > 0:
            self.observe(ran_s / expected_s)

    def observe(self, ratio: float) -> None:
        """Take a sample of run time over expected run time."""
        low, high = SLOWNESS_RANGE
        sample = min(high, max(low, ratio))
        self.slowness += SLOWNESS_WEIGHT * (sample - self.slowness)

    def failed(self, job: str, now: float) -> bool:
        """Note a run that failed or stalled.

        :param job: the job that the task is of.
        :return: whether the worker is suspended by it.
        """
        self._failed_jobs.add(job)
        if len(self._failed_jobs) < FAILURES_TO_SUSPEND:
            return False
        doubled = max(FIRST_SUSPENSION_S, 2 * self._suspension_s)
        self._suspension_s = min(LONGEST_SUSPENSION_S, doubled)
        self._suspended_until = now + self._suspension_s
        return True

    def is_suspended(self, now: float) -> bool:
        """Whether the worker takes no runs now."""
        return now < self._suspended_until

    @property
    def on_probation(self) -> bool:
        """Whether it takes one run at a time until one succeeds."""
        return len(self._failed_jobs) >= FAILURES_TO_SUSPEND

    @property
    def suspended_until(self) -> float:
        """When a suspension ends; in the past if there is none."""
        return self._suspended_until
