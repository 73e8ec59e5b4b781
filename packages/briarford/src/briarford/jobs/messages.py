"""Messages that describe jobs, tasks and attempts."""

from __future__ import annotations

import msgspec

from briarford.messages import Message, encode

__all__ = ["JobSpec", "QueuedTask", "TaskRef", "TaskSpec"]

DIGEST_BYTES = 16


class TaskRef(Message, frozen=True):
    """Identifies one attempt at one task.

    :param job_id: id of the job.
    :param index: position of the task in the job, from 0.
    :param attempt: 0 for the first try. A higher attempt exists only after
        proof that no lower one ran, or for an idempotent request.
    """

    job_id: str
    index: int
    attempt: int = 0


class TaskSpec(Message, frozen=True):
    """One task as its client declared it.

    :param payload: the JSON document for the backend server.
    :param processors: cores that the task needs.
    :param memory_mb: megabytes of memory that it needs.
    :param accelerators: accelerators that it needs.
    :param expected_ms: expected run time in milliseconds; 0 if not declared.
    """

    payload: bytes
    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    expected_ms: float = 0.0


class JobSpec(Message, frozen=True):
    """One job as its client submitted it.

    :param job_id: its id; a resubmission under the same id joins the job.
    :param service: the service whose backend servers run the tasks.
    :param team: the team on whose quota it runs.
    :param deadline: Unix time in seconds after which the answer is of no
        use.
    :param tasks: the tasks, in the order of the results in the answer.
    :param idempotent: whether a task may be run again after a failure.
    """

    job_id: str
    service: str
    team: str
    deadline: float
    tasks: tuple[TaskSpec, ...]
    idempotent: bool = False

    def digest(self) -> bytes:
        """Return the digest of what a resubmission has to repeat.

        That is everything but the deadline.
        """
        # Entries and agents on the users' platform never need it.
        import hashlib

        body = encode((self.service, self.team, self.tasks, self.idempotent))
        return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


class QueuedTask(msgspec.Struct, frozen=True):
    """An attempt at a task that waits at its entry for a slot.

    :param ref: the attempt.
    :param spec: the task as its client declared it.
    :param service: the service whose workers may run it.
    :param team: the team on whose quota it runs.
    :param deadline: deadline of the job, in Unix seconds.
    :param queued_at: Unix time in seconds at which the attempt was queued.
    """

    ref: TaskRef
    spec: TaskSpec
    service: str
    team: str
    deadline: float
    queued_at: float
