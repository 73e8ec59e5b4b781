"""The processes of a case: clients, entries, agents, backend servers."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from briarford.dispatch import AgentCore, EntryCore
from briarford.dispatch.messages import (
    AgentAttached,
    AgentBatchArrived,
    AgentLost,
    AgentStopped,
    BackendAnnounced,
    BackendLeft,
    CallBackend,
    CallEnded,
    CancelJob,
    CloseSession,
    EntriesChanged,
    EntryBatchArrived,
    EntryLost,
    JobEnded,
    OpenSession,
    SendToAgent,
    SendToEntry,
    StopRequested,
)
from briarford.homes.ids import Home, Minter
from briarford.jobs import JobSpec, TaskRef, TaskSpec
from briarford.outcomes import Failed, FailureReason, Outcome, Step
from briarford.placement import Placer
from briarford.sessions import EntryAddress, WorkerInfo
from briarford.sessions.messages import TaskResult, TaskStatus

from .world import CoreProcess, Process, Site, Start, World

SERVICE = "lease-desk"
ANNOUNCE_EVERY_S = 1.0
ANNOUNCE_TTL_S = 3.0
CLIENT_PATIENCE_S = 3.0
CLIENT_RETRY_S = 0.5
STOP_WITHIN_S = 15.0
EXIT_GRACE_S = 0.05
REPLACED_AFTER_S = 1.0


def run_task(payload: bytes) -> bytes:
    """Return what a backend server answers."""
    return payload[:-1] + b' done"'


@dataclass
class Stream:
    """One connection from an agent to an entry."""

    world: World
    agent: Agent
    entry: Entry
    session: int
    conn: int
    open_at_agent: bool = True
    open_at_entry: bool = False
    silent_up: bool = False
    silent_down: bool = False
    _last: dict[bool, float] = field(default_factory=dict)

    def send(self, up: bool, deliver: Callable[[], None], batch: Any) -> None:
        """Carry a batch, with the message faults that are due."""
        self._note_step(up, batch)
        kind = self.world.record.messages
        kind["to-entry" if up else "to-agent"] += 1
        faults = self.world.message_faults
        fault = faults.pop(0) if faults else ""
        if fault == "lost":
            return
        delay = {"late": 1.0, "reordered": 0.01}.get(fault, 0.0)
        self._deliver(up, deliver, delay, ordered=fault != "reordered")
        if fault == "repeated":
            self._deliver(up, deliver, 0.002, ordered=True)

    def control(self, up: bool, deliver: Callable[[], None]) -> None:
        """Carry the opening or the end of the connection."""
        self._deliver(up, deliver, 0.0, ordered=True)

    def reset(self) -> None:
        """Break the connection; both ends notice."""
        self.close_agent_end()
        self.close_entry_end()
        self._tell_agent()
        self._tell_entry()

    def close_agent_end(self) -> None:
        if self.open_at_agent:
            self.open_at_agent = False
            self._tell_entry()

    def close_entry_end(self) -> None:
        if self.open_at_entry:
            self.open_at_entry = False
            self._tell_agent()

    def _tell_entry(self) -> None:
        def lost() -> None:
            self.open_at_entry = False
            self.entry.post(AgentLost(self.conn))

        self.control(True, lost)

    def _tell_agent(self) -> None:
        def lost() -> None:
            self.open_at_agent = False
            self.agent.post(EntryLost(self.entry.address, self.session))

        self.control(False, lost)

    def _deliver(
        self, up: bool, run: Callable[[], None], delay: float, ordered: bool
    ) -> None:
        world = self.world
        when = world.now + world.latency() + delay
        if ordered:
            when = max(when, self._last.get(up, 0.0))
            self._last[up] = when
        target: Process = self.entry if up else self.agent
        generation = target.generation

        def arrive() -> None:
            silent = self.silent_up if up else self.silent_down
            if not silent and target.generation == generation:
                target.at(world.now, run)

        world.call_at(when, arrive)

    def _note_step(self, up: bool, batch: Any) -> None:
        if up:
            for result in batch.results:
                self._reach(Step.RESULT_SENT, result.ref)
            denied = [*batch.results, *batch.reports]
            self.world.record.denied += [
                r.ref for r in denied if r.status is TaskStatus.NOT_STARTED
            ]
            return
        for start in batch.starts:
            self._reach(Step.START_SENT, start.ref)

    def _reach(self, step: Step, ref: TaskRef) -> None:
        site = Site(step, ref.job_id, self.entry, self.agent, self)
        self.world.on_step(site)


class Entry(CoreProcess):
    """An entry as the daemon runs it, without sockets."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.address = f"{name}:7400"
        self.lives = 0
        self.streams: dict[int, Stream] = {}
        self.waiters: dict[str, list[Reply]] = {}
        self.stop_requested = False
        self.on_restart()

    def on_restart(self) -> None:
        self.lives += 1
        self.reset_turns()
        incarnation = f"{self.name}-{self.lives}"
        rng = random.Random(self.lives)
        placer = Placer(self.name, "zone", rng)
        self.core = EntryCore(self.name, incarnation, placer, rng)
        self.minter = Minter(self.name, incarnation, incarnation.encode())
        self.streams = {}
        self.waiters = {}
        self.stop_requested = False

    def on_crash(self) -> None:
        for stream in list(self.streams.values()):
            stream.close_entry_end()
        for waiters in list(self.waiters.values()):
            for answer in waiters:
                answer.reset()
        self.waiters = {}

    def stop(self) -> None:
        self.stop_requested = True
        self.post(StopRequested(self.clock + STOP_WITHIN_S))
        self._exit_when_idle()

    def submit(self, spec: JobSpec, answer: Reply) -> None:
        outcome = self._submit(spec)
        self.schedule_turn()
        if outcome is not None:
            answer(outcome)
            return
        self.waiters.setdefault(spec.job_id, []).append(answer)
        self.world.on_step(Site(Step.ADMIT, spec.job_id, self))

    def _submit(self, spec: JobSpec) -> Outcome | None:
        forget_at = 0.0
        if self.core.jobs.get(spec.job_id) is None:
            home = self.minter.check(spec.job_id, self.clock)
            if not isinstance(home, Home):
                return home
            if home.incarnation != self.core.incarnation:
                return Failed(
                    FailureReason.HOME_LOST,
                    "the home was replaced",
                    Step.SUBMIT,
                    self.name,
                )
            forget_at = home.remember_until
        return self.core.submit(spec, self.clock, forget_at)

    def perform(self, effect: Any) -> None:
        if isinstance(effect, SendToAgent):
            self._send(effect)
        elif isinstance(effect, CloseSession):
            stream = self.streams.pop(effect.conn, None)
            if stream is not None:
                stream.close_entry_end()
        elif isinstance(effect, JobEnded):
            for answer in self.waiters.pop(effect.job_id, ()):
                answer(effect.outcome)

    def _turn(self) -> None:
        super()._turn()
        for job_id in self.waiters:
            if sum(self.core.placer.queued_by_service().values()):
                self.world.on_step(Site(Step.QUEUE, job_id, self))

    def _send(self, effect: SendToAgent) -> None:
        stream = self.streams.get(effect.conn)
        if stream is None or not stream.open_at_entry:
            return
        batch = effect.batch

        def arrive() -> None:
            if stream.open_at_agent:
                stream.agent.post(
                    EntryBatchArrived(self.address, stream.session, batch)
                )

        stream.send(False, arrive, batch)

    def _exit_when_idle(self) -> None:
        if not self.core.idle:
            self.after(0.005, self._exit_when_idle)
            return
        self.after(EXIT_GRACE_S, lambda: self.crash(REPLACED_AFTER_S))


