"""The task that waits for placement and the decision to start it."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.jobs.messages import QueuedTask

__all__ = ["Placed", "QueuedTask"]


@dataclass(slots=True, frozen=True)
class Placed:
    """The decision to start a task on a worker.

    It uses a credit of the worker or one of its spare slots, unless the
    strategy starts tasks without regard to these.

    :param task: the task.
    :param worker: the worker's name.
    :param reason: the strategy that chose the worker, for the log.
    """

    task: QueuedTask
    worker: str
    reason: str
