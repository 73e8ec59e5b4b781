"""Messages about jobs and tasks."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from briarford.messages import Message, encode

__all__ = ["JobSpec", "QueuedTask", "TaskRef", "TaskSpec"]

DIGEST_BYTES = 16


class TaskRef(Message, frozen=True):
    """Names one attempt at one task.

    :param job_id: the job.
    :param index: the task's position in the job, from 0.
    :param attempt: 0 for the first try; a higher attempt exists only after
        proof that each lower one did not run, or for an idempotent request.
    """

    job_id: str
    index: int
    attempt: int = 0


class TaskSpec(Message, frozen=True):
    """One task as its client declared it.

    :param payload: the JSON document for the backend server.
    :param processors: cores that the task needs.
    :param memory_mb: memory that it needs, in megabytes.
    :param accelerators: accelerators that it needs.
    :param expected_ms: declared run time in milliseconds, 0 if not given.
    """

    payload: bytes
    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    expected_ms: float = 0.0


class JobSpec(Message, frozen=True):
    """One job as its client submitted it.

    :param job_id: the id that makes resubmits idempotent.
    :param service: the service whose backend servers run the tasks.
    :param team: the team on whose quota it runs.
    :param deadline: Unix time in seconds after which no answer is wanted.
    :param tasks: the tasks, in the order of the answer.
    :param idempotent: whether a task may be run again after a failure.
    """

    job_id: str
    service: str
    team: str
    deadline: float
    tasks: tuple[TaskSpec, ...]
    idempotent: bool = False

    def digest(self) -> bytes:
        """Digest of all that a resubmit must repeat (not the deadline)."""
        body = encode((self.service, self.team, self.tasks, self.idempotent))
        return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


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
