"""Decides which runs an agent starts and stops on its worker.

:class:`RunAgent` receives the messages of entries and the reports, lists and
answers of the worker. It returns the orders for the worker, the messages for
the entries and the events to log as effects; the caller performs them.

The worker continues its runs only while they have a lease. Orders to
start a run and requests for a run listing extend the lease, so that the runs
end by themselves if the agent fails. Each order carries the agent's fencing
token; the worker refuses orders with a lower one than it has seen since it
started.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Container
from typing import Any

from msgspec.structs import replace

from briarford.capabilities import Capability, count_builds
from briarford.evacuations import Evacuations
from briarford.runs.cancels import CancelRelay
from briarford.runs.claims import Verdict, WorkerClaims, same_incarnation
from briarford.runs.contact import WorkerContact
from briarford.runs.demands import by_rank
from briarford.runs.effects import (
    AgentEffect,
    AgentEvent,
    PlaceOrder,
    RaiseToken,
    SendToEntry,
    WithdrawRun,
)
from briarford.runs.health import FailureGuard, Slowness
from briarford.runs.leases import LEASE_S
from briarford.runs.losses import (
    LossState,
    WorkerLoss,
    WorkerLosses,
    incarnation_of,
)
from briarford.runs.messages import (
    AgentHeartbeat,
    AgentMessage,
    Attach,
    CancelJob,
    CapacityOffer,
    Demand,
    EntryHeartbeat,
    EntryMessage,
    JobCancelled,
    LossCause,
    RunEnd,
    StartRun,
    StopRun,
    UnreportedFailure,
    WorkerStatus,
)
from briarford.runs.notices import LeaveNotices
from briarford.runs.orders import UNANSWERED, RunOrders
from briarford.runs.sessions import SessionTable
from briarford.runs.state import Run, RunPhase, Session
from briarford.runs.status import StatusSchedule
from briarford.runs.stragglers import Stragglers
from briarford.runs.worker import (
    Capacity,
    EndedRow,
    OrderResult,
    RunListing,
    WorkerReport,
)
from briarford.runs.worker_clock import CLOCK_DRIFT_FACTOR

__all__ = ["HEARTBEAT_PERIOD_S", "RunAgent"]

# Four heartbeats in a row may be lost within SESSION_TTL_S.
HEARTBEAT_PERIOD_S = 0.2
# Clients repeat a request this long after their connection broke, which is
# the longest wait for a retransmission on the users' networks.
CLIENT_RETRY_DELAY_S = 1.3
# A worker takes up to 50 ms to stop a run, and the order up to 120 ms.
UNKNOWN_RUN_RETRY_S = 0.2
# An entry has a heartbeat that is HEARTBEAT_PERIOD_S old at most, or half a
# second more before it gives the connection up. The job of an older order may
# have been answered otherwise meanwhile.
ORDER_TTL_S = 0.7
MAX_ORDERS = 3  # of one run, until it is withdrawn
MAX_UNREPORTED_FAILURES = 100  # more runs than fit on a worker

# Workers report progress in whole per cent. From 5% on, rounding changes the
# extrapolated run time by a tenth at most, far less than estimates are off.
MIN_SAMPLE_PERCENT = 5

# Words of the worker for runs that ended without a result of their own.
_LOST_RUN_REASONS = frozenset({"lapsed", "broken", "alone"})


class RunAgent:
    """Controls the runs on one worker, without I/O and without a clock.

    The caller passes in messages and answers with the current time, and
    calls :meth:`turn` to get the effects to perform.

    ``acked_end`` is the number of the last ended run of the worker that has
    been processed. The agent acknowledges it with its next request for a run
    listing, and the worker then forgets the ended runs up to it. The caller
    sets ``has_token`` once the agent has its fencing token, and ``stopping``
    when the process is about to stop; ``counts`` counts events and ended runs.

    :param name: of the agent.
    :param incarnation: of the agent's process.
    """

    def __init__(self, name: str, incarnation: str) -> None:
        self.name = name
        self.incarnation = incarnation
        self.counts: Counter[str] = Counter()
        self.worker: WorkerReport | None = None
        self.acked_end = 0
        self.stopping = False
        self.has_token = False
        self.evacuations = Evacuations(self._log)
        self._failure_guard = FailureGuard()
        self._slowness = Slowness()
        self._contact = WorkerContact()
        self._claims = WorkerClaims()
        self._logged_claims: dict[str, dict[str, Any]] = {}
        self._next_heartbeat = 0.0
        self._turn_needed = True
        self._statuses = StatusSchedule()
        self._unreported_failures: deque[UnreportedFailure] = deque(
            maxlen=MAX_UNREPORTED_FAILURES
        )
        self._reconciled = False
        # Runs that this agent did not order, with the times from which an
        # order to stop them may be repeated.
        self._unknown_runs: dict[tuple[str, int], float] = {}
        self._latest_listing_at = 0.0
        self._effects: list[AgentEffect] = []
        self._orders = RunOrders(self._effects, self._log, self._report_end)
        self._sessions = SessionTable(name, incarnation, self._send)
        self._notices = LeaveNotices(self._orders.stop, self._log)
        self._stragglers = Stragglers(self._orders.stop, self._log)
        self._losses = WorkerLosses()
        self._cancels = CancelRelay()

    # -- the worker ---------------------------------------------------------

    def worker_reported(self, report: WorkerReport, now: float) -> None:
        """Process a heartbeat of the worker.

        It may be of another writer, or late. The first one of another worker,
        or of one that has restarted, discards what was learnt of the previous
        one, unless that still answers: see :mod:`briarford.runs.claims`.
        """
        current = self.worker
        answers = self.may_extend_lease(now)
        match self._claims.judge(current, report, answers, now):
            case Verdict.ADOPT:
                self._adopt(report, True, now)
            case Verdict.UPDATE:
                if current is not None and report.draining != current.draining:
                    self._log("worker-state", draining=report.draining)
                self._set_worker(report)
            case Verdict.VERIFY:
                self._log_claim("worker-claimed", report)
            case Verdict.IGNORE:
                self._log_claim("report-ignored", report)

    @property
    def has_pending_claim(self) -> bool:
        """Whether a run listing is to show if the worker still answers.

        A heartbeat has claimed that another one has taken its place.
        """
        return self._claims.pending is not None

    def _adopt(
        self, report: WorkerReport, is_reported: bool, now: float
    ) -> None:
        """Control another worker, or another incarnation, from now on.

        :param is_reported: whether its own heartbeat describes it.
        """
        self._replace_worker(report, now)
        self._claims.adopted(is_reported, now)
        self._set_worker(report)

    def _set_worker(self, report: WorkerReport) -> None:
        self.worker = report
        self._orders.capacity.total = report.capacity

    def _adopt_claim_if_silent(self, now: float) -> None:
        """Adopt the pending worker once the present one does not answer."""
        claim = self._claims.pending
        if claim is not None and not self.may_extend_lease(now):
            self._adopt(claim, True, now)

    def _log_claim(self, action: str, report: WorkerReport) -> None:
        """Log what became of a claim; a series of equal ones is logged once.

        Another writer may repeat it for days.
        """
        fields: dict[str, Any] = {
            "worker": report.worker,
            "born_ms": report.born_ms,
            "service": report.service,
            "address": report.address,
        }
        if self._logged_claims.get(action) == fields:
            self.counts[action] += 1
            return
        self._logged_claims[action] = fields
        self._log(action, **fields)

    def restore_worker(
        self, report: WorkerReport, slowness: float, now: float
    ) -> None:
        """Restore what a previous process of this agent stored.

        With it, a restarted agent uses its worker before the next heartbeat.
        The worker's run listings confirm the record, and a heartbeat replaces
        it.

        :param report: the last heartbeat that the previous process stored.
        :param slowness: the slowness that it stored.
        """
        if self.worker is None:
            self._adopt(report, False, now)
        if self.worker is not None and same_incarnation(self.worker, report):
            self._slowness.restore(slowness, now)

    @property
    def recorded_slowness(self) -> float:
        """The learnt slowness to store for the next process of this agent.

        Run time divided by the expected run time.
        """
        return self._slowness.recorded

    def worker_left(self, worker: str, now: float) -> None:
        """Process the announcement that the worker leaves.

        Its runs have ended by then and are reported as lost. A worker drains
        before; the announcement for one that does not, and answers, is that
        of its previous incarnation, or of another writer.
        """
        if self.worker is None or self.worker.worker != worker:
            return
        is_in_use = self._claims.confirmed and self.may_extend_lease(now)
        if is_in_use and not self.worker.draining:
            self._log("departure-ignored", worker=worker)
            return
        self._log("worker-left", worker=worker)
        self._orders.finish_all(LossCause.WORKER_LEFT)
        self.worker = None
        self._claims.pending = None
        self._reconciled = False

    def _replace_worker(self, report: WorkerReport, now: float) -> None:
        """Start over with another worker or another incarnation of it."""
        self._log(
            "worker-joined",
            worker=report.worker,
            service=report.service,
            cpu=report.capacity.cpu,
        )
        previous = self.worker
        if previous is not None:
            if previous.worker == report.worker:
                self._effects.append(RaiseToken())
                # The lease of a late order is by the clock of the previous
                # incarnation: it may be the longest that a worker grants.
                longest_s = LEASE_S * CLOCK_DRIFT_FACTOR
                self._contact.lease_extended(now + longest_s)
            if not previous.draining:
                runs = self._orders.all()
                self._report_loss(
                    self._losses.restarted(_identity(previous), runs, now),
                    now,
                )
        self._failure_guard = FailureGuard()
        self._slowness = Slowness()
        self.acked_end = 0
        self._reconciled = False
        self._orders.worker_replaced(
            report.address, report.capacity, self._contact.lease_end
        )
        self._contact.joined(now)

    def _adopt_restarted_worker(self, listing: RunListing, now: float) -> None:
        """Switch to the incarnation of the worker that a run listing shows.

        If it has not sent a heartbeat yet, rack, capacity, service and zone
        stay with the machine, but it may be of another kind, and any label
        may name the kind. So it has no labels until its heartbeat.
        """
        claim = self._claims.pending
        if (
            claim is not None
            and self.worker is not None
            and claim.worker == self.worker.worker
            and claim.address == self.worker.address
            and claim.born_ms == listing.born_ms
        ):
            self._adopt(claim, True, now)
        elif self.worker is not None:
            report = replace(
                self.worker,
                born_ms=listing.born_ms,
                clock_ms=listing.clock_ms,
                sequence=0,
                labels=(),
            )
            self._log(
                "worker-unconfirmed",
                worker=report.worker,
                born_ms=report.born_ms,
                labels=list(self.worker.labels),
            )
            self._adopt(report, False, now)

    def may_extend_lease(self, now: float) -> bool:
        """Whether the next call to the worker may renew its lease.

        A worker that does not answer gets no renewal, so that its runs end
        by themselves.
        """
        return self._contact.may_extend_lease(now)

    def lease_until(self, now: float) -> float:
        """Return by when the lease of the call made now has certainly ended.

        An entry may have died after its last heartbeat, and this process may
        die before it stops the runs of that entry. The lease therefore ends
        before the clients of any entry with runs here would repeat their
        requests at another entry. An order to stop a run may not reach the
        worker: until it is confirmed, the lease ends before the client of
        that run repeats its request. Entries count the runs of a previous
        process as ended with their lease, so none is renewed for those, nor
        while a run that counts as lost may still start.

        :return: Unix time in seconds; 0 if the call grants none.
        """
        if not self._reconciled or not self._orders.settled:
            return 0.0
        repeats_at = min(
            (r.lease_limit(CLIENT_RETRY_DELAY_S) for r in self._orders.all()),
            default=math.inf,
        )
        return self._contact.lease_until(repeats_at, now)

    def lease_extended(self, until: float) -> None:
        """Record that a call that extends the lease is being sent.

        From this time on the worker may hold the lease, with or without an
        answer.

        :param until: by when that lease has ended, in Unix seconds.
        """
        self._contact.lease_extended(until)

    def listing_received(
        self, listing: RunListing, requested_at: float, now: float
    ) -> None:
        """Process the worker's lists of running and ended runs.

        :param listing: the run listing, which has both lists.
        :param requested_at: when they were requested; the lists are at least
            as new as that.
        """
        if self.worker is None:
            return
        if listing.born_ms != self.worker.born_ms:
            if not self._claims.restart_shown(
                self.worker, listing.born_ms, requested_at
            ):
                return
            self._adopt_restarted_worker(listing, now)
        claim = self._claims.pending
        if self._claims.listed(requested_at, now) and claim is not None:
            self._log_claim("claim-refuted", claim)
        if not self._contact.listed(now, requested_at):
            for run in self._orders.all():
                run.restart_pace()
        self._report_loss(
            self._losses.answered(_identity(self.worker), now), now
        )
        is_outdated = requested_at < self._latest_listing_at
        self._latest_listing_at = max(self._latest_listing_at, requested_at)
        for row in sorted(listing.ended, key=lambda r: r.number):
            if row.number > self.acked_end:
                self.acked_end = row.number
                self._process_ended_run(row, now)
        if is_outdated:
            return  # the running list of a later request has been processed
        listed = set()
        for running in listing.running:
            listed.add((running.task, running.run))
            self._update_progress(
                running.task, running.run, running.percent, now
            )
        for ident, run in self._orders.by_task().items():
            if ident in listed or not run.absence_means_ended(requested_at):
                continue
            run.loss = run.loss or LossCause.NOT_LISTED
            end = run.end if run.withdrawn_at else RunEnd.LOST
            self._orders.finish(run, end)
        unknown = listed - self._orders.by_task().keys()
        for ident in self._unknown_runs.keys() - unknown:
            del self._unknown_runs[ident]
        all_known = not unknown
        self._reconciled = self._reconciled or all_known

    def worker_refused(self, now: float) -> None:
        """Process a refused connection to the worker.

        The worker may have crashed, or it may be cut off from this agent and
        still run. Its runs therefore count as lost only when their lease has
        ended, and the lease is not renewed until the worker answers again.
        """
        first = self.may_extend_lease(now)
        self._contact.refused(now)
        if first:
            self._log("worker-refused", runs=len(self._orders))
            # Entries know what it was running although this process may die
            # before the lease has ended.
            self._report_loss_of_worker(LossState.SILENT, now)
        self.listing_failed(now)

    def worker_misdirected(self, now: float) -> None:
        """Process the answer of another instance at the worker's address.

        The worker has ended, as its address is in use again.
        """
        self.worker_refused(now)

    def listing_failed(self, now: float) -> None:
        """Process a request for a run listing that was not answered."""
        self._claims.failed()
        self._adopt_claim_if_silent(now)

    def connection_reset(self, requested_at: float, now: float) -> None:
        """Process a call of which the connection ended before the answer.

        :param requested_at: when the call was made.
        """
        renewed = self.may_extend_lease(now)
        self._contact.reset(requested_at, now)
        if renewed and not self.may_extend_lease(now):
            self._log("worker-resets", runs=len(self._orders))
        self.listing_failed(now)

    def listing_lost(self, now: float) -> None:
        """Process a request for a run listing without an answer in time."""
        self._contact.listing_lost(now)

    def listing_wait_s(self, now: float) -> float:
        """Return for how long the worker may wait with its run listing."""
        return self._contact.listing_wait_s(now)

    def _process_ended_run(self, row: EndedRow, now: float) -> None:
        """Report an ended run from the worker's list to its entry."""
        run = self._orders.find(row.task, row.run)
        if run is None:
            self._report_earlier_failure(row)
            return
        if run.ended_by:
            return  # another worker cannot know
        ran_s = max(0.0, now - (run.started_at or run.ordered_at))
        if row.how == "done":
            self._failure_guard.succeeded()
            self._learn_slowness(run, ran_s, now)
            self._orders.finish(run, RunEnd.DONE, ran_s)
        elif row.how == "failed":
            self._count_failure(run, now)
            self._orders.finish(run, RunEnd.FAILED, ran_s)
        elif row.how in _LOST_RUN_REASONS:
            run.loss = LossCause.LEASE_LAPSED
            self._orders.finish(run, RunEnd.LOST, ran_s)
        else:
            self._orders.finish(run, run.end, ran_s)

    def _report_earlier_failure(self, row: EndedRow) -> None:
        """Report a failed run that a previous process of the agent ordered.

        That process may not have reported it. The entry that requested the
        run counts it as an attempt at the task. This agent acknowledges the
        ended run to the worker, which then forgets it, so nobody else
        reports it.
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
        """Process the progress of a run, and stop it if it has stalled.

        A run that this agent did not order is stopped as well.
        """
        run = self._orders.find(task, number)
        if run is None:
            self._withdraw_unknown(task, number, now)
            return
        run.mark_started(now)
        run.update_pace(percent, now)
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
        if run.phase is RunPhase.RUNNING and run.has_stalled(now):
            self._count_failure(run, now)
            self._orders.stop(run, RunEnd.STALLED)

    def _withdraw_unknown(self, task: str, number: int, now: float) -> None:
        """Stop a run that this agent did not order.

        A listing follows each stop, and may still show the run, so the order
        is repeated only after a while.
        """
        if now < self._unknown_runs.get((task, number), 0.0):
            return
        self._unknown_runs[task, number] = now + UNKNOWN_RUN_RETRY_S
        self._log("unknown-run", task=task, run=number)
        self._effects.append(WithdrawRun(0, task, number))

    def _learn_slowness(self, run: Run, total_s: float, now: float) -> None:
        """Use the time of a run as a sample of the worker's slowness.

        Each run gives one sample, from its progress or from its end.

        :param total_s: seconds that the whole run takes.
        """
        if not run.sampled and run.expected_s > 0:
            run.sampled = True
            self._slowness.observe(run.job, total_s / run.expected_s, now)

    def _count_failure(self, run: Run, now: float) -> None:
        if self._failure_guard.failed(run.job, now):
            self._log(
                "worker-suspended",
                until=round(self._failure_guard.suspended_until, 2),
            )

    def is_due(self, order: PlaceOrder, now: float) -> bool:
        """Whether an order to start a run may still be sent.

        The caller asks right before it sends the order, and reports an order
        that it does not send as ``OrderResult.EXPIRED``.
        """
        return self._orders.is_due(order, now)

    def order_answered(
        self, key: int, result: OrderResult, now: float
    ) -> None:
        """Process the worker's answer to the order to start a run.

        An order without an answer may still be executed.

        :param key: number of the run at this agent.
        """
        run = self._orders.get(key)
        if result is not OrderResult.STARTED or not self.accepting(now):
            self._turn_needed = True
        if result not in UNANSWERED:
            self._contact.answered(now)
        if run is not None:
            self._orders.answered(run, result, self.accepting(now), now)

    def stop_answered(self, key: int, now: float) -> None:
        """Process the worker's answer to the order to stop a run.

        A run that was in progress stops soon and is then listed as ended. A
        run that had not started is refused by the worker from now on; the
        next run listing, which does not contain it, confirms that.

        :param key: number of the run at this agent.
        """
        self._contact.answered(now)
        self._orders.withdrawn(key, now)
        self._turn_needed = True

    def token_raised(self) -> None:
        """Process that all further calls have a higher fencing token.

        The worker refuses orders with a lower one from the next call on.
        """
        self._orders.settle()

    # -- sessions -----------------------------------------------------------

    def attach(self, link: int, msg: Attach, now: float) -> None:
        """Open or resume the session of an entry on a connection.

        A new incarnation of the entry does not know the runs of the previous
        one, which are stopped.
        """
        session = self._sessions.close_replaced(msg)
        if session is not None:
            self._stop_session_runs(session, "entry-restarted")
        if msg.entry not in self._sessions:
            self._log("session-opened", entry=msg.entry, build=msg.build)
        # First, as the entry may order runs once it is attached.
        if Capability.RELAYS_CANCELS in msg.capabilities:
            for job in self._cancels.pending_for(msg.entry, now):
                self._effects.append(SendToEntry(link, CancelJob(job)))
        if not self._sessions.attach(link, msg, now):
            return
        self._statuses.session_changed()
        self._orders.capacity.close_offer(msg.entry)
        for failure in self._unreported_failures:
            self._effects.append(SendToEntry(link, failure))

    def _pass_on(
        self, message: CancelJob | JobCancelled, entries: Container[str]
    ) -> None:
        """Send a message to those of some entries that understand it."""
        for session in self._sessions.connected():
            relays = Capability.RELAYS_CANCELS in session.capabilities
            if relays and session.entry in entries:
                self._send(session, message)

    def link_closed(self, link: int) -> None:
        """Process the end of a connection.

        The runs of its session go on, and the entry may resume the session on
        another connection before it expires.
        """
        session = self._sessions.link_closed(link)
        if session is not None:
            self._orders.capacity.close_offer(session.entry)

    def handle(self, link: int, msg: EntryMessage, now: float) -> None:
        """Process a message of an entry.

        Messages on a connection without a session are ignored.
        """
        session = self._sessions.by_link(link)
        if session is None:
            return
        if isinstance(msg, EntryHeartbeat):
            session.receive_heartbeat(msg, now)
            self.evacuations.merge(msg.evacuations, now)
            return
        self._turn_needed = True
        match msg:
            case StartRun():
                session.last_dispatch = msg.dispatch
                self._statuses.session_changed()
                if not msg.same_payload:
                    session.last_payload = msg.payload
                self._start(session, msg, now)
            case StopRun():
                self._stop_requested(session, msg, now)
            case Demand():
                session.demand = msg if msg.cpu else None
                session.start_by = now + msg.slack_s
                self._orders.capacity.close_offer(session.entry)
            case CancelJob():
                if self._cancels.requested(msg.job, session.entry, now):
                    others = {s.entry for s in self._sessions.connected()}
                    self._pass_on(msg, others - {session.entry})
            case JobCancelled():
                self._pass_on(msg, self._cancels.confirmed(msg.job))
            case Attach():
                pass

    def _stop_requested(
        self, session: Session, msg: StopRun, now: float
    ) -> None:
        """Stop a run that its entry has no use for; it may have ended."""
        run = session.runs.get(msg.dispatch)
        if run is None:
            return
        run.unwanted_since = min(
            run.unwanted_since, session.last_confirmed_at, now
        )
        self._log("stop-received", task=run.task, run=run.run)
        if not self._orders.drop_unsent(run):
            self._orders.stop(run, RunEnd.STOPPED)

    def _start(self, session: Session, msg: StartRun, now: float) -> None:
        """Order a run from the worker, or report why it cannot start."""
        need = Capacity(msg.cpu, msg.memory_mb, msg.gpu)
        run = Run(
            0,
            session,
            msg.dispatch,
            msg.task,
            msg.run,
            session.last_payload,
            need,
            msg.expected_s,
            now,
            start_by=now + msg.start_within_ms / 1000,
            useful_by=now + msg.useful_within_ms / 1000,
            suspect=msg.suspect,
            slowness=self._slowness.factor(now),
        )
        if self.worker is not None:
            run.address = self.worker.address
        session_valid = now <= session.expires_at
        order_valid = not msg.echo or now <= msg.echo + ORDER_TTL_S
        if (
            not session_valid
            or not order_valid
            or not self.accepting(now)
            or not self._has_label(msg.required_label)
            or self._orders.has_task(run.task)
            or any(task == run.task for task, _ in self._unknown_runs)
        ):
            self._report_end(run, RunEnd.UNAVAILABLE, 0.0)
            return
        fits = self._orders.capacity.fits(need, session.entry, now)
        self._orders.capacity.close_offer(session.entry)
        if not fits or self._is_barred_by_trial(run):
            self._report_end(run, RunEnd.NO_ROOM, 0.0)
            return
        self.counts["ordered"] += 1
        self._orders.start(run, now)

    def _has_label(self, label: str) -> bool:
        """Whether the worker has a label that a task requires, if any.

        Not between the end of a connection to it, or a heartbeat that claims
        so, and its next run listing: it may have started again as another
        kind.
        """
        if not label:
            return True
        worker = self.worker
        if worker is None or self._contact.may_have_restarted:
            return False
        return not self.has_pending_claim and label in worker.labels

    def _is_barred_by_trial(self, run: Run) -> bool:
        """Whether a task under suspicion would run beside that of another job.

        If the worker crashed then, both would be given up for it.
        """
        return run.suspect and self._orders.trial_job not in ("", run.job)

    def accepting(self, now: float) -> bool:
        """Whether the agent accepts new runs for its worker now.

        It does not while the worker is unknown, draining, suspended, in an
        evacuated zone or does not answer, while the agent stops or has no
        fencing token, or while the worker may run something that this agent
        did not order, or has given up. A worker that was suspended gets one
        run at a time until one succeeds.
        """
        worker = self.worker
        if worker is None or worker.draining or not self._reconciled:
            return False
        if not self._orders.settled:
            return False
        if self.stopping or not self.has_token:
            return False
        if self._failure_guard.is_suspended(now):
            return False
        if not self.evacuations.allow_runs(worker.zone):
            return False
        if self._failure_guard.on_probation and self._orders:
            return False
        return self._contact.is_responsive(now)

    # -- ended runs ---------------------------------------------------------

    def _stop_session_runs(self, session: Session, reason: str) -> None:
        open_runs = [
            r
            for r in session.runs.values()
            if r.phase is not RunPhase.STOPPING
        ]
        if open_runs:
            self._log(reason, entry=session.entry, runs=len(open_runs))
        for run in open_runs:
            self._orders.stop(run, RunEnd.STOPPED)

    def _report_end(self, run: Run, end: RunEnd, ran_s: float) -> None:
        """Report an ended run to its entry, and count and log it."""
        session = run.session
        self.counts[end.value] += 1
        cause = run.loss if end is RunEnd.LOST else None
        if cause is not None:
            self.counts[f"lost-{cause.value}"] += 1
        self._statuses.session_changed()
        self._send(session, session.add_ended(run.dispatch, end, ran_s))
        self._log(
            "run-ended",
            task=run.task,
            run=run.run,
            entry=session.entry,
            how=end.value,
            cause=cause.value if cause is not None else "",
            ran_ms=round(ran_s * 1000),
            percent=run.percent,
        )

    # -- time ---------------------------------------------------------------

    def needs_turn(self, now: float) -> bool:
        """Whether a turn is due after messages or the answer to an order.

        Heartbeats and confirmed starts change no decision by themselves.
        """
        if self._turn_needed or self._effects:
            return True
        deadline = self.next_deadline()
        return deadline is not None and now >= deadline

    def turn(self, now: float) -> list[AgentEffect]:
        """Make the decisions that are due and return their effects."""
        self._turn_needed = False
        self._adopt_claim_if_silent(now)
        self._expire_sessions(now)
        self._expire_lease(now)
        self._orders.finish_abandoned(now)
        runs = self._orders.all()
        if self._notices.review(self.worker, runs, self._slowness, now):
            self._orders.capacity.close_offers()
        else:
            self._stragglers.review(runs, self._slowness, now)
        if self._has_waiting_demand():
            self._offer_free_capacity(now)
        self._send_status(now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_PERIOD_S
            for session in self._sessions.connected():
                self._send_heartbeat(session, now)
        effects = self._effects.copy()
        self._effects.clear()
        return effects

    def next_deadline(self) -> float | None:
        """Return when the next turn is due at the latest."""
        deadlines = (
            self._next_heartbeat,
            self._orders.capacity.next_expiry(),
            self._statuses.due,
        )
        return min(at for at in deadlines if at is not None)

    def _expire_sessions(self, now: float) -> None:
        """Stop the runs of silent entries, and reserve nothing for them."""
        for session in self._sessions.collect_expired(now):
            self._stop_session_runs(session, "session-expired")
            if session.demand is not None:
                self._log("demand-expired", entry=session.entry)
                session.demand = None
                self._orders.capacity.close_offer(session.entry)

    def _expire_lease(self, now: float) -> None:
        """Count all runs as lost once the lease of a silent worker ended."""
        if not self._orders or not self._contact.lease_has_ended(now):
            return
        cause = (
            LossCause.WORKER_REFUSES
            if self._contact.refuses
            else LossCause.WORKER_SILENT
        )
        self._report_silence(now)
        runs = len(self._orders)
        unanswered = self._orders.finish_lapsed(cause)
        self._log(
            "worker-silent",
            runs=runs,
            unanswered=unanswered,
            cause=cause.value,
        )

    def _report_silence(self, now: float) -> None:
        """Report the loss of a worker whose lease has ended without an answer.

        One that is about to leave may have done so.
        """
        refuses = self._contact.refuses
        state = LossState.CRASHED if refuses else LossState.SILENT
        self._report_loss_of_worker(state, now)

    def _report_loss_of_worker(self, state: LossState, now: float) -> None:
        if self.worker is None or self.worker.draining:
            return
        runs = self._orders.all()
        identity = _identity(self.worker)
        self._report_loss(self._losses.lost(identity, state, runs, now), now)

    def _report_loss(self, loss: WorkerLoss | None, now: float) -> None:
        """Send the news of a lost worker to all entries.

        They get it before the ends of its runs, which they decide by it.
        """
        if loss is None:
            return
        self._log(
            "worker-loss",
            incarnation=loss.incarnation,
            state=loss.state.value,
            tasks=len(loss.tasks),
            unconfirmed=len(loss.unconfirmed),
        )
        for session in self._sessions.connected():
            self._send_heartbeat(session, now)

    def _send_heartbeat(self, session: Session, now: float) -> None:
        evacuations = self.evacuations.news_for(session)
        losses = self._losses.news_for(session)
        self._send(session, AgentHeartbeat(now, evacuations, losses))

    def _offer_free_capacity(self, now: float) -> None:
        """Reserve free capacity for the entries with the most urgent tasks.

        An entry gets what its task needs if as much again is left, else all
        that is free.
        """
        if not self.accepting(now):
            return
        for session in by_rank(self._sessions.connected()):
            if self._orders.capacity.has_offer(session.entry):
                continue
            free = self._orders.capacity.free_cpu(now)
            need = session.demand.cpu if session.demand else 0
            if need > free:
                return
            cpu = need if free >= 2 * need else free
            self._orders.capacity.offer(session.entry, cpu, now)
            self._send(session, CapacityOffer(cpu))

    def _has_waiting_demand(self) -> bool:
        """Whether a connected entry has a task waiting for this worker.

        An entry then uses free capacity only after a capacity offer, so that
        entries do not race for it.
        """
        for session in self._sessions.connected():
            if session.demand is not None:
                return True
        return False

    def _send_status(self, now: float) -> None:
        """Send the status to each entry for which it is due."""
        for session, status in self._statuses.select(
            self._status(now),
            self._sessions.connected(),
            self._next_heartbeat,
            now,
        ):
            self._send(session, status)

    def _status(self, now: float) -> WorkerStatus:
        worker = self.worker
        if worker is None:
            return WorkerStatus("", "", "", (), False, 0, 0, 0, 0, 1.0, 0)
        free_cpu = (
            0
            if self._has_waiting_demand()
            else self._orders.capacity.free_cpu(now)
        )
        return WorkerStatus(
            worker.worker,
            worker.service,
            worker.zone,
            worker.labels,
            self.accepting(now),
            worker.capacity.cpu,
            free_cpu,
            self._orders.capacity.free_memory,
            self._orders.capacity.free_gpu,
            round(self._slowness.factor(now), 2),
            0,
            self._orders.capacity.spare_cpu,
            self._orders.trial_job,
            worker.born_ms,
        )

    def drained(self) -> bool:
        """Whether no run is left on the worker."""
        return not self._orders

    def needs_withdrawal(self, key: int) -> bool:
        """Whether an order to stop a run is to be repeated.

        :param key: number of the run at this agent.
        """
        return self._orders.needs_withdrawal(key)

    @property
    def reconciled(self) -> bool:
        """Whether all runs on the worker are known to be of this agent.

        True once a run listing has shown only such runs. A previous process
        of the agent may have left others, which are stopped first.
        """
        return self._reconciled

    def state(self, now: float) -> dict[str, float]:
        """Return the state metrics of the agent, by kind."""
        return {
            "runs": len(self._orders),
            "sessions": len(self._sessions),
            "worker_known": float(self.worker is not None),
            "worker_accepting": float(self.accepting(now)),
            "worker_answer_age_s": now - self._contact.answered_at,
            "worker_slowness": self._slowness.factor(now),
            "free_cpu": self._orders.capacity.free_cpu(now),
            **count_builds(s.build for s in self._sessions.connected()),
        }

    # -- helpers ------------------------------------------------------------

    def _send(self, session: Session, message: AgentMessage) -> None:
        if session.link is not None:
            self._effects.append(SendToEntry(session.link, message))

    def _log(self, action: str, **fields: Any) -> None:
        self.counts[action] += 1
        self._effects.append(AgentEvent(action, fields))


def _identity(report: WorkerReport) -> str:
    return incarnation_of(report.worker, report.born_ms)
