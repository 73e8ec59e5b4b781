"""Settings, timers and per-agent state of an entry core."""

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
    "AgentSession",
    "AgentState",
    "EntryConfig",
    "EntryTimer",
]

# Kinds of EntryTimer.
JOB_DEADLINE = "job-deadline"
JOB_FORGET = "job-forget"
TASK_RETRY = "task-retry"
AGENT_LOST = "agent-lost"
SERVICE_LOST = "service-lost"
DEMAND_NOTICE = "notice"
# While tasks are queued, a turn runs at least this often, so that further
# agents are notified of the demand.
DEMAND_NOTICE_PERIOD_S = 0.05
SILENCE = "silence"
HEARTBEAT = "heartbeat"


@dataclass(slots=True, frozen=True)
class EntryConfig:
    """Settings of an entry core.

    :param heartbeat_s: longest time in seconds between two batches that the
        entry sends in a session.
    :param silence_s: seconds without a batch from the agent after which the
        entry closes the session.
    :param reattach_s: seconds for which an agent without a session may
        attach again before its outstanding attempts count as lost. Jobs
        with waiting tasks end if their service has no worker for so long.
    :param remember_s: least time in seconds for which an ended job is
        remembered after its deadline.
    :param answer_budget_bytes: memory for answers of ended jobs.
    :param max_attempts: most attempts at one task of an idempotent request.
    :param retry_min_s: delay in seconds before a task is queued again after
        an agent has reported it as not started for the second time. Each
        further report doubles it; after the first there is no delay.
    :param retry_max_s: longest such delay in seconds.
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
class AgentState:
    """What an entry keeps for one agent; it outlives single sessions.

    :param name: the agent's name, which is its worker's name.
    :param incarnation: the agent's process instance, from its last hello.
    :param session: number of the newest session that the agent opened.
    :param conn: the stream of the current session; None without a session.
    :param outstanding: attempts that were sent to the agent and have no
        result yet.
    """

    name: str
    incarnation: str
    session: int
    conn: int | None
    outstanding: dict[TaskRef, QueuedTask] = field(default_factory=dict)


@dataclass(slots=True)
class AgentSession:
    """One stream that an agent opened, from its connection to its end.

    :param conn: number of the stream, given by the daemon.
    :param last_received_at: Unix seconds of the last batch from the agent.
    :param last_sent_at: Unix seconds of the last batch to the agent.
    :param agent: name of the agent, empty until its hello arrives.
    :param zone: the agent's availability zone, from its hello.
    :param service: the service that the agent's worker provides.
    :param leaving: whether the worker accepts no new work.
    :param preset_version: version of the preset record at the agent.
    """

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
    """Key of a timer.

    :param kind: what to do when it expires, one of the constants above.
    :param key: what it concerns: a job id, an agent, a service, the number
        of a stream, or an attempt; empty if it concerns none.
    """

    kind: str
    key: str | int | TaskRef
