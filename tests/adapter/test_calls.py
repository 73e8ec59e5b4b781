"""Calls of the adapter to the store and to a worker, against stand-ins."""

from __future__ import annotations

import asyncio
import random
import socket
import time

import msgspec.structs
import pytest

from briarford.exceptions import StoreError
from briarford.runs import (
    Capacity,
    EndedRow,
    ListingFailure,
    OrderResult,
    RunListing,
    RunningRow,
    WorkerReport,
)
from briarford.runs.effects import PlaceOrder, WithdrawRun
from briarford.runs.worker_clock import CLOCK_DRIFT_FACTOR, WorkerClock
from briarford_daemon.fleet.clock import BootClock
from briarford_platform import workers
from briarford_platform.store import PlatformStore
from briarford_platform.workers import WorkerClient

LEASE_S = 1.0
LEASE_MS = int(1000 / CLOCK_DRIFT_FACTOR)  # on a clock that may be slow
ROUNDING_MS = 1


def report(address: str, clock_ms: int = 5000) -> WorkerReport:
    return WorkerReport(
        "i-1", 1, "s", address, "z", Capacity(1, 1, 0), (), False, clock_ms, 1
    )


@pytest.fixture
async def store(store_server):
    _, address = store_server
    client = PlatformStore(address, BootClock(), random.Random(1))
    yield client
    await client.close()


class StoppedClock(BootClock):
    """A clock that a test sets forward."""

    def __init__(self) -> None:
        super().__init__()
        self.at = super().now()

    def now(self) -> float:
        return self.at


CLOCK = StoppedClock()


@pytest.fixture
async def worker(monkeypatch):
    # Only the stand-in decides whether there is an answer; on a busy machine
    # an answer may take longer than the real time-outs.
    monkeypatch.setattr(workers, "STOP_TIMEOUT_S", 1.0)
    monkeypatch.setattr(workers, "LISTING_TIMEOUT_S", 1.0)
    client = WorkerClient(CLOCK)
    yield client
    await client.close()


def lease_until() -> float:
    return CLOCK.now() + LEASE_S


def start(client, address, order, is_due=lambda: True):
    return client.start_run(report(address), order, 42, lease_until(), is_due)


def deadline_in(seconds: float = 5.0) -> float:
    return time.time() + seconds


def answer_in(seconds: float) -> float:
    return CLOCK.now() + seconds


async def test_store_swaps_only_the_expected_version(store):
    assert await store.get("k", deadline_in()) is None
    assert await store.swap("k", b"one", 0, deadline_in()) is None
    item = await store.get("k", deadline_in())
    assert item is not None and item.value == b"one"
    found = await store.swap("k", b"two", 0, deadline_in())
    assert found == item
    assert await store.swap("k", b"two", item.version, deadline_in()) is None
    assert await store.swap("k", None, item.version + 1, deadline_in()) is None
    assert await store.get("k", deadline_in()) is None


async def test_store_lists_all_pages(store):
    for name in ("a", "b", "c", "d", "e"):
        await store.swap(f"p/{name}", name.encode(), 0, deadline_in())
    listing = await store.list("p/", deadline_in())
    assert [i.key for i in listing.items] == [
        "p/a",
        "p/b",
        "p/c",
        "p/d",
        "p/e",
    ]


async def test_keys_are_deleted_when_their_lease_ends(store, store_server):
    stand_in, _ = store_server
    lease = await store.grant_lease(3.0, deadline_in())
    await store.swap("k", b"v", 0, deadline_in(), lease)
    assert await store.renew_lease(lease, deadline_in())
    stand_in.end_lease(int(lease))
    assert not await store.renew_lease(lease, deadline_in())
    assert await store.get("k", deadline_in()) is None


async def test_store_tells_single_changes(store, store_server):
    stand_in, _ = store_server
    await store.swap("p/a", b"1", 0, deadline_in())
    listing = await store.list("p/", deadline_in())
    none = await store.changes("p/", listing.revision, deadline_in())
    assert (none.written, none.deleted) == ((), ())
    await store.swap("p/b", b"2", 0, deadline_in())
    changes = await store.changes("p/", listing.revision, deadline_in())
    assert [(i.key, i.value) for i in changes.written] == [("p/b", b"2")]
    assert changes.revision > listing.revision
    stand_in.deleted["p/a"] = stand_in.revision + 1
    changes = await store.changes("p/", changes.revision, deadline_in())
    assert changes.deleted == ("p/a",)
    stand_in.history_from = changes.revision + 1
    assert await store.changes("p/", 0, deadline_in()) is None


