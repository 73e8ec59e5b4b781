"""Decides what an agent orders at its worker and tells entries."""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, replace
from typing import Any

from briarford.runs.capacity import CapacityTracker
from briarford.runs.health import Slowness, WorkerHealth
from briarford.runs.messages import (
    AgentHeartbeat,
    AgentMessage,
    Attach,
    CapacityOffer,
    Demand,
    EntryHeartbeat,
    EntryMessage,
    RunEnd,
    StartRun,
    StopRun,
    UnreportedFailure,
    WorkerStatus,
)
from briarford.runs.sessions import Sessions
from briarford.runs.state import Run, RunPhase, Session
from briarford.runs.status import next_status, status_period_s
from briarford.runs.worker import (
    Capacity,
    EndedRow,
    OrderResult,
    RunListing,
    WorkerReport,
)

__all__ = [
    "HEARTBEAT_PERIOD_S",
    "LEASE_S",
    "AgentEffect",
    "AgentEvent",
    "PlaceOrder",
    "RunAgent",
    "SendToEntry",
    "WithdrawRun",
]

HEARTBEAT_PERIOD_S = 0.2  # four heartbeats may be lost within SESSION_TTL_S
LEASE_S = 1.0  # longest lease that workers grant
CLOCK_DRIFT_FACTOR = 1.02  # a worker's clock may be 2% slow
LEASE_MARGIN_S = 0.05  # for the way of the order and rounding
# Clients repeat a request so long after their connection broke; the longest
# wait for a retransmission on the users' networks.
CLIENT_RETRY_DELAY_S = 1.3
# Listings are answered ten times a second. A worker that has missed three
# gets no new runs; after some more its lease is left to lapse.
UNRESPONSIVE_AFTER_S = 0.3
STOP_RENEWAL_AFTER_S = 0.5
STALL_TIMEOUT_S = 0.7  # a healthy task of under a minute gains 1% in that time
STALL_LISTINGS = 3  # lost answers must not look like a lack of progress
MAX_UNREPORTED_FAILURES = 100  # more runs than a worker has room for

# Progress is given in whole per cent, which is then a tenth off at most: far
# less than estimates are.
MIN_SAMPLE_PERCENT = 5

_LOST_RUN_REASONS = frozenset({"lapsed", "broken", "alone"})


@dataclass(slots=True, frozen=True)
class PlaceOrder:
    """Order the worker to start a run; the result goes to the agent."""

    key: int
    task: str
    run: int
    payload: str


@dataclass(slots=True, frozen=True)
class WithdrawRun:
    """Order the worker to stop a run, until it answers."""

    key: int
    task: str
    run: int


@dataclass(slots=True, frozen=True)
class SendToEntry:
    """Send a message on a connection."""

    link: int
    message: AgentMessage


@dataclass(slots=True, frozen=True)
class AgentEvent:
    """A decision to be logged."""

    action: str
    fields: dict[str, Any]


AgentEffect = PlaceOrder | WithdrawRun | SendToEntry | AgentEvent


