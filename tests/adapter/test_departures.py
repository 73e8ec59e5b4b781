"""Clients that have left without a sign that the entry has seen.

Two entries, two agents and their workers, as real processes.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time

import pytest

from fleet.worker import Interval
from soak import REPEAT_DELAY_S, Soak

WORK_S = 4.0
DEADLINE_S = 1.0
START_S = 30.0
JOBS = 20
# An entry serves shortly before it logs that it has started.
SERVED_EARLY_S = 0.02


@pytest.fixture
async def fleet(tmp_path):
    fleet = Soak(1, tmp_path, entries=2, agents=2)
    await fleet.start()
    for entry in fleet.entries:
        await serve(fleet, entry)
    yield fleet
    await fleet.stop()


async def serve(fleet: Soak, entry: str) -> None:
    """Wait until an entry serves jobs."""
    async with asyncio.timeout(START_S):
        while True:
            if await fleet.submit(entry, new_job(fleet, 0.05), 5.0) == 200:
                return
            await asyncio.sleep(0.1)


def new_job(fleet: Soak, work_s: float) -> str:
    job = f"{next(fleet._jobs):016x}"
    for worker in fleet.workers:
        worker.core.needs[job] = (1000, work_s)
    return job


async def wait_for_run(fleet: Soak, job: str) -> None:
    async with asyncio.timeout(START_S):
        while True:
            if any(r.task.startswith(job) for r in runs(fleet)):
                return
            await asyncio.sleep(0.01)


def runs(fleet: Soak) -> list[Interval]:
    """Return the runs on all workers, also those that go on."""
    found = []
    for worker in fleet.workers:
        now = worker.loop.time()
        worker.core.advance(now)
        found += worker.core.history
        found += [
            Interval(
                r.task, r.run, worker.core.name, "", r.started_at, now, ""
            )
            for r in worker.core.runs.values()
        ]
    return found


def overlaps(fleet: Soak, job: str) -> list[tuple[Interval, Interval]]:
    found = [r for r in runs(fleet) if r.task.startswith(job)]
    return [
        (one, other)
        for one in found
        for other in found
        if one.task == other.task
        and one.run < other.run
        and one.start < other.end
        and other.start < one.end
    ]


async def test_a_job_whose_client_waits_no_longer_ends(fleet: Soak):
    """Guards against a job that goes on beside its repeat elsewhere.

    The connection stays open, as if its end had been lost on the way.
    """
    job = new_job(fleet, WORK_S)
    _, writer = await fleet.send("entry-0", job, DEADLINE_S)
    with contextlib.closing(writer):
        await wait_for_run(fleet, job)
        await asyncio.sleep(DEADLINE_S + REPEAT_DELAY_S)
        assert await fleet.submit("entry-1", job, 10.0) == 200
    assert not overlaps(fleet, job)


async def leave_early(fleet: Soak, entry: str) -> dict[str, float]:
    """Send jobs to an entry that is starting, and close the connections.

    :return: when each connection was closed, in Unix seconds.
    """
    closed: dict[str, float] = {}
    async with asyncio.timeout(START_S):
        while len(closed) < JOBS:
            job = new_job(fleet, WORK_S)
            try:
                _, writer = await fleet.send(entry, job, 8.0)
                await writer.drain()
            except OSError:
                await asyncio.sleep(0.01)  # it does not listen yet
                continue
            writer.close()
            await writer.wait_closed()
            closed[job] = time.time()
    return closed


def started_at(fleet: Soak, entry: str) -> float:
    """Return when an entry has begun to serve, in Unix seconds."""
    lines = (fleet.folder / f"{entry}.log").read_text().splitlines()
    events = [json.loads(line) for line in lines]
    return max(e["time"] for e in events if e["message"] == "started")


async def test_a_request_whose_client_has_left_runs_nothing(fleet: Soak):
    """Guards against a run that starts before the end of its connection shows.

    The request waits in the socket on which the entry listens early.
    """
    process = fleet.processes["entry-0"]
    fleet.signal("entry-0", signal.SIGKILL)
    await process.wait()
    closed = await leave_early(fleet, "entry-0")
    await serve(fleet, "entry-0")
    began = started_at(fleet, "entry-0")
    waited = {job for job, at in closed.items() if at < began - SERVED_EARLY_S}
    assert waited
    assert not [r for r in runs(fleet) if r.task.partition(".")[0] in waited]
