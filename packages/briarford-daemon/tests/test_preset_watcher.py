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
ENOUGH_S = 30.0


class Watched:
    """A watcher and the versions that it gave."""

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
        async with asyncio.timeout(ENOUGH_S):
            while version not in self.versions:
                self.changed.clear()
                await self.changed.wait()


@contextlib.asynccontextmanager
async def run(server, count=1, **fetch):
    watched = [Watched(server, fetch) for _ in range(count)]
    for one in watched:
        await one.watcher.start()
    try:
        yield watched
    finally:
        for one in watched:
            await one.watcher.stop()
            await one.store.close()


async def write(server, record, expected):
    async with contextlib.AsyncExitStack() as stack:
        store = HttpStore(server.address)
        stack.push_async_callback(store.close)
        deadline = Clock().now() + ENOUGH_S
        await store.swap(PRESET_KEY, encode_record(record), expected, deadline)


@pytest.mark.parametrize(
    "faults",
    [{}, {"silent_watches": True}, {"delay_s": 0.05}],
    ids=["none", "silent-watches", "slow"],
)
async def test_all_processes_adopt_a_change(faults):
    server = KvServer()
    await server.start()
    await write(server, V1, 0)
    async with run(server, 3) as watched:
        for one in watched:
            await one.wait_for(1)
        server.set_faults(**faults)
        await write(server, V2, 1)
        for one in watched:
            await one.wait_for(2)
            assert one.versions == [1, 2]
    await server.stop()


async def test_a_process_starts_from_its_peers_while_the_store_is_down():
    async def fetch(deadline):
        return (b"unreadable", encode_record(V2), encode_record(V1))

    server = KvServer()
    await server.start()
    server.set_faults(down=True)
    async with run(server, fetch=fetch) as (one,):
        await one.wait_for(2)
        assert not one.watcher.offer(encode_record(V1))
        assert one.versions == [2]
    await server.stop()


async def test_a_restarted_store_is_followed_again():
    server = KvServer()
    await server.start()
    await write(server, V1, 0)
    async with run(server) as (one,):
        await one.wait_for(1)
        await server.stop()
        await server.start()
        await write(server, V2, 1)
        await one.wait_for(2)
    await server.stop()