class RunAgent:
    """The agent of one worker, without sockets and clocks.

    :param name: of the agent.
    :param incarnation: of this process.

    ``acked_end`` is the number of the worker's last end that was taken in;
    the worker forgets ends up to it.
    """

    def __init__(self, name: str, incarnation: str) -> None:
        self.name = name
        self.incarnation = incarnation
        self.counts: Counter[str] = Counter()
        self.worker: WorkerReport | None = None
        self.acked_end = 0
        self.stopping = False
        self.has_token = False
        self._capacity = CapacityTracker(Capacity(0, 0, 0))
        self._health = WorkerHealth()
        self._slowness = Slowness()
        self._runs: dict[int, Run] = {}
        self._by_task: dict[tuple[str, int], Run] = {}
        self._last_key = 0
        self._worker_answered_at = 0.0
        self._lease_end = 0.0
        self._next_heartbeat = 0.0
        self._status_due: float | None = None
        self._unreported_failures: deque[UnreportedFailure] = deque(
            maxlen=MAX_UNREPORTED_FAILURES
        )
        self._reconciled = False
        self._latest_listing_at = 0.0
        self._effects: list[AgentEffect] = []
        self._sessions = Sessions(name, incarnation, self._send)

    # -- the worker ---------------------------------------------------------

    def worker_reported(self, report: WorkerReport, now: float) -> None:
        """Take a heartbeat of the worker."""
        previous = self.worker
        if previous is not None and report.born_ms < previous.born_ms:
            return  # delayed report of an earlier boot
        if previous is None or _incarnation(previous) != _incarnation(report):
            self._replace_worker(report, now)
        elif report.sequence < previous.sequence:
            return
        elif report.draining != previous.draining:
            self._log("worker-state", draining=report.draining)
        self.worker = report
        self._capacity.total = report.capacity

    def restore_worker(
        self, report: WorkerReport, slowness: float, now: float
    ) -> None:
        """Take what a previous process of this agent knew of the worker.

        Its lists confirm it; a heartbeat replaces it.
        """
        if self.worker is None:
            self.worker_reported(report, now)
        if self.worker is not None and _incarnation(
            self.worker
        ) == _incarnation(report):
            self._slowness.restore(slowness, now)

    @property
    def recorded_slowness(self) -> float:
        """The learnt time of runs, as a multiple of estimates, to store."""
        return self._slowness.recorded

    def worker_left(self, worker: str, now: float) -> None:
        """Take the sign-off of a worker; nothing runs on it any more."""
        if self.worker is None or self.worker.worker != worker:
            return
        self._log("worker-left", worker=worker)
        self._finish_all(RunEnd.LOST, now)
        self.worker = None
        self._reconciled = False

    def _replace_worker(self, report: WorkerReport, now: float) -> None:
        self._log(
            "worker-joined",
            worker=report.worker,
            service=report.service,
            cpu=report.capacity.cpu,
        )
        self._health = WorkerHealth()
        self._slowness = Slowness()
        self._capacity = CapacityTracker(report.capacity)
        self.acked_end = 0
        self._reconciled = False
        self._worker_answered_at = now
        for run in self._runs.values():
            self._capacity.allocate(run.need)
            self._withdraw_after_restart(run)

    def _adopt_restarted_worker(self, listing: RunListing, now: float) -> None:
        """Take a new boot of the worker that has not sent a heartbeat yet."""
        if self.worker is not None:
            report = replace(
                self.worker,
                born_ms=listing.born_ms,
                clock_ms=listing.clock_ms,
                sequence=0,
            )
            self.worker_reported(report, now)

    def _withdraw_after_restart(self, run: Run) -> None:
        """Have a run stopped that ended with the previous boot, most likely.

        A boot takes orders before its first heartbeat, so the order may have
        reached the new one; its lists show that once it has refused it.
        """
        run.phase = RunPhase.STOPPING
        run.end = RunEnd.LOST
        run.withdrawn_at = 0.0
        self._effects.append(WithdrawRun(run.key, run.task, run.run))

    def may_extend_lease(self, now: float) -> bool:
        """Whether the next call to the worker may renew its lease."""
        return now - self._worker_answered_at < STOP_RENEWAL_AFTER_S

    def lease_s(self, now: float) -> float:
        """Return for how long the next call is to extend the lease.

        It ends before clients of an entry that has died meanwhile repeat
        their requests, as this process may die before it stops the runs.
        """
        if not self.may_extend_lease(now):
            return 0.0
        repeats_at = min(
            (
                r.session.last_confirmed_at + CLIENT_RETRY_DELAY_S
                for r in self._runs.values()
            ),
            default=math.inf,
        )
        left_s = (repeats_at - LEASE_MARGIN_S - now) / CLOCK_DRIFT_FACTOR
        return max(0.0, min(LEASE_S, left_s))

    def lease_extended(self, lease_s: float, now: float) -> None:
        """Note that a call that extends the lease is being sent."""
        end = now + lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
        self._lease_end = max(self._lease_end, end)

    def listing_received(
        self, listing: RunListing, requested_at: float, now: float
    ) -> None:
        """Take the worker's lists, asked for at ``requested_at``."""
        if self.worker is None:
            return
        if listing.born_ms > self.worker.born_ms:
            self._adopt_restarted_worker(listing, now)
        if listing.born_ms != self.worker.born_ms:
            return
        self._worker_answered_at = now
        is_outdated = requested_at < self._latest_listing_at
        self._latest_listing_at = max(self._latest_listing_at, requested_at)
        for row in sorted(listing.ended, key=lambda r: r.number):
            if row.number > self.acked_end:
                self.acked_end = row.number
                self._process_ended_run(row, now)
        if is_outdated:
            return  # a later listing has told more of what runs
        listed = set()
        for running in listing.running:
            listed.add((running.task, running.run))
            self._update_progress(
                running.task, running.run, running.percent, now
            )
        for ident, run in list(self._by_task.items()):
            if ident in listed or not _absence_means_ended(run, requested_at):
                continue
            end = run.end if run.withdrawn_at else RunEnd.LOST
            self._finish(run, end, now)
        all_known = all(
            (r.task, r.run) in self._by_task for r in listing.running
        )
        self._reconciled = self._reconciled or all_known

    def worker_refused(self, now: float) -> None:
        """Note that connections to the worker are refused.

        It may have crashed or be cut off and run on, so its runs count as
        ended only with their lease, which is not renewed from now on.
        """
        if self.may_extend_lease(now):
            self._log("worker-refused", runs=len(self._runs))
        self._worker_answered_at = min(
            self._worker_answered_at, now - STOP_RENEWAL_AFTER_S
        )

    def _process_ended_run(self, row: EndedRow, now: float) -> None:
        run = self._by_task.get((row.task, row.run))
        if run is None:
            self._report_earlier_failure(row)
            return
        ran_s = max(0.0, now - (run.started_at or run.ordered_at))
        if row.how == "done":
            self._health.succeeded()
            self._learn_slowness(run, ran_s, now)
            self._finish(run, RunEnd.DONE, now, ran_s)
        elif row.how == "failed":
            self._count_failure(run, now)
            self._finish(run, RunEnd.FAILED, now, ran_s)
        elif row.how in _LOST_RUN_REASONS:
            self._finish(run, RunEnd.LOST, now, ran_s)
        else:
            self._finish(run, run.end, now, ran_s)

    def _report_earlier_failure(self, row: EndedRow) -> None:
        """Tell entries of a failure that a previous process has not told.

        It counts as an attempt, since the worker is told that it was noted.
        """
        if row.how != "failed":
            return
        failure = UnreportedFailure(row.task, row.run)
        self._unreported_failures.append(failure)
        for session in self._sessions.connected():
            self._send(session, failure)

    def _update_progress(
        self, task: str, number: int, percent: int, now: float
    ) -> None:
        run = self._by_task.get((task, number))
        if run is None:
            self._log("unknown-run", task=task, run=number)
            self._effects.append(WithdrawRun(0, task, number))
            return
        run.mark_started(now)
        if percent != run.percent:
            run.percent = percent
            run.progressed_at = now
            run.idle_listings = 0
        else:
            run.idle_listings += 1
        if percent >= MIN_SAMPLE_PERCENT:
            self._learn_slowness(
                run, (now - run.started_at) * 100 / percent, now
            )
        if run.phase is RunPhase.RUNNING and _has_stalled(run, now):
            self._count_failure(run, now)
            self._stop(run, RunEnd.STALLED)

    def _learn_slowness(self, run: Run, total_s: float, now: float) -> None:
        """Learn from a run once, from its progress or from its end."""
        if not run.sampled and run.expected_s > 0:
            run.sampled = True
            self._slowness.observe(total_s / run.expected_s, now)

    def _count_failure(self, run: Run, now: float) -> None:
        job = run.task.partition(".")[0]
        if self._health.failed(job, now):
            self._log(
                "worker-suspended",
                until=round(self._health.suspended_until, 2),
            )

    def order_answered(
        self, key: int, result: OrderResult, now: float
    ) -> None:
        """Take the answer to an order to start a run."""
        run = self._runs.get(key)
        if result is not OrderResult.UNANSWERED:
            self._worker_answered_at = max(self._worker_answered_at, now)
        if run is None:
            return
        if result is OrderResult.STARTED:
            run.mark_started(now)
            return
        if result is OrderResult.UNANSWERED:
            if run.phase is RunPhase.ORDERED:
                self._stop(run, RunEnd.UNANSWERED)
            return
        self._log("order-rejected", task=run.task, reason=result.value)
        if run.phase is RunPhase.RUNNING:
            return  # a list has shown it meanwhile
        self._finish(run, _REJECTIONS[result], now)

    def stop_answered(self, key: int, now: float) -> None:
        """Take the answer to an order to stop a run.

        A run that was there stops within some time and is listed as ended
        then. One that was not there is refused by the worker from now on,
        which the next listing shows.
        """
        run = self._runs.get(key)
        self._worker_answered_at = max(self._worker_answered_at, now)
        if run is not None:
            run.withdrawn_at = now

    # -- sessions -----------------------------------------------------------

    def attach(self, link: int, msg: Attach, now: float) -> None:
        """Open or resume the session of an entry on a connection."""
        session = self._sessions.close_replaced(msg)
        if session is not None:
            self._stop_session_runs(session, "entry-restarted")
        if msg.entry not in self._sessions:
            self._log("session-opened", entry=msg.entry)
        if not self._sessions.attach(link, msg, now):
            return
        self._capacity.settle_offer(msg.entry)
        for failure in self._unreported_failures:
            self._effects.append(SendToEntry(link, failure))

    def link_closed(self, link: int) -> None:
        """Note that a connection has ended; the session may resume."""
        session = self._sessions.link_closed(link)
        if session is not None:
            self._capacity.settle_offer(session.entry)

    def handle(self, link: int, msg: EntryMessage, now: float) -> None:
        """Take a message of an attached entry."""
        session = self._sessions.by_link(link)
        if session is None:
            return
        match msg:
            case EntryHeartbeat():
                session.receive_heartbeat(msg)
            case StartRun():
                session.last_dispatch = msg.dispatch
                self._start(session, msg, now)
            case StopRun():
                run = session.runs.get(msg.dispatch)
                if run is not None:
                    self._stop(run, RunEnd.STOPPED)
            case Demand():
                session.demand = msg if msg.cpu else None
                session.start_by = now + msg.slack_s
                self._capacity.settle_offer(session.entry)
            case Attach():
                pass

    def _start(self, session: Session, msg: StartRun, now: float) -> None:
        need = Capacity(msg.cpu, msg.memory_mb, msg.gpu)
        run = Run(
            0,
            session,
            msg.dispatch,
            msg.task,
            msg.run,
            msg.payload,
            need,
            msg.expected_s,
            now,
        )
        session_valid = now <= session.expires_at
        if (
            not session_valid
            or not self.accepting(now)
            or self._task_has_run(run)
        ):
            self._report_end(run, RunEnd.UNAVAILABLE, 0.0)
            return
        fits = self._capacity.fits(need, session.entry, now)
        self._capacity.settle_offer(session.entry)
        if not fits:
            self._report_end(run, RunEnd.NO_ROOM, 0.0)
            return
        self._last_key += 1
        run.key = self._last_key
        self._runs[run.key] = run
        self._by_task[run.task, run.run] = run
        session.runs[run.dispatch] = run
        self._capacity.allocate(need)
        self.counts["ordered"] += 1
        self._effects.append(
            PlaceOrder(run.key, run.task, run.run, run.payload)
        )

    def _task_has_run(self, run: Run) -> bool:
        return any(r.task == run.task for r in self._runs.values())

    def accepting(self, now: float) -> bool:
        """Whether the worker takes new runs now."""
        worker = self.worker
        if worker is None or worker.draining or not self._reconciled:
            return False
        if self.stopping or not self.has_token:
            return False
        if self._health.is_suspended(now):
            return False
        if self._health.on_probation and self._runs:
            return False
        return now - self._worker_answered_at < UNRESPONSIVE_AFTER_S

    # -- ends ---------------------------------------------------------------

    def _stop(self, run: Run, end: RunEnd) -> None:
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.end = end
        self._effects.append(WithdrawRun(run.key, run.task, run.run))

    def _stop_session_runs(self, session: Session, reason: str) -> None:
        open_runs = [
            r
            for r in session.runs.values()
            if r.phase is not RunPhase.STOPPING
        ]
        if open_runs:
            self._log(reason, entry=session.entry, runs=len(open_runs))
        for run in open_runs:
            self._stop(run, RunEnd.STOPPED)

    def _finish_all(self, end: RunEnd, now: float) -> None:
        for run in list(self._runs.values()):
            self._finish(run, end, now)

    def _finish(
        self, run: Run, end: RunEnd, now: float, ran_s: float = 0.0
    ) -> None:
        if self._runs.pop(run.key, None) is None:
            return
        self._by_task.pop((run.task, run.run), None)
        run.session.runs.pop(run.dispatch, None)
        self._capacity.release(run.need)
        self._report_end(run, end, ran_s)

    def _report_end(self, run: Run, end: RunEnd, ran_s: float) -> None:
        session = run.session
        self.counts[end.value] += 1
        self._send(session, session.add_ended(run.dispatch, end, ran_s))
        self._log(
            "run-ended",
            task=run.task,
            run=run.run,
            entry=session.entry,
            how=end.value,
            ran_ms=round(ran_s * 1000),
            percent=run.percent,
        )

    # -- time ---------------------------------------------------------------

    def turn(self, now: float) -> list[AgentEffect]:
        """Decide, and return the effects to perform."""
        self._expire_sessions(now)
        self._expire_lease(now)
        self._offer_free_capacity(now)
        self._send_status(now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_PERIOD_S
            for session in self._sessions.connected():
                self._send(session, AgentHeartbeat(now))
        effects, self._effects = self._effects, []
        return effects

    def next_deadline(self) -> float | None:
        """Return when the next turn is due at the latest."""
        deadlines = (
            self._next_heartbeat,
            self._capacity.next_expiry(),
            self._status_due,
        )
        return min(at for at in deadlines if at is not None)

    def _expire_sessions(self, now: float) -> None:
        for session in self._sessions.expired(now):
            self._stop_session_runs(session, "session-expired")

    def _expire_lease(self, now: float) -> None:
        if not self._runs or self.may_extend_lease(now):
            return
        if now > self._lease_end:
            self._log("worker-silent", runs=len(self._runs))
            self._finish_all(RunEnd.LOST, now)

    def _offer_free_capacity(self, now: float) -> None:
        if not self.accepting(now):
            return
        waiting = [
            s
            for s in self._sessions.connected()
            if s.demand is not None and not self._capacity.has_offer(s.entry)
        ]
        for session in sorted(waiting, key=lambda s: s.start_by):
            free = self._capacity.free_cpu(now)
            need = session.demand.cpu if session.demand else 0
            if need > free:
                return
            cpu = need if free >= 2 * need else free
            self._capacity.offer(session.entry, cpu, now)
            self._send(session, CapacityOffer(cpu))

    def _has_waiting_demand(self) -> bool:
        """Whether tasks wait for room here, which is then only offered."""
        return any(s.demand is not None for s in self._sessions.connected())

    def _send_status(self, now: float) -> None:
        self._status_due = None
        status = self._status(now)
        connected = self._sessions.connected()
        period_s = status_period_s(len(connected))
        for session in connected:
            status_or_due = next_status(session, status, period_s, now)
            if isinstance(status_or_due, WorkerStatus):
                self._send(session, status_or_due)
            elif status_or_due is not None:
                due = self._status_due or status_or_due
                self._status_due = min(due, status_or_due)

    def _status(self, now: float) -> WorkerStatus:
        worker = self.worker
        if worker is None:
            return WorkerStatus("", "", "", (), False, 0, 0, 0, 0, 1.0, 0)
        free_cpu = (
            0 if self._has_waiting_demand() else self._capacity.free_cpu(now)
        )
        return WorkerStatus(
            worker.worker,
            worker.service,
            worker.zone,
            worker.labels,
            self.accepting(now),
            worker.capacity.cpu,
            free_cpu,
            self._capacity.free_memory,
            self._capacity.free_gpu,
            round(self._slowness.factor(now), 2),
            0,
            self._capacity.spare_cpu,
        )

    def drained(self) -> bool:
        """Whether nothing runs here."""
        return not self._runs

    def is_open(self, key: int) -> bool:
        """Whether a run has not ended."""
        return key in self._runs

    @property
    def reconciled(self) -> bool:
        """Whether the worker runs nothing that this agent did not order."""
        return self._reconciled

    def state(self, now: float) -> dict[str, float]:
        """Return what the agent holds now, by kind."""
        return {
            "runs": len(self._runs),
            "sessions": len(self._sessions),
            "worker_known": float(self.worker is not None),
            "worker_accepting": float(self.accepting(now)),
            "worker_answer_age_s": now - self._worker_answered_at,
            "worker_slowness": self._slowness.factor(now),
            "free_cpu": self._capacity.free_cpu(now),
        }

    # -- helpers ------------------------------------------------------------

    def _send(self, session: Session, message: AgentMessage) -> None:
        if session.link is not None:
            self._effects.append(SendToEntry(session.link, message))

    def _log(self, action: str, **fields: Any) -> None:
        self.counts[action] += 1
        self._effects.append(AgentEvent(action, fields))


def _incarnation(report: WorkerReport) -> tuple[str, int]:
    return report.worker, report.born_ms


def _has_stalled(run: Run, now: float) -> bool:
    """Whether several listings over some time show no progress."""
    idle_s = now - run.progressed_at
    limit_s = STALL_TIMEOUT_S + run.expected_s / 100
    return run.idle_listings >= STALL_LISTINGS and idle_s > limit_s


def _absence_means_ended(run: Run, requested_at: float) -> bool:
    """Whether a run not in a listing of that time has ended."""
    if run.withdrawn_at:
        return run.withdrawn_at < requested_at
    return bool(run.started_at) and run.started_at < requested_at


_REJECTIONS = {
    OrderResult.FENCED: RunEnd.UNAVAILABLE,
    OrderResult.OUTDATED: RunEnd.UNAVAILABLE,
    OrderResult.LATE: RunEnd.UNAVAILABLE,
    OrderResult.NO_ROOM: RunEnd.NO_ROOM,
    OrderResult.BUSY: RunEnd.UNAVAILABLE,
    OrderResult.INVALID: RunEnd.REJECTED,
    OrderResult.OTHER_INCARNATION: RunEnd.LOST,
}
