"""How entries and agents read evacuations, without a store."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from briarford.exceptions import StoreError
from briarford.runs import Capacity, RunListing, WorkerReport
from briarford.store import KeyChanges, KeyListing, KeyValue
from briarford_daemon.fleet import evacuations
from briarford_daemon.fleet.agent import FleetAgent
from briarford_daemon.fleet.entry import FleetEntry
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.settings import FleetSettings

LIMIT_S = 10.0
FAILED = StoreError("down", step="list", peer="store")
REPORT = WorkerReport(
    worker="w",
    born_ms=1,
    service="s",
    address="127.0.0.1:1",
    zone="z",
    capacity=Capacity(8000, 4096, 0),
    labels=(),
    draining=False,
    clock_ms=0,
    sequence=1,
)


class Source:
    """Where the operators keep configuration and requests."""

    key = "op/config"
    prefix = "op/zones/"
    common_prefix = "op/"

    def decode(self, value):
        return None

    def decode_zone(self, key):
        if not key.startswith(self.prefix):
            return None
        return key.removeprefix(self.prefix)


class FakeStore:
    """Answers reads under ``op/`` from scripts, and no other calls.

    An empty script does not answer.
    """

    def __init__(self, lists=(), changes=()):
        self.lists = list(lists)
        self.script = list(changes)
        self.calls = []

    async def get(self, key, deadline):
        await asyncio.Event().wait()

    async def list(self, prefix, deadline):
        return await self._next("list", prefix, self.lists)

    async def changes(self, prefix, after, deadline):
        return await self._next("watch", prefix, self.script)

    async def _next(self, call, prefix, script):
        if not prefix.startswith("op/"):
            await asyncio.Event().wait()
        self.calls.append((call, prefix))
        if not script:
            await asyncio.Event().wait()
        answer = script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class FakeWorker:
    """Lists no runs."""

    async def list_runs(self, worker, acked_end, token, wait_s, lease_until):
        await asyncio.sleep(0.002)
        return RunListing(1, (), ())

    async def close(self) -> None: ...


def listing(revision, *zones):
    items = [KeyValue(f"op/zones/{z}", b"", 3) for z in zones]
    return KeyListing(revision, (KeyValue("op/config", b"", 2), *items))


def settings(enabled: bool) -> FleetSettings:
    return FleetSettings(
        name="n",
        zone="z",
        ip="127.0.0.1",
        rpc_port=0,
        store="",
        http="",
        evacuations=enabled,
    )


@asynccontextmanager
async def running_agent(store, enabled=True):
    agent = FleetAgent(
        settings(enabled),
        store,
        FakeWorker(),
        FleetMetrics("n", {}),
        Source(),
    )
    await agent.start()
    agent._on_registered(7)
    agent.worker_reported(REPORT)
    try:
        await until(lambda: agent.core.reconciled)
        yield agent
    finally:
        await agent._tasks.cancel()
        agent._driver.close()
        await agent._links.stop()


async def until(condition) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.001)


def accepting(agent) -> bool:
    return agent.core.accepting(agent._clock.now())


@pytest.mark.parametrize(
    ("enabled", "lists", "reads", "accepts"),
    [
        pytest.param(True, [], 1, False, id="no answer yet"),
        pytest.param(True, [FAILED, FAILED], 3, False, id="store down"),
        pytest.param(True, [listing(5)], 2, True, id="no request"),
        pytest.param(True, [listing(5, "z")], 2, False, id="closed"),
        pytest.param(True, [listing(5, "y")], 2, True, id="another zone"),
        pytest.param(
            True, [listing(5, "z"), listing(9)], 3, True, id="open again"
        ),
        pytest.param(
            True,
            [listing(5, "z"), FAILED, FAILED],
            4,
            False,
            id="store down while closed",
        ),
        pytest.param(False, [], 0, True, id="not enabled"),
    ],
)
async def test_an_agent_lists_the_requests_before_it_accepts_runs(
    monkeypatch, enabled, lists, reads, accepts
):
    """Guards against starts by an agent that does not know of a request."""
    for name in ("LIST_PERIOD_S", "RETRY_DELAY_S"):
        monkeypatch.setattr(evacuations, name, 0.001)
    store = FakeStore(lists)
    async with running_agent(store, enabled) as agent:
        await until(lambda: len(store.calls) == reads)
        assert accepting(agent) is accepts
        assert store.calls == [("list", "op/zones/")] * reads
        assert ("zones_evacuated" in agent._state()) is enabled


@pytest.mark.parametrize(
    ("enabled", "prefix", "closed"),
    [(True, "op/", {"z", "y"}), (False, "op/config", set())],
)
async def test_an_entry_reads_the_requests_with_its_configuration(
    enabled, prefix, closed
):
    """Guards against more calls to the store, which are priced and limited."""
    written = KeyValue("op/zones/y", b"", 7)
    store = FakeStore(
        [listing(5, "z", "x")], [KeyChanges(9, (written,), ("op/zones/x",))]
    )
    entry = FleetEntry(
        settings(enabled), store, Source(), FleetMetrics("n", {}), Source()
    )
    await entry.start()
    try:
        await until(lambda: len(store.calls) == 3)
    finally:
        await entry.stop()
    assert store.calls == [("list", prefix), *[("watch", prefix)] * 2]
    assert entry.core.evacuations.zones == closed
