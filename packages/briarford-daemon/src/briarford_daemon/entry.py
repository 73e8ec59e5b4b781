"""The entry daemon: its core, its sessions with agents, its HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import random
import secrets
from functools import singledispatchmethod
from typing import Any

from grpclib.server import Server, Stream

from briarford.dispatch.entry import EntryCore, EntryEffect, EntryMessage
from briarford.dispatch.messages import (
    AgentAttached,
    AgentBatchArrived,
    AgentLost,
    CancelJob,
    CloseSession,
    Decision,
    EntriesChanged,
    JobEnded,
    SendToAgent,
    StopRequested,
)
from briarford.homes.ids import Home, Minter
from briarford.jobs import JobSpec
from briarford.outcomes import (
    Completed,
    Failed,
    FailureReason,
    Outcome,
    Refused,
    Step,
)
from briarford.placement import Placer
from briarford.sessions import AgentBatch, EntryAddress, EntryBatch
from briarford_daemon.clock import Clock
from briarford_daemon.driver import CoreDriver
from briarford_daemon.identity import new_incarnation
from briarford_daemon.logs import log_decision
from briarford_daemon.metrics import Metrics
from briarford_daemon.settings import EntrySettings, split_address
from briarford_daemon.streams import Outgoing
from briarford_daemon.wire import MsgpackCodec, Sessions

__all__ = ["EntryDaemon"]

LOGGER = logging.getLogger("briarford.entry")
SECRET_BYTES = 32
ASK_HOME_AGAIN_S = 0.5


class _AgentStream:
    """One stream from an agent."""

    __slots__ = ("outgoing", "task")

    def __init__(self, task: asyncio.Task[Any]) -> None:
        self.task = task
        self.outgoing: Outgoing[EntryBatch] = Outgoing()


class EntryDaemon:
    """An entry within the caller's loop.

    :param settings: its settings.
    :param clock: the process's clock.
    """

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics(settings.name)
        self.incarnation = new_incarnation()
        rng = random.Random(secrets.randbits(64))
        self.core = EntryCore(
            settings.name,
            self.incarnation,
            Placer(settings.name, settings.zone, rng),
            rng,
        )
        self.rpc_address = settings.rpc
        self._minter = Minter(
            settings.name, self.incarnation, secrets.token_bytes(SECRET_BYTES)
        )
        self._waiters: dict[str, list[asyncio.Future[Outcome]]] = {}
        self._streams: dict[int, _AgentStream] = {}
        self._conns = itertools.count(1)
        self._idle = asyncio.Event()
        self._driver: CoreDriver[EntryMessage, EntryEffect]
        self._server: Server

    async def start(self) -> None:
        """Serve agents; HTTP is served beside it."""
        self._driver = CoreDriver(self.core, self.clock, self._perform)
        self._server = Server([Sessions(self._attach)], codec=MsgpackCodec())
        host, port = split_address(self.settings.rpc)
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Refuse new jobs and finish those that run."""
        deadline = self.clock.now() + self.settings.stop_within_s
        self._driver.post(StopRequested(deadline))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.stop_within_s):
                await self._wait_idle()

    async def close(self) -> None:
        """Close at once."""
        self._driver.close()
        self._server.close()
        for stream in self._streams.values():
            stream.task.cancel()
        await self._server.wait_closed()

    # For the HTTP side.

    def mint(self) -> str:
        """Return a new job id whose home is this entry."""
        return self._minter.mint(self.clock.now())

    def check_id(self, job_id: str) -> Home | Failed | Refused:
        """Check the id of a submission that is not known here."""
        return self._minter.check(job_id, self.clock.now())

    async def submit(self, spec: JobSpec) -> Outcome:
        """Run a job, or join it if it is known; wait for its outcome."""
        outcome = self.submit_nowait(spec)
        if outcome is not None:
            return outcome
        return await self._wait(spec.job_id)

    def submit_nowait(self, spec: JobSpec) -> Outcome | None:
        """Run a job, or join it; None if it has no outcome yet."""
        forget_at = 0.0
        if self.core.jobs.get(spec.job_id) is None:
            home = self.check_id(spec.job_id)
            if not isinstance(home, Home):
                return home
            if home.incarnation != self.incarnation:
                return self._not_home(home)
            forget_at = home.remember_until
        outcome = self.core.submit(spec, self.clock.now(), forget_at)
        self._driver.wake()
        if outcome is not None:
            self._count(outcome)
        return outcome

    def _not_home(self, home: Home) -> Failed:
        """Answer for a job whose home this entry cannot ask."""
        return Failed(
            FailureReason.HOME_UNREACHABLE,
            f"only entry '{home.entry}' knows this job; ask it",
            Step.FORWARD,
            self.settings.name,
            retry_at=self.clock.now() + ASK_HOME_AGAIN_S,
        )

    def cancel(self, job_id: str) -> None:
        """Cancel a job if it runs here."""
        self._driver.post(CancelJob(job_id))

    def set_entries(self, entries: tuple[EntryAddress, ...]) -> None:
        """Tell the agents which entries there are."""
        self._driver.post(EntriesChanged(entries))

    def state(self) -> dict[str, float]:
        """Return what the entry holds, for metrics."""
        workers = self.core.placer.workers.values()
        return {
            "jobs_running": self.core.jobs.running,
            "jobs_remembered": len(self.core.jobs),
            "answer_bytes": self.core.jobs.held_bytes,
            "tasks_queued": sum(self.core.placer.counts().values()),
            "tasks_outstanding": self.core.outstanding(),
            "attempts_ended": self.metrics.attempts.total(),
            "workers": len(workers),
            "credits": sum(w.credits for w in workers),
            "preset_version": self.core.preset_version,
        }

    def status(self) -> dict[str, Any]:
        """Return what an operator sees of the entry."""
        return {
            "name": self.settings.name,
            "zone": self.settings.zone,
            "incarnation": self.incarnation,
            "status": "stopping" if self.core.stopping else "serving",
            "state": self.state(),
        }

    async def _wait_idle(self) -> None:
        if not self.core.idle:
            await self._idle.wait()

    async def _wait(self, job_id: str) -> Outcome:
        fut: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters.setdefault(job_id, []).append(fut)
        return await fut

    def _count(self, outcome: Outcome) -> None:
        kind = type(outcome).__name__.lower()
        if not isinstance(outcome, Completed):
            kind = f"{kind}:{outcome.reason}"
        self.metrics.jobs[kind] += 1

    # Effects of the core.

    @singledispatchmethod
    def _perform(self, effect: EntryEffect) -> None:
        raise TypeError(f"no way to perform {type(effect).__name__}")

    @_perform.register
    def _(self, effect: SendToAgent) -> None:
        stream = self._streams.get(effect.conn)
        if stream is None:
            return
        batch = effect.batch
        self.metrics.messages["batches_out"] += 1
        self.metrics.messages["starts_out"] += len(batch.starts)
        self.metrics.messages["cancels_out"] += len(batch.cancels)
        if not batch.starts:
            self.metrics.messages["idle_out"] += 1
        stream.outgoing.put(batch)

    @_perform.register
    def _(self, effect: CloseSession) -> None:
        stream = self._streams.pop(effect.conn, None)
        LOGGER.info("session closed", extra={"reason": effect.reason})
        if stream is not None:
            stream.task.cancel()

    @_perform.register
    def _(self, effect: JobEnded) -> None:
        self._count(effect.outcome)
        if self.core.idle:
            self._idle.set()
        for fut in self._waiters.pop(effect.job_id, ()):
            if not fut.done():
                fut.set_result(effect.outcome)

    @_perform.register
    def _(self, effect: Decision) -> None:
        self.metrics.decisions[effect.action] += 1
        log_decision(effect)

    # Streams of agents.

    async def _attach(self, stream: Stream[AgentBatch, EntryBatch]) -> None:
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError("a session is served by a task")
        conn = next(self._conns)
        mine = _AgentStream(task)
        self._streams[conn] = mine
        self._driver.post(AgentAttached(conn))
        writer = asyncio.create_task(mine.outgoing.write_to(stream))
        try:
            await self._read(conn, stream)
        finally:
            writer.cancel()
            self._streams.pop(conn, None)
            self._driver.post(AgentLost(conn))
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await writer

    async def _read(
        self, conn: int, stream: Stream[AgentBatch, EntryBatch]
    ) -> None:
        while True:
            batch = await stream.recv_message()
            if batch is None:
                return
            self.metrics.messages["batches_in"] += 1
            if not batch.results:
                self.metrics.messages["idle_in"] += 1
            for result in batch.results:
                self.metrics.attempts[result.status] += 1
            self._driver.post(AgentBatchArrived(conn, batch))
