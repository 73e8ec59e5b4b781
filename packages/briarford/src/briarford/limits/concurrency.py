"""Limits tasks at a backend server to what it bears without slowing down.

An agent compares run times with many tasks under way to those with few,
and lowers the number of tasks while each takes much longer for it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from briarford.limits.config import LimitConfig

__all__ = ["ConcurrencyGuard"]

RESULTS_PER_ADJUSTMENT = 16
MIN_SMOOTHING_FACTOR = 0.1
MIN_RUN_S = 1e-4
DECREASE_FACTOR = 0.75
MIN_LIMIT = 1
MS_PER_S = 1000.0


@dataclass(slots=True)
class MeanRunTime:
    """The mean logarithm of run times at one number of tasks."""

    log_s: float
    count: int = 1

    def add(self, log_s: float) -> None:
        """Take in one run time."""
        self.count += 1
        gain = max(MIN_SMOOTHING_FACTOR, 1.0 / self.count)
        self.log_s += gain * (log_s - self.log_s)


class ConcurrencyGuard:
    """The number of tasks that one backend server gets at once.

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
        """Tasks that it gets at once, at most its announced slots."""
        if not self._cfg.concurrency_guard:
            return self._slots
        return self._limit

    def set_slots(self, slots: int) -> None:
        """Take in the slots that the backend server announces."""
        if slots == self._slots:
            return
        self._slots = slots
        self._limit = max(MIN_LIMIT, min(self._limit, slots))
        if not self._run_time_by_concurrency:
            self._limit = slots

    def configure(self, cfg: LimitConfig) -> None:
        """Take in the limits of another preset."""
        self._cfg = cfg

    def observe(self, running: int, run_ms: float) -> bool:
        """Take in a task that ended well.

        :param running: tasks that ran with it, itself included.
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
        """Whether a task takes too much longer at the present limit."""
        under_load = self._run_time_by_concurrency.get(self._limit)
        if under_load is None:
            return False
        fewest = min(self._run_time_by_concurrency)
        lightly_loaded = self._run_time_by_concurrency[fewest]
        if fewest == self._limit:
            return False
        slowdown = math.exp(under_load.log_s - lightly_loaded.log_s)
        return slowdown > self._cfg.concurrency_slowdown
