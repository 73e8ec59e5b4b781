"""An agent that is paused between a decision and what it does about it.

A real agent in this process calls its worker, which goes on in a thread of its
own while the event loop of the agent is blocked.
"""

from __future__ import annotations

import asyncio
import itertools
import threading
import time
from collections.abc import Callable
from contextlib import asynccontextmanager, contextmanager

import pytest
from aiohttp import web

from briarford.requests.attachments import AGENT_LOST_S
from briarford.runs import (
    Attach,
    Capacity,
    EntryHeartbeat,
    StartRun,
    WorkerReport,
)
from briarford.runs.messages import AgentHeartbeat, RunEnded
from briarford_daemon import http_client
from briarford_daemon.fleet.agent import FleetAgent
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.settings import FleetSettings
from briarford_platform.workers import WorkerClient
from test_processes import WorkerServer

LIMIT_S = 10.0
LINK = 1
TASKS = 3
SHORT_WORK_S, WORK_S = 0.05, 20.0
# An entry that has placed a task again orders it from a worker after this.
SETTLE_S = 0.5
LEASE_LOST_S = 1.24  # the agent counts the runs of its worker as lost
ENTRY_LOST_S = 2.4  # the entry does, before the agent wakes
TRUE, SLOW = 1.0, 0.98


class Store:
    """A store that does not answer; the agent is given its token."""

    async def get(self, key, deadline):
        await asyncio.Event().wait()

    async def grant_lease(self, ttl_s, deadline):
        await asyncio.Event().wait()


@contextmanager
def worker_in_thread(clock_rate: float):
    """Serve a worker whose clock has a rate; yields it with its address."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    def run(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result()

    async def serve():
        worker = WorkerServer(clock_rate)
        worker.core.needs |= {
            "short": (1000, SHORT_WORK_S),
            "long": (1000, WORK_S),
        }
        runner = web.AppRunner(worker.app(), shutdown_timeout=0.01)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return worker, runner

    worker, runner = run(serve())
    host, port = runner.addresses[0][:2]
    try:
        yield worker, f"{host}:{port}"
    finally:
        run(runner.cleanup())
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


class Entry:
    """An entry that answers heartbeats and notes the ends of its runs."""

    def __init__(self, agent: FleetAgent) -> None:
        self._agent = agent
        self.received_at = 0.0
        self.ended_at: dict[int, float] = {}  # by number of the order
        agent._links.send = self._receive

    def _receive(self, link, message) -> None:
        self.received_at = time.monotonic()
        if isinstance(message, AgentHeartbeat):
            echo = EntryHeartbeat(message.sent_at, 0)
            loop = asyncio.get_running_loop()
            loop.call_soon(self._agent._on_messages, LINK, [echo])
        if isinstance(message, RunEnded):
            self.ended_at[message.dispatch] = self.received_at

    def attach(self) -> None:
        now = self._agent.now
        self._agent._on_attach(LINK, Attach("e", "i", 1, now))
        self._agent._on_messages(LINK, [EntryHeartbeat(now, 0)])

    def order(self, job: str, first: int) -> None:
        """Order a run of each task of a job, numbered from the first one."""
        now = self._agent.now
        orders = [
            StartRun(n, f"{job}.0.0.{n}", n, "p", 1000, 1, 0, 1.0, echo=now)
            for n in range(first, first + TASKS)
        ]
        self._agent._on_messages(LINK, orders)


@asynccontextmanager
async def agent_of(address: str, worker: WorkerServer):
    cfg = FleetSettings(
        name="a", zone="z", ip="127.0.0.1", rpc_port=0, store="", http=""
    )
    clock = BootClock()
    client = WorkerClient(clock)
    metrics = FleetMetrics("a", {})
    agent = FleetAgent(cfg, Store(), client, metrics, clock=clock)
    report = WorkerReport(
        *("i-1", worker.core.born_ms, "desk", address, "z"),
        *(Capacity(8000, 1000, 0), (), False, worker._clock_ms(), 1),
    )
    await agent.start()
    agent._on_registered(7)
    agent.worker_reported(report)
    try:
        yield agent
    finally:
        await agent._tasks.cancel()
        agent._driver.close()
        await agent._links.stop()
        await client.close()


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


class Pause:
    """Blocks the event loop once, when its place is reached."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self.ended_at = 0.0

    def __call__(self) -> None:
        if not self.ended_at:
            time.sleep(self._seconds)
            self.ended_at = time.monotonic()


