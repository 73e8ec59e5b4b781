from __future__ import annotations

import contextlib
import time

import pytest

from briarford.exceptions import StoreError
from briarford.store import GuardLimits
from briarford_bench.kv_server import KvServer
from briarford_daemon.store_client import HttpStore

CALL_S = 5.0
NEVER_OPENS = GuardLimits(failures_to_open=1000)


@contextlib.asynccontextmanager
async def run_store(limits=NEVER_OPENS):
    server = KvServer()
    await server.start()
    store = HttpStore(server.address, limits=limits)
    try:
        yield server, store
    finally:
        await store.close()
        await server.stop()


def soon(seconds=CALL_S):
    return time.time() + seconds


async def test_swap_reads_and_lists_what_was_written():
    async with run_store() as (_, store):
        assert await store.get("a/1", soon()) is None
        assert await store.swap("a/1", b"\x00\xff", 0, soon()) is None
        assert await store.swap("a/2", b"y", 0, soon()) is None
        found = await store.get("a/1", soon())
        assert (found.value, found.version) == (b"\x00\xff", 1)
        listing = await store.list("a/", soon())
        assert [i.key for i in listing.items] == ["a/1", "a/2"]


@pytest.mark.parametrize(
    ("expected", "version", "value"),
    [
        pytest.param(0, 1, b"x", id="present-but-none-expected"),
        pytest.param(2, 1, b"x", id="newer-expected"),
    ],
)
async def test_swap_on_another_version_shows_what_is_there(
    expected, version, value
):
    async with run_store() as (_, store):
        await store.swap("k", b"x", 0, soon())
        found = await store.swap("k", b"new", expected, soon())
        assert (found.version, found.value) == (version, value)


async def test_delete_needs_the_version():
    async with run_store() as (_, store):
        await store.swap("k", b"x", 0, soon())
        assert (await store.swap("k", None, 3, soon())).version == 1
        assert await store.swap("k", None, 1, soon()) is None
        assert await store.get("k", soon()) is None


async def test_keys_go_with_their_lease():
    async with run_store() as (server, store):
        lease = await store.grant_lease(30, soon())
        await store.swap("k", b"x", 0, soon(), lease)
        assert await store.renew_lease(lease, soon())
        server.core.lapse_leases()
        assert not await store.renew_lease(lease, soon())
        assert await store.get("k", soon()) is None


async def test_watch_answers_a_change_and_a_deletion():
    async with run_store() as (_, store):
        await store.swap("p/a", b"x", 0, soon())
        listing = await store.watch("p/", 0, soon())
        assert [i.value for i in listing.items] == [b"x"]
        await store.swap("other", b"x", 0, soon())
        assert await store.watch("p/", listing.revision, soon(0.05)) is None
        await store.swap("p/a", None, 1, soon())
        gone = await store.watch("p/", listing.revision, soon())
        assert gone.items == ()


@pytest.mark.parametrize(
    ("faults", "wait_s", "applied", "maybe_applied"),
    [
        pytest.param({"down": True}, 5.0, False, True, id="down"),
        pytest.param({"silent": True}, 0.1, False, True, id="silent"),
        pytest.param({"delay_s": 5.0}, 0.1, False, True, id="slow"),
        pytest.param({"lost_answers": 1}, 0.1, True, True, id="answer-lost"),
        pytest.param({"lost_share": 1.0}, 0.1, True, True, id="all-lost"),
        pytest.param({"calls_per_s": 0.5}, 5.0, False, False, id="limited"),
    ],
)
async def test_a_failed_write_tells_whether_it_may_have_applied(
    faults, wait_s, applied, maybe_applied
):
    async with run_store() as (server, store):
        server.set_faults(**faults)
        with pytest.raises(StoreError) as caught:
            await store.swap("k", b"x", 0, soon(wait_s))
        assert caught.value.maybe_applied is maybe_applied
        assert caught.value.step == "store-swap"
        assert caught.value.peer == server.address
        server.set_faults()
        assert (await store.get("k", soon()) is not None) is applied


async def test_a_refused_connection_has_no_effect():
    async with run_store() as (server, store):
        await server.stop()
        with pytest.raises(StoreError) as caught:
            await store.swap("k", b"x", 0, soon())
        assert not caught.value.maybe_applied


async def test_stale_reads_show_the_past_and_swaps_do_not():
    async with run_store() as (server, store):
        await store.swap("k", b"old", 0, soon())
        server.set_faults(stale_reads=True)
        await store.swap("k", b"new", 1, soon())
        assert (await store.get("k", soon())).value == b"old"
        assert (await store.swap("k", b"x", 1, soon())).value == b"new"


async def test_silent_watch_ends_at_its_deadline():
    async with run_store() as (server, store):
        server.set_faults(silent_watches=True)
        with pytest.raises(StoreError):
            await store.watch("", 0, soon(0.05))


async def test_open_circuit_makes_no_call():
    limits = GuardLimits(failures_to_open=1, first_delay_s=60.0)
    async with run_store(limits) as (server, store):
        server.set_faults(down=True)
        for _ in range(3):
            with pytest.raises(StoreError):
                await store.get("k", soon())
        assert server.core.calls["get"] == 1
        assert store.guard.counts["get", "circuit-open"] == 2
