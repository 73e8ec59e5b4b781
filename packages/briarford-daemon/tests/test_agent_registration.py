"""The calls with which an agent registers, in their order."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from briarford.exceptions import StoreError
from briarford.store import KeyValue
from briarford_daemon.fleet import registry
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.registry import AgentRecord, AgentRegistration

LIMIT_S = 10.0


class FakeStore:
    """A store in memory; its answers to calls of a kind can be held back."""

    def __init__(self):
        self.item = None
        self.revision = 40
        self.leases = {}
        self.calls = []
        self.held = {}
        self.after_write = lambda: None
        self.lose_writes = 0

    def put(self, value, leased=True):
        self.revision += 1
        self.item = KeyValue("agents/a", value, self.revision, leased)
        return self.revision

    async def _answer(self, kind):
        self.calls.append(kind)
        if kind in self.held:
            await self.held[kind].wait()

    async def get(self, key, deadline):
        item = self.item
        await self._answer("get")
        return item

    async def get_stale(self, key, deadline):
        await self._answer("get-stale")
        return self.item

    async def grant_lease(self, ttl_s, deadline):
        await self._answer("grant")
        lease = str(len(self.leases) + 1)
        self.leases[lease] = ttl_s
        return lease

    async def renew_lease(self, lease, deadline):
        await self._answer("renew")
        return lease in self.leases

    async def write(self, key, value, expected, deadline, lease=""):
        await self._answer("write")
        assert lease in self.leases
        if (self.item.version if self.item else 0) != expected:
            return 0
        version = self.put(value)
        self.after_write()
        if self.lose_writes:
            self.lose_writes -= 1
            raise StoreError("no answer", maybe_applied=True)
        return version


class Agent:
    """A registration, and what it has passed to its agent."""

    def __init__(self, store, incarnation="i1"):
        self.record = AgentRecord("10.0.0.1:1", incarnation=incarnation)
        self.restored = []
        self.versions = []
        self.replaced = 0
        self.registration = AgentRegistration(
            store,
            BootClock(),
            "a",
            lambda: self.record,
            self.restored.append,
            self.versions.append,
            self._on_replaced,
        )

    def _on_replaced(self):
        self.replaced += 1

    async def renew(self):
        return await self.registration._renew()


def encoded(incarnation):
    return msgspec.json.encode(
        AgentRecord("10.0.0.1:1", None, 1.0, incarnation)
    )


async def test_a_first_registration_takes_two_rounds_of_calls():
    """All agents register in the first second after a loss of power."""
    store = FakeStore()
    agent = Agent(store)
    assert await agent.renew()
    assert sorted(store.calls[:2]) == ["get", "grant"]
    assert store.calls[2:] == ["write"]
    assert agent.versions == [store.item.version]


@pytest.mark.parametrize("late", ["get", "grant"])
async def test_the_record_is_written_after_both_answers(late):
    """The write needs the lease, and the version of the previous record."""
    store = FakeStore()
    store.put(encoded("i0"))
    store.held[late] = asyncio.Event()
    agent = Agent(store)
    task = asyncio.create_task(agent.renew())
    for _ in range(10):
        await asyncio.sleep(0)
    assert sorted(store.calls) == ["get", "grant"]
    assert agent.versions == []
    store.held[late].set()
    assert await task
    assert [r.incarnation for r in agent.restored] == ["i0"]
    assert agent.versions == [42]


@pytest.mark.parametrize("is_registered", [False, True])
async def test_the_record_is_written_as_it_is_by_then(is_registered):
    """The worker may begin to drain while the stored record is being read.

    The next process would give it runs until the next heartbeat.
    """
    store = FakeStore()
    agent = Agent(store)
    if is_registered:
        await agent.renew()
        agent.record = AgentRecord("10.0.0.1:1", None, 2.0, "i1")
    store.held["get"] = asyncio.Event()
    task = asyncio.create_task(agent.renew())
    for _ in range(10):
        await asyncio.sleep(0)
    agent.record = AgentRecord("10.0.0.1:1", None, 3.0, "i1")
    store.held["get"].set()
    assert await task
    assert store.item.value == msgspec.json.encode(agent.record)


async def test_the_token_is_the_version_of_the_own_write():
    """A later process may write before this one could read its record back.

    With the version of that write the two would order with the same token.
    """
    store = FakeStore()
    agent = Agent(store)
    store.after_write = lambda: store.put(encoded("i2"))
    await agent.renew()
    assert agent.versions == [41]
    store.after_write = lambda: None
    await agent.renew()
    assert agent.replaced == 1
    assert agent.versions == [41]


async def test_a_write_whose_answer_was_lost_gives_its_token():
    store = FakeStore()
    store.lose_writes = 1
    agent = Agent(store)
    with pytest.raises(StoreError):
        await agent.renew()
    assert agent.versions == []
    assert await agent.renew()
    assert agent.versions == [41]
    assert store.calls.count("write") == 1


async def test_a_record_that_changes_meanwhile_is_read_again(monkeypatch):
    """The record of a killed process expires while the next one registers."""
    monkeypatch.setattr(registry, "RENEW_PERIOD_S", 1000.0)
    store = FakeStore()
    store.put(encoded("i0"))
    store.held["write"] = asyncio.Event()
    agent = Agent(store)
    task = asyncio.create_task(agent.registration.run())
    async with asyncio.timeout(LIMIT_S):
        while "write" not in store.calls:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        store.item = None
        store.held["write"].set()
        while not agent.versions:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
    task.cancel()
    assert agent.versions == [store.item.version]


async def test_a_process_that_stands_back_asks_for_no_leases():
    store = FakeStore()
    agent = Agent(store)
    await agent.renew()
    store.put(encoded("i2"))
    await agent.renew()
    granted = len(store.leases)
    for _ in range(3):
        await agent.renew()
    assert len(store.leases) == granted
    assert agent.replaced == 1


FOREIGN = {
    "no lease": (encoded("i2"), False),
    "other address": (
        msgspec.json.encode(AgentRecord("10.0.0.9:1", None, 1.0, "i2")),
        True,
    ),
    "odd address": (b'{"address":"10.0.0.1:99999","incarnation":"i2"}', True),
    "deep": (b"[" * 99_999, True),
    "of no process": (encoded(""), True),
}


@pytest.mark.parametrize(
    ("value", "leased"), FOREIGN.values(), ids=FOREIGN.keys()
)
async def test_a_record_of_another_writer_is_written_again(value, leased):
    """Guards against an agent that waits for a process that is not there.

    Entries dial the address in the record, so the agent would get no runs.
    """
    store = FakeStore()
    agent = Agent(store)
    await agent.renew()
    store.put(value, leased)
    await agent.renew()
    assert agent.replaced == 0
    assert store.item.value == msgspec.json.encode(agent.record)
    assert agent.versions == [41, 43]
