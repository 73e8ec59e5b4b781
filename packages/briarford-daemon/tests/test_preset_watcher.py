"""Processes adopt new preset records while the store or their peers fail."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from briarford.presets import (
    PRESET_KEY,
    Edit,
    apply_change,
    encode_record,
    make_default_record,
)
from briarford_bench.kv_server import KvServer
from briarford_daemon.clock import Clock
from briarford_daemon.preset_watcher import PresetWatcher
from briarford_daemon.store_client import HttpStore

V1 = make_default_record()
V2 = apply_change(
    V1,
    (Edit(("active",), "ordinary", "peak"),),
    change_id="c2",
    who="ann",
    why="x",
    when=0.0,
)
HANG_LIMIT_S = 30.0


class WatcherProbe:
    """A watcher and the versions that it has adopted, in order."""

    def __init__(self, server, fetch):
        self.clock = Clock()
        self.store = HttpStore(server.address, clock=self.clock)
        self.versions = []
        self.changed = asyncio.Event()
        self.watcher = PresetWatcher(
            self.store, self.clock, self.adopt, **fetch
        )

    def adopt(self, message):
        self.versions.append(message.version)
        self.changed.set()

    async def wait_for(self, version):
        async with asyncio.timeout(HANG_LIMIT_S):
            while version not in self.versions:
                self.changed.clear()
                await self.changed.wait()


@contextlib.asynccontextmanager
async def run_watchers(server, count=1, **fetch):
    probes = [WatcherProbe(server, fetch) for _ in range(count)]
    for probe in probes:
        await probe.watcher.start()
    try:
        yield probes
    finally:
        for probe in probes:
            await probe.watcher.stop()
            await probe.store.close()


async def write_record(server, record, expected):
    async with contextlib.AsyncExitStack() as stack:
        store = HttpStore(server.address)
        stack.push_async_callback(store.close)
        deadline = Clock().now() + HANG_LIMIT_S
        await store.swap(PRESET_KEY, encode_record(record), expected, deadline)


@pytest.mark.parametrize(
    "faults",
    [{}, {"silent_watches": True}, {"delay_s": 0.05}],
    ids=["none", "silent-watches", "slow"],
)
async def test_change_reaches_all_processes(faults):
    """A watch that stays silent, or answers late, must not hide a change."""
    server = KvServer()
    await server.start()
    await write_record(server, V1, 0)
    async with run_watchers(server, 3) as probes:
        for probe in probes:
            await probe.wait_for(1)
        server.set_faults(**faults)
        await write_record(server, V2, 1)
        for probe in probes:
            await probe.wait_for(2)
            assert probe.versions == [1, 2]
    await server.stop()


async def test_process_starts_from_records_of_peers_while_store_is_down():
    """The newest readable record counts; an older one does not replace it."""

    async def fetch(deadline):
        return (b"unreadable", encode_record(V2), encode_record(V1))

    server = KvServer()
    await server.start()
    server.set_faults(down=True)
    async with run_watchers(server, fetch=fetch) as (probe,):
        await probe.wait_for(2)
        assert not probe.watcher.receive_record(encode_record(V1))
        assert probe.versions == [2]
    await server.stop()


async def test_change_is_adopted_after_the_store_restarts():
    """The restart ends the watch, which must be opened again."""
    server = KvServer()
    await server.start()
    await write_record(server, V1, 0)
    async with run_watchers(server) as (probe,):
        await probe.wait_for(1)
        await server.stop()
        await server.start()
        await write_record(server, V2, 1)
        await probe.wait_for(2)
    await server.stop()
