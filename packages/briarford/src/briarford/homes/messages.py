"""Messages between entries, with the wire form of outcomes."""

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
    """Wire form of :class:`briarford.outcomes.Completed`."""

    results: tuple[bytes, ...]


class WireFailed(Message, frozen=True, tag="failed"):
    """Wire form of :class:`briarford.outcomes.Failed`."""

    reason: FailureReason
    detail: str
    step: Step
    peer: str
    may_have_run: bool = True
    retry_at: float | None = None


class WireRefused(Message, frozen=True, tag="refused"):
    """Wire form of :class:`briarford.outcomes.Refused`."""

    reason: RefusalReason
    detail: str
    step: Step
    peer: str
    retry_at: float | None = None


WireOutcome = WireCompleted | WireFailed | WireRefused


def to_wire(outcome: Outcome) -> WireOutcome:
    """Give an outcome its wire form."""
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
    """Give back the outcome of a wire form."""
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
    """What a client wants of a job."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"


class ForwardRequest(Message, frozen=True):
    """A client's request, passed on to the home of its job.

    Passing it on again is idempotent, as the job id makes it so.

    :param kind: what the client wants.
    :param job_id: the job.
    :param spec: the submission, only for SUBMIT.
    :param wait_until: Unix seconds until which the home waits for the
        outcome before it answers that the job runs still.
    :param hops: how many entries have passed it on before.
    """

    kind: ForwardKind
    job_id: str
    spec: JobSpec | None = None
    wait_until: float = 0.0
    hops: int = 0


class ForwardReply(Message, frozen=True):
    """The word of the home.

    :param outcome: None if the job runs still.
    """

    outcome: WireOutcome | None = None


class PeerState(Message, frozen=True):
    """What an entry holds, as it tells other entries.

    :param sender: the entry.
    :param sent_at: its clock, in Unix seconds.
    :param view: the tag of its view; None if it has none.
    :param store_confirmed_at: when it last asked the store and found that
        view there; 0 if never.
    :param preset_version: the version of its preset record; 0 if none.
    """

    sender: Member
    sent_at: float
    view: ViewTag | None = None
    store_confirmed_at: float = 0.0
    preset_version: int = 0


class ExchangeRequest(Message, frozen=True):
    """An entry's state, with the records that the peer lacks.

    :param state: what the sender holds.
    :param view: the view, if the peer is known to hold an older one.
    :param preset: the encoded preset record, likewise.
    """

    state: PeerState
    view: ViewRecord | None = None
    preset: bytes = b""


class ExchangeReply(Message, frozen=True):
    """The peer's state, with the records that the asking entry lacks."""

    state: PeerState
    view: ViewRecord | None = None
    preset: bytes = b""


class TransferredJob(Message, frozen=True):
    """An ended job that its home hands to its heir.

    :param job_id: the job.
    :param digest: of the submission, to recognise a different body.
    :param outcome: what became of it.
    :param forget_at: Unix seconds before which it must not be forgotten.
    """

    job_id: str
    digest: bytes
    outcome: WireOutcome
    forget_at: float


class TransferBatch(Message, frozen=True):
    """Some of the ended jobs of one incarnation.

    :param home: the name of the entry whose jobs they are.
    :param incarnation: its incarnation.
    :param jobs: the jobs.
    :param total: how many jobs the incarnation hands over in all.
    """

    home: str
    incarnation: str
    jobs: tuple[TransferredJob, ...]
    total: int


class TransferReply(Message, frozen=True):
    """The heir's receipt.

    :param held: how many jobs of that incarnation it has now.
    :param complete: whether these are all of them.
    """

    held: int
    complete: bool
