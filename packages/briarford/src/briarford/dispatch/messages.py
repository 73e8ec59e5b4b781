"""Messages between the dispatch cores and the shells that run them.

The cores take one message at a time with the current time, and give back
effects; they own no socket, clock or timer.
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
    """To an entry: the answer of this job is no longer wanted."""

    job_id: str


@dataclass(slots=True, frozen=True)
class AgentAttached:
    """To an entry: an agent opened a stream; ``conn`` names the stream."""

    conn: int


@dataclass(slots=True, frozen=True)
class AgentBatchArrived:
    """To an entry: a batch came on a stream."""

    conn: int
    batch: AgentBatch


@dataclass(slots=True, frozen=True)
class AgentLost:
    """To an entry: a stream ended."""

    conn: int


@dataclass(slots=True, frozen=True)
class EntriesChanged:
    """To an entry or agent: the entries that there are now."""

    entries: tuple[EntryAddress, ...]


@dataclass(slots=True, frozen=True)
class PresetAdopted:
    """To either core: a preset record of a higher version is in force."""

    version: int
    encoded: bytes


@dataclass(slots=True, frozen=True)
class StopRequested:
    """To either core: stop gracefully by a deadline (Unix seconds)."""

    deadline: float


@dataclass(slots=True, frozen=True)
class Tick:
    """To either core: a timer fired; the time is the message's own."""


@dataclass(slots=True, frozen=True)
class BackendAnnounced:
    """To an agent: its backend server announced or renewed itself.

    :param expires_at: Unix seconds after which the announcement lapses.
    """

    worker: WorkerInfo
    expires_at: float


@dataclass(slots=True, frozen=True)
class BackendLeft:
    """To an agent: its backend server takes no new work from now on."""

    reason: str


@dataclass(slots=True, frozen=True)
class DrainChanged:
    """To an agent: operators drain its worker, or do so no longer."""

    drained: bool


@dataclass(slots=True, frozen=True)
class EntryBatchArrived:
    """To an agent: a batch of an entry came in a session."""

    entry: str
    session: int
    batch: EntryBatch


@dataclass(slots=True, frozen=True)
class EntryLost:
    """To an agent: the stream of a session ended or could not be opened."""

    entry: str
    session: int


@dataclass(slots=True, frozen=True)
class CallEnded:
    """To an agent: a call to the backend server ended.

    :param reached: whether a connection to the backend server was opened.
    """

    result: TaskResult
    reached: bool = True


@dataclass(slots=True, frozen=True)
class SendToAgent:
    """From an entry: write this batch to a stream."""

    conn: int
    batch: EntryBatch


@dataclass(slots=True, frozen=True)
class CloseSession:
    """From an entry: end a stream."""

    conn: int
    reason: str


@dataclass(slots=True, frozen=True)
class JobEnded:
    """From an entry: a job has its final outcome."""

    job_id: str
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class OpenSession:
    """From an agent: dial an entry and start a session."""

    entry: EntryAddress
    session: int


@dataclass(slots=True, frozen=True)
class SendToEntry:
    """From an agent: write this batch in a session."""

    entry: str
    session: int
    batch: AgentBatch


@dataclass(slots=True, frozen=True)
class CallBackend:
    """From an agent: call the backend server for one attempt."""

    ref: TaskRef
    payload: bytes
    deadline: float


@dataclass(slots=True, frozen=True)
class CancelCall:
    """From an agent: the result of a running call is no longer wanted."""

    ref: TaskRef


@dataclass(slots=True, frozen=True)
class AgentStopped:
    """From an agent: nothing is left to do; the process may end."""


@dataclass(slots=True, frozen=True)
class Decision:
    """From either core: a routing or placement decision, for the log.

    :param action: the decision's name, as in ``task-placed``.
    :param reason: why it was taken.
    :param fields: what it was about (job, task, worker, counts).
    """

    action: str
    reason: str
    fields: dict[str, str | int | float] = field(default_factory=dict)
