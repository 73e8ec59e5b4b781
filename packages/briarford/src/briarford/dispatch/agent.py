"""The agent's state machine, which runs tasks on one backend server.

An agent divides the slots of its worker over the entries as credits. An entry
uses a credit to start a task; the agent calls the backend server for it, sends
the result, and keeps it until the entry acknowledges it. When a session was
lost, the ``Welcome`` of the next one, the entry's answer to the agent's
``Hello``, lists the attempts (one for each start that was sent) whose results
it awaits. The agent then sends the results again and reports those attempts
that did not start.
"""

from __future__ import annotations

import math
import random
from functools import singledispatchmethod

from briarford.dispatch.agent_state import (
    ANNOUNCEMENT,
    GRANT,
    HEARTBEAT,
    REDIAL,
    SILENCE,
    START_RECORD,
    START_RECORD_GRACE_S,
    STOP,
    AgentConfig,
    AgentTimer,
    EntryLink,
)
from briarford.dispatch.messages import (
    AgentStopped,
    BackendAnnounced,
    BackendLeft,
    CallBackend,
    CallEnded,
    CancelCall,
    Decision,
    DrainChanged,
    EntriesChanged,
    EntryBatchArrived,
    EntryLost,
    OpenSession,
    PresetAdopted,
    SendToEntry,
    StopRequested,
    Tick,
)
from briarford.jobs.messages import TaskRef
from briarford.placement.grants import SlotGranter
from briarford.sessions.messages import (
    EntryBatch,
    Hello,
    StartTask,
    TaskReport,
    TaskResult,
    TaskStatus,
    Welcome,
    WorkerInfo,
)
from briarford.sessions.outbox import AgentOutbox
from briarford.sessions.sequence import Arrival, Sequence
from briarford.timers import Timers

__all__ = ["AgentCore", "AgentEffect", "AgentMessage"]

AgentMessage = (
    BackendAnnounced
    | BackendLeft
    | CallEnded
    | DrainChanged
    | EntriesChanged
    | EntryBatchArrived
    | EntryLost
    | PresetAdopted
    | StopRequested
    | Tick
)
AgentEffect = (
    AgentStopped
    | CallBackend
    | CancelCall
    | Decision
    | EntriesChanged
    | OpenSession
    | PresetAdopted
    | SendToEntry
)


