"""Requests between two entries over loopback sockets.

A proxy before the home can swallow all bytes without closing a connection, as
a lost machine or a dropped network flow does.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from briarford.homes import (
    IdAllocator,
    Member,
    RecordExchanger,
    Router,
    TransferredJobTable,
    ViewHolder,
    ViewRecord,
    choose_successor,
)
from briarford.homes.messages import TransferredJob, WireCompleted
from briarford.homes.transfer import split_into_batches
from briarford.homes.view import Departed, Epoch
from briarford.jobs import JobSpec, TaskSpec
from briarford.outcomes import (
    Completed,
    Failed,
    FailureReason,
    RefusalReason,
    Refused,
)
from briarford_daemon import peers as peers_module
from briarford_daemon.clock import Clock
from briarford_daemon.frames import FrameServer
from briarford_daemon.peers import PEERS_SERVICE, Peers, PeerService

FAR = 1e12
HANG_LIMIT_S = 20.0
ANSWER = Completed((b"1", b"2"))


class FakeJobs:
    """Jobs that end when the test sets their outcome."""

    def __init__(self):
        self.jobs = {}
        self.starts = 0
        self.lookups = 0
        self.arrived = asyncio.Event()

    def has_job(self, job_id):
        self.lookups += 1
        return job_id in self.jobs

    async def submit(self, spec, remember_until, wait_until):
        if spec.job_id not in self.jobs:
            self.starts += 1
            loop = asyncio.get_running_loop()
            self.jobs[spec.job_id] = loop.create_future()
        self.arrived.set()
        return await asyncio.shield(self.jobs[spec.job_id])

    async def read(self, job_id, wait_until):
        fut = self.jobs[job_id]
        return fut.result() if fut.done() else None

    def cancel(self, job_id):
        self.jobs[job_id].set_result(
            Refused(RefusalReason.CANCELLED, "cancelled", "queue", "e1")
        )


class SilentProxy:
    """A TCP proxy that can stop passing on bytes, connection by connection."""

    def __init__(self, port):
        self.port = port
        self.silent = set()
        self.writers = []
        self.connections = 0
        self.silence_new = False

    async def serve(self, reader, writer):
        number, self.connections = self.connections, self.connections + 1
        if self.silence_new:
            self.silent.add(number)
        far = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers += [writer, far[1]]
        await asyncio.gather(
            self.pump(number, reader, far[1]),
            self.pump(number, far[0], writer),
            return_exceptions=True,
        )

    async def pump(self, number, reader, writer):
        while data := await reader.read(65536):
            if number not in self.silent:
                writer.write(data)

    def silence(self):
        self.silent.update(range(self.connections))


class Entry:
    """The routing and the peer service of an entry, with fake jobs."""

    def __init__(self, name, address):
        self.me = Member(name, f"i-{name}", address, f"z-{name}")
        self.clock = Clock()
        self.holder = ViewHolder(self.me)
        self.id_allocator = IdAllocator(name, self.me.incarnation, b"k")
        self.router = Router(self.holder, self.id_allocator)
        self.exchanger = RecordExchanger(self.holder)
        self.jobs = FakeJobs()
        self.transferred_jobs = TransferredJobTable(name)
        self.peers = Peers(
            self.router,
            self.exchanger,
            self.transferred_jobs,
            self.jobs,
            self.clock,
        )

    def allocate_id(self):
        return self.id_allocator.allocate(self.clock.now())


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@asynccontextmanager
async def two_entries():
    """Yield the entries ``e1`` and ``e2`` and the proxy to ``e1``."""
    ports = [free_port() for _ in range(3)]
    home = Entry("e1", f"127.0.0.1:{ports[0]}")
    other = Entry("e2", f"127.0.0.1:{ports[1]}")
    members = (home.me, other.me)
    record = ViewRecord(1, (Epoch(0.0, members),))
    servers = []
    for entry, port in ((home, ports[2]), (other, ports[1])):
        entry.holder.adopt(record)
        server = FrameServer(
            {PEERS_SERVICE: PeerService(entry.peers).handler()}
        )
        await server.start("127.0.0.1", port)
        servers.append(server)
    proxy = SilentProxy(ports[2])
    listener = await asyncio.start_server(proxy.serve, "127.0.0.1", ports[0])
    try:
        async with asyncio.timeout(HANG_LIMIT_S):
            yield home, other, proxy
    finally:
        home.peers.close()
        other.peers.close()
        listener.close()
        for writer in proxy.writers:
            writer.close()
        for server in servers:
            server.close()


def make_spec(job_id, payload=b"{}"):
    return JobSpec(job_id, "s", "t", FAR, (TaskSpec(payload),))


@pytest.fixture(autouse=True)
def short_probes(monkeypatch):
    monkeypatch.setattr(peers_module, "PROBE_AFTER_S", 0.1)
    monkeypatch.setattr(peers_module, "PROBE_TIMEOUT_S", 0.3)


async def test_submits_at_several_entries_start_the_job_once_at_its_home():
    async with two_entries() as (home, other, _):
        spec = make_spec(home.allocate_id())
        submits = [
            asyncio.ensure_future(entry.peers.submit(spec, FAR))
            for entry in (other, other, home)
        ]
        await home.jobs.arrived.wait()
        assert await other.peers.read(spec.job_id, 0.0) is None
        home.jobs.jobs[spec.job_id].set_result(ANSWER)
        assert await asyncio.gather(*submits) == [ANSWER] * 3
        assert await other.peers.read(spec.job_id, 0.0) == ANSWER
        assert (home.jobs.starts, other.jobs.starts) == (1, 0)


async def test_cancel_at_another_entry_reaches_the_home():
    async with two_entries() as (home, other, _):
        spec = make_spec(home.allocate_id())
        pending_submit = asyncio.ensure_future(other.peers.submit(spec, FAR))
        await home.jobs.arrived.wait()
        await other.peers.cancel(spec.job_id)
        assert (await pending_submit).reason is RefusalReason.CANCELLED


async def test_silent_connection_is_replaced_and_the_job_joined():
    """The repeated submit must not start the job a second time."""
    async with two_entries() as (home, other, proxy):
        spec = make_spec(home.allocate_id())
        pending_submit = asyncio.ensure_future(other.peers.submit(spec, FAR))
        await home.jobs.arrived.wait()
        assert await other.peers.link(home.me.address).exchange()
        proxy.silence()
        home.jobs.arrived.clear()
        await home.jobs.arrived.wait()
        home.jobs.jobs[spec.job_id].set_result(ANSWER)
        assert await pending_submit == ANSWER
        assert home.jobs.starts == 1
        assert proxy.connections == 2


@pytest.mark.parametrize("known", [True, False], ids=["was-up", "never-up"])
async def test_unreachable_home_leaves_open_whether_the_job_ran(known):
    """A refusal would let the client run the job again under a new id."""
    async with two_entries() as (home, other, proxy):
        if known:
            assert await other.peers.link(home.me.address).exchange()
        proxy.silence_new = True
        proxy.silence()
        outcome = await other.peers.submit(make_spec(home.allocate_id()), FAR)
        assert isinstance(outcome, Failed)
        assert outcome.reason is FailureReason.HOME_UNREACHABLE
        assert outcome.may_have_run
        assert outcome.retry_at > 0
        assert home.jobs.starts == 0


async def test_entries_with_different_views_do_not_forward_endlessly():
    """Each entry has the other one's address as that of the home of the id."""
    async with two_entries() as (home, other, _):
        job_id = IdAllocator("e3", "i", b"k").allocate(home.clock.now())
        home.router.set_peers((Member("e3", "i", other.me.address),))
        other.router.set_peers((Member("e3", "i", home.me.address),))
        outcome = await other.peers.submit(make_spec(job_id), FAR)
        assert outcome.reason is FailureReason.HOME_UNREACHABLE
        assert home.jobs.lookups + other.jobs.lookups == 3


