"""How fast a worker is, and whether it is trusted with runs.

Answers the load pattern of a worker that fails or stalls all that it starts:
failing fast makes it look idle, so it would draw work from its peers.
"""

from __future__ import annotations

import math
from collections import deque

__all__ = ["Slowness", "WorkerHealth"]

# A faulty job fails everywhere; three different jobs in a row without a
# success in between point to the worker.
FAILURES_TO_SUSPEND = 3
FIRST_SUSPENSION_S = 1.0  # about the time in which a fault shows or passes
MAX_SUSPENSION_S = 4.0
# Estimates are off by 40% and more: one in twenty of the newest sample leaves
# an error of a few per cent.
MIN_SAMPLE_WEIGHT = 0.05
# Four samples in a row that are all off by this factor are no scatter.
SHIFT_LOG_RATIO = math.log(1.7)
SHIFT_SAMPLES = 4
SLOWNESS_RANGE = (0.1, 15.0)
# A worker without runs is taken for an average one again after some time, or
# one that was slow for a while would never get another run.
DECAY_DELAY_S = 2.0
DECAY_HALF_LIFE_S = 3.0  # troubles of workers last a few seconds
# A stored factor is replaced once it is off by so much.
RECORD_LOG_CHANGE = math.log(1.15)


class Slowness:
    """Learns the time of runs as a multiple of their estimate.

    Answers workers of unequal speed, and a worker that turns slow: averages
    logarithms, fast at first, and starts anew once all samples disagree.
    Without samples it is forgotten little by little.
    """

    __slots__ = ("_count", "_mean", "_recent", "_recorded", "_sampled_at")

    def __init__(self) -> None:
        self._mean = 0.0
        self._recorded = 0.0
        self._count = 0.0
        self._sampled_at = 0.0
        self._recent: deque[float] = deque(maxlen=SHIFT_SAMPLES)

    def factor(self, now: float) -> float:
        """Return the learnt multiple; 1.0 before any run."""
        return math.exp(self._mean * self._remaining_weight(now))

    @property
    def recorded(self) -> float:
        """The factor to store; it changes seldom."""
        enough = self._count >= SHIFT_SAMPLES
        if enough and abs(self._mean - self._recorded) > RECORD_LOG_CHANGE:
            self._recorded = self._mean
        return round(math.exp(self._recorded), 2)

    def restore(self, factor: float, now: float) -> None:
        """Take a stored factor, if nothing is known."""
        low, high = SLOWNESS_RANGE
        if not self._count and factor != 1.0:
            self._mean = math.log(min(high, max(low, factor)))
            self._recorded = self._mean
            self._count = SHIFT_SAMPLES
            self._sampled_at = now

    def observe(self, ratio: float, now: float) -> None:
        """Take a sample of run time over expected run time."""
        remaining = self._remaining_weight(now)
        self._mean *= remaining
        self._count *= remaining
        self._sampled_at = now
        low, high = SLOWNESS_RANGE
        sample = math.log(min(high, max(low, ratio)))
        self._recent.append(sample)
        if self._has_shifted():
            self._mean = sum(self._recent) / len(self._recent)
            self._count = len(self._recent)
            return
        self._count += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self._count)
        self._mean += weight * (sample - self._mean)

    def _remaining_weight(self, now: float) -> float:
        """Return the share of the knowledge that is left."""
        idle_s = now - self._sampled_at - DECAY_DELAY_S
        return float(0.5 ** (max(0.0, idle_s) / DECAY_HALF_LIFE_S))

    def _has_shifted(self) -> bool:
        if len(self._recent) < SHIFT_SAMPLES:
            return False
        above = min(self._recent) > self._mean + SHIFT_LOG_RATIO
        return above or max(self._recent) < self._mean - SHIFT_LOG_RATIO


class WorkerHealth:
    """Suspends a worker after failures of different jobs in a row."""

    __slots__ = ("_failed_jobs", "_suspended_until", "_suspension_s")

    def __init__(self) -> None:
        self._failed_jobs: set[str] = set()
        self._suspended_until = 0.0
        self._suspension_s = 0.0

    def succeeded(self) -> None:
        """Note a run that ended as done."""
        self._failed_jobs.clear()
        self._suspended_until = 0.0
        self._suspension_s = 0.0

    def failed(self, job: str, now: float) -> bool:
        """Note a run that failed or stalled.

        :param job: the job that the task is of.
        :return: whether the worker is suspended by it.
        """
        self._failed_jobs.add(job)
        if len(self._failed_jobs) < FAILURES_TO_SUSPEND:
            return False
        doubled = max(FIRST_SUSPENSION_S, 2 * self._suspension_s)
        self._suspension_s = min(MAX_SUSPENSION_S, doubled)
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
