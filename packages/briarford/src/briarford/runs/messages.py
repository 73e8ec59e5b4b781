"""Messages between an entry and an agent over one session.

Both sides send batches of them. The tags and the order of the fields are the
encoding, so a class may be renamed but its tag stays.
"""

from __future__ import annotations

import enum

from briarford.evacuations import KnownEvacuations
from briarford.messages import Message
from briarford.runs.losses import WorkerLoss, incarnation_of

__all__ = [
    "AgentBatch",
    "AgentHeartbeat",
    "AgentMessage",
    "Attach",
    "Attached",
    "CancelJob",
    "CapacityOffer",
    "Demand",
    "EntryBatch",
    "EntryHeartbeat",
    "EntryMessage",
    "JobCancelled",
    "LossCause",
    "RunEnd",
    "RunEnded",
    "StartRun",
    "StopRun",
    "UnreportedFailure",
    "WorkerStatus",
]


class RunEnd(enum.StrEnum):
    """How a run ended.

    Whichever it is, the run is no longer in progress when it is reported.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"  # ended with the worker, its lease or its agent
    STALLED = "stalled"  # stopped by the agent for lack of progress
    # Not started: not enough free capacity, or the task is under suspicion and
    # the worker runs such a task of another job.
    NO_ROOM = "no-room"
    UNAVAILABLE = "unavailable"  # not started: no new runs accepted now
    REJECTED = "rejected"  # not started: the worker rejects this task
    UNANSWERED = "unanswered"  # no answer to the order, which was withdrawn

    @classmethod
    def _missing_(cls, value: object) -> RunEnd | None:
        """Take an end that a newer agent reports for a lost run.

        It is over, whatever its end is called, and its task is started again.
        """
        return cls.LOST if isinstance(value, str) else None


class LossCause(enum.StrEnum):
    """Why a run was lost, as far as its agent knows."""

    WORKER_RESTARTED = "worker-restarted"
    WORKER_REFUSES = "worker-refuses"  # it refuses connections
    WORKER_SILENT = "worker-silent"
    WORKER_LEFT = "worker-left"  # it announced that it leaves
    LEASE_LAPSED = "lease-lapsed"  # the worker listed it as ended
    NOT_LISTED = "not-listed"  # the worker answers and does not list it
    NOT_STARTED = "not-started"  # the order met another incarnation


class Attach(Message, frozen=True, tag="attach"):
    """Opens or resumes a session; the first message on each connection.

    :param entry: name of the entry.
    :param incarnation: of the entry's process; the agent stops the runs of
        any other incarnation.
    :param connection: increases with each connection of an incarnation; an
        agent ignores an attachment that a later one has overtaken.
    :param echo: as in :class:`EntryHeartbeat`.
    :param acked: as in :class:`EntryHeartbeat`; an agent that no longer has
        the session numbers ended runs from here on.
    :param build: of the entry; empty, as sent by earlier builds, if unknown.
    :param capabilities: as in :class:`briarford.capabilities.Capability`.
    """

    entry: str
    incarnation: str
    connection: int
    echo: float
    acked: int = 0
    build: str = ""
    capabilities: tuple[str, ...] = ()


class StartRun(Message, frozen=True, tag="start"):
    """Requests a run of a task.

    :param dispatch: number of this order, unique within an incarnation of the
        entry.
    :param task: name of the task.
    :param run: number of the run; higher than that of any earlier run of the
        task.
    :param payload: what the worker receives.
    :param cpu: thousandths of a processor that the run needs.
    :param memory_mb: memory that it needs.
    :param gpu: accelerators that it needs.
    :param expected_s: estimated seconds of work at nominal speed.
    :param same_payload: whether the payload is that of the previous order on
        this connection, and ``payload`` is empty.
    :param echo: ``sent_at`` of the agent's last heartbeat that the entry had
        received; 0 if unknown. An order that was held up in the network or in
        a paused process is recognised by it.
    :param start_within_ms: milliseconds within which a run of the task has to
        start for its job to end within its objective. Clocks of entries and
        agents differ, so the agent makes a deadline of it.
    :param useful_within_ms: likewise for the answer of its job to be of use;
        0, as sent by earlier versions, if it is not.
    :param suspect: whether a worker was lost under the task before.
    :param required_label: label that the worker must have; empty, also as
        sent by earlier versions, for any. The worker may have restarted as
        another kind since the entry got its status.
    """

    dispatch: int
    task: str
    run: int
    payload: str
    cpu: int
    memory_mb: int
    gpu: int
    expected_s: float
    same_payload: bool = False
    echo: float = 0.0
    start_within_ms: int = 0
    useful_within_ms: int = 0
    suspect: bool = False
    required_label: str = ""


class StopRun(Message, frozen=True, tag="stop"):
    """Requests the stop of a run.

    :param dispatch: number of the order that started it.
    """

    dispatch: int


class Demand(Message, frozen=True, tag="demand"):
    """Reports the most urgent task that waits at the entry for capacity.

    While any entry reports one, the agent assigns the free capacity of its
    worker by :class:`CapacityOffer`.

    :param cpu: thousandths of a processor that the task needs; 0 if no task
        waits.
    :param slack_s: seconds within which the task has to start in order to
        end within its objective. If it is late already, 100 s plus the
        seconds by which it is late, so that the agent serves it last.
    :param begun: whether room is scarce at the entry and the job of the task
        has begun; if it can be in time it goes before those that have not.
    """

    cpu: int
    slack_s: float
    begun: bool = False


class EntryHeartbeat(Message, frozen=True, tag="pulse"):
    """Heartbeat of an entry.

    :param echo: the latest ``sent_at`` of the agent's heartbeats that have
        arrived; the session expires a fixed time after it.
    :param acked: ended runs up to this number have arrived.
    :param evacuations: what the entry knows of evacuations, if that has
        changed.
    """

    echo: float
    acked: int
    evacuations: KnownEvacuations | None = None


class Attached(Message, frozen=True, tag="attached"):
    """Answers an attachment.

    :param agent: name of the agent.
    :param incarnation: of the agent's process.
    :param dispatches: the orders of the entry whose runs are in progress, or
        ended and not acknowledged. The agent will never execute any other
        order that was sent before this attachment.
    :param sent_at: seconds on the agent's clock.
    :param build: of the agent; empty, as sent by earlier builds, if unknown.
    :param capabilities: as in :class:`briarford.capabilities.Capability`.
    """

    agent: str
    incarnation: str
    dispatches: tuple[int, ...]
    sent_at: float
    build: str = ""
    capabilities: tuple[str, ...] = ()


class WorkerStatus(Message, frozen=True, tag="status"):
    """The state and the free capacity of the agent's worker.

    :param worker: id of the worker; empty if there is none.
    :param service: the service that it runs.
    :param zone: its availability zone.
    :param labels: its labels; the rack is one of them.
    :param accepting: whether the agent accepts new runs for it.
    :param cpu: its capacity in thousandths of a processor.
    :param free_cpu: thousandths of a processor that any entry may use without
        a capacity offer; 0 while a task waits for this worker at any entry.
    :param free_memory_mb: memory that no run uses.
    :param free_gpu: accelerators that no run uses.
    :param slowness: run time divided by expected run time, as learnt.
    :param last_dispatch: the last order of this entry that the free capacity
        takes into account.
    :param spare_cpu: thousandths of a processor that no run uses, whether
        offered or waited for.
    :param trial_job: the job of which it runs tasks under suspicion to crash
        it; empty if none.
    :param born_ms: when its incarnation started, in Unix milliseconds; 0, as
        sent by earlier versions, if unknown.
    """

    worker: str
    service: str
    zone: str
    labels: tuple[str, ...]
    accepting: bool
    cpu: int
    free_cpu: int
    free_memory_mb: int
    free_gpu: int
    slowness: float
    last_dispatch: int
    spare_cpu: int = 0
    trial_job: str = ""
    born_ms: int = 0

    @property
    def incarnation(self) -> str:
        """The incarnation of the worker; empty if unknown."""
        if not self.born_ms:
            return ""
        return incarnation_of(self.worker, self.born_ms)


class AgentHeartbeat(Message, frozen=True, tag="pulse"):
    """Heartbeat of an agent.

    :param sent_at: seconds on the agent's clock; entries echo it.
    :param evacuations: what the agent knows of evacuations, if that has
        changed.
    :param losses: workers of the agent that were lost with runs, as far as
        the entry has not been sent them.
    """

    sent_at: float
    evacuations: KnownEvacuations | None = None
    losses: tuple[WorkerLoss, ...] = ()


class RunEnded(Message, frozen=True, tag="ended"):
    """Reports an ended run.

    It is repeated on each new connection until the entry acknowledges it.

    :param number: increases by one with each ended run reported to the entry.
    :param dispatch: number of the order.
    :param how: how it ended.
    :param ran_s: seconds from the start to the end; 0 if it never ran.
    """

    number: int
    dispatch: int
    how: RunEnd
    ran_s: float


class UnreportedFailure(Message, frozen=True, tag="former"):
    """Reports a failed run that a previous process of the agent ordered.

    That process may not have reported it. The agent sends it to all entries,
    as it does not know which one requested the run.

    :param task: name of the task.
    :param run: number of the run.
    """

    task: str
    run: int


class CapacityOffer(Message, frozen=True, tag="offer"):
    """Reserves free capacity of the worker for this entry for a short time.

    :param cpu: thousandths of a processor that are reserved.
    """

    cpu: int


class CancelJob(Message, frozen=True, tag="cancel"):
    """Asks the entry that has a job to cancel it.

    Sent by an entry that does not have the job to its agents, and by them to
    their other entries; only to peers that announce ``RELAYS_CANCELS``.

    :param job: id of the job.
    """

    job: str


class JobCancelled(Message, frozen=True, tag="cancelled"):
    """Confirms :class:`CancelJob`; goes the same way back.

    :param job: id of the job, which has ended.
    """

    job: str


EntryMessage = (
    Attach
    | StartRun
    | StopRun
    | Demand
    | EntryHeartbeat
    | CancelJob
    | JobCancelled
)
AgentMessage = (
    Attached
    | WorkerStatus
    | AgentHeartbeat
    | RunEnded
    | UnreportedFailure
    | CapacityOffer
    | CancelJob
    | JobCancelled
)


class EntryBatch(Message, frozen=True):
    """Messages of an entry, in the order in which they were sent."""

    messages: tuple[EntryMessage, ...]


class AgentBatch(Message, frozen=True):
    """Messages of an agent, in the order in which they were sent."""

    messages: tuple[AgentMessage, ...]
