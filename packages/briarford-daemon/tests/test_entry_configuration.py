"""An entry waits for its first configuration before it serves clients."""

from __future__ import annotations

import asyncio

import pytest

from briarford.exceptions import StoreError
from briarford.routes import Configuration
from briarford.store import KeyValue
from briarford_daemon.fleet.entry import FleetEntry
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.settings import FleetSettings

LIMIT_S = 10.0


class Source:
    key = "op/config"

    def decode(self, value):
        return Configuration(version=1, routes=()) if value else None


def make_entry(store=None):
    cfg = FleetSettings(
        name="e", zone="z", ip="127.0.0.1", rpc_port=0, store="", http=""
    )
    return FleetEntry(cfg, store, Source(), FleetMetrics("e", {}))


async def test_the_wait_ends_with_the_first_configuration():
    """Requests that wait in the socket would be refused before it."""
    entry = make_entry()
    waiting = asyncio.create_task(entry.wait_until_configured(1000.0))
    for value in (None, b""):
        item = None if value is None else KeyValue("op/config", value, 1)
        entry._on_configuration_read(item)
        await asyncio.sleep(0)
        assert not waiting.done()
    entry._on_configuration_read(KeyValue("op/config", b"x", 2))
    async with asyncio.timeout(LIMIT_S):
        await waiting


class FailingStore:
    """Fails the first reads; the next one gets no answer."""

    def __init__(self, failures):
        self.failures = failures

    async def list(self, prefix, deadline):
        if not self.failures:
            await asyncio.Event().wait()
        self.failures -= 1
        raise StoreError("down", step="list", peer="s")


@pytest.mark.parametrize(
    ("failures", "ends"),
    [(0, False), (1, False), (2, True)],
    ids=["slow", "one connection broken", "down"],
)
async def test_the_wait_ends_early_only_if_the_store_is_down(failures, ends):
    """Guards against refusals while a large configuration is on its way."""
    entry = make_entry(FailingStore(failures))
    reading = asyncio.create_task(entry._configuration.run())
    waiting = asyncio.create_task(entry.wait_until_configured(1000.0))
    await asyncio.sleep(0.02)
    assert waiting.done() is ends
    waiting.cancel()
    reading.cancel()


async def test_the_wait_is_short_while_the_store_is_silent():
    entry = make_entry()
    async with asyncio.timeout(LIMIT_S):
        await entry.wait_until_configured(0.0)
    assert entry.routes.current is None
