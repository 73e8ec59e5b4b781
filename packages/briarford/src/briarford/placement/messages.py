"""What goes into a placement decision and what comes out of it."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.jobs.messages import TaskRef, TaskSpec

__all__ = ["Placed", "QueuedTask"]


@dataclass(slots=True, frozen=True)
class QueuedTask:
    """A task that waits at the entry for a slot.

    :param ref: the attempt.
    :param spec: the task as its client declared it.
    :param service: the service whose workers may run it.
    :param team: the team on whose quota it runs.
    :param deadline: Unix time in seconds.
    :param queued_at: Unix time in seconds.
    """

    ref: TaskRef
    spec: TaskSpec
    service: str
    team: str
    deadline: float
    queued_at: float


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
