"""Counts what became of the jobs of each priority.

While room is scarce, operators see from these whether the ranking gives up
what they would.
"""

from __future__ import annotations

from collections import Counter, defaultdict

from briarford.outcomes import Completed, Refused
from briarford.requests.job import Job
from briarford.requests.ranking import JobRank

__all__ = ["PriorityTallies"]


class PriorityTallies:
    """Numbers of jobs by priority and outcome, and the seconds they waited.

    :attr:`jobs` has ``admitted``, ``refused`` on arrival, ``given-up``
    after admission before anything was ordered, and completed ``in-time`` or
    ``late``; :attr:`waited_s` sums up the time from admission to the first
    order, or until the job was given up.
    """

    __slots__ = ("jobs", "waited_s")

    def __init__(self) -> None:
        self.jobs: Counter[tuple[int, str]] = Counter()
        self.waited_s: defaultdict[int, float] = defaultdict(float)

    def arrived(self, rank: JobRank, admitted: bool) -> None:
        """Count a job that was admitted or refused."""
        what = "admitted" if admitted else "refused"
        self.jobs[rank.priority, what] += 1

    def begun(self, job: Job, now: float) -> None:
        """Add the wait of a job whose first task was placed."""
        self._add_wait(job, now)

    def ended(self, job: Job, outcome: object, now: float) -> None:
        """Count the outcome of an admitted job."""
        match outcome:
            case Completed():
                in_time = now <= job.objective_at
                what = "in-time" if in_time else "late"
            case Refused():
                what = "given-up"
                self._add_wait(job, now)
            case _:
                return
        self.jobs[job.route.priority, what] += 1

    def _add_wait(self, job: Job, now: float) -> None:
        self.waited_s[job.route.priority] += max(0.0, now - job.accepted_at)