async def test_store_watch_reads_all_keys_if_the_history_is_missing(
    store, store_server
):
    stand_in, _ = store_server
    await store.swap("p/a", b"v", 0, deadline_in())
    listing = await store.list("p/", deadline_in())
    assert await store.watch("p/", listing.revision, deadline_in()) is None
    stand_in.history_from = listing.revision + 5
    again = await store.watch("p/", listing.revision, deadline_in())
    assert again is not None and again.items == listing.items


@pytest.mark.parametrize(
    ("fault", "maybe_applied"), [("busy", False), ("lost", True)]
)
async def test_store_errors_show_whether_a_write_may_have_been_applied(
    store, store_server, fault, maybe_applied
):
    stand_in, _ = store_server
    stand_in.fault = fault
    with pytest.raises(StoreError) as caught:
        await store.swap("k", b"v", 0, deadline_in(0.3))
    assert caught.value.maybe_applied is maybe_applied


@pytest.mark.parametrize(
    ("status", "answer", "expected"),
    [
        (200, {"clock_ms": 1}, OrderResult.STARTED),
        (409, {"reason": "fence"}, OrderResult.FENCED),
        (409, {"reason": "old"}, OrderResult.OUTDATED),
        (409, {"reason": "late"}, OrderResult.LATE),
        (409, {"reason": "room"}, OrderResult.NO_ROOM),
        (400, {}, OrderResult.INVALID),
        (421, {}, OrderResult.OTHER_INCARNATION),
        (429, {}, OrderResult.BUSY),
        (503, {}, OrderResult.BUSY),
    ],
)
async def test_order_results(worker, worker_server, status, answer, expected):
    stand_in, address = worker_server
    stand_in.status, stand_in.answer = status, answer
    order = PlaceOrder(1, "j.0.0.0", 7, "text", answer_in(1.0))
    assert await start(worker, address, order) is expected
    call, body, instance = stand_in.calls[0]
    assert (call, instance) == ("run-start", "i-1")
    assert body["task"] == "j.0.0.0"
    assert (body["run"], body["spec"]) == (7, "text")
    assert body["fencing_token"] == 42
    ahead_ms = body["deadline_ms"] - 5000
    assert abs(ahead_ms - LEASE_MS) <= ROUNDING_MS


async def test_order_without_answer(worker, worker_server):
    stand_in, address = worker_server
    stand_in.silent = True
    order = PlaceOrder(1, "j.0.0.0", 7, "text", answer_in(1.0))
    result = await start(worker, address, order)
    assert result is OrderResult.UNANSWERED
    stop = WithdrawRun(1, "j.0.0.0", 7)
    assert not await worker.stop_run(report(address), stop, 42)


async def test_the_log_shows_when_a_lost_order_was_sent(
    worker, worker_server, caplog
):
    stand_in, address = worker_server
    # Leaves an idle connection, on which a call is sent without a wait.
    await worker.list_runs(report(address), 0, 42, 0.0, 0.0)
    stand_in.silent = True
    order = PlaceOrder(1, "j.0.0.0", 7, "text", answer_in(0.1))
    with caplog.at_level("INFO", "briarford.worker"):
        await start(worker, address, order)
    (line,) = (r for r in caplog.records if r.message == "worker-call-lost")
    assert (line.task, line.run) == ("j.0.0.0", 7)
    (left_ms,) = line.sent_with_ms
    assert 0 < left_ms <= 100


@pytest.mark.parametrize("is_connected", [True, False])
async def test_an_order_that_is_no_longer_due_is_not_sent(
    worker, worker_server, is_connected
):
    """Guards against an order that starts a run after it was given up."""
    stand_in, address = worker_server
    order = PlaceOrder(1, "j.0.0.0", 7, "text", answer_in(1.0))
    if is_connected:
        assert await start(worker, address, order) is OrderResult.STARTED
    sent = len(stand_in.calls)
    result = await start(worker, address, order, is_due=lambda: False)
    assert result is OrderResult.EXPIRED
    assert len(worker._http._idle[address]) == 1
    assert await start(worker, address, order) is OrderResult.STARTED
    assert len(stand_in.calls) == sent + 1


