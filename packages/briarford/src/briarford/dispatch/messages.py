"""Messages between the dispatch cores and the daemons that run them.

A daemon passes each event to its core as a message together with the current
time, and performs the effects that the core returns. The cores own no socket,
clock or timer, so tests run them in virtual time.

Messages "to" a core are events, those "from" a core are effects.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from briarford.jobs.messages import TaskRef
from briarford.outcomes import Outcome
from briarford.sessions.messages import (
    AgentBatch,
    EntryAddress,
    EntryBatch,
    TaskResult,
    WorkerInfo,
)

__all__ = [
    "AgentAttached",
    "AgentBatchArrived",
    "AgentLost",
    "AgentStopped",
    "BackendAnnounced",
    "BackendLeft",
    "CallBackend",
    "CallEnded",
    "CancelCall",
    "CancelJob",
    "CloseSession",
    "Decision",
    "DrainChanged",
    "EntriesChanged",
    "EntryBatchArrived",
    "EntryLost",
    "JobEnded",
    "OpenSession",
    "PresetAdopted",
    "SendToAgent",
    "SendToEntry",
    "StopRequested",
    "Tick",
]


@dataclass(slots=True, frozen=True)
class CancelJob:
    """To an entry: the client cancelled the job."""

    job_id: str


@dataclass(slots=True, frozen=True)
class AgentAttached:
    """To an entry: an agent opened a stream.

    :param conn: number of the stream, unique within the entry's process.
    """

    conn: int


@dataclass(slots=True, frozen=True)
class AgentBatchArrived:
    """To an entry: a batch from an agent arrived on a stream."""

    conn: int
    batch: AgentBatch


@dataclass(slots=True, frozen=True)
class AgentLost:
    """To an entry: the stream of an agent was closed or broke."""

    conn: int


@dataclass(slots=True, frozen=True)
class EntriesChanged:
    """To either core: the list of entries has changed.

    An agent's core also returns it as an effect, when an entry has sent its
    list; the daemon chooses among these and posts those that are chosen.

    :param entries: to an entry, all entries; to an agent, those to attach to.
    """

    entries: tuple[EntryAddress, ...]


@dataclass(slots=True, frozen=True)
class PresetAdopted:
    """To either core: a preset record was adopted.

    A core ignores a version that is not above its own. An agent's core also
    returns it as an effect, with version 0, when an entry has sent a record
    that the daemon is to decode and check.

    :param version: the record's version.
    :param encoded: the record as stored, which entries send to agents.
    """

    version: int
    encoded: bytes


@dataclass(slots=True, frozen=True)
class StopRequested:
    """To either core: accept no new work, finish what runs, then stop.

    :param deadline: Unix seconds by which the process must have stopped.
    """

    deadline: float


@dataclass(slots=True, frozen=True)
class Tick:
    """To either core: a timer has expired; the next turn handles it."""


@dataclass(slots=True, frozen=True)
class BackendAnnounced:
    """To an agent: its backend server announced itself, or did so again.

    :param worker: the service and capacity that the backend server offers.
    :param expires_at: Unix seconds after which the announcement lapses.
    """

    worker: WorkerInfo
    expires_at: float


@dataclass(slots=True, frozen=True)
class BackendLeft:
    """To an agent: its backend server accepts no new work from now on.

    :param reason: why, for the log.
    """

    reason: str


@dataclass(slots=True, frozen=True)
class DrainChanged:
    """To an agent: an operator started or ended the drain of its worker.

    :param drained: whether the worker is drained now.
    """

    drained: bool


@dataclass(slots=True, frozen=True)
class EntryBatchArrived:
    """To an agent: a batch from an entry arrived.

    :param entry: the entry's address.
    :param session: the session in which it arrived.
    """

    entry: str
    session: int
    batch: EntryBatch


@dataclass(slots=True, frozen=True)
class EntryLost:
    """To an agent: the stream of a session ended or could not be opened.

    :param entry: the entry's address.
    :param session: the session whose stream it was.
    """

    entry: str
    session: int


@dataclass(slots=True, frozen=True)
class CallEnded:
    """To an agent: a call to the backend server ended.

    :param result: how the attempt ended.
    :param reached: whether a connection to the backend server was opened; if
        not, the agent accepts no work until the next announcement.
    """

    result: TaskResult
    reached: bool = True


@dataclass(slots=True, frozen=True)
class SendToAgent:
    """From an entry: write a batch to an agent's stream."""

    conn: int
    batch: EntryBatch


@dataclass(slots=True, frozen=True)
class CloseSession:
    """From an entry: close an agent's stream.

    :param reason: why, for the log.
    """

    conn: int
    reason: str


@dataclass(slots=True, frozen=True)
class JobEnded:
    """From an entry: a job has ended; its clients are to be answered."""

    job_id: str
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class OpenSession:
    """From an agent: connect to an entry and open a stream for a session.

    :param session: number of the session, returned with its messages.
    """

    entry: EntryAddress
    session: int


@dataclass(slots=True, frozen=True)
class SendToEntry:
    """From an agent: write a batch to the stream of a session.

    :param entry: the entry's address.
    """

    entry: str
    session: int
    batch: AgentBatch


@dataclass(slots=True, frozen=True)
class CallBackend:
    """From an agent: call the backend server for one attempt at a task.

    :param ref: the attempt; the call's end carries it.
    :param payload: the JSON document for the backend server.
    :param deadline: Unix seconds by the agent's clock.
    """

    ref: TaskRef
    payload: bytes
    deadline: float


@dataclass(slots=True, frozen=True)
class CancelCall:
    """From an agent: abort a running call; its result is not needed."""

    ref: TaskRef


@dataclass(slots=True, frozen=True)
class AgentStopped:
    """From an agent: the process may end.

    No call, start or result is pending, or the deadline of the stop is over.
    """


@dataclass(slots=True, frozen=True)
class Decision:
    """From either core: a routing or placement decision to be logged.

    :param action: the name of the log event, as in ``task-placed``.
    :param reason: why the core decided so.
    :param fields: fields of the log line, such as job, task and worker.
    """

    action: str
    reason: str
    fields: dict[str, str | int | float] = field(default_factory=dict)
