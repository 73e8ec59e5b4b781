"""What an entry knows of one worker."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.jobs.messages import TaskSpec
from briarford.sessions.messages import WorkerInfo

__all__ = ["WorkerShape", "WorkerState"]


@dataclass(slots=True, frozen=True)
class WorkerShape:
    """What decides which tasks a worker could ever hold."""

    processors: float
    memory_mb: int
    accelerators: int

    @classmethod
    def of(cls, info: WorkerInfo) -> WorkerShape:
        """Take the shape out of an announcement."""
        return cls(info.processors, info.memory_mb, info.accelerators)

    def fits(self, spec: TaskSpec) -> bool:
        """Whether a worker of this shape could ever hold the task."""
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
    :param shape: what it could hold.
    :param slots: tasks that it runs at the same time, for all entries.
    :param credits: unspent slots granted to this entry.
    :param spare: slots that the worker kept in hand when it last said so; a
        start on one of them may be rejected.
    :param running: tasks that this entry has started there.
    :param leaving: whether it takes no new work.
    :param allowance: starts that a guard still allows; None for no limit.
    :param cost_class: logarithmic class of the time of a usual task there.
    :param listed_cost_class: the cost class under which it is listed as ready;
        None if it is not listed.
    :param notified_at: Unix seconds at which it was last told of waiting
        tasks.
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
        """Whether a task can be started there now."""
        if self.leaving or self.credits + self.spare <= 0:
            return False
        return self.allowance is None or self.allowance > 0

    @property
    def accepts_tasks(self) -> bool:
        """Whether it takes work at all, credits aside."""
        return not self.leaving and self.allowance is None