class Agent(CoreProcess):
    """An agent as the daemon runs it, without sockets."""

    def __init__(
        self, world: World, name: str, entries: list[Entry], backend: Backend
    ) -> None:
        super().__init__(world, name)
        self.entries = {e.address: e for e in entries}
        self.backend = backend
        backend.agent = self
        self.lives = 0
        self.streams: dict[str, Stream] = {}
        self.calls: set[TaskRef] = set()
        self.on_restart()

    def on_restart(self) -> None:
        self.lives += 1
        self.reset_turns()
        self.core = AgentCore(
            self.name,
            f"{self.name}-{self.lives}",
            "zone",
            random.Random(self.lives),
        )
        self.streams = {}
        self.calls = set()
        known = tuple(EntryAddress("", a) for a in self.entries)
        self.after(0.0, lambda: self.post(EntriesChanged(known)))

    def on_crash(self) -> None:
        for stream in self.streams.values():
            stream.close_agent_end()

    def stop(self) -> None:
        self.post(StopRequested(self.clock + STOP_WITHIN_S))

    def list_entries(self, entries: list[Entry]) -> None:
        known = tuple(EntryAddress(e.name, e.address) for e in entries)
        self.post(EntriesChanged(known))

    def perform(self, effect: Any) -> None:
        if isinstance(effect, SendToEntry):
            self._send(effect)
        elif isinstance(effect, OpenSession):
            self._open(effect)
        elif isinstance(effect, CallBackend):
            self._call(effect)
        elif isinstance(effect, AgentStopped):
            self.crash(REPLACED_AFTER_S)

    def end_call(self, result: TaskResult) -> None:
        """Take the end of a call, once."""
        if result.ref in self.calls:
            self.calls.discard(result.ref)
            refused = result.status is TaskStatus.NOT_STARTED
            self.post(CallEnded(result, reached=not refused))

    def _open(self, effect: OpenSession) -> None:
        address = effect.entry.address
        old = self.streams.get(address)
        if old is not None:
            old.close_agent_end()
        entry = self.entries[address]
        self.world.record.messages["dials"] += 1
        conn = self.world.record.messages["dials"]
        stream = Stream(self.world, self, entry, effect.session, conn)
        self.streams[address] = stream
        if not entry.alive:
            stream.open_at_agent = False
            lost = EntryLost(address, effect.session)
            self.after(self.world.latency(), lambda: self.post(lost))
            return

        def attached() -> None:
            stream.open_at_entry = True
            entry.streams[conn] = stream
            entry.post(AgentAttached(conn))

        stream.control(True, attached)

    def _send(self, effect: SendToEntry) -> None:
        stream = self.streams.get(effect.entry)
        if stream is None or stream.session != effect.session:
            return
        batch = effect.batch

        def arrive() -> None:
            if not stream.open_at_entry:
                return
            stream.entry.post(AgentBatchArrived(stream.conn, batch))
            for result in batch.results:
                self.world.on_step(
                    Site(
                        Step.RESULT_RECEIVED,
                        result.ref.job_id,
                        stream.entry,
                        self,
                        stream,
                    )
                )

        if stream.open_at_agent:
            stream.send(True, arrive, batch)

    def _call(self, effect: CallBackend) -> None:
        ref = effect.ref
        self.calls.add(ref)
        site = Site(Step.AGENT_ACCEPTED, ref.job_id, None, self)
        self.world.on_step(site)
        if not self.alive:
            return
        lost = TaskResult(ref, TaskStatus.LOST, detail="no answer in time")
        given_up_at = effect.deadline - self.clock_offset_s
        self.at(given_up_at, lambda: self.end_call(lost))
        self.backend.call(self, effect)


