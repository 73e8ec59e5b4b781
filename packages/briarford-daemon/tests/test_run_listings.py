"""How an agent process reads the run listings of its worker."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import asynccontextmanager

import msgspec
import pytest

from briarford.runs import (
    Capacity,
    ListingFailure,
    RunListing,
    WorkerReport,
)
from briarford.runs.contact import LISTING_WAIT_S
from briarford_daemon.fleet.agent import FleetAgent
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.registry import AgentRecord
from briarford_daemon.fleet.settings import FleetSettings

LIMIT_S = 10.0
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
    """Answers requests for listings as the script of a test says."""

    def __init__(self, answers):
        self.answers = answers
        self.waits = []
        self.enough = asyncio.Event()

    async def list_runs(self, worker, acked_end, token, wait_s, lease_until):
        self.waits.append(wait_s)
        if len(self.waits) >= 6:
            self.enough.set()
        if not self.answers(len(self.waits)):
            await asyncio.Event().wait()
        await asyncio.sleep(wait_s)
        return RunListing(1, (), ())

    async def close(self):
        pass


@asynccontextmanager
async def running(worker):
    cfg = FleetSettings(
        name="a", zone="z", ip="127.0.0.1", rpc_port=0, store="", http=""
    )
    metrics = FleetMetrics("a", {})
    agent = FleetAgent(cfg, FakeStore(), worker, metrics)
    agent.core.has_token = True
    await agent.start()
    agent.worker_reported(REPORT)
    try:
        async with asyncio.timeout(LIMIT_S):
            yield agent
    finally:
        await agent.stop()


@pytest.mark.parametrize(
    ("answers", "hedged"),
    [(lambda n: True, False), (lambda n: n != 3, True)],
    ids=["answered", "one answer is lost"],
)
async def test_a_second_request_is_made_only_for_a_late_answer(
    answers, hedged
):
    """Guards against ended runs that are unknown behind a lost answer.

    The first listing does not wait, as the runs on the worker are not known.
    """
    worker = FakeWorker(answers)
    async with running(worker):
        await worker.enough.wait()
    assert (0.0 in worker.waits[1:]) is hedged


async def test_a_lost_listing_holds_up_no_later_one():
    """Guards against ends that are known late beside a lost answer.

    After the first lost answer the worker is asked again as soon as a further
    one is late, and not when its call has timed out.
    """
    worker = FakeWorker(lambda n: n not in (3, 8))
    at = []
    list_runs = worker.list_runs

    async def record(*args):
        at.append(asyncio.get_running_loop().time())
        return await list_runs(*args)

    worker.list_runs = record
    async with running(worker) as agent:
        while len(at) < 16:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        assert agent.core.listing_wait_s(agent.now) < LISTING_WAIT_S
    gaps = [b - a for a, b in itertools.pairwise(at[6:])]
    assert max(gaps) < LISTING_WAIT_S


class RestartedWorker:
    """Answers only for its second boot, whose report follows a failure."""

    def __init__(self):
        self.born = []
        self.failed = asyncio.Event()

    async def list_runs(self, worker, acked_end, token, wait_s, lease_until):
        self.born.append(worker.born_ms)
        if worker.born_ms == 1:
            self.failed.set()
            return ListingFailure.UNANSWERED
        await asyncio.sleep(0)
        return RunListing(worker.born_ms, (), ())

    async def close(self):
        pass


def make_agent(worker):
    cfg = FleetSettings(
        name="a", zone="z", ip="127.0.0.1", rpc_port=0, store="", http=""
    )
    return FleetAgent(cfg, FakeStore(), worker, FleetMetrics("a", {}))


@asynccontextmanager
async def waiting_without_limit(monkeypatch, agent):
    """Run an agent whose waits end with an event only."""
    for name in ("TOKEN_WAIT_S", "LISTING_RETRY_DELAY_S", "HEDGE_DELAY_S"):
        monkeypatch.setattr(f"briarford_daemon.fleet.agent.{name}", 1000.0)
    await agent.start()
    try:
        async with asyncio.timeout(LIMIT_S):
            yield
    finally:
        await agent._tasks.cancel()
        agent._driver.close()
        await agent._links.stop()


async def until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.001)


def token_last(agent):
    agent.worker_reported(REPORT)
    return lambda: agent._on_registered(7)


def report_last(agent):
    agent._on_registered(7)
    return lambda: agent.worker_reported(REPORT)


def record_first(agent):
    agent._on_record_found(AgentRecord("127.0.0.1:1", REPORT))
    return lambda: agent._on_registered(7)


@pytest.mark.parametrize("first", [token_last, report_last, record_first])
async def test_the_first_listing_waits_for_no_period(monkeypatch, first):
    """A restarted agent accepts runs only after the first listing."""
    worker = RestartedWorker()
    worker.list_runs = FakeWorker(lambda n: True).list_runs
    agent = make_agent(worker)
    async with waiting_without_limit(monkeypatch, agent):
        give_second = first(agent)
        await asyncio.sleep(0.01)
        assert not agent.core.reconciled
        give_second()
        await until(lambda: agent.core.reconciled)


async def test_a_report_ends_the_wait_after_a_failed_listing(monkeypatch):
    """The record names the worker's boot before a loss of power."""
    worker = RestartedWorker()
    agent = make_agent(worker)
    async with waiting_without_limit(monkeypatch, agent):
        agent._on_record_found(AgentRecord("127.0.0.1:1", REPORT))
        agent._on_registered(7)
        await worker.failed.wait()
        await asyncio.sleep(0.01)
        agent.worker_reported(
            msgspec.structs.replace(REPORT, worker="w2", born_ms=2)
        )
        await until(lambda: agent.core.reconciled)
    assert worker.born[0] == 1
    assert worker.born[-1] == 2


class ReplacedWorker:
    """Answers under one id at its address; any other id is misdirected."""

    def __init__(self):
        self.alive = "w"
        self.listings = 0

    async def list_runs(self, worker, acked_end, token, wait_s, lease_until):
        await asyncio.sleep(0 if not wait_s else LIMIT_S)
        if worker.worker != self.alive:
            return ListingFailure.OTHER_INSTANCE
        self.listings += 1
        return RunListing(1, (), ())

    async def close(self):
        pass


@pytest.mark.parametrize("replaced", [True, False])
async def test_a_claim_is_verified_at_once(monkeypatch, replaced):
    """Guards against a stray worker in use, and a new one that waits.

    The listing that the agent has requested waits for a run to end.
    """
    worker = ReplacedWorker()
    agent = make_agent(worker)
    async with waiting_without_limit(monkeypatch, agent):
        agent._on_registered(7)
        agent.worker_reported(REPORT)
        await until(lambda: agent.core.reconciled)
        listings = worker.listings
        if replaced:
            worker.alive = "w2"
        agent.worker_reported(
            msgspec.structs.replace(REPORT, worker="w2", born_ms=2)
        )
        await until(lambda: not agent.core.has_pending_claim)
        if replaced:
            agent._poll_limit.reschedule(0)  # its connection has ended
        assert agent.core.worker.worker == worker.alive
        await until(lambda: worker.listings > listings)
