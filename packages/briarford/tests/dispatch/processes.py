"""Simulated clients, entries, agents, backend servers and connections.

Entries and agents run the real cores. Only what the daemon adds, which is
sockets, timers and HTTP, is simulated.
"""

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
from briarford.homes.ids import Home, IdAllocator
from briarford.jobs import JobSpec, TaskRef, TaskSpec
from briarford.outcomes import Failed, FailureReason, Outcome, Step
from briarford.placement import Placer
from briarford.sessions import EntryAddress, WorkerInfo
from briarford.sessions.messages import TaskResult, TaskStatus

from .world import CoreProcess, Process, Start, StepContext, World

SERVICE = "lease-desk"
ANNOUNCE_EVERY_S = 1.0
ANNOUNCE_TTL_S = 3.0
CLIENT_TIMEOUT_S = 3.0
CLIENT_RETRY_S = 0.5
STOP_WITHIN_S = 15.0
EXIT_GRACE_S = 0.05
REPLACEMENT_DELAY_S = 1.0


def run_task(payload: bytes) -> bytes:
    """Return a result that identifies the task's payload."""
    return payload[:-1] + b' done"'


@dataclass
class Stream:
    """One connection from an agent to an entry.

    :param session: the agent's number of the session on it.
    :param conn: the entry's number of the stream.
    :param open_at_agent: whether the agent regards it as open.
    :param open_at_entry: whether the entry regards it as open.
    :param silent_to_entry: whether batches to the entry vanish unnoticed.
    :param silent_to_agent: whether batches to the agent vanish unnoticed.
    """

    world: World
    agent: Agent
    entry: Entry
    session: int
    conn: int
    open_at_agent: bool = True
    open_at_entry: bool = False
    silent_to_entry: bool = False
    silent_to_agent: bool = False
    _last: dict[bool, float] = field(default_factory=dict)

    def send(
        self, to_entry: bool, deliver: Callable[[], None], batch: Any
    ) -> None:
        """Deliver a batch, applying the next pending message fault."""
        self._report_steps(to_entry, batch)
        kind = self.world.record.messages
        kind["to-entry" if to_entry else "to-agent"] += 1
        faults = self.world.message_faults
        fault = faults.pop(0) if faults else ""
        if fault == "lost":
            return
        delay = {"late": 1.0, "reordered": 0.01}.get(fault, 0.0)
        self._deliver(to_entry, deliver, delay, ordered=fault != "reordered")
        if fault == "repeated":
            self._deliver(to_entry, deliver, 0.002, ordered=True)

    def control(self, to_entry: bool, deliver: Callable[[], None]) -> None:
        """Deliver the opening or the end of the connection, in order."""
        self._deliver(to_entry, deliver, 0.0, ordered=True)

    def reset(self) -> None:
        """Break the connection, so that both ends are notified."""
        self.close_agent_end()
        self.close_entry_end()
        self._notify_agent()
        self._notify_entry()

    def close_agent_end(self) -> None:
        if self.open_at_agent:
            self.open_at_agent = False
            self._notify_entry()

    def close_entry_end(self) -> None:
        if self.open_at_entry:
            self.open_at_entry = False
            self._notify_agent()

    def _notify_entry(self) -> None:
        def lost() -> None:
            self.open_at_entry = False
            self.entry.post(AgentLost(self.conn))

        self.control(True, lost)

    def _notify_agent(self) -> None:
        def lost() -> None:
            self.open_at_agent = False
            self.agent.post(EntryLost(self.entry.address, self.session))

        self.control(False, lost)

    def _deliver(
        self,
        to_entry: bool,
        run: Callable[[], None],
        delay: float,
        ordered: bool,
    ) -> None:
        world = self.world
        when = world.now + world.latency() + delay
        if ordered:
            when = max(when, self._last.get(to_entry, 0.0))
            self._last[to_entry] = when
        target: Process = self.entry if to_entry else self.agent
        generation = target.generation

        def arrive() -> None:
            silent = self.silent_to_entry if to_entry else self.silent_to_agent
            if not silent and target.generation == generation:
                target.at(world.now, run)

        world.call_at(when, arrive)

    def _report_steps(self, to_entry: bool, batch: Any) -> None:
        """Report the steps that the sending of a batch means for its jobs.

        Also records which attempts an agent reports as not started.
        """
        if to_entry:
            for result in batch.results:
                self._report_step(Step.RESULT_SENT, result.ref)
            reported = [*batch.results, *batch.reports]
            self.world.record.reported_not_started += [
                r.ref for r in reported if r.status is TaskStatus.NOT_STARTED
            ]
            return
        for start in batch.starts:
            self._report_step(Step.START_SENT, start.ref)

    def _report_step(self, step: Step, ref: TaskRef) -> None:
        context = StepContext(step, ref.job_id, self.entry, self.agent, self)
        self.world.on_step(context)