class Backend(Process):
    """A backend server that records the tasks that it starts."""

    agent: Agent

    def __init__(
        self, world: World, name: str, slots: int, run_s: float
    ) -> None:
        super().__init__(world, name)
        self.worker = WorkerInfo(SERVICE, slots, 32.0, 64000)
        self.run_s = run_s
        self.announcing = True
        self.left_at: float | None = None
        self.running: dict[TaskRef, Callable[[TaskStatus], None]] = {}
        self.after(0.0, self._announce)

    def on_crash(self) -> None:
        for answer in list(self.running.values()):
            answer(TaskStatus.LOST)
        self.running = {}

    def on_restart(self) -> None:
        self._announce()

    def leave(self, back_after_s: float) -> None:
        """Leave as on a drain, and come back later."""
        self.announcing = False
        self.left_at = self.world.now
        if self.agent.alive:
            self.agent.at(
                self.world.now,
                lambda: self.agent.post(BackendLeft("drained")),
            )
        self.world.call_later(back_after_s, self.come_back)

    def lapse(self, back_after_s: float) -> None:
        """Stop renewing the announcement for a while."""
        self.announcing = False
        self.world.call_later(back_after_s, self.come_back)

    def come_back(self) -> None:
        self.announcing = True
        self.left_at = None

    def call(self, agent: Agent, effect: CallBackend) -> None:
        ref = effect.ref
        life = agent.generation
        site = Site(Step.BACKEND_CALL, ref.job_id, None, agent)
        self.world.on_step(site)
        faults = self.world.message_faults
        fault = faults.pop(0) if faults and faults[0] != "repeated" else ""

        def answer(status: TaskStatus, payload: bytes = b"") -> None:
            self.running.pop(ref, None)
            result = TaskResult(ref, status, payload, run_ms=50.0)
            if agent.generation == life:
                agent.after(
                    self.world.latency(), lambda: agent.end_call(result)
                )

        def begin() -> None:
            if not self.alive:
                answer(TaskStatus.NOT_STARTED)
                return
            self.at(self.world.now, run)

        def run() -> None:
            self.world.record.starts.append(
                Start(self.world.now, ref, self.name, self.left_at)
            )
            self.running[ref] = answer
            site = Site(Step.RUNNING, ref.job_id, None, agent)
            self.world.on_step(site)
            self.after(
                self.run_s,
                lambda: answer(TaskStatus.DONE, run_task(effect.payload)),
            )

        if fault != "lost":
            late = 1.0 if fault in ("late", "reordered") else 0.0
            self.world.call_later(self.world.latency() + late, begin)

    def _announce(self) -> None:
        if self.announcing and self.agent.alive:
            agent = self.agent
            agent.at(self.world.now, lambda: self._tell(agent))
        self.after(ANNOUNCE_EVERY_S, self._announce)

    def _tell(self, agent: Agent) -> None:
        if self.announcing:
            expires_at = agent.clock + ANNOUNCE_TTL_S
            agent.post(BackendAnnounced(self.worker, expires_at))


