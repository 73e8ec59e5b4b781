"""What an agent keeps of sessions and runs."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from briarford.runs.messages import (
    Demand,
    EntryHeartbeat,
    RunEnd,
    RunEnded,
    WorkerStatus,
)
from briarford.runs.worker import Capacity

__all__ = ["SESSION_TTL_S", "Run", "RunPhase", "Session"]

# An entry whose client repeats a request after a broken connection does so
# 1.3 s later at another entry: its runs must have ended by then.
SESSION_TTL_S = 0.9


class RunPhase(enum.Enum):
    """Where a run is on its way."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class Run:
    """A run that holds capacity of the worker.

    :param key: number of the run at this agent.
    :param session: the session that asked for it.
    :param dispatch: number of the order at the entry.
    :param task: name of the task.
    :param run: number of the run.
    :param payload: what the worker gets.
    :param need: what it holds of the capacity.
    :param expected_s: estimated seconds of work at nominal speed.
    :param ordered_at: when the order was sent to the worker.
    :param progressed_at: when its percentage last changed.
    :param idle_listings: listings since then that showed no progress.
    :param withdrawn_at: when the worker answered the order to stop it.
    :param sampled: whether the worker's speed was learnt from it.
    :param end: what to report when it has stopped.
    """

    key: int
    session: Session
    dispatch: int
    task: str
    run: int
    payload: str
    need: Capacity
    expected_s: float
    ordered_at: float
    phase: RunPhase = RunPhase.ORDERED
    started_at: float = 0.0
    percent: int = 0
    progressed_at: float = 0.0
    idle_listings: int = 0
    withdrawn_at: float = 0.0
    sampled: bool = False
    end: RunEnd = RunEnd.STOPPED

    def mark_started(self, now: float) -> None:
        """Take the first sign that the worker has started it."""
        if self.phase is RunPhase.ORDERED:
            self.phase = RunPhase.RUNNING
            self.started_at = self.progressed_at = now


@dataclass(slots=True)
class Session:
    """What the agent knows of one incarnation of an entry.

    :param entry: name of the entry.
    :param incarnation: of the entry.
    :param link: the connection in use; None while there is none.
    :param connection: number of that connection.
    :param expires_at: its runs are stopped unless it is heard of by then.
    :param ended: ends that the entry has not acknowledged.
    :param last_status: the last status that was sent to it.
    :param last_status_at: when that was.
    :param last_status_dispatch: the last order that is counted in there.
    :param ended_since_status: whether a run of it has ended since then.
    """

    entry: str
    incarnation: str
    link: int | None
    connection: int
    expires_at: float
    last_dispatch: int = 0
    last_number: int = 0
    ended: list[RunEnded] = field(default_factory=list)
    runs: dict[int, Run] = field(default_factory=dict)
    demand: Demand | None = None
    start_by: float = 0.0
    last_status: WorkerStatus | None = None
    last_status_at: float = 0.0
    last_status_dispatch: int = 0
    ended_since_status: bool = False

    @property
    def last_confirmed_at(self) -> float:
        """When the entry certainly lived, on the agent's clock."""
        return self.expires_at - SESSION_TTL_S

    def extend(self, echo: float) -> None:
        """Hold the runs for some time after a heartbeat that was echoed."""
        self.expires_at = max(self.expires_at, echo + SESSION_TTL_S)

    def receive_heartbeat(self, heartbeat: EntryHeartbeat) -> None:
        """Take a heartbeat of the entry."""
        self.extend(heartbeat.echo)
        self.ended = [e for e in self.ended if e.number > heartbeat.acked]

    def add_ended(self, dispatch: int, how: RunEnd, ran_s: float) -> RunEnded:
        """Note the end of a run until the entry has acknowledged it."""
        self.last_number += 1
        ended = RunEnded(self.last_number, dispatch, how, ran_s)
        self.ended.append(ended)
        self.ended_since_status = True
        return ended