class Entry(CoreProcess):
    """An entry as the daemon runs it, without sockets.

    A restart creates a new core, so the jobs of the former one are lost.
    """

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.address = f"{name}:7400"
        self.incarnation_count = 0
        self.streams: dict[int, Stream] = {}
        self.waiters: dict[str, list[Reply]] = {}
        self.stop_requested = False
        self.on_restart()

    def on_restart(self) -> None:
        self.incarnation_count += 1
        self.reset_turns()
        incarnation = f"{self.name}-{self.incarnation_count}"
        rng = random.Random(self.incarnation_count)
        placer = Placer(self.name, "zone", rng)
        self.core = EntryCore(self.name, incarnation, placer, rng)
        self.id_allocator = IdAllocator(
            self.name, incarnation, incarnation.encode()
        )
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
        self.world.on_step(StepContext(Step.ADMIT, spec.job_id, self))

    def _submit(self, spec: JobSpec) -> Outcome | None:
        forget_at = 0.0
        if self.core.jobs.get(spec.job_id) is None:
            home = self.id_allocator.check(spec.job_id, self.clock)
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
                self.world.on_step(StepContext(Step.QUEUE, job_id, self))

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
        self.after(EXIT_GRACE_S, lambda: self.crash(REPLACEMENT_DELAY_S))


class Agent(CoreProcess):
    """An agent as the daemon runs it, without sockets.

    :param entries: the entries that it attaches to at first.
    :param backend: the backend server that it calls.
    """

    def __init__(
        self, world: World, name: str, entries: list[Entry], backend: Backend
    ) -> None:
        super().__init__(world, name)
        self.entries = {e.address: e for e in entries}
        self.backend = backend
        backend.agent = self
        self.incarnation_count = 0
        self.streams: dict[str, Stream] = {}
        self.calls: set[TaskRef] = set()
        self.on_restart()

    def on_restart(self) -> None:
        self.incarnation_count += 1
        self.reset_turns()
        self.core = AgentCore(
            self.name,
            f"{self.name}-{self.incarnation_count}",
            "zone",
            random.Random(self.incarnation_count),
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
            self._open_stream(effect)
        elif isinstance(effect, CallBackend):
            self._call_backend(effect)
        elif isinstance(effect, AgentStopped):
            self.crash(REPLACEMENT_DELAY_S)

    def end_call(self, result: TaskResult) -> None:
        """Pass the end of a call to the core, unless it has ended before."""
        if result.ref in self.calls:
            self.calls.discard(result.ref)
            refused = result.status is TaskStatus.NOT_STARTED
            self.post(CallEnded(result, reached=not refused))

    def _open_stream(self, effect: OpenSession) -> None:
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
                    StepContext(
                        Step.RESULT_RECEIVED,
                        result.ref.job_id,
                        stream.entry,
                        self,
                        stream,
                    )
                )

        if stream.open_at_agent:
            stream.send(True, arrive, batch)

    def _call_backend(self, effect: CallBackend) -> None:
        ref = effect.ref
        self.calls.add(ref)
        context = StepContext(Step.AGENT_ACCEPTED, ref.job_id, None, self)
        self.world.on_step(context)
        if not self.alive:
            return
        lost = TaskResult(ref, TaskStatus.LOST, detail="no answer in time")
        times_out_at = effect.deadline - self.clock_offset_s
        self.at(times_out_at, lambda: self.end_call(lost))
        self.backend.call(self, effect)