@pytest.mark.parametrize(
    ("call", "result"),
    [
        (
            lambda client, address: start(
                client,
                address,
                PlaceOrder(1, "j.0.0.0", 7, "text", answer_in(1.0)),
            ),
            OrderResult.EXPIRED,
        ),
        (
            lambda client, address: client.stop_run(
                report(address), WithdrawRun(1, "j.0.0.0", 7), 42
            ),
            False,
        ),
        (
            lambda client, address: client.list_runs(
                report(address), 58, 42, 0.2, lease_until()
            ),
            ListingFailure.UNANSWERED,
        ),
    ],
    ids=["start", "stop", "list"],
)
async def test_a_call_is_not_sent_after_a_pause(worker_server, call, result):
    """Guards against a call that acts on what is no longer so.

    A late listing acknowledges ends, and extends the lease, of another
    incarnation. The process is paused while a connection is opened.
    """
    stand_in, address = worker_server
    clock = StoppedClock()
    client = WorkerClient(clock)
    connect = client._http._connect

    async def paused_connect(address):
        conn = await connect(address)
        clock.at += 2.4
        return conn

    client._http._connect = paused_connect
    assert await call(client, address) is result
    assert stand_in.calls == []
    await client.close()


async def test_a_call_to_a_replaced_incarnation_is_not_sent(worker_server):
    """Guards against ends of the new one that are acknowledged unseen."""
    stand_in, address = worker_server
    client = WorkerClient(BootClock())
    connect = client._http._connect
    later = msgspec.structs.replace(report(address), born_ms=2)

    async def slow_connect(address):
        conn = await connect(address)
        client._http._connect = connect
        await client.list_runs(later, 0, 42, 0.0, 0.0)
        return conn

    client._http._connect = slow_connect
    listing = await client.list_runs(report(address), 58, 42, 0.0, 0.0)
    assert listing is ListingFailure.UNANSWERED
    assert [body["last_seen"] for _, body, _ in stand_in.calls] == [0]
    await client.close()


async def test_the_clock_of_another_instance_is_not_used(
    worker, worker_server
):
    """Guards against leases that end by the clock of another worker."""
    stand_in, address = worker_server
    stand_in.status, stand_in.answer = 421, {"clock_ms": 900_000}
    await worker.list_runs(report(address), 0, 42, 0.0, 0.0)
    order = PlaceOrder(1, "j.0.0.0", 7, "text", answer_in(1.0))
    await start(worker, address, order)
    assert stand_in.calls[1][1]["deadline_ms"] < 900_000


async def test_an_order_without_a_connection_in_time_has_not_been_sent(worker):
    """Guards against a withdrawal of what the worker has never got."""

    async def connect(address):
        await asyncio.Event().wait()

    worker._http._connect = connect
    order = PlaceOrder(1, "j.0.0.0", 7, "text", CLOCK.now() + 0.05)
    result = await start(worker, "127.0.0.1:9", order)
    assert result is OrderResult.EXPIRED


