"""Settings, timers and per-entry state of an agent core."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from briarford.jobs.messages import TaskRef
from briarford.sessions.messages import EntryAddress, TaskResult
from briarford.sessions.outbox import AgentOutbox
from briarford.sessions.sequence import Sequence

__all__ = [
    "ANNOUNCEMENT",
    "GRANT",
    "HEARTBEAT",
    "REDIAL",
    "SILENCE",
    "START_RECORD",
    "START_RECORD_GRACE_S",
    "STOP",
    "AgentConfig",
    "AgentTimer",
    "EntryLink",
]

# Kinds of AgentTimer.
HEARTBEAT = "heartbeat"
SILENCE = "silence"
REDIAL = "redial"
ANNOUNCEMENT = "backend"
STOP = "stop"
GRANT = "grant"
START_RECORD = "record"

# How long past a task's deadline an agent remembers that it started the task,
# so that it never reports the task as not started.
START_RECORD_GRACE_S = 60.0


@dataclass(slots=True, frozen=True)
class AgentConfig:
    """Settings of an agent core.

    :param heartbeat_s: longest time in seconds between two batches that the
        agent sends in a session.
    :param silence_s: seconds without a batch from the entry after which the
        agent ends the session and opens another.
    :param redial_min_s: seconds before the second try to reconnect; the
        first is immediate. Each further try doubles the delay. Jitter then
        takes up to half of a delay away.
    :param redial_max_s: longest delay in seconds, before jitter.
    :param keep_results_s: seconds for which the agent keeps results for an
        entry that is off the list of entries and cannot be reached.
    :param deliver_s: seconds for which a stopping agent tries to deliver
        results to an entry that it cannot reach.
    """

    heartbeat_s: float = 0.5
    silence_s: float = 1.5
    redial_min_s: float = 0.1
    redial_max_s: float = 2.0
    keep_results_s: float = 30.0
    deliver_s: float = 5.0


@dataclass(slots=True)
class EntryLink:
    """What an agent keeps for one entry; it outlives single sessions.

    :param session: number of the current session; it rises with each session
        that the agent opens, to any entry.
    :param open: whether the current session has not ended.
    :param welcomed: whether the entry has answered the session's hello.
    :param listed: whether the agent's list of entries contains this one.
    :param failures: sessions lost in a row since the last welcome.
    :param incarnation: the entry's process instance, from its last welcome.
    :param lost_at: Unix seconds at which the first of the failures was
        noticed.
    :param clock_lead_s: seconds by which the agent's clock is ahead of the
        entry's: the smallest difference seen on a welcome, as the delay of
        a welcome adds to the difference. Infinite before the first welcome.
    :param first_leaving_seq: number of the first batch of this session that
        reported to the entry that the worker accepts no new work; 0 if there
        is none.
    :param entry_received_seq: number of the last batch of this session that
        the entry has confirmed.
    :param running: attempts of this entry that the backend server runs.
    :param results: ended attempts that the entry has not acknowledged; they
        are sent again in a new session.
    """

    entry: EntryAddress
    session: int = 0
    open: bool = False
    welcomed: bool = False
    listed: bool = True
    failures: int = 0
    incarnation: str = ""
    lost_at: float = 0.0
    clock_lead_s: float = math.inf
    first_leaving_seq: int = 0
    entry_received_seq: int = 0
    sequence: Sequence = field(default_factory=Sequence)
    outbox: AgentOutbox = field(default_factory=AgentOutbox)
    running: set[TaskRef] = field(default_factory=set)
    results: dict[TaskRef, TaskResult] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class AgentTimer:
    """Key of a timer.

    :param kind: what to do when it expires, one of the constants above.
    :param address: the entry that it concerns, empty if it concerns none.
    """

    kind: str
    address: str = ""
