"""Messages of a session between an entry and an agent.

A session is one attachment of an agent to an entry. Each direction numbers
its batches from 1; a receiver drops a batch that it has seen and ends the
session when one is missing. What a lost session left open is settled by the
``Welcome`` of the next one.
"""

from __future__ import annotations

import enum

from msgspec import field

from briarford.jobs.messages import TaskRef
from briarford.messages import Message

__all__ = [
    "AgentBatch",
    "EntryAddress",
    "EntryBatch",
    "Hello",
    "StartTask",
    "TaskReport",
    "TaskResult",
    "TaskStatus",
    "Welcome",
    "WorkerInfo",
]


class TaskStatus(enum.StrEnum):
    """What an agent knows of one attempt at a task."""

    NOT_STARTED = "not-started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    LOST = "lost"


class WorkerInfo(Message, frozen=True):
    """What a worker offers, as its backend server announced it.

    :param service: the service that the backend server provides.
    :param slots: tasks that it runs at the same time.
    :param processors: cores.
    :param memory_mb: memory in megabytes.
    :param accelerators: accelerators.
    """

    service: str
    slots: int
    processors: float
    memory_mb: int
    accelerators: int = 0


class EntryAddress(Message, frozen=True):
    """Where an entry listens for agents and other entries.

    :param name: the entry's name.
    :param address: host and port, as in ``10.0.0.1:7400``.
    :param zone: its availability zone.
    """

    name: str
    address: str
    zone: str = ""


class Hello(Message, frozen=True):
    """First message of an agent in a session.

    :param agent: the agent's name.
    :param incarnation: differs each time the agent's process starts.
    :param session: rises with each attachment to this entry.
    :param zone: the agent's availability zone.
    """

    agent: str
    incarnation: str
    session: int
    zone: str


class Welcome(Message, frozen=True):
    """First message of an entry in a session.

    :param entry: the entry's name.
    :param incarnation: differs each time the entry's process starts.
    :param outstanding: attempts that the entry sent to this agent and has no
        result of; the agent answers for each.
    :param sent_at: the entry's clock, in Unix seconds; 0 if it is not told.
    """

    entry: str
    incarnation: str
    outstanding: tuple[TaskRef, ...] = ()
    sent_at: float = 0.0


class StartTask(Message, frozen=True):
    """Spends one credit to start a task.

    :param ref: the attempt.
    :param deadline: Unix time in seconds by the entry's clock.
    :param payload: the JSON document for the backend server.
    """

    ref: TaskRef
    deadline: float
    payload: bytes


class TaskResult(Message, frozen=True):
    """The end of one attempt.

    :param ref: the attempt.
    :param status: DONE, FAILED, LOST (may have run) or NOT_STARTED.
    :param payload: the JSON document of the answer, empty unless DONE.
    :param detail: one sentence, empty if DONE.
    :param run_ms: time at the backend server in milliseconds.
    """

    ref: TaskRef
    status: TaskStatus
    payload: bytes = b""
    detail: str = ""
    run_ms: float = 0.0


class TaskReport(Message, frozen=True):
    """An agent's word on an outstanding attempt that has no result yet.

    :param ref: the attempt.
    :param status: RUNNING, or NOT_STARTED if it never arrived.
    """

    ref: TaskRef
    status: TaskStatus


class AgentBatch(Message, frozen=True):
    """All that an agent has for an entry in one loop turn.

    :param seq: number of the batch in its session, from 1.
    :param hello: only in the first batch.
    :param worker: the backend server as announced, if it changed.
    :param reports: answers for the outstanding attempts of ``Welcome``.
    :param results: ended attempts, repeated in a new session until
        acknowledged.
    :param credits: slots granted to the entry.
    :param recall: unspent credits that the agent wants back.
    :param leaving: whether the backend server takes no new work.
    :param preset_version: version of the preset record that is in force.
    """

    seq: int
    hello: Hello | None = None
    worker: WorkerInfo | None = None
    reports: tuple[TaskReport, ...] = ()
    results: tuple[TaskResult, ...] = ()
    credits: int = 0
    recall: int = 0
    leaving: bool = False
    preset_version: int = 0


class EntryBatch(Message, frozen=True):
    """All that an entry has for an agent in one loop turn.

    :param seq: number of the batch in its session, from 1.
    :param welcome: only in the first batch.
    :param starts: tasks to start, each on a credit.
    :param cancels: attempts whose results are no longer wanted.
    :param acks: attempts whose results have been taken.
    :param returned: unspent credits given back.
    :param demand: tasks that wait for a slot of this worker's service.
    :param stopping: whether the entry is about to stop.
    :param entries: the entries that there are, if the list changed.
    :param preset: the encoded preset record, if the agent has an older one.
    :param received_seq: number of the last batch that came from the agent.
    """

    seq: int
    welcome: Welcome | None = None
    starts: tuple[StartTask, ...] = ()
    cancels: tuple[TaskRef, ...] = ()
    acks: tuple[TaskRef, ...] = ()
    returned: int = 0
    demand: int = 0
    stopping: bool = False
    entries: tuple[EntryAddress, ...] = ()
    preset: bytes = b""
    received_seq: int = field(default=0, name="heard")
