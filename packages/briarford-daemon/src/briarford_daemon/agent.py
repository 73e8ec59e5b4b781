"""The agent daemon: runs the agent's core and performs its effects.

The core, :class:`briarford.dispatch.agent.AgentCore`, decides without I/O.
The daemon keeps one stream to each entry that the agent is attached to,
and makes the HTTP calls that start tasks at the backend server.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections.abc import Coroutine
from functools import singledispatchmethod
from typing import Any

from briarford.dispatch.agent import AgentCore, AgentEffect, AgentMessage
from briarford.dispatch.messages import (
    AgentStopped,
    BackendAnnounced,
    BackendLeft,
    CallBackend,
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
)
from briarford.membership import choose_entries
from briarford.presets import Adopted, PresetHolder
from briarford.sessions import (
    AgentBatch,
    EntryAddress,
    EntryBatch,
    WorkerInfo,
)
from briarford_daemon.backend import BackendCaller
from briarford_daemon.clock import Clock
from briarford_daemon.driver import CoreDriver
from briarford_daemon.frames import CONNECTION_ERRORS, dial
from briarford_daemon.identity import new_incarnation
from briarford_daemon.logs import log_decision
from briarford_daemon.metrics import Metrics
from briarford_daemon.settings import AgentSettings
from briarford_daemon.streams import SESSIONS_SERVICE, BatchStream

__all__ = ["AgentDaemon"]

LOGGER = logging.getLogger("briarford.agent")

# Largest number of the reported entries that an agent chooses to connect to.
MAX_ATTACHMENTS = 4


class _EntryStream:
    """The stream of one session with an entry.

    :param session: number of the session, as the core counts them; batches
        of an earlier session with the same entry are dropped.
    """

    __slots__ = ("_stream", "_unsent", "session", "task")

    def __init__(self, session: int) -> None:
        self.session = session
        self.task: asyncio.Task[None] | None = None
        self._unsent: list[AgentBatch] = []
        self._stream: BatchStream[AgentBatch, EntryBatch] | None = None

    def send(self, batch: AgentBatch) -> None:
        """Send a batch, or keep it until the stream is open."""
        if self._stream is None:
            self._unsent.append(batch)
        else:
            self._stream.send(batch)

    def open(self, stream: BatchStream[AgentBatch, EntryBatch]) -> None:
        """Use a stream, and send on it what was kept."""
        self._stream = stream
        for batch in self._unsent:
            stream.send(batch)
        self._unsent.clear()


class AgentDaemon:
    """An agent that runs in the caller's event loop.

    :param settings: its settings.
    :param clock: the process's clock.
    """

    def __init__(self, settings: AgentSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics(settings.name)
        self.core = AgentCore(
            settings.name,
            new_incarnation(),
            settings.zone,
            random.Random(secrets.randbits(64)),
        )
        self._streams: dict[str, _EntryStream] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._caller: BackendCaller | None = None
        self._address = ""
        self._presets = PresetHolder()
        self._stopped = asyncio.Event()
        self._driver: CoreDriver[AgentMessage, AgentEffect]

    async def start(self) -> None:
        """Start the core with the entries named in the settings.

        The core opens sessions with them. They report the other entries,
        from which :func:`choose_entries` then chooses.
        """
        self._driver = CoreDriver(self.core, self.clock, self._perform)
        seeds = tuple(EntryAddress("", a) for a in self.settings.entries)
        self._driver.post(EntriesChanged(seeds))

    async def stop(self) -> None:
        """Stop gracefully.

        The core accepts no new work, waits for the running calls and
        delivers their results, for at most ``stop_within_s``.
        """
        deadline = self.clock.now() + self.settings.stop_within_s
        self._driver.post(StopRequested(deadline))
        await self._stopped.wait()
        await self.close()

    async def close(self) -> None:
        """Close at once: cancel all sessions and calls."""
        self._driver.close()
        for stream in self._streams.values():
            if stream.task is not None:
                stream.task.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._caller is not None:
            await self._caller.close()

    async def announce(
        self,
        worker: WorkerInfo,
        address: str,
        connections: int,
        expires_at: float,
    ) -> None:
        """Handle an announcement that the backend server sent or renewed.

        A changed address gets a new connection pool, and the old one is
        closed.

        :param worker: service and capacity of the backend server.
        :param address: where it accepts tasks over HTTP.
        :param connections: the most connections that it accepts.
        :param expires_at: Unix seconds at which the announcement lapses
            unless it is renewed.
        """
        if address != self._address or self._caller is None:
            old = self._caller
            self._caller = BackendCaller(address, connections, self.clock)
            self._address = address
            if old is not None:
                await old.close()
        self._driver.post(BackendAnnounced(worker, expires_at))

    def withdraw(self, reason: str) -> None:
        """Start no more tasks at the backend server.

        :param reason: why, for the log.
        """
        self._driver.post(BackendLeft(reason))

    def state(self) -> dict[str, float]:
        """Return the agent's gauges, for metrics and ``GET /v1/backend``."""
        return {
            "calls_running": self.core.running,
            "leaving": float(self.core.leaving),
            "sessions": len(self._streams),
            "preset_version": self.core.preset_version,
        }

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Effects of the core.

    @singledispatchmethod
    def _perform(self, effect: AgentEffect) -> None:
        raise TypeError(f"unknown effect {type(effect).__name__}")

    @_perform.register
    def _(self, effect: OpenSession) -> None:
        address = effect.entry.address
        old = self._streams.get(address)
        if old is not None and old.task is not None:
            old.task.cancel()
        stream = _EntryStream(effect.session)
        self._streams[address] = stream
        stream.task = self._spawn(self._run_session(address, stream))

    @_perform.register
    def _(self, effect: SendToEntry) -> None:
        stream = self._streams.get(effect.entry)
        if stream is None or stream.session != effect.session:
            return
        self.metrics.messages["batches_out"] += 1
        stream.send(effect.batch)

    @_perform.register
    def _(self, effect: CallBackend) -> None:
        self._spawn(self._call(effect))

    @_perform.register
    def _(self, effect: CancelCall) -> None:
        """Count the cancellation only.

        The call runs to its end, as the backend server's slot is in use
        until then.
        """
        self.metrics.messages["cancels_in"] += 1

    @_perform.register
    def _(self, effect: EntriesChanged) -> None:
        chosen = choose_entries(
            self.settings.name,
            effect.entries,
            MAX_ATTACHMENTS,
            self.settings.zone,
        )
        self._driver.post(EntriesChanged(chosen))

    @_perform.register
    def _(self, effect: PresetAdopted) -> None:
        result = self._presets.adopt_if_newer(effect.encoded, self.clock.now())
        if not isinstance(result, Adopted):
            return
        self._driver.post(PresetAdopted(result.version, result.encoded))
        drained = self.settings.name in result.record.drains
        self._driver.post(DrainChanged(drained))

    @_perform.register
    def _(self, effect: AgentStopped) -> None:
        self._stopped.set()

    @_perform.register
    def _(self, effect: Decision) -> None:
        self.metrics.decisions[effect.action] += 1
        log_decision(effect)

    # Calls to the backend server, and sessions with entries.

    async def _call(self, effect: CallBackend) -> None:
        if self._caller is None:
            raise RuntimeError(
                "cannot call a backend server before its first announcement"
            )
        ended = await self._caller.call(
            effect.ref, effect.payload, effect.deadline
        )
        self.metrics.attempts[ended.result.status] += 1
        self._driver.post(ended)

    async def _run_session(
        self, address: str, session_stream: _EntryStream
    ) -> None:
        stream: BatchStream[AgentBatch, EntryBatch] | None = None
        try:
            stream = await dial(
                address,
                SESSIONS_SERVICE,
                lambda connection: BatchStream(connection, EntryBatch),
            )
            await self._run_stream(address, session_stream, stream)
        except CONNECTION_ERRORS as exc:
            LOGGER.debug(
                "stream to entry lost",
                extra={"entry": address, "error": repr(exc)},
            )
        finally:
            if stream is not None:
                stream.close()
            self._driver.post(EntryLost(address, session_stream.session))

    async def _run_stream(
        self,
        address: str,
        session_stream: _EntryStream,
        stream: BatchStream[AgentBatch, EntryBatch],
    ) -> None:
        session_stream.open(stream)
        while (batch := await stream.receive()) is not None:
            self.metrics.messages["batches_in"] += 1
            self._driver.post(
                EntryBatchArrived(address, session_stream.session, batch)
            )
