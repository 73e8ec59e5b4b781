"""The order in which queued tasks are placed.

The team with the least weighted use of slots goes first. Within a team, a
job whose deadline is close goes first; then the job with the lowest rank,
which grows with the remaining work and with the time of arrival. Ranks do
not change with time, so that heaps can hold the jobs.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field, replace

from briarford.placement.messages import QueuedTask

__all__ = ["FairQueue", "QueuedJob", "TeamShare"]

COMPACT_MIN_SIZE = 64


@dataclass(slots=True)
class TeamShare:
    """A team's use of one service at this entry, over all task classes.

    :param team: the name of the team.
    :param weight: its weight when teams compete for slots.
    :param used: expected run time of the tasks that it has started, in
        seconds, divided by its weight.
    :param queued: tasks that are queued.
    :param queued_s: the sum of their expected run times in seconds.
    :param running: tasks that run now.
    :param max_running: tasks that may run at this entry; None for no limit.
    """

    team: str
    weight: float = 1.0
    used: float = 0.0
    queued: int = 0
    queued_s: float = 0.0
    running: int = 0
    max_running: int | None = None

    @property
    def at_limit(self) -> bool:
        """Whether the team has as many running tasks as it may have."""
        return self.max_running is not None and (
            self.running >= self.max_running
        )


@dataclass(slots=True)
class QueuedJob:
    """The queued tasks of one job that belong to one task class.

    :param job_id: id of the job.
    :param share: the use of the service by the job's team.
    :param deadline: deadline of the job in Unix seconds.
    :param queued_at: Unix seconds at which the job was queued.
    :param tasks: the tasks, in the order in which they start.
    :param run_s: expected seconds of one task, as estimated at queueing.
    :param rank: remaining work in seconds plus the weighted arrival time;
        the lowest rank goes first.
    :param latest_start: Unix seconds from which the job is urgent.
    """

    job_id: str
    share: TeamShare
    deadline: float
    queued_at: float
    tasks: deque[QueuedTask]
    run_s: float
    rank: float = 0.0
    latest_start: float = 0.0

    def without_tasks(self) -> QueuedJob:
        """Copy the job without its tasks."""
        return replace(self, tasks=deque())

    def __lt__(self, other: QueuedJob) -> bool:
        """Order by rank, then by job id, for heaps."""
        if self.rank != other.rank:
            return self.rank < other.rank
        return self.job_id < other.job_id


@dataclass(slots=True)
class TeamJobs:
    """The queued jobs of one team, in two heaps.

    A job without tasks is dropped from a heap when it reaches the top.

    :param share: the team's use of the service.
    :param by_rank: the jobs, lowest rank first.
    :param by_latest_start: the jobs with their latest start and id, earliest
        start first; jobs whose deadline has passed are removed from it.
    """

    share: TeamShare
    by_rank: list[QueuedJob] = field(default_factory=list)
    by_latest_start: list[tuple[float, str, QueuedJob]] = field(
        default_factory=list
    )

    def push(self, job: QueuedJob) -> None:
        """Add a job whose rank and latest start are set."""
        heapq.heappush(self.by_rank, job)
        heapq.heappush(
            self.by_latest_start, (job.latest_start, job.job_id, job)
        )
        if len(self.by_latest_start) > COMPACT_MIN_SIZE + 2 * len(
            self.by_rank
        ):
            self.by_latest_start = [
                i for i in self.by_latest_start if i[2].tasks
            ]
            heapq.heapify(self.by_latest_start)

    def first(self, now: float) -> QueuedJob | None:
        """Return the job that goes next, without removing it."""
        self._drop_finished()
        if not self.by_rank:
            return None
        return self._urgent(now) or self.by_rank[0]

    def last(self) -> QueuedJob | None:
        """Return a job with a high rank, without removing it.

        It is the last item of the heap, not always the highest rank.
        """
        while self.by_rank and not self.by_rank[-1].tasks:
            self.by_rank.pop()
        return self.by_rank[-1] if self.by_rank else None

    def _drop_finished(self) -> None:
        while self.by_rank and not self.by_rank[0].tasks:
            heapq.heappop(self.by_rank)
        while self.by_latest_start and not self.by_latest_start[0][2].tasks:
            heapq.heappop(self.by_latest_start)

    def _urgent(self, now: float) -> QueuedJob | None:
        while self.by_latest_start and self.by_latest_start[0][0] <= now:
            job = self.by_latest_start[0][2]
            if job.tasks and job.deadline > now:
                return job
            heapq.heappop(self.by_latest_start)
        return None


class FairQueue:
    """The queued jobs of one task class.

    The heap of teams holds their use at the time of pushing. An outdated
    item is corrected when it reaches the top.
    """

    __slots__ = ("_teams", "_teams_by_use", "size")

    def __init__(self) -> None:
        self.size = 0
        self._teams: dict[str, TeamJobs] = {}
        self._teams_by_use: list[tuple[float, str]] = []

    def push(self, job: QueuedJob) -> None:
        """Queue the tasks of a job whose rank and latest start are set."""
        self._count_tasks(job, len(job.tasks))
        team = job.share.team
        jobs = self._teams.get(team)
        if jobs is None:
            jobs = self._teams[team] = TeamJobs(job.share)
            self._raise_to_lowest_use(job.share)
            heapq.heappush(self._teams_by_use, (job.share.used, team))
        jobs.push(job)

    def first(self, now: float) -> QueuedJob | None:
        """Return the job that goes next, without removing it."""
        at_limit = []
        found = None
        while self._teams_by_use and found is None:
            used, team = self._teams_by_use[0]
            jobs = self._teams[team]
            if used != jobs.share.used:
                heapq.heapreplace(self._teams_by_use, (jobs.share.used, team))
            elif jobs.share.at_limit:
                at_limit.append(heapq.heappop(self._teams_by_use))
            else:
                found = self._first_of_team(jobs, now)
        for item in at_limit:
            heapq.heappush(self._teams_by_use, item)
        return found

    def lowest_use(self, now: float) -> float:
        """Return the weighted use of the team that goes next; inf if none."""
        job = self.first(now)
        return job.share.used if job else math.inf

    def last(self) -> QueuedJob | None:
        """Return a job that is far back in the order, without removing it."""
        for _, team in reversed(self._teams_by_use):
            jobs = self._teams[team]
            if jobs.share.at_limit:
                continue
            job = jobs.last()
            if job is not None:
                return job
        return None

    def pop_task(self, job: QueuedJob) -> QueuedTask:
        """Remove the next task of a job from the queue and return it."""
        self._count_tasks(job, -1)
        return job.tasks.popleft()

    def remove_tasks(self, job: QueuedJob) -> list[QueuedTask]:
        """Remove all tasks of a job from the queue and return them."""
        dropped = list(job.tasks)
        self._count_tasks(job, -len(dropped))
        job.tasks.clear()
        return dropped

    def _first_of_team(self, jobs: TeamJobs, now: float) -> QueuedJob | None:
        first = jobs.first(now)
        if first is None:
            heapq.heappop(self._teams_by_use)
            del self._teams[jobs.share.team]
        return first

    def _count_tasks(self, job: QueuedJob, change: int) -> None:
        self.size += change
        job.share.queued += change
        job.share.queued_s += change * job.run_s

    def _raise_to_lowest_use(self, share: TeamShare) -> None:
        """Raise a returning team's use to the lowest of the queued teams.

        A team that had nothing queued for a while would otherwise get all
        slots until it has caught up on the use that it missed.
        """
        if self._teams_by_use:
            share.used = max(share.used, self._teams_by_use[0][0])
