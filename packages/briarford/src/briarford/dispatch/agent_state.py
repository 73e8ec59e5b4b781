"""The state of an agent core, and the settings it runs by."""

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

HEARTBEAT = "heartbeat"
SILENCE = "silence"
REDIAL = "redial"
ANNOUNCEMENT = "backend"
STOP = "stop"
GRANT = "grant"
START_RECORD = "record"
START_RECORD_GRACE_S = 60.0


@dataclass(slots=True, frozen=True)
class AgentConfig:
    """Settings of an agent core.

    :param heartbeat_s: longest pause between two batches of a session.
    :param silence_s: a session without a batch for so long is replaced.
    :param redial_min_s: pause before a second try to reach an entry.
    :param redial_max_s: longest pause between two tries.
    :param keep_results_s: how long results wait for an entry that is gone.
    :param deliver_s: how long a stopping agent tries to deliver results to
        an entry that it cannot reach.
    """

    heartbeat_s: float = 0.5
    silence_s: float = 1.5
    redial_min_s: float = 0.1
    redial_max_s: float = 2.0
    keep_results_s: float = 30.0
    deliver_s: float = 5.0


@dataclass(slots=True)
class EntryLink:
    """All that an agent has with one entry, across sessions.

    :param clock_lead_s: seconds by which this clock is ahead of the
        entry's, with the shortest way that a welcome took.
    :param left_in: number of the first batch of this session that said that
        no work is taken; 0 if there is none.
    :param heard: number of the last batch that the entry has taken in.
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
    """Key of a deadline: what it is for, and with which entry."""

    kind: str
    address: str = ""