async def test_exchange_spreads_the_newer_view_and_preset():
    async with two_entries() as (home, other, _):
        newer = home.holder.record.make_next(now=home.clock.now())
        home.holder.adopt(newer)
        other.exchanger.adopt_preset(7, b"seven")
        link = other.peers.link(home.me.address)
        assert await link.exchange()
        assert other.holder.record == newer
        assert await link.exchange()
        assert home.exchanger.preset == (7, b"seven")
        assert not home.exchanger.adopt_preset(6, b"six")


async def test_successor_answers_for_a_home_that_has_stopped():
    async with two_entries() as (home, other, _):
        spec = make_spec(home.allocate_id())
        not_run = make_spec(home.allocate_id())
        transferred = TransferredJob(
            spec.job_id, spec.digest(), WireCompleted((b"1", b"2")), FAR
        )
        successor = choose_successor(home.me, home.holder.record.members)
        assert successor == other.me
        process = (home.me.name, home.me.incarnation)
        assert await home.peers.transfer_jobs(
            successor, *process, [transferred]
        )
        departed_home = Departed(*process, home.clock.now(), successor)
        other.holder.adopt(
            other.holder.record.make_next(
                now=home.clock.now(), departed=(departed_home,)
            )
        )
        assert await other.peers.submit(spec, FAR) == ANSWER
        assert await other.peers.read(spec.job_id, 0.0) == ANSWER
        outcome = await other.peers.submit(not_run, FAR)
        assert outcome.reason is RefusalReason.STOPPING
        changed = make_spec(spec.job_id, b"[]")
        outcome = await other.peers.submit(changed, FAR)
        assert outcome.reason is RefusalReason.BODY_DIFFERS


