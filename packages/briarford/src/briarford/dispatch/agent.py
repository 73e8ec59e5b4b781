"""The core of an agent: its slots, its sessions, its calls."""

from __future__ import annotations

import math
import random
from functools import singledispatchmethod

from briarford.dispatch.agent_state import (
    BACKEND,
    GRANT,
    HEARTBEAT,
    RECORD,
    RECORD_GRACE_S,
    REDIAL,
    SILENCE,
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
    """Takes one message at a time; a turn grants slots and builds batches.

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
        self._calls: dict[TaskRef, str] = {}
        self._started: dict[TaskRef, float] = {}
        self._announced_until = 0.0
        self._last_session = 0
        self._dirty: dict[str, None] = {}
        self._timers: Timers[AgentTimer] = Timers()
        self._effects: list[AgentEffect] = []
        self._stopped = False

    # Messages in.

    @singledispatchmethod
    def receive(self, message: AgentMessage, now: float) -> None:
        """Take one message.

        :param message: any of :data:`AgentMessage`.
        :param now: Unix time in seconds.
        """
        raise TypeError(f"no handler for {type(message).__name__}")

    @receive.register
    def _(self, message: BackendAnnounced, now: float) -> None:
        self._timers.set(AgentTimer(BACKEND), message.expires_at)
        self._announced_until = message.expires_at
        if message.worker == self.worker and not self.leaving:
            return
        self.worker = message.worker
        self._take_work("announced")

    @receive.register
    def _(self, message: BackendLeft, now: float) -> None:
        self._timers.clear(AgentTimer(BACKEND))
        self._announced_until = now
        self._leave(message.reason)

    @receive.register
    def _(self, message: DrainChanged, now: float) -> None:
        if message.drained == self.drained:
            return
        self.drained = message.drained
        if self.drained:
            self._leave("drained by an operator")
        elif self._announced_until > now:
            self._take_work("no longer drained")

    @receive.register
    def _(self, message: EntriesChanged, now: float) -> None:
        wanted = {e.address: e for e in message.entries}
        for address, link in self._links.items():
            link.wanted = address in wanted
        for address, entry in wanted.items():
            if address not in self._links:
                self._links[address] = EntryLink(entry)
                self._dial(self._links[address], now)

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
            self._lose(link, now)
            return
        self._arm(link, SILENCE, now + self._cfg.silence_s)
        self._take_batch(link, message.batch, now)

    @receive.register
    def _(self, message: EntryLost, now: float) -> None:
        link = self._links.get(message.entry)
        if link is not None and message.session == link.session:
            self._lose(link, now)

    @receive.register
    def _(self, message: CallEnded, now: float) -> None:
        ref = message.result.ref
        address = self._calls.pop(ref, None)
        if address is None:
            return
        self._granter.release_slot(address)
        if not message.reached:
            self._wait_for_announcement(now)
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
        self._leave("the agent is stopping")

    @receive.register
    def _(self, message: Tick, now: float) -> None:
        """Nothing to take in: :meth:`turn` looks at the deadlines."""

    # A turn.

    def turn(self, now: float) -> list[AgentEffect]:
        """Handle due deadlines, grant slots, build the batches to send.

        :param now: Unix time in seconds.
        """
        for timer in self._timers.due(now):
            self._expire(timer, now)
        for grant in self._granter.turn(now):
            link = self._links[grant.entry]
            link.outbox.credits += grant.credits
            link.outbox.recall += grant.recall
            self._mark(link)
        self._arm_grant(now)
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

    # Batches of an entry.

    def _take_batch(
        self, link: EntryLink, batch: EntryBatch, now: float
    ) -> None:
        if batch.welcome is not None:
            self._welcome(link, batch.welcome, now)
        if not link.welcomed:
            return
        address = link.entry.address
        link.heard = batch.heard
        self._granter.set_demand(address, batch.demand)
        if batch.returned:
            self._granter.reclaim_credits(address, batch.returned)
        for ref in batch.acks:
            link.results.pop(ref, None)
            self._started.pop(ref, None)
        for start in batch.starts:
            self._start(link, start, now)
        for ref in batch.cancels:
            self._cancel(link, ref)
        if batch.entries:
            self._effects.append(EntriesChanged(batch.entries))
        if batch.preset:
            self._effects.append(PresetAdopted(0, batch.preset))

    def _welcome(self, link: EntryLink, welcome: Welcome, now: float) -> None:
        if link.incarnation != welcome.incarnation:
            link.running.clear()
            link.results.clear()
            link.clock_lead_s = math.inf
        # A late welcome makes the own clock look ahead by its delay.
        lead_s = now - welcome.sent_at if welcome.sent_at else 0.0
        link.clock_lead_s = min(link.clock_lead_s, lead_s)
        link.incarnation = welcome.incarnation
        link.welcomed = True
        link.failures = 0
        self._granter.attach(link.entry.address)
        self._arm(link, HEARTBEAT, now + self._cfg.heartbeat_s)
        for ref in welcome.outstanding:
            self._answer_for(link, ref)
        awaited = set(welcome.outstanding)
        for ref in [r for r in link.results if r not in awaited]:
            del link.results[ref]
            self._started.pop(ref, None)
        link.outbox.results += link.results.values()
        if link.outbox.reports or link.outbox.results:
            self._mark(link)

    def _answer_for(self, link: EntryLink, ref: TaskRef) -> None:
        """Account for an attempt that the entry counts as outstanding."""
        if ref in link.results or ref in link.running:
            return
        if ref in self._started:
            link.results[ref] = TaskResult(
                ref, TaskStatus.LOST, detail="its result is no longer kept"
            )
            return
        link.outbox.reports.append(TaskReport(ref, TaskStatus.NOT_STARTED))

    def _start(self, link: EntryLink, start: StartTask, now: float) -> None:
        ref = start.ref
        if ref in link.running or ref in link.results:
            return
        if ref in self._started:
            self._granter.reclaim_credits(link.entry.address, 1)
            detail = "the attempt was started before"
            self._report(link, TaskResult(ref, TaskStatus.LOST, detail=detail))
            return
        deadline = start.deadline + link.clock_lead_s
        refusal = self._refusal(deadline, now)
        if refusal:
            self._granter.reclaim_credits(link.entry.address, 1)
        elif not self._granter.try_start(link.entry.address):
            refusal = "the start had no credit"
        if refusal:
            self._report(
                link,
                TaskResult(ref, TaskStatus.NOT_STARTED, detail=refusal),
            )
            return
        link.running.add(ref)
        self._calls[ref] = link.entry.address
        self._remember(ref, deadline)
        self._effects.append(CallBackend(ref, start.payload, deadline))

    def _refusal(self, deadline: float, now: float) -> str:
        if self.leaving:
            return "the worker takes no new work"
        if self._announced_until <= now:
            return "the announcement of the backend server has lapsed"
        if deadline <= now:
            return "the deadline had passed on arrival"
        return ""

    def _remember(self, ref: TaskRef, deadline: float) -> None:
        """Keep a record of a start until no entry can ask for it."""
        self._started[ref] = deadline + RECORD_GRACE_S
        if AgentTimer(RECORD) not in self._timers:
            self._timers.set(AgentTimer(RECORD), self._started[ref])

    def _forget_starts(self, now: float) -> None:
        self._started = {
            ref: until
            for ref, until in self._started.items()
            if until > now or ref in self._calls
        }
        if self._started:
            earliest = min(self._started.values())
            next_at = max(earliest, now + RECORD_GRACE_S)
            self._timers.set(AgentTimer(RECORD), next_at)

    def _cancel(self, link: EntryLink, ref: TaskRef) -> None:
        if ref in link.running:
            self._effects.append(CancelCall(ref))

    def _report(self, link: EntryLink, result: TaskResult) -> None:
        link.results[result.ref] = result
        if link.welcomed:
            link.outbox.results.append(result)
            self._mark(link)

    # Sessions.

    def _dial(self, link: EntryLink, now: float) -> None:
        self._last_session += 1
        link.session = self._last_session
        link.open = True
        link.welcomed = False
        link.sequence = Sequence()
        link.left_in = 0
        link.heard = 0
        link.outbox = AgentOutbox(
            hello=Hello(self.name, self.incarnation, link.session, self.zone),
            worker=self.worker,
        )
        self._effects.append(OpenSession(link.entry, link.session))
        self._arm(link, SILENCE, now + self._cfg.silence_s)
        self._mark(link)

    def _lose(self, link: EntryLink, now: float) -> None:
        """End the session and dial again, at once the first time."""
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
        if self._finished(link, now):
            del self._links[link.entry.address]
            self._dirty.pop(link.entry.address, None)
            return
        self._arm(link, REDIAL, now + self._redial_pause(link.failures))

    def _finished(self, link: EntryLink, now: float) -> bool:
        """Whether an entry that has left needs nothing more from here."""
        if link.wanted or link.running:
            return False
        # Starts may have been on their way: one more session answers them.
        if link.failures == 1:
            return False
        waited = now - link.lost_at
        return not link.results or waited > self._cfg.keep_results_s

    def _redial_pause(self, failures: int) -> float:
        if failures <= 1:
            return 0.0
        longest = self._cfg.redial_min_s * 2.0 ** min(failures - 2, 16)
        return self._rng.uniform(0.5, 1.0) * min(
            longest, self._cfg.redial_max_s
        )

    def _mark(self, link: EntryLink) -> None:
        link.outbox.urgent = True
        self._dirty[link.entry.address] = None

    def _flush(self, address: str, now: float) -> None:
        link = self._links.get(address)
        if link is None or not link.outbox.urgent:
            return
        if not link.welcomed and link.outbox.hello is None:
            return
        batch = link.outbox.build(
            link.sequence.next(), self.leaving, self.preset_version
        )
        link.outbox = AgentOutbox()
        if self.leaving and not link.left_in:
            link.left_in = batch.seq
        self._arm(link, HEARTBEAT, now + self._cfg.heartbeat_s)
        self._effects.append(SendToEntry(address, link.session, batch))

    # Leaving.

    def _take_work(self, reason: str) -> None:
        if self.worker is None or self.stopping or self.drained:
            return
        self.leaving = False
        self._granter.set_slots(self.worker.slots)
        for link in self._links.values():
            link.left_in = 0
            link.outbox.worker = self.worker
            self._mark(link)
        self._decide("backend-announced", reason)

    def _leave(self, reason: str) -> None:
        if self.leaving:
            return
        self.leaving = True
        self._granter.set_slots(0)
        for link in self._links.values():
            self._mark(link)
        self._decide("backend-left", reason)

    def _wait_for_announcement(self, now: float) -> None:
        """Take no work until the backend server announces itself again."""
        self._announced_until = now
        self._leave("the backend server takes no connection")

    def _check_stopped(self, now: float) -> None:
        """Stop once no start can arrive and no result is to be delivered."""
        if not self.stopping or self._stopped or self._calls:
            return
        links = self._links.values()
        if any(_may_start(k) or self._undelivered(k, now) for k in links):
            return
        self._stop()

    def _undelivered(self, link: EntryLink, now: float) -> bool:
        if not link.results:
            return False
        return link.welcomed or now - link.lost_at < self._cfg.deliver_s

    def _stop(self) -> None:
        self._stopped = True
        self._effects.append(AgentStopped())

    # Deadlines.

    def _arm(self, link: EntryLink, kind: str, deadline: float) -> None:
        self._timers.set(AgentTimer(kind, link.entry.address), deadline)

    def _arm_grant(self, now: float) -> None:
        grant_at = self._granter.next_turn_at()
        if grant_at is not None and grant_at > now:
            self._timers.set(AgentTimer(GRANT), grant_at)

    def _expire(self, timer: AgentTimer, now: float) -> None:
        if timer.kind == RECORD:
            self._forget_starts(now)
            return
        if timer.kind == BACKEND:
            self._leave("its announcement lapsed")
            return
        if timer.kind == STOP:
            if not self._stopped:
                self._stop()
            return
        link = self._links.get(timer.address)
        if link is None:
            return
        if timer.kind == HEARTBEAT:
            self._mark(link)
        elif timer.kind == SILENCE:
            self._lose(link, now)
        elif timer.kind == REDIAL:
            self._dial(link, now)

    def _decide(
        self, action: str, reason: str, **fields: str | int | float
    ) -> None:
        fields["worker"] = self.name
        self._effects.append(Decision(action, reason, fields))


def _may_start(link: EntryLink) -> bool:
    """Whether the entry may have sent starts before it heard of the leaving.

    Its batches come in order, so none follows one that has heard of it.
    """
    if not link.welcomed:
        return False
    return not link.left_in or link.heard < link.left_in
