"""The state of an entry core, and the settings it runs by."""

from __future__ import annotations

from dataclasses import dataclass, field

from briarford.jobs.messages import QueuedTask, TaskRef
from briarford.sessions.outbox import EntryOutbox
from briarford.sessions.sequence import Sequence

__all__ = [
    "AGENT_LOST",
    "DEMAND_NOTICE",
    "DEMAND_NOTICE_PERIOD_S",
    "HEARTBEAT",
    "JOB_DEADLINE",
    "JOB_FORGET",
    "SERVICE_LOST",
    "SILENCE",
    "TASK_RETRY",
    "AgentRecord",
    "AgentSession",
    "EntryConfig",
    "EntryTimer",
]

JOB_DEADLINE = "job-deadline"
JOB_FORGET = "job-forget"
TASK_RETRY = "task-retry"
AGENT_LOST = "agent-lost"
SERVICE_LOST = "service-lost"
DEMAND_NOTICE = "notice"
DEMAND_NOTICE_PERIOD_S = 0.05
SILENCE = "silence"
HEARTBEAT = "heartbeat"


@dataclass(slots=True, frozen=True)
class EntryConfig:
    """Settings of an entry core.

    :param heartbeat_s: longest pause between two batches of a session.
    :param silence_s: a session without a batch for so long has ended.
    :param reattach_s: how long an agent without a session may come back
        before its outstanding attempts are given up.
    :param remember_s: how long an ended job is remembered at least.
    :param answer_budget_bytes: memory for answers of ended jobs.
    :param max_attempts: attempts at one task of an idempotent request.
    :param retry_min_s: pause before a task is queued again that came back
        un-started for the second time; it doubles each time.
    :param retry_max_s: longest such pause.
    """

    heartbeat_s: float = 0.5
    silence_s: float = 1.5
    reattach_s: float = 5.0
    remember_s: float = 60.0
    answer_budget_bytes: int = 64_000_000
    max_attempts: int = 3
    retry_min_s: float = 0.005
    retry_max_s: float = 1.0


@dataclass(slots=True)
class AgentRecord:
    """What outlives a session with an agent."""

    name: str
    incarnation: str
    session: int
    conn: int | None
    outstanding: dict[TaskRef, QueuedTask] = field(default_factory=dict)


@dataclass(slots=True)
class AgentSession:
    """One stream from an agent."""

    conn: int
    last_received_at: float
    last_sent_at: float
    agent: str = ""
    zone: str = ""
    service: str = ""
    leaving: bool = False
    preset_version: int = 0
    sequence: Sequence = field(default_factory=Sequence)
    outbox: EntryOutbox = field(default_factory=EntryOutbox)


@dataclass(slots=True, frozen=True)
class EntryTimer:
    """Key of a deadline: what it is for, and of which job or agent."""

    kind: str
    key: str | int | TaskRef
