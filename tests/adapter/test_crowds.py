"""Real processes under crowds of clients that do not behave.

Memory and descriptors of the machine are lowered in the settings, and the
crowds with them. What is checked depends on no speed: the process lives, it
stays within the memory and the descriptors of its machine, and an ordinary
request is answered, while the crowd stays and afterwards.
"""

from __future__ import annotations

import asyncio
import json
import resource
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from crowds import KINDS, Crowd, Meter, raise_descriptor_limit
from test_processes import Fleet, report_worker

MEMORY_MB = 64
# The users' machines keep 200 descriptors for files.
MAX_OPEN_FILES = 400
# More than any entry of the users has; docs/CAPACITY.md has their numbers.
LARGEST_CROWD = 300
DONE = (200, b'{"state":"completed"}')


class SmallFleet(Fleet):
    """A fleet whose machines have little memory and few descriptors."""

    memory_mb = MEMORY_MB
    max_open_files = MAX_OPEN_FILES

    async def launch(self, role: str) -> None:
        self.settings[role]["memory_mb"] = self.memory_mb
        self.settings[role]["max_open_files"] = self.max_open_files
        await super().launch(role)
        limit = (self.max_open_files, self.max_open_files)
        pid = self.processes[role].pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limit)

    async def start(self) -> None:
        await super().start()
        # Each request opens a connection, as those of an ordinary caller.
        await self.http.close()
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self.http = aiohttp.ClientSession(connector=connector)

    def addresses(self, role: str) -> dict[str, str]:
        """Return the addresses on which a process listens, by listener."""
        settings = self.settings[role]
        names = {"entry": ["http", "health"], "agent": ["http"]}[role]
        ports = {"metrics": settings["metrics_port"]}
        if role == "agent":
            ports["rpc"] = settings["rpc_port"]
        return {
            **{name: settings[name] for name in names},
            **{name: f"127.0.0.1:{port}" for name, port in ports.items()},
        }

    async def answer(self, role: str, listener: str) -> int:
        """Return the status of an ordinary request to a listener."""
        if listener == "health":
            return await self.ready()
        if listener == "metrics":
            await self.metrics(role)
        elif (role, listener) == ("agent", "http"):
            await self.report()
        return 200


class SmallestFleet(SmallFleet):
    """A fleet on the smallest machines of the users."""

    memory_mb = 128
    max_open_files = 3075


@asynccontextmanager
async def serving(folder: Path, kind: type[SmallFleet] = SmallFleet):
    raise_descriptor_limit()
    fleet = kind(folder)
    await fleet.start()
    try:
        await fleet.eventually(lambda: report_worker(fleet), True)
        await fleet.eventually(fleet.ready, 200)
        await serve_one(fleet)
        yield fleet
    finally:
        await fleet.stop()


JOBS = iter(range(1, 10_000))


async def serve_one(fleet: Fleet) -> None:
    """Have one ordinary job answered; its client repeats it if need be."""

    async def attempt() -> Any:
        return await fleet.submit(f"{next(JOBS):016x}")

    await fleet.eventually(attempt, DONE)


CROWDS = [
    *(
        ("entry", "http", name)
        for name in KINDS
        if not name.startswith(("frame", "reports", "many-answers"))
    ),
    ("agent", "http", "head-in-one-line"),
    ("agent", "http", "large-chunks-stopped-short"),
    ("agent", "http", "reports-stopped-short"),
    ("agent", "http", "a-byte-now-and-then"),
    ("agent", "rpc", "frame-stopped-short"),
    ("agent", "rpc", "frame-without-a-service"),
    ("agent", "rpc", "frames-of-a-byte-now-and-then"),
    ("entry", "health", "head-in-one-line"),
    ("entry", "health", "large-chunks-stopped-short"),
    ("entry", "health", "a-byte-now-and-then"),
    ("entry", "metrics", "head-in-one-line"),
    ("entry", "metrics", "answers-never-read"),
    ("entry", "metrics", "a-byte-now-and-then"),
    ("agent", "metrics", "large-chunks-stopped-short"),
]


@pytest.mark.parametrize(("role", "listener", "name"), CROWDS)
async def test_a_crowd_ends_no_process(tmp_path, role, listener, name):
    async with serving(tmp_path) as fleet:
        addresses = fleet.addresses(role)
        process = fleet.processes[role]
        async with Meter(process.pid, addresses.values()) as meter:
            crowd = Crowd(addresses[listener], KINDS[name])
            async with crowd:
                await crowd.settled()
                await fleet.eventually(
                    lambda: fleet.answer(role, listener), 200
                )
                await serve_one(fleet)
            await fleet.eventually(lambda: fleet.answer(role, listener), 200)
            await serve_one(fleet)
            assert process.returncode is None
            assert meter.peak_mb <= MEMORY_MB
            assert meter.peak_descriptors < MAX_OPEN_FILES


