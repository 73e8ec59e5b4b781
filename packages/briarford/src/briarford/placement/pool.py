"""The workers and waiting tasks of one service."""

from __future__ import annotations

from collections.abc import Iterable

from briarford.jobs.messages import TaskSpec
from briarford.placement.groups import WorkerGroup
from briarford.placement.queue import FairQueue, JobEntry, TeamShare
from briarford.placement.speeds import SpeedBook
from briarford.placement.state import WorkerShape, WorkerState

__all__ = ["FitClass", "ServicePool"]

REMEMBERED_SPECS = 10_000

Needs = tuple[float, int, int]


class FitClass:
    """Tasks that the same shapes of worker could hold.

    :param groups: the workers of these shapes.
    """

    __slots__ = ("groups", "queue")

    def __init__(self, groups: tuple[WorkerGroup, ...]) -> None:
        self.groups = groups
        self.queue = FairQueue()


class ServicePool:
    """What an entry knows of one service.

    :param service: its name.
    """

    __slots__ = (
        "_by_needs",
        "classes",
        "credits",
        "groups",
        "jobs",
        "moved_at",
        "running",
        "running_by_job",
        "service",
        "shares",
        "speeds",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.speeds = SpeedBook()
        self.groups: dict[WorkerShape, WorkerGroup] = {}
        self.classes: dict[frozenset[WorkerShape], FitClass] = {}
        self.shares: dict[str, TeamShare] = {}
        self.jobs: dict[str, list[tuple[FitClass, JobEntry]]] = {}
        self.credits = 0
        self.running = 0
        self.moved_at = 0.0  # when a task last started or ended
        self.running_by_job: dict[str, int] = {}
        self._by_needs: dict[Needs, FitClass] = {}

    @property
    def queued(self) -> int:
        """Tasks that wait."""
        return sum(c.queue.size for c in self.classes.values())

    @property
    def slots(self) -> int:
        """Slots of the workers that take work."""
        return sum(g.slots for g in self.groups.values())

    @property
    def worker_count(self) -> int:
        """Workers that are attached."""
        return sum(len(g) for g in self.groups.values())

    def add_worker(self, worker: WorkerState) -> None:
        """Take a worker in; a new shape sorts the queue anew."""
        group = self.groups.get(worker.shape)
        if group is None:
            group = self.groups[worker.shape] = WorkerGroup(worker.shape)
            self._sort_anew()
        group.add(worker)
        self.credits += worker.credits

    def remove_worker(self, worker: WorkerState) -> None:
        """Let a worker go; the last of its shape sorts the queue anew."""
        group = self.groups[worker.shape]
        group.remove(worker)
        self.credits -= worker.credits
        if not len(group):
            del self.groups[worker.shape]
            self._sort_anew()

    def fits(self, specs: Iterable[TaskSpec]) -> bool:
        """Whether each of the tasks fits some worker."""
        return all(self.class_of(spec).groups for spec in specs)

    def class_of(self, spec: TaskSpec) -> FitClass:
        """Return the class of a task; it has no groups if none fits."""
        needs = (spec.processors, spec.memory_mb, spec.accelerators)
        known = self._by_needs.get(needs)
        if known is not None:
            return known
        shapes = frozenset(s for s in self.groups if s.fits(spec))
        found = self.classes.get(shapes)
        if found is None:
            found = FitClass(tuple(self.groups[s] for s in shapes))
            self.classes[shapes] = found
        if len(self._by_needs) >= REMEMBERED_SPECS:
            self._by_needs.clear()
        self._by_needs[needs] = found
        return found

    def queue_job(self, class_: FitClass, job: JobEntry) -> None:
        """Queue tasks of a job that belong to one class."""
        self.jobs.setdefault(job.job_id, []).append((class_, job))
        class_.queue.push(job)

    def forget_entry(self, job: JobEntry) -> None:
        """Forget an entry of the queue that has no task left."""
        entries = self.jobs.get(job.job_id)
        if entries is None:
            return
        entries[:] = [e for e in entries if e[1] is not job]
        if not entries:
            del self.jobs[job.job_id]

    def start(self, job: JobEntry, worker: WorkerState) -> None:
        """Count a task of a job as started on a worker."""
        if worker.credits:
            self.credits -= 1
        self.groups[worker.shape].count_start(worker)
        self.running += 1
        job.share.running += 1
        running = self.running_by_job.get(job.job_id, 0)
        self.running_by_job[job.job_id] = running + 1

    def end(self, job_id: str, team: str, worker: WorkerState | None) -> None:
        """Count a task as ended; the worker may be gone."""
        running = self.running_by_job.get(job_id, 0)
        if not running:
            return
        self.running -= 1
        self.shares[team].running -= 1
        if worker is not None:
            self.groups[worker.shape].count_end(worker)
        if running > 1:
            self.running_by_job[job_id] = running - 1
            return
        del self.running_by_job[job_id]
        if job_id not in self.jobs:
            self.speeds.forget_job(job_id)

    def _sort_anew(self) -> None:
        waiting = [e[1] for entries in self.jobs.values() for e in entries]
        self.jobs.clear()
        self.classes.clear()
        self._by_needs.clear()
        for share in self.shares.values():
            share.queued = 0
            share.queued_s = 0.0
        for job in waiting:
            for class_, part in self._split(job):
                self.queue_job(class_, part)

    def _split(self, job: JobEntry) -> list[tuple[FitClass, JobEntry]]:
        parts: dict[int, tuple[FitClass, JobEntry]] = {}
        for task in job.tasks:
            class_ = self.class_of(task.spec)
            if id(class_) not in parts:
                parts[id(class_)] = (class_, job.without_tasks())
            parts[id(class_)][1].tasks.append(task)
        return list(parts.values())