async def test_an_order_to_a_crashed_worker_has_not_been_sent(worker):
    """Guards against tasks that wait for a lease although nothing was sent."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
    order = PlaceOrder(1, "j.0.0.0", 7, "text", answer_in(1.0))
    result = await start(worker, address, order)
    assert result is OrderResult.NOT_SENT


async def test_run_listing_is_decoded(worker, worker_server):
    stand_in, address = worker_server
    stand_in.answer = {
        "clock_ms": 9000,
        "born": 77,
        "running": [["j.0.0.1", 2, "", 41, 3100], ["j.0.0.2", 2, "", 5]],
        "ended": [[58, "j.0.0.9", 1, "done", ""]],
    }
    listing = await worker.list_runs(
        report(address), 57, 42, 0.2, lease_until()
    )
    assert isinstance(listing, RunListing)
    assert listing.born_ms == 77
    assert listing.running[0] == RunningRow("j.0.0.1", 2, 41)
    assert listing.ended == (EndedRow(58, "j.0.0.9", 1, "done"),)
    _, body, _ = stand_in.calls[0]
    assert (body["last_seen"], body["wait_ms"]) == (57, 200)
    await worker.list_runs(report(address), 58, 42, 0.0, 0.0)
    assert "deadline_ms" not in stand_in.calls[1][1]


async def test_the_lease_follows_the_clock_of_the_worker(
    worker, worker_server
):
    stand_in, address = worker_server
    stand_in.answer = {"clock_ms": 900_000}
    order = PlaceOrder(1, "j.0.0.0", 7, "text", answer_in(1.0))
    await start(worker, address, order)
    await start(worker, address, order)
    ahead_ms = stand_in.calls[1][1]["deadline_ms"] - 900_000
    assert abs(ahead_ms - LEASE_MS) <= ROUNDING_MS


@pytest.mark.parametrize("rate", [1.0, 1 / CLOCK_DRIFT_FACTOR, 1.05])
@pytest.mark.parametrize("suspended_s", [0.0, 2.0])
@pytest.mark.parametrize("passed_s", [0.0, 0.2, 1.24, 2.4, 30.0])
@pytest.mark.parametrize("left_s", [0.001, 0.5, 1.0])
def test_a_lease_has_ended_on_a_slow_clock(
    rate, suspended_s, passed_s, left_s
):
    """Guards against leases that last longer the older a reading is.

    The clock of the worker stands still while the machine is suspended.
    """
    read_at, steady_at, reading_ms = 1000.0, 50.0, 7000
    now = read_at + suspended_s + passed_s
    clock = WorkerClock(reading_ms, steady_at, read_at)
    until = now + left_s
    end_ms = clock.reached_by_ms(until, steady_at + passed_s, now)
    shown_ms = reading_ms + (passed_s + left_s) * rate * 1000
    assert end_ms <= shown_ms + ROUNDING_MS
    lost_ms = (passed_s + left_s) * (rate - 1 / CLOCK_DRIFT_FACTOR) * 1000
    assert end_ms >= shown_ms - lost_ms - ROUNDING_MS


async def test_the_first_lease_follows_the_listing_before_it(
    worker, worker_server
):
    """Guards against first runs that lapse, as their lease ends too early.

    The heartbeat is old: it has waited while the agent started.
    """
    stand_in, address = worker_server
    stand_in.answer = {"clock_ms": 900_000}
    order = PlaceOrder(1, "j.0.0.0", 7, "text", answer_in(1.0))
    await worker.list_runs(report(address), 0, 42, 0.0, 0.0)
    await start(worker, address, order)
    ahead_ms = stand_in.calls[1][1]["deadline_ms"] - 900_000
    assert abs(ahead_ms - LEASE_MS) <= ROUNDING_MS


async def test_a_failed_request_for_a_listing_gives_the_reason(
    worker, worker_server
):
    stand_in, address = worker_server
    stand_in.status = 421
    listing = await worker.list_runs(
        report(address), 0, 42, 0.0, lease_until()
    )
    assert listing is ListingFailure.OTHER_INSTANCE
    stand_in.status = 500
    listing = await worker.list_runs(
        report(address), 0, 42, 0.0, lease_until()
    )
    assert listing is ListingFailure.UNANSWERED
    stand_in.silent = True
    listing = await worker.list_runs(
        report(address), 0, 42, 0.0, lease_until()
    )
    assert listing is ListingFailure.UNANSWERED
    with socket.socket() as sock:  # bound, but nothing listens
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        nobody = report(f"127.0.0.1:{port}")
        listing = await worker.list_runs(nobody, 0, 42, 0.0, lease_until())
    assert listing is ListingFailure.REFUSED


async def test_a_write_returns_the_version_that_it_gave(store):
    version = await store.write("k", b"one", 0, deadline_in())
    assert (await store.get("k", deadline_in())).version == version > 0
    assert await store.write("k", b"two", 0, deadline_in()) == 0
    assert (await store.get("k", deadline_in())).value == b"one"
    assert await store.write("k", b"two", version, deadline_in()) > version


async def test_a_write_with_an_ended_lease_is_an_error(store, store_server):
    with pytest.raises(StoreError):
        await store.write("k", b"v", 0, deadline_in(), "7")
    assert await store.get("k", deadline_in()) is None
