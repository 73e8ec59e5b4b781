"""Outcomes of jobs, and the reasons and steps that they report.

The values of the enumerations are sent to clients and peers.
"""

from __future__ import annotations

import enum

import msgspec

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
    """The step in processing a request at which a failure occurred."""

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
    """Why a job failed when at least one of its tasks may have run.

    The home of a job is the one entry that may start its tasks. ``HOME_LOST``
    says that it has stopped and no entry has the job's record, or that no
    entry was the home when the id was made; ``HOME_UNREACHABLE`` that the home
    cannot be found or reached now, so that asking again may help.
    ``ANSWER_DROPPED`` says that the record or the answer of the job is no
    longer kept.
    """

    TASK_FAILED = "task-failed"
    WORKER_LOST = "worker-lost"
    HOME_LOST = "home-lost"
    HOME_UNREACHABLE = "home-unreachable"
    DEADLINE_PASSED = "deadline-passed"
    CANCELLED = "cancelled"
    ANSWER_DROPPED = "answer-dropped"


class RefusalReason(enum.StrEnum):
    """Why a request was refused; no part of it has run.

    ``NO_WORKER_FITS`` says that a task needs more than any worker has,
    ``WORKERS_LOST`` that no worker of the service takes tasks now, and
    ``BODY_DIFFERS`` that the id belongs to a job with another body.
    """

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


class Completed(msgspec.Struct, frozen=True):
    """All tasks of a job completed.

    :param results: one JSON document per task, in the order of the tasks.
    """

    results: tuple[bytes, ...]


class Failed(msgspec.Struct, frozen=True):
    """A job has no complete answer, and some of its tasks may have run.

    :param reason: why it failed.
    :param detail: one sentence for people.
    :param step: the step at which the failure occurred.
    :param peer: the process or backend server at which it occurred.
    :param may_have_run: whether a task may have started.
    :param retry_at: Unix seconds from which requesting the same job again may
        give another outcome; None if the outcome is final.
    """

    reason: FailureReason
    detail: str
    step: Step
    peer: str
    may_have_run: bool = True
    retry_at: float | None = None


class Refused(msgspec.Struct, frozen=True):
    """A request was refused, and is known not to have run.

    :param reason: why it was refused.
    :param detail: one sentence for people.
    :param step: the step at which it was refused.
    :param peer: the process that refused it.
    :param retry_at: Unix seconds from which the same request may be accepted;
        None if it will not be.
    """

    reason: RefusalReason
    detail: str
    step: Step
    peer: str
    retry_at: float | None = None


Outcome = Completed | Failed | Refused
