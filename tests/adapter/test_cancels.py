"""Cancels of jobs whose route was removed."""

from __future__ import annotations

import asyncio
import inspect

import pytest

from briarford.outcomes import Failed
from briarford.requests import JobRequest, StepSpec
from briarford.routes import Configuration, Route
from briarford_daemon.fleet.entry import FleetEntry
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.settings import FleetSettings
from briarford_daemon.http_listener import HttpCall
from briarford_platform.client_calls import handle_client_calls
from briarford_platform.configuration import OperatorConfiguration

JOB = "5c0e7a21d94b36f8"
QUEUE = Route("r", "h", "/queue/", "desk")
OTHER = Route("r2", "h", "/other/", "desk")
SHORTER = Route("r3", "h", "/", "desk")


class NoStore:
    """Answers nothing."""

    def __getattr__(self, name):
        async def wait(*args):
            await asyncio.Event().wait()

        return wait


class Entry(FleetEntry):
    """Records what it is asked to cancel at other entries."""

    def __init__(self):
        cfg = FleetSettings(
            name="e", zone="z", ip="127.0.0.1", rpc_port=0, store="", http=""
        )
        metrics = FleetMetrics("e", {})
        super().__init__(cfg, NoStore(), OperatorConfiguration(), metrics)
        self.asked = []

    async def cancel_elsewhere(self, job):
        self.asked.append(job)
        return True


@pytest.fixture
async def entry():
    entry = Entry()
    await entry.start()
    entry.routes.adopt_if_newer(Configuration(1, (QUEUE,)), 0.0)
    yield entry
    await entry.stop()


async def delete(entry, path):
    """Return the status of the answer to a DELETE."""
    handle = handle_client_calls(entry, 4096)
    call = HttpCall("DELETE", path, {"host": "h:80"}, b"")
    reply = handle(call)
    if inspect.isawaitable(reply):
        reply = await reply
    return reply.status


@pytest.mark.parametrize(
    ("routes", "status"),
    [((QUEUE,), 200), ((OTHER,), 410), ((SHORTER,), 410), ((), 410)],
)
@pytest.mark.parametrize("is_here", [True, False])
async def test_a_cancel_finds_its_job_without_the_route(
    entry, routes, status, is_here
):
    """Guards against jobs that go on since their route was removed."""
    if is_here:
        steps = (StepSpec(1, 1000, 1, 0, 0.1),)
        request = JobRequest(JOB, "text", steps, True)
        waiting = asyncio.create_task(entry.submit(request, QUEUE))
        await asyncio.sleep(0)
        assert entry.core.open_jobs == 1
    entry.routes.adopt_if_newer(Configuration(2, routes), 0.0)
    assert await delete(entry, f"/queue/{JOB}") == status
    assert entry.core.open_jobs == 0
    assert entry.asked == ([] if is_here else [JOB])
    if is_here:
        assert isinstance(await waiting, Failed)


@pytest.mark.parametrize("path", ["/gone/", "/gone/word"])
async def test_a_path_without_a_route_and_a_job_is_not_found(entry, path):
    assert await delete(entry, path) == 404
    assert not entry.asked
