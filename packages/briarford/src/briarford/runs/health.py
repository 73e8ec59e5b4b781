"""Learns how slow a worker is, and suspends it after repeated failures.

A worker that fails or stalls everything would otherwise attract more work
than its peers: its runs end early, so it always has free capacity.
"""

from __future__ import annotations

import math
from collections import deque

__all__ = ["FailureGuard", "Slowness"]

# A faulty job fails on every worker. Failures of three different jobs without
# a success in between point to the worker.
FAILURES_TO_SUSPEND = 3
# Within about this time a fault either passes or has become visible.
FIRST_SUSPENSION_S = 1.0
MAX_SUSPENSION_S = 4.0
# Estimated run times are off by 40% and more. With a weight of 1/20 for the
# newest sample the average is off by a few per cent.
MIN_SAMPLE_WEIGHT = 0.05
# Four samples in a row that all differ from the average by this factor, in
# the same direction, are not random: the worker's speed has changed.
SHIFT_LOG_RATIO = math.log(1.7)
SHIFT_SAMPLES = 4
# The estimate of one job is off by as much as workers differ. As long as there
# are few samples, a worker is therefore taken to be nominal to some extent, as
# if this many samples had shown that.
PRIOR_SAMPLES = 0.5
SAMPLED_JOBS = 32  # more jobs than run on a worker at the same time
SLOWNESS_RANGE = (0.1, 15.0)
# Without new samples the learnt slowness decays towards 1.0. Otherwise a
# worker that was slow for a while would never get another run.
DECAY_DELAY_S = 2.0
DECAY_HALF_LIFE_S = 3.0  # disturbances of workers last seconds
# The stored slowness is rewritten once it is off by more than 15%.
RECORD_LOG_CHANGE = math.log(1.15)


class Slowness:
    """Learns the run times of a worker as a multiple of expected run times.

    Workers differ in speed, and a worker may become slow. The logarithms of
    the samples are averaged; the first samples have a larger weight. If the
    latest samples all differ from the average in the same direction, the
    average restarts from them. Without samples it decays towards 1.0.

    The tasks of a job share its client's estimate and often its worker, so
    only the first of them is a sample: several would show the error of one
    estimate, not the worker.
    """

    __slots__ = (
        "_count",
        "_jobs",
        "_mean",
        "_recent",
        "_recorded",
        "_sampled_at",
    )

    def __init__(self) -> None:
        self._mean = 0.0
        self._recorded = 0.0
        self._count = 0.0
        self._sampled_at = 0.0
        self._recent: deque[float] = deque(maxlen=SHIFT_SAMPLES)
        self._jobs: deque[str] = deque(maxlen=SAMPLED_JOBS)

    def factor(self, now: float) -> float:
        """Return the learnt slowness; 1.0 before any run."""
        certainty = 1.0
        if self._count < SHIFT_SAMPLES:
            certainty = self._count / (self._count + PRIOR_SAMPLES)
        return math.exp(self._mean * certainty * self._remaining_weight(now))

    @property
    def recorded(self) -> float:
        """The slowness to store; it changes only with larger differences."""
        enough = self._count >= SHIFT_SAMPLES
        if enough and abs(self._mean - self._recorded) > RECORD_LOG_CHANGE:
            self._recorded = self._mean
        return round(math.exp(self._recorded), 2)

    def restore(self, factor: float, now: float) -> None:
        """Start from a stored slowness, unless samples have been seen.

        :param factor: the slowness that a previous process has stored.
        """
        low, high = SLOWNESS_RANGE
        if not self._count and factor != 1.0:
            self._mean = math.log(min(high, max(low, factor)))
            self._recorded = self._mean
            self._count = SHIFT_SAMPLES
            self._sampled_at = now

    def observe(self, job: str, ratio: float, now: float) -> None:
        """Add a sample, unless the same job has given one lately.

        :param job: the job of the run.
        :param ratio: run time divided by the expected run time.
        """
        if job in self._jobs:
            return
        self._jobs.append(job)
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

    def slowed(self, factor: float, now: float) -> None:
        """Start over from a slowness that several runs show at once."""
        low, high = SLOWNESS_RANGE
        self._mean = math.log(min(high, max(low, factor)))
        self._count = SHIFT_SAMPLES
        self._sampled_at = now

    def _remaining_weight(self, now: float) -> float:
        """Return the share of the average that has not decayed."""
        idle_s = now - self._sampled_at - DECAY_DELAY_S
        if idle_s <= 0.0:
            return 1.0
        return float(0.5 ** (idle_s / DECAY_HALF_LIFE_S))

    def _has_shifted(self) -> bool:
        if len(self._recent) < SHIFT_SAMPLES:
            return False
        above = min(self._recent) > self._mean + SHIFT_LOG_RATIO
        return above or max(self._recent) < self._mean - SHIFT_LOG_RATIO


class FailureGuard:
    """Suspends a worker after failures of different jobs in a row."""

    __slots__ = ("_failed_jobs", "_suspended_until", "_suspension_s")

    def __init__(self) -> None:
        self._failed_jobs: set[str] = set()
        self._suspended_until = 0.0
        self._suspension_s = 0.0

    def succeeded(self) -> None:
        """Record a successful run, which ends a suspension."""
        self._failed_jobs.clear()
        self._suspended_until = 0.0
        self._suspension_s = 0.0

    def failed(self, job: str, now: float) -> bool:
        """Record a run that failed or stalled.

        :param job: the job of the task.
        :return: whether this failure suspends the worker.
        """
        self._failed_jobs.add(job)
        if len(self._failed_jobs) < FAILURES_TO_SUSPEND:
            return False
        doubled = max(FIRST_SUSPENSION_S, 2 * self._suspension_s)
        self._suspension_s = min(MAX_SUSPENSION_S, doubled)
        self._suspended_until = now + self._suspension_s
        return True

    def is_suspended(self, now: float) -> bool:
        """Whether the worker gets no runs at present."""
        return now < self._suspended_until

    @property
    def on_probation(self) -> bool:
        """Whether the worker gets one run at a time until one succeeds."""
        return len(self._failed_jobs) >= FAILURES_TO_SUSPEND

    @property
    def suspended_until(self) -> float:
        """When the suspension ends; a past time if there is none."""
        return self._suspended_until