@pytest.mark.parametrize(
    "name", ["many-answers-never-read", "many-large-jobs-that-wait"]
)
async def test_a_crowd_keeps_the_processor_from_nobody(tmp_path, name):
    """On a machine with enough connections for the whole crowd."""
    async with serving(tmp_path, SmallestFleet) as fleet:
        addresses = fleet.addresses("entry")
        process = fleet.processes["entry"]
        async with Meter(process.pid, addresses.values()) as meter:
            async with Crowd(addresses["http"], KINDS[name]) as crowd:
                await crowd.settled()
                await serve_one(fleet)
            await serve_one(fleet)
            assert process.returncode is None
            assert meter.peak_mb <= SmallestFleet.memory_mb


async def test_a_crowd_at_several_listeners_shares_the_memory(tmp_path):
    """Each of the crowds alone would stay within the bound."""
    async with serving(tmp_path) as fleet:
        addresses = fleet.addresses("entry")
        process = fleet.processes["entry"]
        kind = KINDS["large-chunks-stopped-short"]
        async with Meter(process.pid, addresses.values()) as meter:
            crowds = [Crowd(address, kind) for address in addresses.values()]
            for crowd in crowds:
                await crowd.__aenter__()
            for crowd in crowds:
                await crowd.settled()
            await fleet.eventually(fleet.ready, 200)
            await serve_one(fleet)
            for crowd in crowds:
                await crowd.__aexit__(None, None, None)
            assert process.returncode is None
            assert meter.peak_mb <= MEMORY_MB


def _ordinary_job(tasks: int, steps: int) -> dict[str, Any]:
    share, rest = divmod(tasks, steps)
    return {
        "spec": "x" * 4000,
        "best_effort": True,
        "steps": [
            {"count": share + (n < rest), "cpu": 250, "estimated_ms": 50}
            for n in range(steps)
        ],
    }


@pytest.mark.parametrize(
    ("tasks", "steps"), [(1400, 1), (1400, 700)], ids=["plain", "many steps"]
)
async def test_the_largest_job_meets_no_limit(tmp_path, tasks, steps):
    """1,400 tasks and a text of 4,000 bytes, the largest of the pages."""
    async with serving(tmp_path) as fleet:
        # So many at a time as the stand-in can list quickly.
        fleet.worker.core.needs["00000000000000ff"] = (250, 0.01)
        body = _ordinary_job(tasks, steps)
        url = f"http://{fleet.settings['entry']['http']}/p/00000000000000ff"
        headers = {"Host": "h.example"}
        async with fleet.http.post(url, json=body, headers=headers) as resp:
            assert (resp.status, await resp.read()) == DONE
        # As chunks, with the largest body and head of the configuration.
        padded = json.dumps({**body, "pad": "x" * 200_000})
        padding = {"X-Pad": "y" * 8000, "X-More": "y" * 8000}

        async def blocks():
            for at in range(0, len(padded), 1000):
                yield padded[at : at + 1000].encode()

        async with fleet.http.post(
            url, data=blocks(), headers={**headers, **padding}
        ) as resp:
            assert (resp.status, await resp.read()) == DONE


async def test_a_report_of_4_mib_meets_no_limit(tmp_path):
    async with serving(tmp_path) as fleet:
        fleet.worker.core.sequence += 1
        await fleet.report(version="x" * (4 * 1024 * 1024 - 500))
        await serve_one(fleet)


async def test_the_crowd_of_the_largest_site_meets_no_limit(tmp_path):
    """More callers at once than any entry of the users has."""
    async with serving(tmp_path, SmallestFleet) as fleet:
        names = [f"{next(JOBS):016x}" for _ in range(LARGEST_CROWD)]
        answers = await asyncio.gather(*(fleet.submit(n) for n in names))
        # Admission refuses those that one worker cannot serve in time.
        assert {status for status, _ in answers} <= {200, 503}
        metrics = await fleet.metrics("entry")
        for kind in ("intake-", "queue-full", "given-up-for-room", "repeat-"):
            assert f'kind="{kind}' not in metrics
            assert f'kind="refused-{kind}' not in metrics
