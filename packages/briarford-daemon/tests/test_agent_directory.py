"""How an entry follows the records of agents, without a store."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from briarford.exceptions import StoreError
from briarford.store import KeyChanges, KeyListing, KeyValue
from briarford_daemon.fleet import registry
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.registry import AgentDirectory, AgentRecord

LIMIT_S = 10.0


def item(name, port, version=1):
    value = msgspec.json.encode(AgentRecord(f"127.0.0.1:{port}"))
    return KeyValue(f"agents/{name}", value, version)


class FakeStore:
    """Answers from scripts; waits for ever once a script has ended."""

    def __init__(self, lists, changes):
        self.lists = list(lists)
        self.script = list(changes)
        self.watched_from = []

    async def list(self, prefix, deadline):
        return await self._next(self.lists)

    async def changes(self, prefix, after, deadline):
        self.watched_from.append(after)
        return await self._next(self.script)

    async def _next(self, script):
        if not script:
            await asyncio.Event().wait()
        answer = script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


FAILED = StoreError("down", step="watch", peer="store")
FIRST = KeyListing(5, (item("a", 1), item("b", 2)))


@pytest.mark.parametrize(
    ("lists", "changes", "seen", "watched_from"),
    [
        (
            [FIRST],
            [KeyChanges(7, (item("c", 3), item("a", 4)), ("agents/b",))],
            [{"a": 1, "b": 2}, {"a": 4, "c": 3}],
            [5, 7],
        ),
        (
            [FIRST],
            [KeyChanges(9, (), ()), KeyChanges(10, (item("b", 6),), ())],
            [{"a": 1, "b": 2}, {"a": 1, "b": 6}],
            [5, 9, 10],
        ),
        (
            [FIRST, KeyListing(20, (item("a", 8),))],
            [None],
            [{"a": 1, "b": 2}, {"a": 8}],
            [5, 20],
        ),
        (
            [FIRST, KeyListing(20, (item("a", 8),))],
            [FAILED],
            [{"a": 1, "b": 2}, {"a": 8}],
            [5, 20],
        ),
        (
            [FAILED, FIRST],
            [],
            [{"a": 1, "b": 2}],
            [5],
        ),
    ],
    ids=[
        "written and deleted",
        "nothing at first",
        "history forgotten",
        "watch failed",
        "list failed",
    ],
)
async def test_the_directory_follows_the_records(
    monkeypatch, lists, changes, seen, watched_from
):
    """Guards against agents that are missed after a gap in the changes."""
    for name in ("READ_GAP_S", "STARTUP_READ_GAP_S", "POLL_PERIOD_S"):
        monkeypatch.setattr(registry, name, 0.001)
    listings = []

    def on_listed(agents):
        ports = {n: int(a.address.split(":")[1]) for n, a in agents.items()}
        listings.append(ports)

    store = FakeStore(lists, changes)
    directory = AgentDirectory(store, BootClock(), on_listed)
    task = asyncio.create_task(directory.run())
    async with asyncio.timeout(LIMIT_S):
        while len(store.watched_from) < len(watched_from):  # noqa: ASYNC110
            await asyncio.sleep(0.001)
    task.cancel()
    assert listings == seen
    assert store.watched_from == watched_from


async def test_all_records_are_listed_again_periodically(monkeypatch):
    """Changes may be dropped without notice while the store compacts."""
    monkeypatch.setattr(registry, "STARTUP_READ_GAP_S", 0.001)
    monkeypatch.setattr(registry, "RELIST_PERIOD_S", 0.02)
    store = FakeStore(
        [FIRST, KeyListing(6, (item("z", 9),))], [KeyChanges(5, (), ())] * 200
    )
    listings = []
    directory = AgentDirectory(
        store, BootClock(), lambda a: listings.append(set(a))
    )
    task = asyncio.create_task(directory.run())
    async with asyncio.timeout(LIMIT_S):
        while len(listings) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
    task.cancel()
    assert listings == [{"a", "b"}, {"z"}]


def test_an_unreadable_record_is_logged_once_per_version(caplog):
    """It stays for days, and is read twelve times a minute."""
    agents = []
    directory = AgentDirectory(None, BootClock(), agents.append)
    for version in (3, 3, 4, 4):
        odd = KeyValue("agents/odd", b"[" * 9999, version)
        directory.listed(KeyListing(5, (item("a", 1), odd)))
        directory.changed(KeyChanges(6, (odd,), ()))
    assert all(set(found) == {"a"} for found in agents)
    assert len(caplog.records) == 2
