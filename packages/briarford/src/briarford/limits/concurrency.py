"""Adaptive limit on the tasks that a backend server runs at once.

An agent compares the run times of tasks at the current limit with those at
low concurrency. While tasks take much longer at the limit, the limit is
lowered; otherwise it rises towards the announced slots.
"""

from __future__ import annotations

import math

import msgspec

from briarford.limits.config import LimitConfig

__all__ = ["ConcurrencyGuard"]

RESULTS_PER_ADJUSTMENT = 16
# Without a minimum, a mean of many run times would hardly follow a change.
MIN_SMOOTHING_FACTOR = 0.1
MIN_RUN_S = 1e-4  # a run time of 0 has no logarithm
DECREASE_FACTOR = 0.75
MIN_LIMIT = 1
MS_PER_S = 1000.0


class MeanRunTime(msgspec.Struct):
    """Smoothed logarithm of the run times at one number of running tasks.

    :param log_s: mean of the natural logarithm of the run time in seconds.
    :param count: run times that were added.
    """

    log_s: float
    count: int = 1

    def add(self, log_s: float) -> None:
        """Add one run time, given as the logarithm of its seconds."""
        self.count += 1
        gain = max(MIN_SMOOTHING_FACTOR, 1.0 / self.count)
        self.log_s += gain * (log_s - self.log_s)


class ConcurrencyGuard:
    """Limits how many tasks one backend server runs at the same time.

    :param slots: slots that the backend server announced.
    :param cfg: the limits in force.
    """

    __slots__ = (
        "_cfg",
        "_limit",
        "_results",
        "_run_time_by_concurrency",
        "_slots",
    )

    def __init__(self, slots: int, cfg: LimitConfig) -> None:
        self._cfg = cfg
        self._slots = slots
        self._limit = slots
        self._results = 0
        self._run_time_by_concurrency: dict[int, MeanRunTime] = {}

    @property
    def limit(self) -> int:
        """Tasks that may run at once; at most the announced slots."""
        if not self._cfg.concurrency_guard:
            return self._slots
        return self._limit

    def set_slots(self, slots: int) -> None:
        """Set the slots that the backend server announces.

        The limit is reduced to fit. Before the first result it follows the
        announcement in both directions.
        """
        if slots == self._slots:
            return
        self._slots = slots
        self._limit = max(MIN_LIMIT, min(self._limit, slots))
        if not self._run_time_by_concurrency:
            self._limit = slots

    def configure(self, cfg: LimitConfig) -> None:
        """Apply the limits of a newly adopted preset."""
        self._cfg = cfg

    def observe(self, running: int, run_ms: float) -> bool:
        """Record the run time of a completed task, and adjust the limit.

        The limit is adjusted once per ``RESULTS_PER_ADJUSTMENT`` results.

        :param running: tasks that ran at the same time, this one included.
        :param run_ms: run time of the task in milliseconds.
        :return: whether the limit changed.
        """
        log_s = math.log(max(run_ms / MS_PER_S, MIN_RUN_S))
        known = self._run_time_by_concurrency.get(running)
        if known is None:
            self._run_time_by_concurrency[running] = MeanRunTime(log_s)
        else:
            known.add(log_s)
        self._results += 1
        if self._results < RESULTS_PER_ADJUSTMENT:
            return False
        self._results = 0
        return self._adjust_limit()

    def _adjust_limit(self) -> bool:
        before = self._limit
        if self._is_overloaded():
            lowered = int(self._limit * DECREASE_FACTOR)
            self._limit = max(MIN_LIMIT, lowered)
        else:
            self._limit = min(self._slots, self._limit + 1)
        return self._limit != before

    def _is_overloaded(self) -> bool:
        """Whether tasks at the limit take too much longer than at low load.

        The lowest concurrency that was seen is the reference; with no other
        than the limit itself there is nothing to compare.
        """
        under_load = self._run_time_by_concurrency.get(self._limit)
        if under_load is None:
            return False
        fewest = min(self._run_time_by_concurrency)
        lightly_loaded = self._run_time_by_concurrency[fewest]
        if fewest == self._limit:
            return False
        run_time_ratio = math.exp(under_load.log_s - lightly_loaded.log_s)
        return run_time_ratio > self._cfg.concurrency_slowdown
