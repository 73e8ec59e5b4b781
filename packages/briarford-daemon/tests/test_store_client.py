"""The HTTP client of the key-value service, with faults of the service."""

from __future__ import annotations

import contextlib
import time

import pytest

from briarford.exceptions import StoreError
from briarford.store import GuardLimits
from briarford_bench.kv_server import KvServer
from briarford_daemon.store_client import HttpStore

CALL_TIMEOUT_S = 5.0
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


def deadline_in(seconds=CALL_TIMEOUT_S):
    return time.time() + seconds


async def test_get_and_list_show_what_swap_has_written():
    async with run_store() as (_, store):
        assert await store.get("a/1", deadline_in()) is None
        assert await store.swap("a/1", b"\x00\xff", 0, deadline_in()) is None
        assert await store.swap("a/2", b"y", 0, deadline_in()) is None
        found = await store.get("a/1", deadline_in())
        assert (found.value, found.version) == (b"\x00\xff", 1)
        listing = await store.list("a/", deadline_in())
        assert [i.key for i in listing.items] == ["a/1", "a/2"]


@pytest.mark.parametrize(
    ("expected", "version", "value"),
    [
        pytest.param(0, 1, b"x", id="present-but-none-expected"),
        pytest.param(2, 1, b"x", id="newer-expected"),
    ],
)
async def test_swap_with_a_wrong_version_returns_the_present_value(
    expected, version, value
):
    async with run_store() as (_, store):
        await store.swap("k", b"x", 0, deadline_in())
        found = await store.swap("k", b"new", expected, deadline_in())
        assert (found.version, found.value) == (version, value)


async def test_delete_needs_the_present_version():
    async with run_store() as (_, store):
        await store.swap("k", b"x", 0, deadline_in())
        assert (await store.swap("k", None, 3, deadline_in())).version == 1
        assert await store.swap("k", None, 1, deadline_in()) is None
        assert await store.get("k", deadline_in()) is None


async def test_keys_are_deleted_when_their_lease_expires():
    async with run_store() as (server, store):
        lease = await store.grant_lease(30, deadline_in())
        await store.swap("k", b"x", 0, deadline_in(), lease)
        assert await store.renew_lease(lease, deadline_in())
        server.core.lapse_leases()
        assert not await store.renew_lease(lease, deadline_in())
        assert await store.get("k", deadline_in()) is None


async def test_watch_reports_a_change_and_a_deletion():
    async with run_store() as (_, store):
        await store.swap("p/a", b"x", 0, deadline_in())
        listing = await store.watch("p/", 0, deadline_in())
        assert [i.value for i in listing.items] == [b"x"]
        await store.swap("other", b"x", 0, deadline_in())
        assert (
            await store.watch("p/", listing.revision, deadline_in(0.05))
            is None
        )
        await store.swap("p/a", None, 1, deadline_in())
        after_deletion = await store.watch(
            "p/", listing.revision, deadline_in()
        )
        assert after_deletion.items == ()


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
async def test_the_error_of_a_write_says_whether_it_may_have_applied(
    faults, wait_s, applied, maybe_applied
):
    async with run_store() as (server, store):
        server.set_faults(**faults)
        with pytest.raises(StoreError) as caught:
            await store.swap("k", b"x", 0, deadline_in(wait_s))
        assert caught.value.maybe_applied is maybe_applied
        assert caught.value.step == "store-swap"
        assert caught.value.peer == server.address
        server.set_faults()
        assert (await store.get("k", deadline_in()) is not None) is applied


async def test_a_write_on_a_refused_connection_was_not_applied():
    async with run_store() as (server, store):
        await server.stop()
        with pytest.raises(StoreError) as caught:
            await store.swap("k", b"x", 0, deadline_in())
        assert not caught.value.maybe_applied


async def test_a_stale_read_does_not_make_a_swap_stale():
    """A replica may answer a read with an old value; a swap must not."""
    async with run_store() as (server, store):
        await store.swap("k", b"old", 0, deadline_in())
        server.set_faults(stale_reads=True)
        await store.swap("k", b"new", 1, deadline_in())
        assert (await store.get("k", deadline_in())).value == b"old"
        assert (await store.swap("k", b"x", 1, deadline_in())).value == b"new"


async def test_a_watch_without_an_answer_ends_after_its_deadline():
    async with run_store() as (server, store):
        server.set_faults(silent_watches=True)
        with pytest.raises(StoreError):
            await store.watch("", 0, deadline_in(0.05))


async def test_no_call_is_made_while_the_circuit_is_open():
    limits = GuardLimits(failures_to_open=1, first_delay_s=60.0)
    async with run_store(limits) as (server, store):
        server.set_faults(down=True)
        for _ in range(3):
            with pytest.raises(StoreError):
                await store.get("k", deadline_in())
        assert server.core.calls["get"] == 1
        assert store.guard.counts["get", "circuit-open"] == 2
