"""Errors injected into each handler and background task of a process.

Guards against one error that takes a process down or leaves it without one of
its tasks: the rest goes on, a line and a counter show the error, and the task
runs again.
"""

from __future__ import annotations

import asyncio
import logging
from contextlib import asynccontextmanager
from unittest import mock

import msgspec
import pytest

from briarford.messages import encode
from briarford.requests.tallies import PriorityTallies
from briarford.runs import (
    Attach,
    Capacity,
    EntryBatch,
    EntryHeartbeat,
    OrderResult,
    RunAgent,
    RunListing,
    StartRun,
    WorkerReport,
)
from briarford.runs.orders import MAX_ORDERS
from briarford.store import KeyChanges, KeyListing, KeyValue
from briarford_daemon import driver
from briarford_daemon.fleet import tasks
from briarford_daemon.fleet.agent import FleetAgent
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.driver import TurnDriver
from briarford_daemon.fleet.links import EntryLinks
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.prefix_watch import PrefixWatch, WatchPace
from briarford_daemon.fleet.registry import AgentRecord, AgentRegistration
from briarford_daemon.fleet.settings import FleetSettings
from briarford_daemon.fleet.tasks import BackgroundTasks
from briarford_daemon.frames import FrameConnection, FrameServer, dial
from briarford_daemon.log_lines import ERROR_LINES

LIMIT_S = 10.0
REPORT = WorkerReport(
    "w", 1, "desk", "127.0.0.1:1", "z", Capacity(8000, 100, 0), (), False, 0, 1
)


class PlannedError(Exception):
    """An error that a test injects."""


@pytest.fixture(autouse=True)
def counted_errors():
    """Count error lines as a running process does."""
    root = logging.getLogger()
    root.addHandler(ERROR_LINES)
    ERROR_LINES.counts.clear()
    yield ERROR_LINES.counts
    root.removeHandler(ERROR_LINES)


async def until(condition) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.001)


class FailingCore:
    """A core whose turns or effects fail at first."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.turns = 0

    def turn(self, now: float) -> list[str]:
        self.turns += 1
        if self.turns <= self.failures:
            raise PlannedError
        return ["effect", "other"]

    def next_deadline(self) -> float:
        return 0.0 if self.turns <= self.failures else 1e12


async def test_a_failed_turn_is_followed_by_others(
    monkeypatch, counted_errors
):
    monkeypatch.setattr(driver, "FAILED_TURN_DELAY_S", 0.001)
    core, performed = FailingCore(3), []
    turns = TurnDriver(core, BootClock(), performed.append)
    turns.wake()
    await until(lambda: performed)
    turns.close()
    assert performed == ["effect", "other"]
    assert counted_errors["turn-failed"] == 3


async def test_a_failed_turn_does_not_keep_the_processor_busy(monkeypatch):
    """Its deadline has passed, so the next turn would be due at once."""
    core = FailingCore(10**9)
    turns = TurnDriver(core, BootClock(), lambda effect: None)
    turns.wake()
    for _ in range(1000):
        await asyncio.sleep(0)
    turns.close()
    assert core.turns <= 2


async def test_a_failed_effect_does_not_drop_the_others(counted_errors):
    performed = []

    def perform(effect: str) -> None:
        if effect == "effect":
            raise PlannedError
        performed.append(effect)

    turns = TurnDriver(FailingCore(0), BootClock(), perform)
    turns.wake()
    await until(lambda: performed)
    turns.close()
    assert performed == ["other"]
    assert counted_errors["effect-failed"] == 1


async def test_a_failed_task_runs_again(monkeypatch, counted_errors):
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.001)
    runs = []

    async def work() -> None:
        runs.append(1)
        if len(runs) < 4:
            raise PlannedError

    background = BackgroundTasks()
    background.keep_running(work)
    await until(lambda: len(runs) == 4)
    await background.cancel()
    assert counted_errors["task-failed"] == 3


async def test_a_failing_frame_handler_ends_its_connection_only(
    counted_errors,
):
    received, closed = [], []

    class Handler:
        def frame_received(self, data: bytes) -> None:
            if data == b"bad":
                raise PlannedError
            received.append(data)

        def connection_closed(self, exc: Exception | None) -> None:
            closed.append(exc)

    class Silent:
        def frame_received(self, data: bytes) -> None: ...

        def connection_closed(self, exc: Exception | None) -> None: ...

    server = FrameServer({"s": lambda connection: Handler()})
    port = await server.start("127.0.0.1", 0)
    connections: list[FrameConnection] = []

    def keep(connection: FrameConnection) -> Silent:
        connections.append(connection)
        return Silent()

    for _ in range(2):
        await dial(f"127.0.0.1:{port}", "s", keep)
    connections[0].send(b"bad")
    await until(lambda: closed)
    connections[1].send(b"good")
    await until(lambda: received)
    server.close()
    assert isinstance(closed[0], PlannedError)
    assert counted_errors["frame-failed"] == 1


class FakeStore:
    """A store that does not answer; the agent is given its token."""

    async def get(self, key, deadline):
        await asyncio.Event().wait()

    async def grant_lease(self, ttl_s, deadline):
        await asyncio.Event().wait()


class FailingWorker:
    """Fails the first calls of each kind."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.calls: dict[str, int] = {}

    def _count(self, kind: str) -> None:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if self.calls[kind] <= self.failures:
            raise PlannedError

    async def start_run(self, worker, order, token, until, is_due):
        self._count("start")
        return OrderResult.STARTED

    async def stop_run(self, worker, order, token):
        self._count("stop")
        return True

    async def list_runs(self, worker, acked_end, token, wait_s, lease_until):
        self._count("list")
        await asyncio.sleep(0.005)
        return RunListing(1, (), ())

    async def close(self) -> None: ...


