"""Throttles workers that fail what other workers complete.

A failed_jobs of failures counts against a worker by how unlikely it is at the
failure rate of the other workers: where all fail as often, it counts for
nothing. A throttled worker gets one probe at a time, at growing intervals,
until a task ends well there.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from briarford.limits.config import LimitConfig

__all__ = ["HealthGuard", "ThrottleChange"]

PRIOR_RESULTS = 40.0
PRIOR_FAILURES = 0.8
MIN_FAILURE_RATE = 0.01
DECAY_PER_RESULT = 0.99
MAX_FAILED_JOBS = 64
MS_PER_S = 1000.0


@dataclass(slots=True)
class DecayingCounts:
    """Counts of results that decay with each result of the service."""

    results: float = 0.0
    failures: float = 0.0
    counted_at: int = 0

    def decay(self, result_number: int) -> None:
        """Let the counts decay to the present."""
        factor = DECAY_PER_RESULT ** (result_number - self.counted_at)
        self.results *= factor
        self.failures *= factor
        self.counted_at = result_number

    def add(self, failed: bool, result_number: int) -> None:
        """Count one result."""
        self.decay(result_number)
        self.results += 1.0
        self.failures += failed


@dataclass(slots=True)
class WorkerHealth:
    """What is known of one worker.

    :param failed_jobs: jobs of the failures since its last good result.
    :param probe_at: Unix seconds of the next probe; None if not throttled.
    :param probing: whether a probe may run now.
    :param wait_s: wait before the next probe.
    """

    counts: DecayingCounts = field(default_factory=DecayingCounts)
    failed_jobs: set[str] = field(default_factory=set)
    probe_at: float | None = None
    probing: bool = False
    wait_s: float = 0.0


@dataclass(slots=True, frozen=True)
class ThrottleChange:
    """A change of a worker's standing.

    :param worker: its name.
    :param probe_at: Unix seconds of its next probe; None if it is free.
    """

    worker: str
    probe_at: float | None


class HealthGuard:
    """Judges the workers of one service by comparing them.

    :param cfg: the limits in force.
    """

    __slots__ = (
        "_result_number",
        "_service_counts",
        "_throttled",
        "_workers",
        "cfg",
    )

    def __init__(self, cfg: LimitConfig) -> None:
        self.cfg = cfg
        self._result_number = 0
        self._service_counts = DecayingCounts(PRIOR_RESULTS, PRIOR_FAILURES)
        self._workers: dict[str, WorkerHealth] = {}
        self._throttled: dict[str, None] = {}

    @property
    def throttled(self) -> tuple[str, ...]:
        """The workers that only get probes, the longest throttled first."""
        return tuple(self._throttled)

    def observe(
        self,
        worker: str,
        job_id: str,
        failed: bool,
        worker_count: int,
        now: float,
    ) -> ThrottleChange | None:
        """Take in a result.

        :param worker_count: workers that the service has.
        :return: the worker's new standing, if it changed.
        """
        health = self._workers.setdefault(worker, WorkerHealth())
        if not failed:
            self._count(health, failed=False)
            health.failed_jobs.clear()
            return self._release(worker)
        if job_id in health.failed_jobs and not health.probing:
            return None
        if len(health.failed_jobs) < MAX_FAILED_JOBS:
            health.failed_jobs.add(job_id)
        self._count(health, failed=True)
        if worker in self._throttled:
            return self._fail_probe(worker, health, now)
        if self._failure_evidence(health) < self.cfg.guard_evidence_nats:
            return None
        return self._throttle(worker, health, worker_count, now)

    def begin_probe(self, worker: str) -> None:
        """Note that one task may start on a throttled worker."""
        if worker in self._throttled:
            self._workers[worker].probing = True

    def abandon_probe(self, worker: str, now: float) -> ThrottleChange | None:
        """Note that a probe ended without telling anything."""
        health = self._workers.get(worker)
        if health is None or not health.probing:
            return None
        health.probing = False
        health.probe_at = now + health.wait_s
        return ThrottleChange(worker, health.probe_at)

    def forget_worker(
        self, worker: str, worker_count: int
    ) -> list[ThrottleChange]:
        """Drop a worker that left; free others if too few are left."""
        self._workers.pop(worker, None)
        self._throttled.pop(worker, None)
        changes = []
        while len(self._throttled) > self._max_throttled(worker_count):
            change = self._release(next(iter(self._throttled)))
            if change is not None:
                changes.append(change)
        return changes

    def _count(self, health: WorkerHealth, failed: bool) -> None:
        self._result_number += 1
        self._service_counts.add(failed, self._result_number)
        health.counts.add(failed, self._result_number)

    def _failure_evidence(self, health: WorkerHealth) -> float:
        """Return how unlikely the failures are at the others' rate (nats)."""
        failures = self._service_counts.failures - health.counts.failures
        results = self._service_counts.results - health.counts.results
        rate = failures / results if results > 0.0 else 1.0
        rate = min(1.0, max(MIN_FAILURE_RATE, rate))
        return -math.log(rate) * len(health.failed_jobs)

    def _throttle(
        self, worker: str, health: WorkerHealth, worker_count: int, now: float
    ) -> ThrottleChange | None:
        if len(self._throttled) + 1 > self._max_throttled(worker_count):
            return None
        self._throttled[worker] = None
        health.wait_s = self.cfg.probe_after_ms / MS_PER_S
        health.probe_at = now + health.wait_s
        return ThrottleChange(worker, health.probe_at)

    def _fail_probe(
        self, worker: str, health: WorkerHealth, now: float
    ) -> ThrottleChange | None:
        if not health.probing:
            return None
        health.probing = False
        longest_s = self.cfg.probe_after_max_ms / MS_PER_S
        health.wait_s = min(2 * health.wait_s, longest_s)
        health.probe_at = now + health.wait_s
        return ThrottleChange(worker, health.probe_at)

    def _release(self, worker: str) -> ThrottleChange | None:
        if worker not in self._throttled:
            return None
        del self._throttled[worker]
        health = self._workers[worker]
        health.failed_jobs.clear()
        health.probe_at = None
        health.probing = False
        return ThrottleChange(worker, None)

    def _max_throttled(self, worker_count: int) -> int:
        return int(worker_count * self.cfg.guard_share)
