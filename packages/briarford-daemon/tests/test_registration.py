"""Entries register, confirm their view and leave, over loopback sockets.

The store is a fake in memory that can be down or lose the answers of writes.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from briarford.exceptions import StoreError
from briarford.homes import (
    ForwardTo,
    IdAllocator,
    Member,
    RecordExchanger,
    Router,
    ServeAsHeir,
    ServeHere,
    TransferredJobTable,
    ViewHolder,
    choose_successor,
    holder,
)
from briarford.membership import entry_key
from briarford.store import KeyListing, KeyValue
from briarford_daemon import registration
from briarford_daemon.clock import Clock
from briarford_daemon.frames import FrameServer
from briarford_daemon.peers import PEERS_SERVICE, Peers, PeerService
from briarford_daemon.registration import Membership

HANG_LIMIT_S = 30.0
FAR = 1e12


class FakeStore:
    """A store in memory.

    While ``down`` is set every call fails. The next ``lose_answers``
    swaps, grants and renewals take effect, but their answers are lost.
    """

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.down = False
        self.lose_answers = 0
        self.revision = 1

    def answer(self, value):
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreError("answer lost", maybe_applied=True)
        return value

    def check(self):
        if self.down:
            raise StoreError("down")

    async def get(self, key, deadline):
        self.check()
        return self.items.get(key)

    async def list(self, prefix, deadline):
        self.check()
        found = [i for k, i in self.items.items() if k.startswith(prefix)]
        return KeyListing(self.revision, tuple(found))

    async def watch(self, prefix, after, deadline):
        before = self.revision
        await asyncio.sleep(0.02)
        listing = await self.list(prefix, deadline)
        changed = after < before or before < self.revision
        return listing if changed else None

    async def swap(self, key, value, expected, deadline, lease=""):
        self.check()
        present = self.items.get(key, KeyValue(key, b"", 0))
        if present.version != expected:
            return present
        self.revision += 1
        self.items[key] = KeyValue(key, value, expected + 1)
        self.leases.setdefault(lease, set()).add(key)
        return self.answer(None)

    async def grant_lease(self, ttl_s, deadline):
        self.check()
        lease = f"l{len(self.leases)}"
        self.leases[lease] = set()
        return self.answer(lease)

    async def renew_lease(self, lease, deadline):
        self.check()
        return self.answer(lease in self.leases)

    async def revoke_lease(self, lease, deadline):
        self.check()
        self.revision += 1
        for key in self.leases.pop(lease, ()):
            self.items.pop(key, None)


class Entry:
    """An entry without jobs: its view, its router and its membership."""

    def __init__(self, name, store):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = sock.getsockname()[1]
        self.me = Member(name, f"i-{name}", f"127.0.0.1:{self.port}")
        self.clock = Clock()
        self.holder = ViewHolder(self.me)
        self.router = Router(
            self.holder, IdAllocator(name, self.me.incarnation, b"k")
        )
        self.transferred_jobs = TransferredJobTable(name)
        self.peers = Peers(
            self.router,
            RecordExchanger(self.holder),
            self.transferred_jobs,
            None,
            self.clock,
        )
        self.changes = []
        self.membership = Membership(
            self.holder,
            self.router,
            self.peers,
            store,
            self.clock,
            self.changes.append,
        )

    @property
    def members(self):
        record = self.holder.record
        return {m.name for m in record.members} if record else set()

    def known_for(self):
        return self.holder.lease.known_until - self.clock.now()

    def route(self, job_id):
        return self.router.route(job_id, self.clock.now())


async def wait_until(condition):
    async with asyncio.timeout(HANG_LIMIT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


@asynccontextmanager
async def run_entries(store, *names):
    entries = [Entry(name, store) for name in names]
    servers = []
    for entry in entries:
        server = FrameServer(
            {PEERS_SERVICE: PeerService(entry.peers).handler()}
        )
        await server.start("127.0.0.1", entry.port)
        servers.append(server)
        entry.membership.start()
    try:
        yield entries
    finally:
        for entry, server in zip(entries, servers, strict=True):
            await entry.membership.close()
            entry.peers.close()
            server.close()


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(registration, "VIEW_PERIOD_S", 0.02)
    monkeypatch.setattr(registration, "CLOCK_SKEW_S", 0.05)
    monkeypatch.setattr(holder, "CLOCK_SKEW_S", 0.05)
    monkeypatch.setattr(holder, "VIEW_LEASE_S", 0.2)


@pytest.mark.parametrize("lost", [0, 1, 5], ids=lambda n: f"{n}-answers-lost")
async def test_all_entries_become_members_although_answers_are_lost(lost):
    """A lost answer to a write must not keep an entry out of the view."""
    store = FakeStore()
    store.lose_answers = lost
    async with run_entries(store, "e1", "e2", "e3") as entries:
        names = {"e1", "e2", "e3"}
        await wait_until(lambda: all(e.members == names for e in entries))
        await wait_until(lambda: all(e.changes for e in entries))
        assert store.items[entry_key("e1")].value


async def test_view_stays_confirmed_by_peers_while_the_store_is_down():
    """Exchanges with the peers confirm the view when the store cannot.

    The clocks step 600 s ahead, past the time until which the store's last
    answer had confirmed it.
    """
    store = FakeStore()
    async with run_entries(store, "e1", "e2") as entries:
        await wait_until(lambda: all(len(e.members) == 2 for e in entries))
        await wait_until(lambda: all(e.known_for() > 0 for e in entries))
        store.down = True
        bound = [e.holder.lease.known_until for e in entries]
        for entry, before in zip(entries, bound, strict=True):
            entry.clock = entry.membership._clock = LaterClock(600.0)
            entry.peers._clock = entry.clock
            for link in entry.peers._links.values():
                link.close()
                link._clock = entry.clock
            assert before < entry.clock.now()
        await wait_until(lambda: all(e.known_for() > 0 for e in entries))


class LaterClock(Clock):
    """A clock that is ahead by a number of seconds."""

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds

    def now(self):
        return super().now() + self.seconds


async def test_leaving_entry_names_its_successor_and_is_unregistered():
    """It serves its ids until it departs; then the successor does.

    The answer of the store to the record of the departure is lost.
    """
    store = FakeStore()
    async with run_entries(store, "e1", "e2") as (staying, leaving):
        await wait_until(
            lambda: len(leaving.members) == 2 == len(staying.members)
        )
        job_id = leaving.router._id_allocator.allocate(leaving.clock.now())
        assert isinstance(leaving.route(job_id), ServeHere)
        assert staying.route(job_id) == ForwardTo(leaving.me)
        assert await leaving.membership.leave_view(FAR)
        assert leaving.members == {"e1"}
        successor = choose_successor(leaving.me, leaving.holder.record.members)
        process = (leaving.me.name, leaving.me.incarnation)
        assert await leaving.peers.transfer_jobs(successor, *process, [])
        store.lose_answers = 1
        assert await leaving.membership.record_departure(successor, FAR)
        await wait_until(
            lambda: staying.route(job_id) == ServeAsHeir(*process)
        )
        await wait_until(lambda: entry_key("e2") not in store.items)
