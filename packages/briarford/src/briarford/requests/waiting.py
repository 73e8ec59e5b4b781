"""The queue of tasks that wait for a worker, ordered by urgency.

In a burst more tasks wait than can end in time. Tasks that can still meet
their objective go first, the earliest ``start_by`` before the others. Tasks
that are already late come after all of these and use the capacity that is
left, so that a late job does not delay the jobs behind it as well.

While room is scarce the order is that of the ranking.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Callable, Iterator

from briarford.requests.job import Job, Task
from briarford.requests.ranking import goes_with_those_in_time

__all__ = ["WaitingTasks"]


class _SortedTasks:
    """Tasks sorted by a key, found in logarithmic time."""

    __slots__ = ("key", "tasks")

    def __init__(self, key: Callable[[Task], float]) -> None:
        self.key = key
        self.tasks: list[Task] = []

    def add(self, task: Task) -> None:
        bisect.insort(self.tasks, task, key=self.key)

    def __contains__(self, task: Task) -> bool:
        return self._find(task) is not None

    def remove(self, task: Task) -> bool:
        """Remove a task; False if it was not there."""
        at = self._find(task)
        if at is None:
            return False
        del self.tasks[at]
        return True

    def first(self, key: float) -> int:
        """Return the index of the first task with at least this key."""
        return bisect.bisect_left(self.tasks, key, key=self.key)

    def _find(self, task: Task) -> int | None:
        key = self.key(task)
        at = self.first(key)
        while at < len(self.tasks) and self.key(self.tasks[at]) == key:
            if self.tasks[at] is task:
                return at
            at += 1
        return None


class WaitingTasks:
    """Tasks that wait for a worker, by urgency and by rank.

    :attr:`work` is the expected work of all of them, in thousandths of a
    processor x seconds.
    """

    __slots__ = ("_begun", "_by_rank", "_by_start", "work")

    def __init__(self) -> None:
        self._by_start = _SortedTasks(_start_by)
        # Each task is in one of these as well: whether its job has begun.
        self._begun = _SortedTasks(_start_by)
        self._by_rank = _SortedTasks(_negative_worth)
        self.work = 0.0

    def __len__(self) -> int:
        return len(self._by_start.tasks)

    def __contains__(self, task: object) -> bool:
        return isinstance(task, Task) and task in self._by_start

    def add(self, task: Task) -> None:
        """Insert a task by its ``start_by``."""
        self._by_start.add(task)
        (self._begun if task.job.started else self._by_rank).add(task)
        self.work += task.spec.work

    def remove(self, task: Task) -> None:
        """Remove a task, which must be in the queue."""
        if not self._by_start.remove(task):
            raise ValueError(f"{task.name} does not wait")
        if not self._begun.remove(task):
            self._by_rank.remove(task)
        self.work -= task.spec.work

    def job_begun(self, job: Job) -> None:
        """Record that a task of a job was placed."""
        for task in job.tasks:
            if self._by_rank.remove(task):
                self._begun.add(task)

    def by_urgency(self, now: float) -> Iterator[Task]:
        """Iterate over all tasks in the order in which they are to be placed.

        Tasks that can still be in time come first, the most urgent one
        before the others; late tasks follow, the least late one first. Tasks
        must not be added or removed during the iteration.
        """
        tasks, first = self._by_start.tasks, self._by_start.first(now)
        for at in range(first, len(tasks)):
            yield tasks[at]
        for at in range(first - 1, -1, -1):
            yield tasks[at]

    def by_rank(self, now: float) -> Iterator[Task]:
        """Iterate over all tasks in their order while room is scarce.

        That order is in :mod:`briarford.requests.ranking`. Tasks must not be
        added or removed during the iteration.
        """
        begun, late = self._begun, []
        first = begun.first(now)
        for task in begun.tasks[:first]:
            if goes_with_those_in_time(task, now):
                yield task
            else:
                late.append(task)
        yield from begun.tasks[first:]
        for task in self._by_rank.tasks:
            if task.start_by >= now:
                yield task
            else:
                late.append(task)
        yield from sorted(late, key=_start_by, reverse=True)

    def in_order(self, now: float, scarce: bool) -> Iterator[Task]:
        """Iterate by rank if room is scarce, else by urgency."""
        return self.by_rank(now) if scarce else self.by_urgency(now)

    def late(self, now: float) -> list[Task]:
        """Return the tasks whose ``start_by`` has passed."""
        return self._by_start.tasks[: self._by_start.first(now)]

    def work_before(self, start_by: float, now: float) -> float:
        """Return the work that goes before a task with this ``start_by``.

        Late tasks are not counted, as they go after those in time.
        """
        first, last = self._by_start.first(now), self._by_start.first(start_by)
        return sum(t.spec.work for t in self._by_start.tasks[first:last])

    def work_of_rank(self, worth: float, now: float) -> float:
        """Return the work that goes before a job of this worth, by rank."""
        begun = self._begun.tasks[self._begun.first(now) :]
        last = self._by_rank.first(-worth)
        ahead = self._by_rank.tasks[:last]
        return sum(t.spec.work for t in begun) + sum(
            t.spec.work for t in ahead if t.start_by >= now
        )


def _start_by(task: Task) -> float:
    return task.start_by


def _negative_worth(task: Task) -> float:
    rank = task.job.rank
    return -rank.worth if rank is not None else -math.inf