def make_transferred(number):
    return TransferredJob(
        f"j{number}", b"d", WireCompleted((b"x" * 90_000,)), 9.0
    )


@pytest.mark.parametrize(
    ("lost", "now", "expected"),
    [
        pytest.param(0, 0.0, Refused, id="all-arrived"),
        pytest.param(1, 0.0, Failed, id="a-message-lost"),
        pytest.param(0, 9.0, Failed, id="some-forgotten"),
    ],
)
def test_only_a_complete_transfer_proves_that_a_job_did_not_run(
    lost, now, expected
):
    """A job that a lost batch held, or that is forgotten, may have run."""
    sent = list(
        split_into_batches("e1", "i", map(make_transferred, range(20)))
    )
    assert len(sent) > 2
    transferred_jobs = TransferredJobTable("e2")
    for batch in sent[lost:]:
        transferred_jobs.receive_batch(batch)
        reply = transferred_jobs.receive_batch(batch)
    assert reply.complete is (lost == 0)
    transferred_jobs.forget_expired(now)
    assert isinstance(transferred_jobs.answer("e1", "i", "other"), expected)
    assert isinstance(transferred_jobs.answer("e1", "x", "other"), Failed)


def test_transferred_answers_stay_within_the_memory_budget():
    (batch,) = split_into_batches(
        "e1", "i", [make_transferred(n) for n in range(5)]
    )
    transferred_jobs = TransferredJobTable("e2", 3 * 90_000)
    assert transferred_jobs.receive_batch(batch).complete
    kinds = [
        type(transferred_jobs.answer("e1", "i", f"j{n}")) for n in range(5)
    ]
    assert kinds == [Completed] * 3 + [Failed] * 2
    transferred_jobs.forget_expired(9.0)
    (again,) = split_into_batches(
        "e3", "i", [make_transferred(n) for n in range(3)]
    )
    transferred_jobs.receive_batch(again)
    assert isinstance(transferred_jobs.answer("e3", "i", "j2"), Completed)