class Reply:
    """The way of one answer back to a client."""

    def __init__(self, client: Client, entry: Entry) -> None:
        self.client = client
        self.entry = entry

    def __call__(self, outcome: Outcome) -> None:
        site = Site(Step.ANSWER_SENT, self.client.job_id, self.entry)
        world = self.client.world
        world.on_step(site)
        client = self.client
        client.carry(
            lambda: client.at(world.now, lambda: client.take(outcome))
        )

    def reset(self) -> None:
        self.client.after(self.client.world.latency(), self.client.retry)


class Client(Process):
    """Submits one job and submits it again when it hears nothing."""

    def __init__(
        self,
        world: World,
        name: str,
        home: Entry,
        tasks: int,
        idempotent: bool = False,
        timeout_s: float = 20.0,
        begin_after_s: float = 0.0,
    ) -> None:
        super().__init__(world, name)
        self.home = home
        self.tasks = tasks
        self.idempotent = idempotent
        self.deadline = 0.0
        self.timeout_s = timeout_s
        self.begin_after_s = begin_after_s
        self.job_id = ""
        self.answered_at: float | None = None
        self.cancelled = False
        self.crashed = False
        self.sent_at: list[float] = []
        self._tries = 0
        self._reads = 0

    @property
    def answers(self) -> list[tuple[float, Outcome]]:
        return self.world.record.answers.setdefault(self.name, [])

    @property
    def payloads(self) -> list[bytes]:
        return [
            b'"%s/%d"' % (self.name.encode(), i) for i in range(self.tasks)
        ]

    def on_crash(self) -> None:
        self.crashed = True

    def begin(self) -> None:
        self.deadline = self.world.now + self.timeout_s
        self._mint()

    def retry(self) -> None:
        self.after(CLIENT_RETRY_S, self._submit)

    def cancel(self) -> None:
        self.cancelled = True
        job_id = self.job_id
        if job_id and self.home.alive:
            self.home.after(
                self.world.latency(),
                lambda: self.home.post(CancelJob(job_id)),
            )

    def take(self, outcome: Outcome) -> None:
        self.answers.append((self.world.now, outcome))
        if self.answered_at is None:
            self.answered_at = self.world.now
            site = Site(Step.ANSWER_READ, self.job_id, self.home)
            self.world.on_step(site)
        if self._reads < 2:
            self._reads += 1
            self.after(0.2, self._send)

    def carry(self, deliver: Callable[[], None]) -> None:
        """Carry a message to or from this client."""
        faults = self.world.message_faults
        fault = faults.pop(0) if faults else ""
        delay = {"late": 1.0, "reordered": 0.01}.get(fault, 0.0)
        if fault != "lost":
            self.world.call_later(self.world.latency() + delay, deliver)
        if fault == "repeated":
            self.world.call_later(self.world.latency() + 0.002, deliver)

    def _mint(self) -> None:
        if self.job_id or self.world.now > self.deadline:
            return
        site = Site(Step.ALLOCATE_ID, self.name, self.home)
        self.world.on_step(site)

        def mint() -> None:
            if self.home.alive and not self.home.paused and not self.job_id:
                self.job_id = self.home.minter.mint(self.home.clock)
                self.after(self.world.latency(), self._submit)

        self.carry(mint)
        self.after(CLIENT_RETRY_S, self._mint)

    def _submit(self) -> None:
        if self.answered_at is not None or self.world.now > self.deadline:
            return
        self._tries += 1
        tries = self._tries
        self._send()

        def again() -> None:
            if tries == self._tries:
                self._submit()

        self.after(CLIENT_PATIENCE_S, again)

    def _send(self) -> None:
        self.world.on_step(Site(Step.SUBMIT, self.job_id, self.home))
        self.sent_at.append(self.world.now)

        def arrive() -> None:
            home = self.home
            if not home.alive:
                if self.answered_at is None:
                    self.retry()
                return
            home.at(self.world.now, take)

        def take() -> None:
            self.home.submit(self._spec(), Reply(self, self.home))

        self.carry(arrive)

    def _spec(self) -> JobSpec:
        """Return the job as its home reads it: with a relative timeout."""
        return JobSpec(
            self.job_id,
            SERVICE,
            "team",
            self.deadline - self.world.now + self.home.clock,
            tuple(TaskSpec(p) for p in self.payloads),
            self.idempotent,
        )
