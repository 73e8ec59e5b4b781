"""Messages of a session between an entry and an agent.

A session is one attachment of an agent to an entry. Each direction numbers
its batches from 1. A receiver drops a batch that it has seen before and ends
the session if one is missing. Attempts whose state was unknown when a session
was lost are listed in the ``Welcome`` of the next session, and the agent
answers for each of them.
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
    """State of one attempt at a task, as its agent knows it."""

    NOT_STARTED = "not-started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    LOST = "lost"


class WorkerInfo(Message, frozen=True):
    """The capacity of a worker, as its backend server announced it.

    :param service: the service that the backend server provides.
    :param slots: number of tasks that it runs at the same time.
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
    :param session: increases with each attachment to this entry.
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
    :param outstanding: attempts that the entry has sent to this agent and
        has no result for; the agent answers with a report or a result for
        each.
    :param sent_at: the entry's clock, in Unix seconds; 0 if unknown.
    """

    entry: str
    incarnation: str
    outstanding: tuple[TaskRef, ...] = ()
    sent_at: float = 0.0


class StartTask(Message, frozen=True):
    """Starts a task, using one credit.

    :param ref: the attempt.
    :param deadline: Unix time in seconds by the entry's clock.
    :param payload: the JSON document for the backend server.
    """

    ref: TaskRef
    deadline: float
    payload: bytes


class TaskResult(Message, frozen=True):
    """The result of one attempt.

    :param ref: the attempt.
    :param status: DONE, FAILED, LOST (it may have run) or NOT_STARTED.
    :param payload: the JSON document of the answer, empty unless DONE.
    :param detail: the reason in one sentence, empty if DONE.
    :param run_ms: time at the backend server in milliseconds.
    """

    ref: TaskRef
    status: TaskStatus
    payload: bytes = b""
    detail: str = ""
    run_ms: float = 0.0


class TaskReport(Message, frozen=True):
    """An agent's answer for an outstanding attempt without a result.

    :param ref: the attempt.
    :param status: RUNNING, or NOT_STARTED if it never arrived.
    """

    ref: TaskRef
    status: TaskStatus


class AgentBatch(Message, frozen=True):
    """Everything an agent sends to an entry in one loop turn.

    :param seq: number of the batch in its session, from 1.
    :param hello: only in the first batch.
    :param worker: the capacity as announced, if it has changed.
    :param reports: answers for the outstanding attempts in ``Welcome``.
    :param results: results of ended attempts, repeated in each new session
        until acknowledged.
    :param credits: slots granted to the entry; each allows one start.
    :param recall: number of unspent credits that the agent asks to be
        returned.
    :param leaving: whether the backend server accepts no new work.
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
    """Everything an entry sends to an agent in one loop turn.

    :param seq: number of the batch in its session, from 1.
    :param welcome: only in the first batch.
    :param starts: tasks to start, each using one credit.
    :param cancels: attempts whose results are no longer needed.
    :param acks: attempts whose results have arrived and are acknowledged.
    :param returned: number of unspent credits that the entry returns.
    :param demand: number of tasks that wait for a slot of this worker's
        service.
    :param stopping: whether the entry is about to stop.
    :param entries: all entries, if the list has changed.
    :param preset: the encoded preset record, if the agent has an older one.
    :param received_seq: number of the last batch received from the agent.
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
