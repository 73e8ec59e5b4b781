"""Throttles workers that fail what other workers complete.

A row of failures counts against a worker by how unlikely it is at the
failure rate of the other workers: where all fail as often, it counts for
nothing. A throttled worker gets one probe at a time, at growing intervals,
until a task ends well there.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from briarford.limits.config import LimitConfig

__all__ = ["HealthGuard", "ThrottleChange"]

FIRST_RESULTS = 40.0
FIRST_FAILURES = 0.8
LOWEST_RATE = 0.01
KEEP_PER_RESULT = 0.99
LONGEST_ROW = 64
MS_PER_S = 1000.0


@dataclass(slots=True)
class Tally:
    """Counts of results that fade with each result of the service."""

    results: float = 0.0
    failures: float = 0.0
    counted_at: int = 0

    def fade(self, clock: int) -> None:
        """Let the counts fade to the present."""
        keep = KEEP_PER_RESULT ** (clock - self.counted_at)
        self.results *= keep
        self.failures *= keep
        self.counted_at = clock

    def add(self, failed: bool, clock: int) -> None:
        """Count one result."""
        self.fade(clock)
        self.results += 1.0
        self.failures += failed


@dataclass(slots=True)
class Record:
    """What is known of one worker.

    :param row: jobs of the failures since its last good result.
    :param probe_at: Unix seconds of the next probe; None if not throttled.
    :param probing: whether a probe may run now.
    :param wait_s: wait before the next probe.
    """

    tally: Tally = field(default_factory=Tally)
    row: set[str] = field(default_factory=set)
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

    __slots__ = ("_clock", "_fleet", "_records", "_throttled", "cfg")

    def __init__(self, cfg: LimitConfig) -> None:
        self.cfg = cfg
        self._clock = 0
        self._fleet = Tally(FIRST_RESULTS, FIRST_FAILURES)
        self._records: dict[str, Record] = {}
        self._throttled: dict[str, None] = {}

    @property
    def throttled(self) -> tuple[str, ...]:
        """The workers that only get probes, the longest throttled first."""
        return tuple(self._throttled)

    def observe(
        self, worker: str, job_id: str, failed: bool, fleet: int, now: float
    ) -> ThrottleChange | None:
        """Take in a result.

        :param fleet: workers that the service has.
        :return: the worker's new standing, if it changed.
        """
        record = self._records.setdefault(worker, Record())
        if not failed:
            self._count(record, failed=False)
            record.row.clear()
            return self._release(worker)
        if job_id in record.row and not record.probing:
            return None
        if len(record.row) < LONGEST_ROW:
            record.row.add(job_id)
        self._count(record, failed=True)
        if worker in self._throttled:
            return self._fail_probe(worker, record, now)
        if self._doubt(record) < self.cfg.guard_doubt:
            return None
        return self._throttle(worker, record, fleet, now)

    def begin_probe(self, worker: str) -> None:
        """Note that one task may start on a throttled worker."""
        if worker in self._throttled:
            self._records[worker].probing = True

    def abandon_probe(self, worker: str, now: float) -> ThrottleChange | None:
        """Note that a probe ended without telling anything."""
        record = self._records.get(worker)
        if record is None or not record.probing:
            return None
        record.probing = False
        record.probe_at = now + record.wait_s
        return ThrottleChange(worker, record.probe_at)

    def forget(self, worker: str, fleet: int) -> list[ThrottleChange]:
        """Drop a worker that left; free others if too few are left."""
        self._records.pop(worker, None)
        self._throttled.pop(worker, None)
        verdicts = []
        while len(self._throttled) > self._most(fleet):
            verdict = self._release(next(iter(self._throttled)))
            if verdict is not None:
                verdicts.append(verdict)
        return verdicts

    def _count(self, record: Record, failed: bool) -> None:
        self._clock += 1
        self._fleet.add(failed, self._clock)
        record.tally.add(failed, self._clock)

    def _doubt(self, record: Record) -> float:
        """Return how unlikely the row is at the others' rate, in nats."""
        failures = self._fleet.failures - record.tally.failures
        results = self._fleet.results - record.tally.results
        rate = failures / results if results > 0.0 else 1.0
        rate = min(1.0, max(LOWEST_RATE, rate))
        return -math.log(rate) * len(record.row)

    def _throttle(
        self, worker: str, record: Record, fleet: int, now: float
    ) -> ThrottleChange | None:
        if len(self._throttled) + 1 > self._most(fleet):
            return None
        self._throttled[worker] = None
        record.wait_s = self.cfg.probe_after_ms / MS_PER_S
        record.probe_at = now + record.wait_s
        return ThrottleChange(worker, record.probe_at)

    def _fail_probe(
        self, worker: str, record: Record, now: float
    ) -> ThrottleChange | None:
        if not record.probing:
            return None
        record.probing = False
        longest_s = self.cfg.probe_after_max_ms / MS_PER_S
        record.wait_s = min(2 * record.wait_s, longest_s)
        record.probe_at = now + record.wait_s
        return ThrottleChange(worker, record.probe_at)

    def _release(self, worker: str) -> ThrottleChange | None:
        if worker not in self._throttled:
            return None
        del self._throttled[worker]
        record = self._records[worker]
        record.row.clear()
        record.probe_at = None
        record.probing = False
        return ThrottleChange(worker, None)

    def _most(self, fleet: int) -> int:
        return int(fleet * self.cfg.guard_share)
