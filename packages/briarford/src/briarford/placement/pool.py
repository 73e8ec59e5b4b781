"""The workers and queued tasks of one service at an entry."""

from __future__ import annotations

from collections.abc import Iterable

from briarford.jobs.messages import TaskSpec
from briarford.placement.groups import WorkerGroup
from briarford.placement.queue import FairQueue, QueuedJob, TeamShare
from briarford.placement.run_times import RunTimeModel
from briarford.placement.state import WorkerShape, WorkerState

__all__ = ["FitClass", "ServicePool"]

MAX_CACHED_RESOURCE_KEYS = 10_000

ResourceKey = tuple[float, int, int]


class FitClass:
    """A queue of the tasks that fit the same set of worker shapes.

    :param groups: the workers of these shapes; empty if the tasks fit none.
    """

    __slots__ = ("groups", "queue")

    def __init__(self, groups: tuple[WorkerGroup, ...]) -> None:
        self.groups = groups
        self.queue = FairQueue()


class ServicePool:
    """Workers, queues, running counts and run times of one service.

    :param service: the name of the service.
    """

    __slots__ = (
        "_class_by_resources",
        "classes",
        "credits",
        "groups",
        "jobs",
        "last_progress_at",
        "run_times",
        "running",
        "running_by_job",
        "service",
        "shares",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.run_times = RunTimeModel()
        self.groups: dict[WorkerShape, WorkerGroup] = {}
        self.classes: dict[frozenset[WorkerShape], FitClass] = {}
        self.shares: dict[str, TeamShare] = {}
        self.jobs: dict[str, list[tuple[FitClass, QueuedJob]]] = {}
        self.credits = 0
        self.running = 0
        self.last_progress_at = 0.0  # Unix s at which a task started or ended
        self.running_by_job: dict[str, int] = {}
        self._class_by_resources: dict[ResourceKey, FitClass] = {}

    @property
    def queued(self) -> int:
        """Tasks that are queued, of all classes."""
        return sum(c.queue.size for c in self.classes.values())

    @property
    def slots(self) -> int:
        """Slots of the workers that accept tasks."""
        return sum(g.slots for g in self.groups.values())

    @property
    def worker_count(self) -> int:
        """Number of attached workers."""
        return sum(len(g) for g in self.groups.values())

    def add_worker(self, worker: WorkerState) -> None:
        """Add a worker; the first of its shape rebuilds the task classes."""
        group = self.groups.get(worker.shape)
        if group is None:
            group = self.groups[worker.shape] = WorkerGroup(worker.shape)
            self._rebuild_classes()
        group.add(worker)
        self.credits += worker.credits

    def remove_worker(self, worker: WorkerState) -> None:
        """Remove a worker; the last of its shape rebuilds the task classes."""
        group = self.groups[worker.shape]
        group.remove(worker)
        self.credits -= worker.credits
        if not len(group):
            del self.groups[worker.shape]
            self._rebuild_classes()

    def fits(self, specs: Iterable[TaskSpec]) -> bool:
        """Whether each task fits at least one attached worker."""
        return all(self.class_of(spec).groups for spec in specs)

    def class_of(self, spec: TaskSpec) -> FitClass:
        """Return the class of a task; it has no groups if no worker fits."""
        resources = (spec.processors, spec.memory_mb, spec.accelerators)
        known = self._class_by_resources.get(resources)
        if known is not None:
            return known
        shapes = frozenset(s for s in self.groups if s.fits(spec))
        found = self.classes.get(shapes)
        if found is None:
            found = FitClass(tuple(self.groups[s] for s in shapes))
            self.classes[shapes] = found
        if len(self._class_by_resources) >= MAX_CACHED_RESOURCE_KEYS:
            self._class_by_resources.clear()
        self._class_by_resources[resources] = found
        return found

    def queue_job(self, class_: FitClass, job: QueuedJob) -> None:
        """Queue those tasks of a job that belong to one class."""
        self.jobs.setdefault(job.job_id, []).append((class_, job))
        class_.queue.push(job)

    def remove_empty_job(self, job: QueuedJob) -> None:
        """Remove a queued job of which no task is left in its class."""
        queued_jobs = self.jobs.get(job.job_id)
        if queued_jobs is None:
            return
        queued_jobs[:] = [e for e in queued_jobs if e[1] is not job]
        if not queued_jobs:
            del self.jobs[job.job_id]

    def start(self, job: QueuedJob, worker: WorkerState) -> None:
        """Count a task of a job as running on a worker."""
        if worker.credits:
            self.credits -= 1
        self.groups[worker.shape].count_start(worker)
        self.running += 1
        job.share.running += 1
        running = self.running_by_job.get(job.job_id, 0)
        self.running_by_job[job.job_id] = running + 1

    def end(self, job_id: str, team: str, worker: WorkerState | None) -> None:
        """Count a task as ended.

        :param worker: None if the worker is no longer attached.
        """
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
            self.run_times.forget_job(job_id)

    def _rebuild_classes(self) -> None:
        """Queue all jobs again by the worker shapes that there are now."""
        waiting = [
            e[1] for queued_jobs in self.jobs.values() for e in queued_jobs
        ]
        self.jobs.clear()
        self.classes.clear()
        self._class_by_resources.clear()
        for share in self.shares.values():
            share.queued = 0
            share.queued_s = 0.0
        for job in waiting:
            for class_, part in self._split_by_class(job):
                self.queue_job(class_, part)

    def _split_by_class(
        self, job: QueuedJob
    ) -> list[tuple[FitClass, QueuedJob]]:
        parts: dict[int, tuple[FitClass, QueuedJob]] = {}
        for task in job.tasks:
            class_ = self.class_of(task.spec)
            if id(class_) not in parts:
                parts[id(class_)] = (class_, job.without_tasks())
            parts[id(class_)][1].tasks.append(task)
        return list(parts.values())
