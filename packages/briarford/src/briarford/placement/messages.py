"""What goes into a placement decision and what comes out of it."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.jobs.messages import QueuedTask

__all__ = ["Placed", "QueuedTask"]


@dataclass(slots=True, frozen=True)
class Placed:
    """A decision: this task goes to this worker, on one of its credits.

    :param task: the task.
    :param worker: the worker's name.
    :param reason: why this worker, in a word or two for the log.
    """

    task: QueuedTask
    worker: str
    reason: str
