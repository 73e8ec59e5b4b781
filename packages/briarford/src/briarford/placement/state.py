"""State that an entry keeps about each attached worker."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.jobs.messages import TaskSpec
from briarford.sessions.messages import WorkerInfo

__all__ = ["WorkerShape", "WorkerState"]


@dataclass(slots=True, frozen=True)
class WorkerShape:
    """The total resources of a worker.

    A task that needs more of any of them never fits the worker. All workers
    of one shape fit the same tasks.
    """

    processors: float
    memory_mb: int
    accelerators: int

    @classmethod
    def of(cls, info: WorkerInfo) -> WorkerShape:
        """Return the shape of a worker from its announcement."""
        return cls(info.processors, info.memory_mb, info.accelerators)

    def fits(self, spec: TaskSpec) -> bool:
        """Whether the task fits an idle worker of this shape."""
        return (
            self.processors >= spec.processors
            and self.memory_mb >= spec.memory_mb
            and self.accelerators >= spec.accelerators
        )


@dataclass(slots=True)
class WorkerState:
    """One worker as an entry sees it.

    :param name: the name of its agent.
    :param service: the service of its backend server.
    :param zone: its availability zone.
    :param shape: its total resources.
    :param slots: tasks that it runs at the same time, for all entries.
    :param credits: slots granted to this entry and not used yet.
    :param spare: ungranted slots that its agent last reported; other entries
        may use them too, so that a start on one of them may be rejected.
    :param running: tasks that this entry has started there.
    :param leaving: whether it takes no new work.
    :param allowance: while the health guard throttles the worker, the starts
        that are still allowed there as probes; None if not throttled.
    :param cost_class: class of the expected time of a typical task there.
    :param listed_cost_class: the cost class under which the heap of ready
        workers holds it; None if it is not in the heap.
    :param notified_at: Unix seconds at which its agent was last notified of
        queued tasks.
    """

    name: str
    service: str
    zone: str
    shape: WorkerShape
    slots: int
    credits: int = 0
    spare: int = 0
    running: int = 0
    leaving: bool = False
    allowance: int | None = None
    cost_class: int = 0
    listed_cost_class: int | None = None
    notified_at: float = 0.0

    @property
    def ready(self) -> bool:
        """Whether this entry may start a task there now."""
        if self.leaving or self.credits + self.spare <= 0:
            return False
        return self.allowance is None or self.allowance > 0

    @property
    def accepts_tasks(self) -> bool:
        """Whether it is neither leaving nor throttled."""
        return not self.leaving and self.allowance is None
