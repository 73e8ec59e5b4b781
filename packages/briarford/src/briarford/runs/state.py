"""The state that an agent keeps of each session and each run."""

from __future__ import annotations

import enum
import math

import msgspec

from briarford.runs.messages import (
    Demand,
    EntryHeartbeat,
    LossCause,
    RunEnd,
    RunEnded,
    WorkerStatus,
)
from briarford.runs.worker import Capacity

__all__ = ["SESSION_TTL_S", "Run", "RunPhase", "Session"]

# A client whose connection to an entry breaks repeats its request 1.3 s later
# at another entry. The runs of the first entry must have ended by then.
SESSION_TTL_S = 0.9
# A healthy task of less than a minute advances by 1% in this time.
STALL_TIMEOUT_S = 0.7
# The pace of a run is measured over this share of its expected time.
PACE_SHARE = 0.12
MIN_PACE_S = 0.08
# Lost answers alone must not count as missing progress.
MIN_STALL_LISTINGS = 3


class RunPhase(enum.Enum):
    """How far the order of a run has been executed."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class Run(msgspec.Struct, eq=False):
    """A run that uses capacity of the worker.

    :param key: number of the run at this agent.
    :param session: session of the entry that requested it.
    :param dispatch: number of the order at the entry.
    :param task: name of the task.
    :param run: number of the run.
    :param payload: what the worker receives.
    :param need: capacity that the run uses.
    :param expected_s: estimated seconds of work at nominal speed.
    :param ordered_at: when its order arrived.
    :param started_at: when the worker was first seen to run it; 0 before.
    :param percent: how much of its work is done.
    :param progressed_at: when ``percent`` last changed.
    :param idle_listings: run listings since then without progress.
    :param withdrawn_at: when the worker answered the order to stop it; 0
        before.
    :param sampled: whether the run has been used to learn the slowness of
        the worker.
    :param end: how the run is reported once it has stopped.
    :param start_by: latest time at which another run of the task could start
        for its job to be in time; a past time if unknown.
    :param useful_by: likewise for the answer of its job to be of use.
    :param loss: why it is lost, if that is how it will be reported.
    :param suspect: whether a worker was lost under the task before.
    :param orders: how many orders to start it were decided.
    :param unsent: how many of these were certainly not sent.
    :param decided_at: when the last of them was decided.
    :param slowness: learnt slowness of the worker when the order arrived.
    :param pace: how many times longer than expected on this worker the run
        takes at its present pace; 0 if unknown.
    :param paced_at: since when ``pace`` is measured; 0 before.
    :param paced_percent: its progress then.
    :param unwanted_since: earliest time at which its client may have left;
        infinite while its entry wants it.
    :param address: of the worker that was ordered to run it.
    :param ended_by: once a worker at another address has taken the place of
        that one, the time from which the run has certainly ended; 0 before.
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
    start_by: float = 0.0
    useful_by: float = 0.0
    loss: LossCause | None = None
    suspect: bool = False
    orders: int = 0
    unsent: int = 0
    decided_at: float = 0.0
    slowness: float = 1.0
    pace: float = 0.0
    paced_at: float = 0.0
    paced_percent: int = 0
    unwanted_since: float = math.inf
    address: str = ""
    ended_by: float = 0.0

    def lease_limit(self, retry_delay_s: float) -> float:
        """Return when its lease has to end, so that no repeat overlaps it.

        :param retry_delay_s: seconds after which a client that has left, or
            whose entry is lost, repeats its request.
        :return: Unix time in seconds.
        """
        since = self.session.last_confirmed_at
        if not self.withdrawn_at:
            since = min(since, self.unwanted_since)
        return since + retry_delay_s

    def update_pace(self, percent: int, now: float) -> None:
        """Measure the present pace, once its progress covers some time.

        Progress is listed in whole per cent, so it counts as one more.

        :param percent: its progress.
        :param now: when that was listed, in Unix seconds.
        """
        expected_s = self.expected_s * self.slowness
        if not self.paced_at or percent < self.paced_percent:
            self.paced_at, self.paced_percent = now, percent
            return
        passed_s = now - self.paced_at
        if passed_s < max(MIN_PACE_S, expected_s * PACE_SHARE):
            return
        total_s = passed_s * 100 / (percent - self.paced_percent + 1)
        self.pace = total_s / expected_s if expected_s else 0.0
        self.paced_at, self.paced_percent = now, percent

    def restart_pace(self) -> None:
        """Measure the pace from the next progress on."""
        self.pace = self.paced_at = 0.0

    @property
    def remaining_s(self) -> float:
        """Seconds that it still needs at its present pace."""
        expected_s = self.expected_s * self.slowness
        return (100 - self.paced_percent) / 100 * self.pace * expected_s

    def mark_started(self, now: float) -> None:
        """Record that the worker runs it; only the first call counts."""
        if self.phase is RunPhase.ORDERED:
            self.phase = RunPhase.RUNNING
            self.started_at = self.progressed_at = now

    @property
    def is_confirmed(self) -> bool:
        """Whether the worker runs it, as far as its agent knows."""
        return self.phase is RunPhase.RUNNING

    @property
    def job(self) -> str:
        """The id of its job, which the name of its task begins with."""
        return self.task.partition(".")[0]

    def has_stalled(self, now: float) -> bool:
        """Whether it makes no progress.

        Its percentage must have stayed the same in several run listings and
        for some time.
        """
        idle_s = now - self.progressed_at
        limit_s = STALL_TIMEOUT_S + self.expected_s / 100
        return self.idle_listings >= MIN_STALL_LISTINGS and idle_s > limit_s

    def absence_means_ended(self, requested_at: float) -> bool:
        """Whether it has ended if a run listing does not contain it.

        True if the worker had confirmed its start, or the order to stop it,
        before the listing was requested. Otherwise the order may still be on
        its way.

        :param requested_at: when the listing was requested.
        """
        if self.ended_by:
            return False  # the listing is of another worker
        if self.withdrawn_at:
            return self.withdrawn_at < requested_at
        return bool(self.started_at) and self.started_at < requested_at