@asynccontextmanager
async def running_agent(worker):
    cfg = FleetSettings(
        name="a", zone="z", ip="127.0.0.1", rpc_port=0, store="", http=""
    )
    agent = FleetAgent(cfg, FakeStore(), worker, FleetMetrics("a", {}))
    agent.core.has_token = True
    await agent.start()
    agent.worker_reported(REPORT)
    try:
        yield agent
    finally:
        await agent._tasks.cancel()
        agent._driver.close()
        await agent._links.stop()


def attach_entry(agent: FleetAgent) -> None:
    now = agent._clock.now()
    agent._on_attach(1, Attach("e", "i", 1, now))
    agent._on_messages(1, [EntryHeartbeat(now, 0)])


def order_run(agent: FleetAgent) -> None:
    order = StartRun(1, "j.0.0.0", 1, "p", 1000, 1, 0, 0.5)
    agent._on_messages(1, [order])


async def test_an_agent_survives_errors_of_its_calls_to_the_worker(
    monkeypatch, counted_errors
):
    """The orders may have been sent, so the run is withdrawn, and ends."""
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.001)
    worker = FailingWorker(MAX_ORDERS)
    async with running_agent(worker) as agent:
        attach_entry(agent)
        await until(lambda: agent.core.accepting(agent._clock.now()))
        order_run(agent)
        await until(lambda: agent.core.counts["unanswered"] == 1)
        await until(agent.core.drained)
    assert counted_errors["task-failed"] == MAX_ORDERS  # listings
    assert counted_errors["order-failed"] == MAX_ORDERS
    assert counted_errors["stop-failed"] == MAX_ORDERS


async def test_a_failing_message_does_not_drop_those_after_it(
    monkeypatch, counted_errors
):
    handled = []
    handle = RunAgent.handle

    def fail_once(self, link, msg, now):
        if not handled:
            handled.append(msg)
            raise PlannedError
        handled.append(msg)
        handle(self, link, msg, now)

    monkeypatch.setattr(RunAgent, "handle", fail_once)
    async with running_agent(FailingWorker(0)) as agent:
        now = agent._clock.now()
        batch = EntryBatch(
            (Attach("e", "i", 1, now),) + 2 * (EntryHeartbeat(now, 0),)
        )
        agent._links.handle_batch(1, batch)
        assert encode(batch)
    assert len(handled) == 2
    assert counted_errors["message-failed"] == 1


