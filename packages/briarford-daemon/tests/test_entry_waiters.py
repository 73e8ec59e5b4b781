"""Which requests an entry answers with the outcome of a job."""

from __future__ import annotations

import asyncio

import pytest

from briarford.outcomes import Failed
from briarford.requests import JobRequest, StepSpec
from briarford.routes import Route
from briarford_daemon.fleet.entry import FleetEntry
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.settings import FleetSettings

ROUTE = Route("r", "h", "/p/", "desk", 1, 3, 1.6, 0.06)
JOB = JobRequest("j", "text", (StepSpec(1, 1000, 1, 0, 0.1),), True)


class NoStore:
    """Answers nothing."""

    def __getattr__(self, name):
        async def wait(*args):
            await asyncio.Event().wait()

        return wait


class Source:
    """The key of the operators' configuration."""

    key = "op/config"

    def decode(self, value):
        return None


@pytest.fixture
async def entry():
    cfg = FleetSettings(
        name="e", zone="z", ip="127.0.0.1", rpc_port=0, store="", http=""
    )
    entry = FleetEntry(cfg, NoStore(), Source(), FleetMetrics("e", {}))
    await entry.start()
    yield entry
    await entry.stop()


@pytest.mark.parametrize("turns", [0, 1, 2])
async def test_a_repeat_does_not_get_the_outcome_of_a_cancelled_job(
    entry, turns
):
    """Guards against a job that goes on and has no request that waits.

    The repeat has been read when the job is cancelled, or is read soon after.
    """
    first = asyncio.create_task(entry.submit(JOB, ROUTE))
    await asyncio.sleep(0.05)
    if turns:
        assert entry.cancel("j")
        for _ in range(turns - 1):
            await asyncio.sleep(0)
    repeat = asyncio.create_task(entry.submit(JOB, ROUTE))
    if not turns:
        assert entry.cancel("j")
    assert isinstance(await first, Failed)
    await asyncio.sleep(0.05)
    assert not repeat.done()
    assert entry.core.open_jobs == 1
    repeat.cancel()
    await asyncio.wait([repeat])
    assert entry.core.open_jobs == 0
