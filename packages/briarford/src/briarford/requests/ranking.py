"""Which jobs are served and which are given up while room is scarce.

In a long burst, or when a zone is closed or a third of the workers fails, the
waiting work cannot all be in time. Served by latest start alone, every job
then starts at the last moment: many are a little late, and of many only some
tasks start, whose work is lost. The jobs that are refused are those with the
least slack on arrival, whatever they are worth.

While everything can be in time the ranking is not used. From the first job
that cannot be in time on, tasks are placed in this order:

1. Tasks of jobs that have begun, by latest start, as the work that their
   job has taken is lost without them. Those of a late job are among them if
   they may still be in time on a fast worker, or if little of it is left.
2. Tasks of other jobs by what callers lose without them, relative to their
   work.
3. Late tasks.

What callers lose is estimated from the configuration and the work:

- A job is worth a fixed part and one that grows with its work against the
  mean of its route, so small jobs are worth more for their work.
- Each step of priority divides the worth by ``PRIORITY_STEP``.
- The worth is divided by the share of the jobs of the same route and size that
  was served lately. What is refused often is served sooner, so neither the
  lowest priority nor large jobs starve: the shares served settle in
  proportion to the worth.
"""

from __future__ import annotations

import bisect
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from briarford.routes import Route

if TYPE_CHECKING:
    from briarford.requests.job import Job, Task

__all__ = ["JobRank", "Ranking", "goes_with_those_in_time"]

# Worth of the work of one priority, in multiples of that of the next one.
PRIORITY_STEP = 1.25
# What a job is worth: a fixed part, and one by its size, in multiples of the
# mean of its route. Sizes beyond these two count as these two, so the worth
# of work differs by less than a half: customers ask that the largest jobs are
# served at least half as often as all.
FIXED_PART = 0.3
MIN_SIZE = 0.5
MAX_SIZE = 4.0

# Jobs of one route are divided by size at these quantiles of their work;
# customers ask for a least share of the largest tenth and of the fifth below.
SIZE_QUANTILES = (0.7, 0.9)
SIZES_KEPT = 100  # the latest jobs of a route, for the quantiles
MIN_SIZES = 10  # with fewer the quantiles are not known

# Older jobs count less for the share served: by half after 35 more.
FORGETTING_FACTOR = 0.98
# All jobs count as served at first, as if so many had been.
PRIOR_JOBS = 4.0

# A task that starts so much of its expected time too late may still be in
# time: estimates and the speeds of workers vary by as much.
GRACE_SHARE = 0.4
# A late answer is worth a fifth of one in time, so a late job is finished
# before others are served if no more than about that share of it is left.
FINISH_SHARE = 0.25


class JobRank(msgspec.Struct, frozen=True):
    """What decides whether a job is served while room is scarce.

    :param route: name of its route.
    :param priority: of its route; 0 is the highest.
    :param size_class: from 0 for most jobs to 2 for the largest tenth.
    :param work: its expected work, in thousandths of a processor x seconds.
    :param worth: what callers lose for each part of its work if it is given
        up, as of its arrival; 1 for a job of mean size of the highest
        priority while all are served.
    """

    route: str
    priority: int
    size_class: int
    work: float
    worth: float


class _RouteSizes(msgspec.Struct):
    """The work of the latest jobs of a route, by arrival and sorted."""

    latest: deque[float] = msgspec.field(default_factory=deque)
    ordered: list[float] = msgspec.field(default_factory=list)
    total: float = 0.0

    def add(self, work: float) -> None:
        self.latest.append(work)
        bisect.insort(self.ordered, work)
        self.total += work
        if len(self.latest) > SIZES_KEPT:
            oldest = self.latest.popleft()
            del self.ordered[bisect.bisect_left(self.ordered, oldest)]
            self.total -= oldest

    def relative(self, work: float) -> float:
        """Return work as a multiple of the mean."""
        mean = self.total / len(self.latest)
        return work / mean if mean > 0.0 else 1.0

    def size_class(self, work: float) -> int:
        count = len(self.ordered)
        if count < MIN_SIZES:
            return 0
        rank = bisect.bisect_left(self.ordered, work) / count
        return bisect.bisect_right(SIZE_QUANTILES, rank)


class _Served(msgspec.Struct):
    """Number of arrived and of served jobs; older ones count less."""

    arrived: float = PRIOR_JOBS
    served: float = PRIOR_JOBS

    @property
    def share(self) -> float:
        return max(self.served, 1.0) / max(self.arrived, 1.0)


def relative_worth(size: float, priority: int) -> float:
    """Return what the work of a job is worth, whatever was served.

    :param size: its work as a multiple of the mean of its route.
    :param priority: of its route.
    """
    size = max(MIN_SIZE, min(size, MAX_SIZE))
    return (FIXED_PART / size + 1.0 - FIXED_PART) / PRIORITY_STEP**priority


class Ranking:
    """Ranks the jobs of one entry by what callers lose without them."""

    def __init__(self) -> None:
        self._sizes: dict[str, _RouteSizes] = {}
        self._served: dict[tuple[str, int], _Served] = {}

    def arrived(self, route: Route, work: float) -> JobRank:
        """Rank a job that has arrived, and count it as served.

        :param route: its route.
        :param work: its expected work.
        """
        sizes = self._sizes.setdefault(route.name, _RouteSizes())
        sizes.add(work)
        size_class = sizes.size_class(work)
        served = self._served.setdefault((route.name, size_class), _Served())
        worth = relative_worth(sizes.relative(work), route.priority)
        rank = JobRank(
            route.name,
            route.priority,
            size_class,
            work,
            worth / served.share,
        )
        served.arrived = served.arrived * FORGETTING_FACTOR + 1.0
        served.served = served.served * FORGETTING_FACTOR + 1.0
        return rank

    def not_served(self, rank: JobRank) -> None:
        """Count a job as refused that :meth:`arrived` had counted."""
        served = self._served[rank.route, rank.size_class]
        served.served = max(0.0, served.served - 1.0)


def goes_with_those_in_time(task: Task, now: float) -> bool:
    """Whether a late task of a job that has begun is placed early.

    :param task: a waiting task.
    :param now: Unix time in seconds.
    """
    job = task.job
    if now < task.start_by + GRACE_SHARE * task.spec.expected_s:
        return True
    return now < job.expires_at and _share_left(job) <= FINISH_SHARE


def _share_left(job: Job) -> float:
    """Return the share of the tasks of a job that have not been placed."""
    return sum(t.is_waiting for t in job.tasks) / len(job.tasks)