class Backend(Process):
    """A backend server that records each task that it starts.

    :param slots: tasks that it announces to run at the same time.
    :param run_s: seconds for which each task runs.
    """

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

    def drain(self, resume_after_s: float) -> None:
        """Notify the agent of a drain and announce nothing until it ends."""
        self.announcing = False
        self.left_at = self.world.now
        if self.agent.alive:
            self.agent.at(
                self.world.now,
                lambda: self.agent.post(BackendLeft("drained")),
            )
        self.world.call_later(resume_after_s, self.resume_announcing)

    def suspend_announcements(self, resume_after_s: float) -> None:
        """Announce nothing for a while, so that the announcement lapses."""
        self.announcing = False
        self.world.call_later(resume_after_s, self.resume_announcing)

    def resume_announcing(self) -> None:
        self.announcing = True
        self.left_at = None

    def call(self, agent: Agent, effect: CallBackend) -> None:
        ref = effect.ref
        agent_generation = agent.generation
        context = StepContext(Step.BACKEND_CALL, ref.job_id, None, agent)
        self.world.on_step(context)
        faults = self.world.message_faults
        fault = faults.pop(0) if faults and faults[0] != "repeated" else ""

        def answer(status: TaskStatus, payload: bytes = b"") -> None:
            self.running.pop(ref, None)
            result = TaskResult(ref, status, payload, run_ms=50.0)
            if agent.generation == agent_generation:
                agent.after(
                    self.world.latency(), lambda: agent.end_call(result)
                )

        def connect() -> None:
            if not self.alive:
                answer(TaskStatus.NOT_STARTED)
                return
            self.at(self.world.now, run)

        def run() -> None:
            self.world.record.starts.append(
                Start(self.world.now, ref, self.name, self.left_at)
            )
            self.running[ref] = answer
            context = StepContext(Step.RUNNING, ref.job_id, None, agent)
            self.world.on_step(context)
            self.after(
                self.run_s,
                lambda: answer(TaskStatus.DONE, run_task(effect.payload)),
            )

        if fault != "lost":
            late = 1.0 if fault in ("late", "reordered") else 0.0
            self.world.call_later(self.world.latency() + late, connect)

    def _announce(self) -> None:
        if self.announcing and self.agent.alive:
            agent = self.agent
            agent.at(self.world.now, lambda: self._send_announcement(agent))
        self.after(ANNOUNCE_EVERY_S, self._announce)

    def _send_announcement(self, agent: Agent) -> None:
        if self.announcing:
            expires_at = agent.clock + ANNOUNCE_TTL_S
            agent.post(BackendAnnounced(self.worker, expires_at))


class Reply:
    """Delivers the answer to one submission to the client that made it."""

    def __init__(self, client: Client, entry: Entry) -> None:
        self.client = client
        self.entry = entry

    def __call__(self, outcome: Outcome) -> None:
        context = StepContext(Step.ANSWER_SENT, self.client.job_id, self.entry)
        world = self.client.world
        world.on_step(context)
        client = self.client
        client.transmit(
            lambda: client.at(
                world.now, lambda: client.receive_answer(outcome)
            )
        )

    def reset(self) -> None:
        self.client.after(self.client.world.latency(), self.client.retry)


class Client(Process):
    """Submits one job, and submits it again while it gets no answer.

    After its first answer it submits the job twice more under the same id, to
    see whether the answers agree.

    :param home: the entry that allocates the job's id and runs the job.
    :param timeout_s: seconds from its begin to the job's deadline.
    :param begin_after_s: seconds by which a case starts this client late.
    """

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
        self._request_id()

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

    def receive_answer(self, outcome: Outcome) -> None:
        self.answers.append((self.world.now, outcome))
        if self.answered_at is None:
            self.answered_at = self.world.now
            context = StepContext(Step.ANSWER_READ, self.job_id, self.home)
            self.world.on_step(context)
        if self._reads < 2:
            self._reads += 1
            self.after(0.2, self._send)

    def transmit(self, deliver: Callable[[], None]) -> None:
        """Deliver a message to or from this client, with the next fault."""
        faults = self.world.message_faults
        fault = faults.pop(0) if faults else ""
        delay = {"late": 1.0, "reordered": 0.01}.get(fault, 0.0)
        if fault != "lost":
            self.world.call_later(self.world.latency() + delay, deliver)
        if fault == "repeated":
            self.world.call_later(self.world.latency() + 0.002, deliver)

    def _request_id(self) -> None:
        if self.job_id or self.world.now > self.deadline:
            return
        context = StepContext(Step.ALLOCATE_ID, self.name, self.home)
        self.world.on_step(context)

        def allocate_id() -> None:
            if self.home.alive and not self.home.paused and not self.job_id:
                self.job_id = self.home.id_allocator.allocate(self.home.clock)
                self.after(self.world.latency(), self._submit)

        self.transmit(allocate_id)
        self.after(CLIENT_RETRY_S, self._request_id)

    def _submit(self) -> None:
        if self.answered_at is not None or self.world.now > self.deadline:
            return
        self._tries += 1
        tries = self._tries
        self._send()

        def again() -> None:
            if tries == self._tries:
                self._submit()

        self.after(CLIENT_TIMEOUT_S, again)

    def _send(self) -> None:
        self.world.on_step(StepContext(Step.SUBMIT, self.job_id, self.home))
        self.sent_at.append(self.world.now)

        def arrive() -> None:
            home = self.home
            if not home.alive:
                if self.answered_at is None:
                    self.retry()
                return
            home.at(self.world.now, submit_at_home)

        def submit_at_home() -> None:
            self.home.submit(self._spec(), Reply(self, self.home))

        self.transmit(arrive)

    def _spec(self) -> JobSpec:
        """Return the job as its home reads it.

        Clients send a timeout, which the home adds to its own clock, so the
        deadline is right even if that clock is wrong.
        """
        return JobSpec(
            self.job_id,
            SERVICE,
            "team",
            self.deadline - self.world.now + self.home.clock,
            tuple(TaskSpec(p) for p in self.payloads),
            self.idempotent,
        )
