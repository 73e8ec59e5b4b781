"""Throttles workers that fail tasks which other workers complete.

Consecutive failures of a worker are weighed by how unlikely they are at the
failure rate of the service's other workers: if all workers fail as often,
they are no evidence against one of them. A throttled worker gets one task at
a time as a probe, at growing intervals, until a task completes there.
"""

from __future__ import annotations

import math

import msgspec

from briarford.limits.config import LimitConfig

__all__ = ["HealthGuard", "ThrottleChange"]

# Initial counts of a service: it starts with a failure rate of 2%.
PRIOR_RESULTS = 40.0
PRIOR_FAILURES = 0.8
# Without a minimum, one failure would throttle a worker if the others have not
# failed for long.
MIN_FAILURE_RATE = 0.01
DECAY_PER_RESULT = 0.99
MAX_FAILED_JOBS = 64  # bounds what is kept of a worker that fails everything
MS_PER_S = 1000.0


class DecayingCounts(msgspec.Struct):
    """Counts of results in which older results weigh less.

    Time is measured in results of the service, not in seconds: both counts
    decay by ``DECAY_PER_RESULT`` with each result of any of its workers.

    :param results: results, weighted by age.
    :param failures: failures among them, weighted likewise.
    :param counted_at: number of the service's result up to which the counts
        have decayed.
    """

    results: float = 0.0
    failures: float = 0.0
    counted_at: int = 0

    def decay(self, result_number: int) -> None:
        """Decay the counts up to a result number of the service."""
        factor = DECAY_PER_RESULT ** (result_number - self.counted_at)
        self.results *= factor
        self.failures *= factor
        self.counted_at = result_number

    def add(self, failed: bool, result_number: int) -> None:
        """Count the result that has this number in the service."""
        self.decay(result_number)
        self.results += 1.0
        self.failures += failed


class WorkerHealth(msgspec.Struct):
    """Results and throttle state of one worker.

    :param counts: its results and failures.
    :param failed_jobs: ids of the jobs that failed there since its last
        completed task.
    :param probe_at: Unix seconds of the next probe; None if not throttled.
    :param probing: whether a probe is allowed or running.
    :param wait_s: seconds from the throttling, or from the end of the last
        probe, to the next probe.
    """

    counts: DecayingCounts = msgspec.field(default_factory=DecayingCounts)
    failed_jobs: set[str] = msgspec.field(default_factory=set)
    probe_at: float | None = None
    probing: bool = False
    wait_s: float = 0.0


class ThrottleChange(msgspec.Struct, frozen=True):
    """A worker was throttled, its next probe postponed, or it was released.

    :param worker: its name.
    :param probe_at: Unix seconds of its next probe; None if it was released.
    """

    worker: str
    probe_at: float | None


class HealthGuard:
    """Throttles workers of one service that fail more than the others.

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
        """The throttled workers, in the order in which they were throttled."""
        return tuple(self._throttled)

    def observe(
        self,
        worker: str,
        job_id: str,
        failed: bool,
        worker_count: int,
        now: float,
    ) -> ThrottleChange | None:
        """Record the result of a task; throttle or release its worker.

        A job counts once in a run of failures: the retries of one job that
        fails everywhere must not throttle a sound worker.

        :param failed: whether the task failed; otherwise it completed.
        :param worker_count: workers of the service.
        :return: the change of the worker's state, if there is one.
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
        """Allow one task on a throttled worker, as a probe."""
        if worker in self._throttled:
            self._workers[worker].probing = True

    def abandon_probe(self, worker: str, now: float) -> ThrottleChange | None:
        """Schedule another probe after one that neither completed nor failed.

        A task that was not started, for instance, says nothing about the
        worker, so the wait for the next probe stays the same.
        """
        health = self._workers.get(worker)
        if health is None or not health.probing:
            return None
        health.probing = False
        health.probe_at = now + health.wait_s
        return ThrottleChange(worker, health.probe_at)

    def forget_worker(
        self, worker: str, worker_count: int
    ) -> list[ThrottleChange]:
        """Remove a worker that left the service.

        With fewer workers, fewer may be throttled: the ones throttled first
        are released until ``guard_share`` is kept.

        :param worker_count: workers of the service that are left.
        :return: the workers that were released.
        """
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
        """Return the evidence in the worker's consecutive failures, in nats.

        It is the negative logarithm of the probability that as many jobs in
        a row fail at the failure rate of the other workers.
        """
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
