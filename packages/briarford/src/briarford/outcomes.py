"""Outcomes of jobs: what became of a request, and what is known of it."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = [
    "Completed",
    "Failed",
    "FailureReason",
    "Outcome",
    "RefusalReason",
    "Refused",
    "Step",
]


class Step(enum.StrEnum):
    """The step of a request's path at which something arose."""

    ALLOCATE_ID = "mint"
    SUBMIT = "submit"
    FORWARD = "forward"
    ADMIT = "admit"
    QUEUE = "queue"
    START_SENT = "start-sent"
    AGENT_ACCEPTED = "agent-accepted"
    BACKEND_CALL = "backend-call"
    RUNNING = "running"
    RESULT_SENT = "result-sent"
    RESULT_RECEIVED = "result-received"
    ANSWER_SENT = "answer-sent"
    ANSWER_READ = "answer-read"


class FailureReason(enum.StrEnum):
    """Why a job failed after at least one of its tasks may have run."""

    TASK_FAILED = "task-failed"
    WORKER_LOST = "worker-lost"
    HOME_LOST = "home-lost"
    HOME_UNREACHABLE = "home-unreachable"
    DEADLINE_PASSED = "deadline-passed"
    CANCELLED = "cancelled"
    ANSWER_DROPPED = "answer-dropped"


class RefusalReason(enum.StrEnum):
    """Why a request was refused with proof that it did not run."""

    UNKNOWN_SERVICE = "unknown-service"
    NO_WORKER_FITS = "no-worker-fits"
    QUEUE_FULL = "queue-full"
    QUOTA_EXCEEDED = "quota-exceeded"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_PASSED = "deadline-passed"
    CANCELLED = "cancelled"
    STOPPING = "stopping"
    NO_PRESET = "no-preset"
    BODY_DIFFERS = "body-differs"
    UNKNOWN_JOB = "unknown-job"
    ID_EXPIRED = "id-expired"
    ID_INVALID = "id-invalid"
    VIEW_UNCONFIRMED = "view-unconfirmed"
    HOME_UNREACHABLE = "home-unreachable"
    WORKERS_LOST = "workers-lost"
    UNSUPPORTED = "unsupported"


@dataclass(slots=True, frozen=True)
class Completed:
    """The whole answer of a job.

    :param results: one JSON document per task, in the order of the tasks.
    """

    results: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class Failed:
    """A job that has no whole answer.

    :param reason: why it failed.
    :param detail: one sentence for a person.
    :param step: the step at which the failure arose.
    :param peer: the process or backend server at which it arose.
    :param may_have_run: whether a task may have started.
    :param retry_at: Unix time in seconds from which asking again for the
        same job makes sense; None if the outcome is final.
    """

    reason: FailureReason
    detail: str
    step: Step
    peer: str
    may_have_run: bool = True
    retry_at: float | None = None


@dataclass(slots=True, frozen=True)
class Refused:
    """A request that is known not to have run.

    :param reason: why it was refused.
    :param detail: one sentence for a person.
    :param step: the step at which it was refused.
    :param peer: the process that refused it.
    :param retry_at: Unix time in seconds from which the same request has a
        chance; None if it never has.
    """

    reason: RefusalReason
    detail: str
    step: Step
    peer: str
    retry_at: float | None = None


Outcome = Completed | Failed | Refused