@pytest.mark.parametrize("address", ["", "x", "x:99999", "127.0.0.1:1"])
async def test_an_address_that_is_none_is_reported_as_a_failed_dial(address):
    """Otherwise the agent would count as being dialed for ever."""
    failed = []
    links = EntryLinks(
        lambda agent, link: None,
        lambda link, messages: None,
        lambda agent, link: failed.append((agent, link)),
    )
    links.dial("a", address)
    await until(lambda: failed)
    await links.stop()
    assert failed == [("a", None)]


def test_errors_are_counted_in_the_metrics(counted_errors):
    logging.getLogger("briarford.x").error("turn-failed")
    rendered = FleetMetrics("a", {}).render().decode()
    assert 'kind="error-turn-failed",process="a"} 1' in rendered


def test_jobs_are_counted_by_priority_in_the_metrics():
    tallies = PriorityTallies()
    tallies.jobs[2, "given-up"] = 3
    tallies.waited_s[2] = 1.5
    metrics = FleetMetrics("a", {})
    metrics.set_sources({}, dict, tallies)
    rendered = metrics.render().decode()
    assert 'kind="given-up",priority="2",process="a"} 3' in rendered
    assert 'waited_seconds_total{priority="2",process="a"} 1.5' in rendered


@pytest.mark.parametrize("error", [ValueError, UnicodeError, OverflowError])
async def test_an_agent_is_dialed_again_after_an_unexpected_error(
    monkeypatch, counted_errors, error
):
    """Guards against an agent that counts as being dialed for good.

    Its record may have an address that another writer has made up.
    """

    async def fail(*args):
        raise error("planned")

    monkeypatch.setattr("briarford_daemon.fleet.links.dial", fail)
    closed = []
    ignore = mock.Mock()
    links = EntryLinks(ignore, ignore, lambda *args: closed.append(args))
    for n in range(2):
        links.dial("a", "10.0.0.1:1")
        await until(lambda n=n: len(closed) > n)
    assert closed == [("a", None)] * 2
    assert counted_errors["dial-failed"] == 2


async def test_a_follower_that_fails_stops_neither_the_watch_nor_others(
    counted_errors,
):
    """Guards against one odd key that hides the changes of all others."""
    failing, other = mock.Mock(), mock.Mock()
    failing.listed.side_effect = failing.changed.side_effect = PlannedError
    store = mock.AsyncMock()
    store.list.return_value = KeyListing(1, ())
    store.changes.return_value = KeyChanges(2, (), ())
    pace = WatchPace(0.1, 1000.0, 0.001, retry_at_once=False)
    watch = PrefixWatch(
        store, BootClock(), "x/", pace, (failing, other), lambda now: 0.001
    )
    task = asyncio.create_task(watch.run())
    await until(lambda: other.changed.call_count > 2)
    task.cancel()
    assert failing.changed.call_count > 1
    assert store.list.call_count == 1
    assert counted_errors["read-failed"] > 2


async def test_an_agent_registers_whatever_its_stored_record_causes(
    counted_errors,
):
    store = mock.AsyncMock()
    value = msgspec.json.encode(AgentRecord("10.0.0.1:1"))
    store.get.return_value = KeyValue("agents/a", value, 3)
    store.grant_lease.return_value = "1"
    store.write.return_value = 4
    versions = []
    registration = AgentRegistration(
        store,
        BootClock(),
        "a",
        lambda: AgentRecord("10.0.0.1:1", incarnation="i"),
        mock.Mock(side_effect=PlannedError),
        versions.append,
        mock.Mock(),
    )
    assert await registration._renew()
    assert versions == [4]
    assert counted_errors["record-failed"] == 1