class Session(msgspec.Struct, eq=False):
    """The session of one incarnation of an entry.

    :param entry: name of the entry.
    :param incarnation: of the entry.
    :param link: the connection in use; None while there is none.
    :param connection: the number that the entry has given that connection.
    :param expires_at: when its runs are stopped, unless an echo of a later
        heartbeat arrives before.
    :param last_dispatch: number of the last order that has arrived.
    :param last_payload: payload of that order.
    :param last_number: number of the last ended run that was reported.
    :param ended: ended runs that the entry has not acknowledged.
    :param runs: its runs on the worker, by number of the order.
    :param demand: the most urgent task that waits at the entry; None if none.
    :param start_by: when that task has to start, computed from its slack;
        over 100 s ahead if the task is late already.
    :param last_status: the last worker status that was sent to the entry.
    :param last_status_at: when it was sent.
    :param last_status_dispatch: number of the last order that it includes.
    :param ended_since_status: whether a run has ended since it was sent.
    :param needs_status: whether the entry waits for a newer status, which is
        not urgent.
    :param evacuations_sent: as in ``EvacuationPeer``.
    :param losses_sent: as in ``LossPeer``.
    :param build: of the entry; empty if unknown.
    :param capabilities: that the entry has announced on its connection.
    """

    entry: str
    incarnation: str
    link: int | None
    connection: int
    expires_at: float
    last_dispatch: int = 0
    last_payload: str = ""
    last_number: int = 0
    ended: list[RunEnded] = msgspec.field(default_factory=list)
    runs: dict[int, Run] = msgspec.field(default_factory=dict)
    demand: Demand | None = None
    start_by: float = 0.0
    last_status: WorkerStatus | None = None
    last_status_at: float = 0.0
    last_status_dispatch: int = 0
    ended_since_status: bool = False
    needs_status: bool = False
    evacuations_sent: int = 0
    losses_sent: int = 0
    build: str = ""
    capabilities: frozenset[str] = frozenset()

    @property
    def last_confirmed_at(self) -> float:
        """The latest time at which the entry is known to have been alive.

        The sending time of the last agent heartbeat that the entry has
        echoed, on the agent's clock.
        """
        return self.expires_at - SESSION_TTL_S

    def extend(self, echo: float, now: float) -> None:
        """Extend the session after an echo of one of the agent's heartbeats.

        The session ends a fixed time after that heartbeat was sent, so a
        message that arrives late does not extend it further. A previous
        process of the agent may have sent it, by a clock that was ahead.

        :param echo: when the agent sent that heartbeat, on its own clock.
        :param now: the time on that clock, in Unix seconds.
        """
        expires_at = min(echo, now) + SESSION_TTL_S
        self.expires_at = max(self.expires_at, expires_at)

    def receive_heartbeat(self, heartbeat: EntryHeartbeat, now: float) -> None:
        """Extend the session and drop the ended runs it acknowledges."""
        self.extend(heartbeat.echo, now)
        self.ended = [e for e in self.ended if e.number > heartbeat.acked]

    def add_ended(self, dispatch: int, how: RunEnd, ran_s: float) -> RunEnded:
        """Keep an ended run until the entry has acknowledged it."""
        self.last_number += 1
        ended = RunEnded(self.last_number, dispatch, how, ran_s)
        self.ended.append(ended)
        self.ended_since_status = True
        return ended
