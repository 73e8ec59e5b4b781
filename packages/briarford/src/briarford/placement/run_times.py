"""Estimates run times from results: per worker, team and job.

The model is ``log(run time) = job + worker + noise``. The tasks of one job
on several workers are compared with each other, which separates a slow
worker from a long job.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["RunTimeModel"]

INITIAL_RUN_S = 0.3
MIN_RUN_S = 1e-4  # a run time of 0 has no logarithm
PRIOR_OBSERVATIONS = 2
# Without a minimum, a mean of many samples would hardly follow a change.
MIN_SMOOTHING_FACTOR = 0.04
SLOT_SMOOTHING_FACTOR = 0.01
# Limits the effect of an outlier: a run time that differs from the mean by
# more than a factor of e counts as if it differed by that factor.
MAX_LOG_DEVIATION = 1.0
MAX_TRACKED_WORKERS = 10_000


@dataclass(slots=True)
class LogMean:
    """An exponentially smoothed mean of logarithms of run times.

    :param value: the mean.
    :param count: samples that it is based on; the initial value counts as
        ``PRIOR_OBSERVATIONS`` of them unless given otherwise.
    """

    value: float
    count: int = PRIOR_OBSERVATIONS

    def add(self, sample: float) -> None:
        """Move the mean towards a sample; an outlier counts only in part."""
        self.count += 1
        deviation = sample - self.value
        deviation = max(-MAX_LOG_DEVIATION, min(MAX_LOG_DEVIATION, deviation))
        self.value += max(1.0 / self.count, MIN_SMOOTHING_FACTOR) * deviation


class RunTimeModel:
    """Estimates the run times of the tasks of one service."""

    __slots__ = ("_jobs", "_slot_s", "_teams", "_workers")

    def __init__(self) -> None:
        self._slot_s: dict[str, float] = {}
        self._workers: dict[str, LogMean] = {}
        self._teams: dict[str, LogMean] = {}  # "" stands for all teams
        self._jobs: dict[str, LogMean] = {}

    def slowness(self, worker: str) -> float:
        """Return the run time on a worker relative to an average worker."""
        known = self._workers.get(worker)
        return math.exp(known.value) if known else 1.0

    def run_s(self, team: str, job_id: str = "") -> float:
        """Return the expected seconds of a task on an average worker.

        The job's own results are used if there are any, then its team's.
        """
        known = self._jobs.get(job_id) or self._teams.get(team)
        return math.exp(known.value) if known else self.typical_run_s()

    def typical_run_s(self) -> float:
        """Return the expected seconds of any task on an average worker."""
        known = self._teams.get("")
        return math.exp(known.value) if known else INITIAL_RUN_S

    def mean_slot_s(self, team: str) -> float:
        """Return the mean seconds for which a task of a team uses its slot.

        Unlike :meth:`run_s`, which is a mean of logarithms for an average
        worker, it counts rare long tasks in full and reflects the workers
        on which tasks ran recently.

        :param team: the team, or an empty string for all teams.
        """
        return self._slot_s.get(team) or self._slot_s.get("", INITIAL_RUN_S)

    def observe(
        self, worker: str, team: str, job_id: str, run_s: float
    ) -> None:
        """Update the estimates with the run time of a completed task.

        The worker's estimate moves by how much the run time differs from
        that of the job. The estimates of the job, the team and the service
        move by the run time without the worker's effect.
        """
        sample = math.log(max(run_s, MIN_RUN_S))
        typical = self._teams.setdefault("", LogMean(sample, 0))
        of_team = self._teams.setdefault(team, LogMean(typical.value))
        of_job = self._jobs.setdefault(job_id, LogMean(of_team.value, 1))
        of_worker = self._workers.setdefault(worker, LogMean(0.0))
        of_worker.add(sample - of_job.value)
        for key in ("", team):
            mean_s = self._slot_s.get(key, self._slot_s.get("", run_s))
            self._slot_s[key] = mean_s + SLOT_SMOOTHING_FACTOR * (
                run_s - mean_s
            )
        corrected = sample - of_worker.value
        for estimate in (typical, of_team, of_job):
            estimate.add(corrected)
        if len(self._workers) > MAX_TRACKED_WORKERS:
            del self._workers[next(iter(self._workers))]

    def forget_job(self, job_id: str) -> None:
        """Remove the estimate of a job that has ended."""
        self._jobs.pop(job_id, None)
