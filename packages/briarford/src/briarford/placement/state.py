"""What an entry knows of one worker."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.placement.messages import QueuedTask

__all__ = ["WorkerState"]


@dataclass(slots=True)
class WorkerState:
    """One worker as an entry sees it.

    :param name: the name of its agent.
    :param service: the service of its backend server.
    :param zone: its availability zone.
    :param slots: tasks that it runs at the same time, for all entries.
    :param credits: unspent slots granted to this entry.
    :param running: tasks that this entry has started there.
    :param leaving: whether it takes no new work.
    """

    name: str
    service: str
    zone: str
    slots: int
    processors: float
    memory_mb: int
    accelerators: int
    credits: int = 0
    running: int = 0
    leaving: bool = False

    def fits(self, task: QueuedTask) -> bool:
        """Whether the worker could ever hold the task."""
        return (
            self.service == task.service
            and self.processors >= task.spec.processors
            and self.memory_mb >= task.spec.memory_mb
            and self.accelerators >= task.spec.accelerators
        )
