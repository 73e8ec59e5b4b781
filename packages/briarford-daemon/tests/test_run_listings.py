"""How an agent process reads the run listings of its worker."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from briarford.runs import Capacity, RunListing, WorkerReport
from briarford_daemon.fleet.agent import FleetAgent
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.settings import FleetSettings

LIMIT_S = 10.0
REPORT = WorkerReport(
    "w", 1, "desk", "127.0.0.1:1", "z", Capacity(8000, 100, 0), (), False, 0, 1
)


class FakeStore:
    """A store that does not answer; the agent is given its token."""

    async def get(self, key, deadline):
        await asyncio.Event().wait()


class FakeWorker:
    """Answers requests for listings as the script of a test says."""

    def __init__(self, answers):
        self.answers = answers
        self.waits = []
        self.enough = asyncio.Event()

    async def list_runs(self, worker, acked_end, token, wait_s, lease_s):
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