class AgentCore:
    """Handles one message at a time and collects effects until a turn.

    A daemon passes events to :meth:`receive`, then calls :meth:`turn`, which
    grants free slots to entries and returns the effects to perform. A batch
    to an entry holds all that was collected for it in that turn.

    :param name: the agent's name, which is its worker's name.
    :param incarnation: differs each time the agent's process starts.
    :param zone: its availability zone.
    :param rng: source of random choices.
    :param cfg: settings.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        zone: str,
        rng: random.Random,
        cfg: AgentConfig | None = None,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.zone = zone
        self.worker: WorkerInfo | None = None
        self.leaving = True
        self.stopping = False
        self.drained = False
        self.preset_version = 0
        self._cfg = cfg or AgentConfig()
        self._rng = rng
        self._granter = SlotGranter()
        self._links: dict[str, EntryLink] = {}
        # Running calls, and the address of the entry that started each.
        self._calls: dict[TaskRef, str] = {}
        # Attempts that were started, and Unix seconds until which each must
        # be remembered.
        self._start_records: dict[TaskRef, float] = {}
        self._announced_until = 0.0
        self._last_session = 0
        self._dirty: dict[str, None] = {}
        self._timers: Timers[AgentTimer] = Timers()
        self._effects: list[AgentEffect] = []
        self._stopped = False

    # Messages to the core.

    @singledispatchmethod
    def receive(self, message: AgentMessage, now: float) -> None:
        """Handle one message; :meth:`turn` returns the effects.

        :param message: any of :data:`AgentMessage`.
        :param now: Unix time in seconds.
        """
        raise TypeError(f"no handler for {type(message).__name__}")

    @receive.register
    def _(self, message: BackendAnnounced, now: float) -> None:
        self._timers.set(AgentTimer(ANNOUNCEMENT), message.expires_at)
        self._announced_until = message.expires_at
        if message.worker == self.worker and not self.leaving:
            return
        self.worker = message.worker
        self._accept_work("announced")

    @receive.register
    def _(self, message: BackendLeft, now: float) -> None:
        self._timers.clear(AgentTimer(ANNOUNCEMENT))
        self._announced_until = now
        self._stop_accepting_work(message.reason)

    @receive.register
    def _(self, message: DrainChanged, now: float) -> None:
        if message.drained == self.drained:
            return
        self.drained = message.drained
        if self.drained:
            self._stop_accepting_work("drained by an operator")
        elif self._announced_until > now:
            self._accept_work("no longer drained")

    @receive.register
    def _(self, message: EntriesChanged, now: float) -> None:
        listed = {e.address: e for e in message.entries}
        for address, link in self._links.items():
            link.listed = address in listed
        for address, entry in listed.items():
            if address not in self._links:
                self._links[address] = EntryLink(entry)
                self._open_session(self._links[address], now)

    @receive.register
    def _(self, message: EntryBatchArrived, now: float) -> None:
        link = self._links.get(message.entry)
        if link is None or message.session != link.session:
            return
        if not link.open:
            return
        arrival = link.sequence.check(message.batch.seq)
        if arrival is Arrival.REPEATED:
            return
        if arrival is Arrival.GAP:
            self._end_session(link, now)
            return
        self._set_timer(link, SILENCE, now + self._cfg.silence_s)
        self._handle_batch(link, message.batch, now)

    @receive.register
    def _(self, message: EntryLost, now: float) -> None:
        link = self._links.get(message.entry)
        if link is not None and message.session == link.session:
            self._end_session(link, now)

    @receive.register
    def _(self, message: CallEnded, now: float) -> None:
        ref = message.result.ref
        address = self._calls.pop(ref, None)
        if address is None:
            return
        self._granter.release_slot(address)
        if not message.reached:
            self._await_announcement(now)
        link = self._links.get(address)
        if link is None or ref not in link.running:
            return
        link.running.discard(ref)
        self._report(link, message.result)

    @receive.register
    def _(self, message: PresetAdopted, now: float) -> None:
        if message.version > self.preset_version:
            self.preset_version = message.version

    @receive.register
    def _(self, message: StopRequested, now: float) -> None:
        self.stopping = True
        self._timers.set(AgentTimer(STOP), message.deadline)
        self._stop_accepting_work("the agent is stopping")

    @receive.register
    def _(self, message: Tick, now: float) -> None:
        """Change nothing: :meth:`turn` handles the expired timers."""

    # Turns.

    def turn(self, now: float) -> list[AgentEffect]:
        """Handle expired timers, grant slots and build the batches to send.

        :param now: Unix time in seconds.
        """
        for timer in self._timers.pop_due(now):
            self._handle_timer(timer, now)
        for grant in self._granter.turn(now):
            link = self._links[grant.entry]
            link.outbox.credits += grant.credits
            link.outbox.recall += grant.recall
            self._mark_urgent(link)
        self._set_grant_timer(now)
        for address in self._dirty:
            self._flush(address, now)
        self._dirty.clear()
        self._check_stopped(now)
        effects = self._effects
        self._effects = []
        return effects

    def next_deadline(self) -> float | None:
        """Return when :meth:`turn` must be called at the latest."""
        return self._timers.next_deadline()

    @property
    def running(self) -> int:
        """How many calls to the backend server are in flight."""
        return len(self._calls)

    # Batches from an entry.

    def _handle_batch(
        self, link: EntryLink, batch: EntryBatch, now: float
    ) -> None:
        if batch.welcome is not None:
            self._handle_welcome(link, batch.welcome, now)
        if not link.welcomed:
            return
        address = link.entry.address
        link.entry_received_seq = batch.received_seq
        self._granter.set_demand(address, batch.demand)
        if batch.returned:
            self._granter.reclaim_credits(address, batch.returned)
        for ref in batch.acks:
            link.results.pop(ref, None)
            self._start_records.pop(ref, None)
        for start in batch.starts:
            self._handle_start(link, start, now)
        for ref in batch.cancels:
            self._handle_cancel(link, ref)
        if batch.entries:
            self._effects.append(EntriesChanged(batch.entries))
        if batch.preset:
            self._effects.append(PresetAdopted(0, batch.preset))

    def _handle_welcome(
        self, link: EntryLink, welcome: Welcome, now: float
    ) -> None:
        """Bring the state kept for an entry in line with its welcome.

        The entry awaits the attempts that the welcome lists; results of other
        attempts are dropped. A new incarnation of the entry awaits none, so
        running attempts of the former one yield no result.
        """
        if link.incarnation != welcome.incarnation:
            link.running.clear()
            link.results.clear()
            link.clock_lead_s = math.inf
        # The delay of a welcome makes this clock look ahead by as much, so
        # the smallest difference is the closest to the real one.
        lead_s = now - welcome.sent_at if welcome.sent_at else 0.0
        link.clock_lead_s = min(link.clock_lead_s, lead_s)
        link.incarnation = welcome.incarnation
        link.welcomed = True
        link.failures = 0
        self._granter.attach(link.entry.address)
        self._set_timer(link, HEARTBEAT, now + self._cfg.heartbeat_s)
        for ref in welcome.outstanding:
            self._report_outstanding(link, ref)
        expected_refs = set(welcome.outstanding)
        for ref in [r for r in link.results if r not in expected_refs]:
            del link.results[ref]
            self._start_records.pop(ref, None)
        link.outbox.results += link.results.values()
        if link.outbox.reports or link.outbox.results:
            self._mark_urgent(link)

    def _report_outstanding(self, link: EntryLink, ref: TaskRef) -> None:
        """Report an attempt that the entry awaits and that has no result here.

        A running attempt needs no report. One without a record of its start
        is reported as not started; one that started, but whose result was
        dropped, as lost.
        """
        if ref in link.results or ref in link.running:
            return
        if ref in self._start_records:
            link.results[ref] = TaskResult(
                ref, TaskStatus.LOST, detail="its result is no longer kept"
            )
            return
        link.outbox.reports.append(TaskReport(ref, TaskStatus.NOT_STARTED))

    def _handle_start(
        self, link: EntryLink, start: StartTask, now: float
    ) -> None:
        """Start an attempt, or report why it is not started.

        A start is ignored if the attempt runs or has a result here. If there
        is only a record that it was started before, it is reported as lost.
        """
        ref = start.ref
        if ref in link.running or ref in link.results:
            return
        if ref in self._start_records:
            self._granter.reclaim_credits(link.entry.address, 1)
            detail = "the attempt was started before"
            self._report(link, TaskResult(ref, TaskStatus.LOST, detail=detail))
            return
        deadline = start.deadline + link.clock_lead_s
        rejection = self._rejection_reason(deadline, now)
        if rejection:
            self._granter.reclaim_credits(link.entry.address, 1)
        elif not self._granter.try_start(link.entry.address):
            rejection = "the start had no credit"
        if rejection:
            self._report(
                link,
                TaskResult(ref, TaskStatus.NOT_STARTED, detail=rejection),
            )
            return
        link.running.add(ref)
        self._calls[ref] = link.entry.address
        self._record_start(ref, deadline)
        self._effects.append(CallBackend(ref, start.payload, deadline))

    def _rejection_reason(self, deadline: float, now: float) -> str:
        if self.leaving:
            return "the worker takes no new work"
        if self._announced_until <= now:
            return "the announcement of the backend server has lapsed"
        if deadline <= now:
            return "the deadline had passed on arrival"
        return ""

    def _record_start(self, ref: TaskRef, deadline: float) -> None:
        """Remember a start until no entry can ask about the attempt."""
        self._start_records[ref] = deadline + START_RECORD_GRACE_S
        if AgentTimer(START_RECORD) not in self._timers:
            self._timers.set(
                AgentTimer(START_RECORD), self._start_records[ref]
            )

    def _drop_expired_start_records(self, now: float) -> None:
        """Drop expired start records, except those of calls in flight.

        The timer for the next time is set to the earliest expiry, but at least
        ``START_RECORD_GRACE_S`` ahead, so that records are dropped together.
        """
        self._start_records = {
            ref: until
            for ref, until in self._start_records.items()
            if until > now or ref in self._calls
        }
        if self._start_records:
            earliest = min(self._start_records.values())
            next_at = max(earliest, now + START_RECORD_GRACE_S)
            self._timers.set(AgentTimer(START_RECORD), next_at)

    def _handle_cancel(self, link: EntryLink, ref: TaskRef) -> None:
        if ref in link.running:
            self._effects.append(CancelCall(ref))

    def _report(self, link: EntryLink, result: TaskResult) -> None:
        link.results[result.ref] = result
        if link.welcomed:
            link.outbox.results.append(result)
            self._mark_urgent(link)

    # Sessions.

    def _open_session(self, link: EntryLink, now: float) -> None:
        self._last_session += 1
        link.session = self._last_session
        link.open = True
        link.welcomed = False
        link.sequence = Sequence()
        link.first_leaving_seq = 0
        link.entry_received_seq = 0
        link.outbox = AgentOutbox(
            hello=Hello(self.name, self.incarnation, link.session, self.zone),
            worker=self.worker,
        )
        self._effects.append(OpenSession(link.entry, link.session))
        self._set_timer(link, SILENCE, now + self._cfg.silence_s)
        self._mark_urgent(link)

    def _end_session(self, link: EntryLink, now: float) -> None:
        """End the session and schedule the next, unless none is needed.

        Free the credits that the entry held. The first reconnection is
        immediate, further ones back off.
        """
        if not link.open:
            return
        link.open = False
        if link.welcomed:
            self._granter.detach(link.entry.address)
        link.welcomed = False
        self._timers.clear(AgentTimer(SILENCE, link.entry.address))
        self._timers.clear(AgentTimer(HEARTBEAT, link.entry.address))
        if link.failures == 0:
            link.lost_at = now
        link.failures += 1
        if self._can_remove_link(link, now):
            del self._links[link.entry.address]
            self._dirty.pop(link.entry.address, None)
            return
        self._set_timer(
            link, REDIAL, now + self._redial_delay_s(link.failures)
        )

    def _can_remove_link(self, link: EntryLink, now: float) -> bool:
        """Whether the entry is off the list and needs no further session."""
        if link.listed or link.running:
            return False
        # Starts may have been in flight when the session was lost; one more
        # session lets the agent report them as not started.
        if link.failures == 1:
            return False
        lost_for_s = now - link.lost_at
        return not link.results or lost_for_s > self._cfg.keep_results_s

    def _redial_delay_s(self, failures: int) -> float:
        if failures <= 1:
            return 0.0
        longest = self._cfg.redial_min_s * 2.0 ** min(failures - 2, 16)
        return self._rng.uniform(0.5, 1.0) * min(
            longest, self._cfg.redial_max_s
        )

    def _mark_urgent(self, link: EntryLink) -> None:
        """Send the entry a batch at the end of this turn."""
        link.outbox.urgent = True
        self._dirty[link.entry.address] = None

    def _flush(self, address: str, now: float) -> None:
        """Send what was collected for an entry, if any of it is urgent.

        Until the entry's welcome only the batch with the hello is sent.
        """
        link = self._links.get(address)
        if link is None or not link.outbox.urgent:
            return
        if not link.welcomed and link.outbox.hello is None:
            return
        batch = link.outbox.build(
            link.sequence.next(), self.leaving, self.preset_version
        )
        link.outbox = AgentOutbox()
        if self.leaving and not link.first_leaving_seq:
            link.first_leaving_seq = batch.seq
        self._set_timer(link, HEARTBEAT, now + self._cfg.heartbeat_s)
        self._effects.append(SendToEntry(address, link.session, batch))

    # Whether the worker accepts work.

    def _accept_work(self, reason: str) -> None:
        if self.worker is None or self.stopping or self.drained:
            return
        self.leaving = False
        self._granter.set_slots(self.worker.slots)
        for link in self._links.values():
            link.first_leaving_seq = 0
            link.outbox.worker = self.worker
            self._mark_urgent(link)
        self._log_decision("backend-announced", reason)

    def _stop_accepting_work(self, reason: str) -> None:
        if self.leaving:
            return
        self.leaving = True
        self._granter.set_slots(0)
        for link in self._links.values():
            self._mark_urgent(link)
        self._log_decision("backend-left", reason)

    def _await_announcement(self, now: float) -> None:
        """Accept no work until the backend server announces itself again."""
        self._announced_until = now
        self._stop_accepting_work("the backend server takes no connection")

    def _check_stopped(self, now: float) -> None:
        """Stop if no call runs, no start can arrive, no result is pending."""
        if not self.stopping or self._stopped or self._calls:
            return
        links = self._links.values()
        if any(
            _may_receive_starts(link) or self._is_delivering_results(link, now)
            for link in links
        ):
            return
        self._emit_stopped()

    def _is_delivering_results(self, link: EntryLink, now: float) -> bool:
        if not link.results:
            return False
        return link.welcomed or now - link.lost_at < self._cfg.deliver_s

    def _emit_stopped(self) -> None:
        self._stopped = True
        self._effects.append(AgentStopped())

    # Timers.

    def _set_timer(self, link: EntryLink, kind: str, deadline: float) -> None:
        self._timers.set(AgentTimer(kind, link.entry.address), deadline)

    def _set_grant_timer(self, now: float) -> None:
        grant_at = self._granter.next_turn_at()
        if grant_at is not None and grant_at > now:
            self._timers.set(AgentTimer(GRANT), grant_at)

    def _handle_timer(self, timer: AgentTimer, now: float) -> None:
        if timer.kind == START_RECORD:
            self._drop_expired_start_records(now)
            return
        if timer.kind == ANNOUNCEMENT:
            self._stop_accepting_work("its announcement lapsed")
            return
        if timer.kind == STOP:
            if not self._stopped:
                self._emit_stopped()
            return
        link = self._links.get(timer.address)
        if link is None:
            return
        if timer.kind == HEARTBEAT:
            self._mark_urgent(link)
        elif timer.kind == SILENCE:
            self._end_session(link, now)
        elif timer.kind == REDIAL:
            self._open_session(link, now)

    def _log_decision(
        self, action: str, reason: str, **fields: str | int | float
    ) -> None:
        fields["worker"] = self.name
        self._effects.append(Decision(action, reason, fields))


def _may_receive_starts(link: EntryLink) -> bool:
    """Whether starts from the entry may still arrive in this session.

    The entry sends none after it has received a batch that reports that the
    worker is leaving. Its batches arrive in order, so the one that confirms
    this batch comes after all starts.
    """
    if not link.welcomed:
        return False
    return (
        not link.first_leaving_seq
        or link.entry_received_seq < link.first_leaving_seq
    )
