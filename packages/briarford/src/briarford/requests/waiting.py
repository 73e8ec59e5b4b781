"""The queue of tasks that wait for a worker, ordered by urgency.

In a burst more tasks wait than can end in time. Tasks that can still meet
their objective go first, the earliest ``start_by`` before the others. Tasks
that are already late come after all of these and use the capacity that is
left, so that a late job does not delay the jobs behind it as well.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from briarford.requests.job import Task

__all__ = ["WaitingTasks"]


def _key(task: Task) -> float:
    return task.start_by


class WaitingTasks:
    """Tasks that wait for a worker, sorted by ``start_by``.

    :attr:`work` is the expected work of all of them, in thousandths of a
    processor x seconds.
    """

    __slots__ = ("_tasks", "work")

    def __init__(self) -> None:
        self._tasks: list[Task] = []
        self.work = 0.0

    def __len__(self) -> int:
        return len(self._tasks)

    def __contains__(self, task: object) -> bool:
        return any(t is task for t in self._tasks)

    def add(self, task: Task) -> None:
        """Insert a task by its ``start_by``."""
        bisect.insort(self._tasks, task, key=_key)
        self.work += task.spec.work

    def remove(self, task: Task) -> None:
        """Remove a task, which must be in the queue."""
        at = bisect.bisect_left(self._tasks, task.start_by, key=_key)
        while self._tasks[at] is not task:
            at += 1
        del self._tasks[at]
        self.work -= task.spec.work

    def by_urgency(self, now: float) -> Iterator[Task]:
        """Iterate over all tasks in the order in which they are to be placed.

        Tasks that can still be in time come first, the most urgent one
        before the others; late tasks follow, the least late one first. Tasks
        must not be added or removed during the iteration.
        """
        first = bisect.bisect_left(self._tasks, now, key=_key)
        for at in range(first, len(self._tasks)):
            yield self._tasks[at]
        for at in range(first - 1, -1, -1):
            yield self._tasks[at]

    def late(self, now: float) -> list[Task]:
        """Return the tasks whose ``start_by`` has passed."""
        first = bisect.bisect_left(self._tasks, now, key=_key)
        return self._tasks[:first]

    def work_before(self, start_by: float, now: float) -> float:
        """Return the work that goes before a task with this ``start_by``.

        Late tasks are not counted, as they go after those in time.
        """
        first = bisect.bisect_left(self._tasks, now, key=_key)
        last = bisect.bisect_left(self._tasks, start_by, key=_key)
        return sum(t.spec.work for t in self._tasks[first:last])
