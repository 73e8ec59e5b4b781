"""The placement core of an entry: queue, workers, credits, decisions."""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Iterable

from briarford.jobs.messages import JobSpec, TaskRef
from briarford.outcomes import RefusalReason, Refused, Step
from briarford.placement.messages import Placed, QueuedTask
from briarford.placement.state import WorkerState
from briarford.placement.strategies import find_strategy
from briarford.sessions.messages import TaskStatus, WorkerInfo

__all__ = ["Placer"]

RETRY_AFTER_S = 1.0


class Placer:
    """Queues tasks and places them on workers that gave credits.

    :param entry: name of the entry, for refusals.
    :param zone: availability zone of the entry.
    :param rng: source of random choices.
    :param strategy_name: how a worker is chosen.
    """

    def __init__(
        self,
        entry: str,
        zone: str,
        rng: random.Random,
        strategy_name: str = "most-credits",
    ) -> None:
        self._entry = entry
        self._zone = zone
        self._rng = rng
        self._choose = find_strategy(strategy_name)
        self._workers: dict[str, WorkerState] = {}
        self._queues: dict[str, deque[QueuedTask]] = {}

    @property
    def workers(self) -> dict[str, WorkerState]:
        """The workers that are attached, by name."""
        return self._workers

    def admit(self, spec: JobSpec, now: float) -> Refused | None:
        """Refuse a job that cannot run, before any of it is queued."""
        services = {w.service for w in self._workers.values()}
        if spec.service in services:
            return None
        return Refused(
            RefusalReason.UNKNOWN_SERVICE,
            f"no worker provides service '{spec.service}' now",
            Step.ADMIT,
            self._entry,
            now + RETRY_AFTER_S,
        )

    def set_worker(self, name: str, zone: str, info: WorkerInfo) -> None:
        """Add a worker, or take in what it announced anew."""
        known = self._workers.get(name)
        self._workers[name] = WorkerState(
            name=name,
            service=info.service,
            zone=zone,
            slots=info.slots,
            processors=info.processors,
            memory_mb=info.memory_mb,
            accelerators=info.accelerators,
            credits=known.credits if known else 0,
            running=known.running if known else 0,
        )

    def remove_worker(self, name: str) -> None:
        """Forget a worker and its credits."""
        self._workers.pop(name, None)

    def set_leaving(self, name: str, leaving: bool) -> None:
        """Mark whether a worker takes new work."""
        if name in self._workers:
            self._workers[name].leaving = leaving

    def add_credits(self, name: str, count: int) -> None:
        """Take in credits that a worker granted."""
        if name in self._workers:
            self._workers[name].credits += count

    def return_credits(self, name: str, count: int) -> int:
        """Give up to ``count`` unspent credits back; return how many."""
        worker = self._workers.get(name)
        if worker is None:
            return 0
        returned = min(count, worker.credits)
        worker.credits -= returned
        return returned

    def enqueue(self, tasks: Iterable[QueuedTask]) -> None:
        """Queue tasks, in order."""
        for task in tasks:
            self._queues.setdefault(task.service, deque()).append(task)

    def drop_job(self, job_id: str) -> list[TaskRef]:
        """Take a job's tasks out of the queue; return which."""
        dropped = []
        for service, queue in self._queues.items():
            dropped += [t.ref for t in queue if t.ref.job_id == job_id]
            self._queues[service] = deque(
                t for t in queue if t.ref.job_id != job_id
            )
        return dropped

    def demand(self, service: str) -> int:
        """Count tasks that wait for a slot of this service."""
        return len(self._queues.get(service, ()))

    def observe(
        self,
        worker: str,
        task: QueuedTask,
        status: TaskStatus,
        run_ms: float,
        now: float,
    ) -> None:
        """Take in how an attempt ended; frees the entry's running slot."""
        if worker in self._workers:
            self._workers[worker].running -= 1

    def place(self, now: float) -> list[Placed]:
        """Place all tasks that can be placed now, spending credits."""
        placed: list[Placed] = []
        for service, queue in self._queues.items():
            placed += self._place_queue(service, queue)
        return placed

    def _place_queue(
        self, service: str, queue: deque[QueuedTask]
    ) -> list[Placed]:
        placed: list[Placed] = []
        waiting: list[QueuedTask] = []
        while queue:
            task = queue.popleft()
            worker = self._find_worker(task)
            if worker is None:
                waiting.append(task)
                break
            worker.credits -= 1
            worker.running += 1
            placed.append(Placed(task, worker.name, "credit"))
        queue.extendleft(reversed(waiting))
        return placed

    def _find_worker(self, task: QueuedTask) -> WorkerState | None:
        ready = [
            w
            for w in self._workers.values()
            if w.credits > 0 and not w.leaving and w.fits(task)
        ]
        if not ready:
            return None
        return self._choose(task, ready, self._zone, self._rng)

    def counts(self) -> Counter[str]:
        """Count queued tasks by service, for metrics."""
        return Counter({s: len(q) for s, q in self._queues.items()})
