"""The tasks that wait for room, most urgent first.

Answers bursts: tasks that can still end in time go first, by the latest time
at which they may start. Tasks that are late already run on what is left, so
that one late job does not make the next ones late.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from briarford.requests.job import Task

__all__ = ["WaitingTasks"]


def _key(task: Task) -> float:
    return task.start_by


class WaitingTasks:
    """Tasks without a worker."""

    __slots__ = ("_tasks", "work")

    def __init__(self) -> None:
        self._tasks: list[Task] = []
        self.work = 0.0  # thousandths of a processor times seconds

    def __len__(self) -> int:
        return len(self._tasks)

    def __contains__(self, task: object) -> bool:
        return any(t is task for t in self._tasks)

    def add(self, task: Task) -> None:
        """Add a task."""
        bisect.insort(self._tasks, task, key=_key)
        self.work += task.spec.work

    def remove(self, task: Task) -> None:
        """Remove a task that is there."""
        at = bisect.bisect_left(self._tasks, task.start_by, key=_key)
        while self._tasks[at] is not task:
            at += 1
        del self._tasks[at]
        self.work -= task.spec.work

    def by_urgency(self, now: float) -> Iterator[Task]:
        """Iterate: first those that may be in time, then the late ones.

        Tasks must not be added or removed meanwhile.
        """
        first = bisect.bisect_left(self._tasks, now, key=_key)
        for at in range(first, len(self._tasks)):
            yield self._tasks[at]
        for at in range(first - 1, -1, -1):
            yield self._tasks[at]

    def late(self, now: float) -> list[Task]:
        """Return the tasks that cannot be in time any more."""
        first = bisect.bisect_left(self._tasks, now, key=_key)
        return self._tasks[:first]

    def work_before(self, start_by: float, now: float) -> float:
        """Return the work that may be in time and is more urgent."""
        first = bisect.bisect_left(self._tasks, now, key=_key)
        last = bisect.bisect_left(self._tasks, start_by, key=_key)
        return sum(t.spec.work for t in self._tasks[first:last])