def before_turn(agent, pause, monkeypatch):
    turn = agent.core.turn

    def paused_turn(now):
        pause()
        return turn(agent.now)

    monkeypatch.setattr(agent._driver._driver._core, "turn", paused_turn)


def before_task(agent, pause, monkeypatch):
    spawn = agent._tasks.spawn
    pending = []

    def spawn_and_pause(coroutine):
        spawn(coroutine)
        if coroutine.__name__ == "_place_run":
            pending.append(coroutine)
            if len(pending) == TASKS:
                pause()

    monkeypatch.setattr(agent._tasks, "spawn", spawn_and_pause)


def before_call(agent, pause, monkeypatch):
    """The end of the lease is known, the call has not begun."""
    start_run = agent._worker_api.start_run

    async def paused_start(*args):
        pause()
        return await start_run(*args)

    monkeypatch.setattr(agent._worker_api, "start_run", paused_start)


def while_connecting(agent, pause, monkeypatch):
    client = agent._worker_api._http
    connect = client._connect

    async def paused_connect(address):
        conn = await connect(address)
        pause()
        return conn

    async def no_idle(address):
        return None

    monkeypatch.setattr(client, "_find_idle", no_idle)
    monkeypatch.setattr(client, "_connect", paused_connect)


def before_write(agent, pause, monkeypatch):
    exchange = http_client._Connection.exchange

    async def paused_exchange(conn, request):
        if b"run-start" in request:
            pause()
        return await exchange(conn, request)

    monkeypatch.setattr(http_client._Connection, "exchange", paused_exchange)


def record_starts(worker: WorkerServer) -> list[float]:
    """Return a list that gets the times of all further orders."""
    ordered_at: list[float] = []
    start = worker.core.start

    def record(*args):
        ordered_at.append(time.monotonic())
        return start(*args)

    worker.core.start = record
    return ordered_at


PLACES = [
    before_turn,
    before_task,
    before_call,
    while_connecting,
    before_write,
]


CASES = [
    *itertools.product(PLACES, (LEASE_LOST_S, ENTRY_LOST_S), (SLOW,)),
    (before_turn, ENTRY_LOST_S, TRUE),
    (before_call, ENTRY_LOST_S, TRUE),
]


@pytest.mark.parametrize(
    ("place", "seconds", "clock_rate"),
    [
        pytest.param(*case, id=f"{case[0].__name__}-{case[1]}-{case[2]}")
        for case in CASES
    ],
)
async def test_an_order_held_up_by_a_pause_does_not_outlive_its_run(
    monkeypatch, place, seconds, clock_rate
):
    """Guards against a run that starts after it was given up as lost."""
    pause = Pause(seconds)
    with worker_in_thread(clock_rate) as (worker, address):
        async with agent_of(address, worker) as agent:
            entry = Entry(agent)
            await until(lambda: agent.core.reconciled)
            entry.attach()
            await until(lambda: agent.core.accepting(agent.now))
            # These leave connections that are open and idle.
            entry.order("short", 1)
            await until(lambda: len(entry.ended_at) == TASKS)
            await asyncio.sleep(SETTLE_S)
            place(agent, pause, monkeypatch)
            ordered_at = record_starts(worker)
            entry_lost_at = time.monotonic() + AGENT_LOST_S
            entry.order("long", 1 + TASKS)
            await until(lambda: pause.ended_at > 0.0)
            await asyncio.sleep(SETTLE_S)
            now = worker.now()
            worker.core.advance(now)
            ends = {r.task: r.end for r in worker.core.history}
            ends |= dict.fromkeys(worker.core.runs, now)
    late = {}
    for n in range(1 + TASKS, 1 + 2 * TASKS):
        given_up_at = entry.ended_at.get(n, pause.ended_at + SETTLE_S)
        if pause.ended_at > entry_lost_at:
            given_up_at = min(given_up_at, entry_lost_at)
        end = ends.get(f"long.0.0.{n}", 0.0) / clock_rate
        if end > given_up_at:
            late[n] = round(end - given_up_at, 3)
    assert late == {}
    if place is not before_write:
        assert [at for at in ordered_at if at > pause.ended_at] == []
