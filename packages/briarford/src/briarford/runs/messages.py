"""Messages between an entry and an agent over one session."""

from __future__ import annotations

import enum

from briarford.messages import Message

__all__ = [
    "AgentBatch",
    "AgentHeartbeat",
    "AgentMessage",
    "Attach",
    "Attached",
    "CapacityOffer",
    "Demand",
    "EntryBatch",
    "EntryHeartbeat",
    "EntryMessage",
    "RunEnd",
    "RunEnded",
    "StartRun",
    "StopRun",
    "UnreportedFailure",
    "WorkerStatus",
]


class RunEnd(enum.StrEnum):
    """How a run ended; after each of them it does not run any more."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"  # with the worker, its lease or its agent
    STALLED = "stalled"  # stopped by the agent for lack of progress
    NO_ROOM = "no-room"  # not started: the capacity is taken
    UNAVAILABLE = "unavailable"  # not started: the worker takes nothing now
    REJECTED = "rejected"  # not started: the worker refuses this task
    UNANSWERED = "unanswered"  # the order got no answer and was withdrawn


class Attach(Message, frozen=True, tag="attach"):
    """Opens or resumes a session; the first message of each connection.

    :param entry: name of the entry.
    :param incarnation: of the entry; a new one ends the runs of the former.
    :param connection: rises with each connection of an incarnation.
    :param echo: as in :class:`EntryHeartbeat`.
    :param acked: likewise; an agent that has forgotten the session goes on
        from this number.
    """

    entry: str
    incarnation: str
    connection: int
    echo: float
    acked: int = 0


class StartRun(Message, frozen=True, tag="start"):
    """Asks for a run of a task.

    :param dispatch: number of this order, unique within an incarnation.
    :param task: name of the task.
    :param run: number of the run; higher than that of any earlier run.
    :param payload: what the worker gets.
    :param cpu: thousandths of a processor.
    :param memory_mb: memory.
    :param gpu: accelerators.
    :param expected_s: estimated seconds of work at nominal speed.
    """

    dispatch: int
    task: str
    run: int
    payload: str
    cpu: int
    memory_mb: int
    gpu: int
    expected_s: float


class StopRun(Message, frozen=True, tag="stop"):
    """Asks to stop the run of a dispatch."""

    dispatch: int


class Demand(Message, frozen=True, tag="demand"):
    """Says what waits at the entry for room on a worker.

    :param cpu: thousandths of a processor of the most urgent waiting task;
        0 if nothing waits.
    :param slack_s: seconds until it has to start to end within its
        objective; negative if that has passed.
    """

    cpu: int
    slack_s: float


class EntryHeartbeat(Message, frozen=True, tag="pulse"):
    """Heartbeat of an entry.

    :param echo: the latest ``sent_at`` of the agent's heartbeats; the runs
        of the session are held until some time after it.
    :param acked: ends up to this number have arrived.
    """

    echo: float
    acked: int


class Attached(Message, frozen=True, tag="attached"):
    """Answers an attachment.

    :param agent: name of the agent.
    :param incarnation: of the agent.
    :param dispatches: orders that the agent has of the entry: running, or
        ended and not acknowledged. It never executes other earlier ones.
    :param sent_at: seconds on the agent's clock.
    """

    agent: str
    incarnation: str
    dispatches: tuple[int, ...]
    sent_at: float


class WorkerStatus(Message, frozen=True, tag="status"):
    """What an agent knows of its worker.

    :param worker: id of the worker; empty if there is none.
    :param service: the service that it runs.
    :param zone: its availability zone.
    :param labels: its labels; the rack is one of them.
    :param accepting: whether it takes new runs.
    :param cpu: its capacity in thousandths of a processor.
    :param free_cpu: what may be used without an offer; 0 while tasks wait
        at any entry for room on this worker.
    :param free_memory_mb: memory that is free.
    :param free_gpu: accelerators that are free.
    :param slowness: time of runs as a multiple of what was estimated.
    :param last_dispatch: the last order of this entry that is counted in.
    :param spare_cpu: what no run holds, whether tasks wait for it or not.
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


class AgentHeartbeat(Message, frozen=True, tag="pulse"):
    """Heartbeat of an agent.

    :param sent_at: seconds on the agent's clock.
    """

    sent_at: float


class RunEnded(Message, frozen=True, tag="ended"):
    """Tells the end of a run; repeated on new connections until acknowledged.

    :param number: rises by one for each end that this entry is told.
    :param dispatch: number of the order.
    :param how: how it ended.
    :param ran_s: seconds from the start to the end; 0 if it never ran.
    """

    number: int
    dispatch: int
    how: RunEnd
    ran_s: float


class UnreportedFailure(Message, frozen=True, tag="former"):
    """Tells that a run failed which a former process of the agent ordered.

    :param task: name of the task.
    :param run: number of the run.
    """

    task: str
    run: int


class CapacityOffer(Message, frozen=True, tag="offer"):
    """Reserves free capacity for this entry for a short time.

    :param cpu: thousandths of a processor.
    """

    cpu: int


EntryMessage = Attach | StartRun | StopRun | Demand | EntryHeartbeat
AgentMessage = (
    Attached
    | WorkerStatus
    | AgentHeartbeat
    | RunEnded
    | UnreportedFailure
    | CapacityOffer
)


class EntryBatch(Message, frozen=True):
    """Messages of an entry in their order."""

    messages: tuple[EntryMessage, ...]


class AgentBatch(Message, frozen=True):
    """Messages of an agent in their order."""

    messages: tuple[AgentMessage, ...]
