"""What an agent process does at restarts of its worker and of itself."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import msgspec.structs
import pytest

from briarford.runs import (
    Attach,
    Capacity,
    EntryHeartbeat,
    OrderResult,
    RunListing,
    StartRun,
    StopRun,
    WorkerReport,
)
from briarford.runs.effects import WithdrawRun
from briarford_daemon.fleet.agent import MAX_STOPS, FleetAgent
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.registry import AgentRecord
from briarford_daemon.fleet.settings import FleetSettings

LIMIT_S = 10.0
TOKEN = 7
REPORT = WorkerReport(
    "w", 1, "desk", "127.0.0.1:1", "z", Capacity(8000, 100, 0), (), False, 0, 1
)


class FakeStore:
    """A store that does not answer; the agent is given its token."""

    async def get(self, key, deadline):
        await asyncio.Event().wait()

    async def grant_lease(self, ttl_s, deadline):
        await asyncio.Event().wait()


class FakeWorker:
    """Starts and lists runs, and keeps the tokens of all calls."""

    def __init__(self) -> None:
        self.tokens: list[int] = []
        self.calls: list[str] = []
        self.born_ms = 1

    def _record(self, call: str, token: int) -> None:
        self.calls.append(call)
        self.tokens.append(token)

    async def start_run(self, worker, order, token, until, is_due):
        self._record("start", token)
        return OrderResult.STARTED

    async def stop_run(self, worker, order, token):
        self._record("stop", token)
        return True

    async def list_runs(self, worker, acked_end, token, wait_s, lease_until):
        self._record("list", token)
        await asyncio.sleep(0.002)
        return RunListing(self.born_ms, (), ())

    async def close(self) -> None: ...


@asynccontextmanager
async def running(worker: FakeWorker):
    cfg = FleetSettings(
        name="a", zone="z", ip="127.0.0.1", rpc_port=0, store="", http=""
    )
    agent = FleetAgent(cfg, FakeStore(), worker, FleetMetrics("a", {}))
    await agent.start()
    agent._on_registered(TOKEN)
    agent.worker_reported(REPORT)
    await until(lambda: agent.core.reconciled)
    try:
        yield agent
    finally:
        await agent._tasks.cancel()
        agent._driver.close()
        await agent._links.stop()


async def until(condition) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.001)


@pytest.fixture
def record_writes(monkeypatch):
    """Count the requests to write the record at once."""
    written = []
    for name in ("record_changed", "request_new_version"):
        monkeypatch.setattr(
            f"briarford_daemon.fleet.registry.AgentRegistration.{name}",
            lambda self, name=name: written.append(name),
        )
    return written


def draining(agent: FleetAgent) -> None:
    report = msgspec.structs.replace(REPORT, draining=True, sequence=2)
    agent.worker_reported(report)
    agent.worker_reported(msgspec.structs.replace(report, sequence=3))


def leaving(agent: FleetAgent) -> None:
    agent.core.worker_refused(agent.now)
    agent.worker_left("w")


def shrinking(agent: FleetAgent) -> None:
    less = Capacity(REPORT.capacity.cpu - 1, REPORT.capacity.memory_mb, 0)
    agent.worker_reported(
        msgspec.structs.replace(REPORT, capacity=less, sequence=2)
    )


@pytest.mark.parametrize("change", [draining, leaving, shrinking])
async def test_the_end_of_a_worker_is_stored_at_once(record_writes, change):
    """The next process of the agent must not use a worker that has left.

    Nor a capacity that has shrunk.

    It restores the worker from the record, which would otherwise be written
    with the next renewal, up to 1.5 s later.
    """
    async with running(FakeWorker()) as agent:
        change(agent)
        assert record_writes == ["record_changed"]


async def test_the_record_does_not_change_with_each_notice():
    """Guards against a write of the record at every renewal.

    Each heartbeat of a draining worker gives its deadline a little
    differently, as it travelled for another time.
    """
    async with running(FakeWorker()) as agent:
        records = []
        for n in range(3):
            report = msgspec.structs.replace(
                REPORT,
                draining=True,
                sequence=2 + n,
                clock_ms=50 * n,
                leaves_at=agent.now + 2.0,
            )
            agent.worker_reported(report)
            records.append(agent._make_record())
        assert records[0] == records[1] == records[2]
        assert records[0].worker.draining


def test_a_record_without_a_deadline_is_read():
    """Processes of earlier versions have written records without it."""
    stored = msgspec.to_builtins(AgentRecord("10.0.0.1:1", REPORT))
    del stored["worker"]["leaves_at"]
    read = msgspec.convert(stored, AgentRecord)
    assert read.worker == REPORT


async def test_the_token_is_raised_when_the_worker_has_restarted(
    record_writes,
):
    """The restarted worker would carry out late orders with the old one."""
    worker = FakeWorker()
    async with running(worker) as agent:
        worker.born_ms = 2
        await until(lambda: "request_new_version" in record_writes)
        agent._on_registered(TOKEN + 5)
        await until(lambda: worker.tokens[-1] == TOKEN + 5)
        agent._on_registered(TOKEN + 9)  # written for another reason
        seen = len(worker.tokens)
        await until(lambda: len(worker.tokens) > seen + 3)
    assert set(worker.tokens) == {TOKEN, TOKEN + 5}


async def test_a_replaced_process_calls_the_worker_no_more():
    """Two processes of one agent must not both give orders."""
    worker = FakeWorker()
    async with running(worker) as agent:
        now = agent._clock.now()
        agent._on_attach(1, Attach("e", "i", 1, now))
        agent._on_messages(1, [EntryHeartbeat(now, 0)])
        agent._on_replaced()
        await asyncio.sleep(0.01)  # a call in flight
        worker.calls.clear()
        order = StartRun(1, "j.0.0.0", 1, "p", 1000, 1, 0, 0.5)
        agent._on_messages(1, [order])
        await until(lambda: agent.core.counts["unavailable"])
        await asyncio.sleep(0.3)  # longer than between two listings
        assert worker.calls == []
        agent._on_registered(TOKEN + 5)
        await until(lambda: worker.calls)
        assert set(worker.tokens[-1:]) == {TOKEN + 5}


async def test_an_order_without_a_lease_is_not_sent(monkeypatch):
    """Guards against a run that starts under the lease of other runs."""
    worker = FakeWorker()
    async with running(worker) as agent:
        now = agent._clock.now()
        agent._on_attach(1, Attach("e", "i", 1, now))
        agent._on_messages(1, [EntryHeartbeat(now, 0)])
        monkeypatch.setattr(agent.core, "lease_until", lambda now: 0.0)
        order = StartRun(1, "j.0.0.0", 1, "p", 1000, 1, 0, 0.5)
        agent._on_messages(1, [order])
        await until(lambda: agent.core.counts["unavailable"])
    assert "start" not in worker.calls


@pytest.mark.parametrize("is_stopped", [True, False])
async def test_an_order_is_sent_only_while_its_run_waits_for_it(is_stopped):
    """Guards against a run that starts after it was given up.

    The order waits for a connection when its entry stops the run.
    """
    worker = FakeWorker()
    checks = []
    connected = asyncio.Event()

    async def start_run(called, order, token, until, is_due):
        await connected.wait()
        checks.append(is_due())
        return OrderResult.STARTED if checks[0] else OrderResult.EXPIRED

    worker.start_run = start_run
    async with running(worker) as agent:
        now = agent._clock.now()
        agent._on_attach(1, Attach("e", "i", 1, now))
        agent._on_messages(1, [EntryHeartbeat(now, 0)])
        order = StartRun(1, "j.0.0.0", 1, "p", 1000, 1, 0, 0.5)
        agent._on_messages(1, [order])
        await asyncio.sleep(0.005)
        if is_stopped:
            agent._on_messages(1, [StopRun(1)])
        connected.set()
        await until(lambda: checks)
    assert checks == [not is_stopped]


async def test_withdrawals_leave_room_for_listings():
    """Guards against a storm of stops at a worker that is just back.

    Each of them would wait for a connection for longer than its time.
    """
    worker = FakeWorker()
    stopping = most = 0

    async def stop_run(called, order, token):
        nonlocal stopping, most
        stopping += 1
        most = max(most, stopping)
        await asyncio.sleep(0.002)
        stopping -= 1
        worker.calls.append("stop")
        return True

    worker.stop_run = stop_run
    async with running(worker) as agent:
        for n in range(80):
            agent._perform(WithdrawRun(0, f"j.0.0.{n}", 1))
        await until(lambda: worker.calls.count("stop") == 80)
    assert most == MAX_STOPS
