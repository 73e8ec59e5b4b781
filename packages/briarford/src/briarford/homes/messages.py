"""Messages between entries, and the form in which they carry outcomes.

Entries forward the requests of clients to the home of the job, exchange the
view and the preset record, and transfer ended jobs when they stop.
"""

from __future__ import annotations

import enum

from briarford.homes.view import Member, ViewRecord, ViewTag
from briarford.jobs.messages import JobSpec
from briarford.messages import Message
from briarford.outcomes import (
    Completed,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Step,
)

__all__ = [
    "ExchangeReply",
    "ExchangeRequest",
    "ForwardKind",
    "ForwardReply",
    "ForwardRequest",
    "PeerState",
    "TransferBatch",
    "TransferReply",
    "TransferredJob",
    "WireCompleted",
    "WireOutcome",
    "from_wire",
    "to_wire",
]


class WireCompleted(Message, frozen=True, tag="completed"):
    """Carries a :class:`briarford.outcomes.Completed`."""

    results: tuple[bytes, ...]


class WireFailed(Message, frozen=True, tag="failed"):
    """Carries a :class:`briarford.outcomes.Failed`."""

    reason: FailureReason
    detail: str
    step: Step
    peer: str
    may_have_run: bool = True
    retry_at: float | None = None


class WireRefused(Message, frozen=True, tag="refused"):
    """Carries a :class:`briarford.outcomes.Refused`."""

    reason: RefusalReason
    detail: str
    step: Step
    peer: str
    retry_at: float | None = None


WireOutcome = WireCompleted | WireFailed | WireRefused


def to_wire(outcome: Outcome) -> WireOutcome:
    """Convert an outcome to the message that carries it."""
    if isinstance(outcome, Completed):
        return WireCompleted(outcome.results)
    if isinstance(outcome, Failed):
        return WireFailed(
            outcome.reason,
            outcome.detail,
            outcome.step,
            outcome.peer,
            outcome.may_have_run,
            outcome.retry_at,
        )
    return WireRefused(
        outcome.reason,
        outcome.detail,
        outcome.step,
        outcome.peer,
        outcome.retry_at,
    )


def from_wire(wire: WireOutcome) -> Outcome:
    """Convert the message that carries an outcome to the outcome."""
    if isinstance(wire, WireCompleted):
        return Completed(wire.results)
    if isinstance(wire, WireFailed):
        return Failed(
            wire.reason,
            wire.detail,
            wire.step,
            wire.peer,
            wire.may_have_run,
            wire.retry_at,
        )
    return Refused(
        wire.reason, wire.detail, wire.step, wire.peer, wire.retry_at
    )


class ForwardKind(enum.StrEnum):
    """What the request of a client does with a job."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"


class ForwardRequest(Message, frozen=True):
    """A client's request that an entry forwards to the home of the job.

    It may be sent repeatedly: all requests with one job id refer to the same
    job, so a repeated submission starts nothing.

    :param kind: whether the client submits, reads or cancels the job.
    :param job_id: the job.
    :param spec: the submission, only for SUBMIT.
    :param wait_until: Unix seconds until which the home waits for the
        outcome before it replies that the job is still running.
    :param hops: how many entries have forwarded it before, to end a loop
        between entries whose views differ.
    """

    kind: ForwardKind
    job_id: str
    spec: JobSpec | None = None
    wait_until: float = 0.0
    hops: int = 0


class ForwardReply(Message, frozen=True):
    """The home's reply to a forwarded request.

    :param outcome: the outcome of the job; None if it is still running.
    """

    outcome: WireOutcome | None = None


class PeerState(Message, frozen=True):
    """Which versions of the exchanged records an entry holds.

    :param sender: the entry.
    :param sent_at: its clock, in Unix seconds.
    :param view: version and digest of its view; None if it has none.
    :param store_confirmed_at: when it last asked the store and found that
        view there, in Unix seconds; 0 if never.
    :param preset_version: the version of its preset record; 0 if none.
    """

    sender: Member
    sent_at: float
    view: ViewTag | None = None
    store_confirmed_at: float = 0.0
    preset_version: int = 0


class ExchangeRequest(Message, frozen=True):
    """An entry's versions, and the records of which the peer has older ones.

    :param state: the versions that the sender holds.
    :param view: the view, if the peer is known to hold an older one.
    :param preset: the encoded preset record, if the peer is known to hold an
        older one; otherwise empty.
    """

    state: PeerState
    view: ViewRecord | None = None
    preset: bytes = b""


class ExchangeReply(Message, frozen=True):
    """The peer's versions, and the records of which the sender has older ones.

    The fields are those of :class:`ExchangeRequest`.
    """

    state: PeerState
    view: ViewRecord | None = None
    preset: bytes = b""


class TransferredJob(Message, frozen=True):
    """An ended job that its home transfers to its successor.

    :param job_id: the job.
    :param digest: of the submission, to detect another body under the id.
    :param outcome: the outcome of the job.
    :param forget_at: Unix seconds before which its record must be kept.
    """

    job_id: str
    digest: bytes
    outcome: WireOutcome
    forget_at: float


class TransferBatch(Message, frozen=True):
    """Some of the ended jobs that one incarnation transfers.

    :param home: the name of the entry whose jobs they are.
    :param incarnation: its incarnation.
    :param jobs: the jobs.
    :param total: how many jobs the incarnation transfers in all batches.
    """

    home: str
    incarnation: str
    jobs: tuple[TransferredJob, ...]
    total: int


class TransferReply(Message, frozen=True):
    """The successor's reply to a batch.

    :param held: how many jobs of that incarnation it has received so far.
    :param complete: whether these are all that the incarnation transfers.
    """

    held: int
    complete: bool
