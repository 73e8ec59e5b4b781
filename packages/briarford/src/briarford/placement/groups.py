"""Workers of one service and shape, with a heap of those ready for a task.

Workers are ordered by classes of expected time, not by the time itself: a
small change of an estimate then leaves the order as it is, and choosing a
worker needs no scan of all of them.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from functools import lru_cache

from briarford.placement.state import WorkerShape, WorkerState

__all__ = ["COST_CLASS_RATIO", "WorkerGroup", "cost_class", "cost_class_s"]

COMPACT_MIN_SIZE = 64
COST_CLASS_RATIO = 1.1  # of the expected times of two adjacent classes
LOG_COST_CLASS_RATIO = math.log(COST_CLASS_RATIO)


def cost_class(seconds: float) -> int:
    """Return the cost class of an expected time: a rounded logarithm."""
    return round(math.log(seconds) / LOG_COST_CLASS_RATIO)


@lru_cache(maxsize=1024)
def cost_class_s(class_: int) -> float:
    """Return the time in the middle of a cost class, in seconds."""
    return math.exp(class_ * LOG_COST_CLASS_RATIO)


class WorkerGroup:
    """The attached workers of one shape; the same tasks fit all of them.

    The heap of ready workers may hold outdated items. They are skipped when
    they reach the top, and cleared away when there are too many.

    :param shape: the resources of each of the workers.
    """

    __slots__ = ("_names", "_ready", "_workers", "running", "shape", "slots")

    def __init__(self, shape: WorkerShape) -> None:
        self.shape = shape
        self.slots = 0
        """Slots of the workers that take work."""
        self.running: dict[int, int] = {}  # tasks by cost class of the worker
        self._workers: dict[str, WorkerState] = {}
        self._names: list[str] = []
        self._ready: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._workers)

    def add(self, worker: WorkerState) -> None:
        """Add an attached worker."""
        self._workers[worker.name] = worker
        self._names.append(worker.name)
        self._count_running(worker.cost_class, worker.running)
        self.refresh_ready(worker)
        self.recount_slots()

    def remove(self, worker: WorkerState) -> None:
        """Remove a worker that was detached or is replaced."""
        del self._workers[worker.name]
        self._names.remove(worker.name)
        self._count_running(worker.cost_class, -worker.running)
        self.recount_slots()

    def set_cost(self, worker: WorkerState, seconds: float) -> None:
        """Set the expected seconds of a typical task on a worker."""
        class_ = cost_class(seconds)
        if class_ == worker.cost_class:
            return
        self._count_running(worker.cost_class, -worker.running)
        worker.cost_class = class_
        self._count_running(class_, worker.running)
        self.refresh_ready(worker)

    def count_start(self, worker: WorkerState) -> None:
        """Count a task as running, on a credit or else on a spare slot."""
        if worker.credits:
            worker.credits -= 1
        else:
            worker.spare = max(0, worker.spare - 1)
        worker.running += 1
        if worker.allowance is not None:
            worker.allowance -= 1
        self._count_running(worker.cost_class, 1)

    def count_end(self, worker: WorkerState) -> None:
        """Count a task as ended."""
        if worker.running > 0:
            worker.running -= 1
            self._count_running(worker.cost_class, -1)

    def refresh_ready(self, worker: WorkerState) -> None:
        """Put a worker that is ready in the heap, under its cost class.

        A worker whose cost class has changed is put there once more.
        """
        if worker.ready and worker.listed_cost_class != worker.cost_class:
            worker.listed_cost_class = worker.cost_class
            heapq.heappush(self._ready, (worker.cost_class, worker.name))
            if len(self._ready) > COMPACT_MIN_SIZE + 2 * len(self._workers):
                self._compact()

    def recount_slots(self) -> None:
        """Recount the slots after a change of workers or of their state."""
        self.slots = sum(
            w.slots for w in self._workers.values() if w.accepts_tasks
        )

    def fastest_ready(self) -> WorkerState | None:
        """Return a ready worker of the lowest cost class, if any is ready."""
        while self._ready:
            class_, name = self._ready[0]
            worker = self._workers.get(name)
            if worker is not None and worker.listed_cost_class == class_:
                if worker.ready and worker.cost_class == class_:
                    return worker
                worker.listed_cost_class = None
            heapq.heappop(self._ready)
            if worker is not None:
                self.refresh_ready(worker)
        return None

    def members(self) -> Iterable[WorkerState]:
        """Return all workers of the group."""
        return self._workers.values()

    def ready_workers(self) -> list[WorkerState]:
        """Return all workers on which a task can start now."""
        return [w for w in self._workers.values() if w.ready]

    def at(self, position: int) -> WorkerState:
        """Return the worker at a position, wrapping around."""
        return self._workers[self._names[position % len(self._names)]]

    def _compact(self) -> None:
        self._ready = [
            (w.listed_cost_class, w.name)
            for w in self._workers.values()
            if w.listed_cost_class is not None
        ]
        heapq.heapify(self._ready)

    def _count_running(self, class_: int, change: int) -> None:
        if change == 0:
            return
        count = self.running.get(class_, 0) + change
        if count:
            self.running[class_] = count
        else:
            self.running.pop(class_, None)
