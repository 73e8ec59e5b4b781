"""How an entry follows the key of the configuration, without a store."""

from __future__ import annotations

import asyncio

import pytest

from briarford.exceptions import StoreError
from briarford.store import KeyChanges, KeyListing, KeyValue
from briarford_daemon.fleet import key_watch
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.key_watch import KeyWatch

LIMIT_S = 10.0
KEY = "op/config"
FAILED = StoreError("down", step="watch", peer="store")


def item(value: bytes, version: int, key: str = KEY) -> KeyValue:
    return KeyValue(key, value, version)


def listing(revision: int, *items: KeyValue) -> KeyListing:
    return KeyListing(revision, items)


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


@pytest.mark.parametrize(
    ("lists", "changes", "read", "watched_from"),
    [
        pytest.param([listing(5)], [], [None], [5], id="no such key"),
        pytest.param(
            [listing(5, item(b"1", 3))],
            [KeyChanges(7, (item(b"2", 7),), ())],
            [b"1", b"2"],
            [5, 7],
            id="changed",
        ),
        pytest.param(
            [listing(5, item(b"1", 3), item(b"x", 4, "op/config-old"))],
            [KeyChanges(7, (item(b"y", 7, "op/config-old"),), ())],
            [b"1"],
            [5, 7],
            id="another key with the same beginning",
        ),
        pytest.param(
            [listing(5, item(b"1", 3)), listing(9, item(b"2", 8))],
            [None],
            [b"1", b"2"],
            [5, 9],
            id="history forgotten",
        ),
        pytest.param(
            [listing(5, item(b"1", 3)), listing(9, item(b"2", 8))],
            [FAILED],
            [b"1", b"2"],
            [5, 9],
            id="watch failed",
        ),
        pytest.param(
            [FAILED, FAILED, FAILED, listing(5, item(b"1", 3))],
            [],
            [b"1"],
            [5],
            id="reads failed",
        ),
        pytest.param(
            [listing(5, item(b"1", 3))],
            [KeyChanges(7, (), (KEY,)), KeyChanges(8, (item(b"2", 8),), ())],
            [b"1", b"2"],
            [5, 7, 8],
            id="deleted and written again",
        ),
    ],
)
async def test_a_key_is_followed_through_gaps(
    monkeypatch, lists, changes, read, watched_from
):
    """Guards against a configuration that is missed after a gap."""
    monkeypatch.setattr(key_watch, "RETRY_DELAY_S", 0.001)
    values = []
    store = FakeStore(lists, changes)
    watch = KeyWatch(
        store, BootClock(), KEY, lambda i: values.append(i and i.value)
    )
    task = asyncio.create_task(watch.run())
    async with asyncio.timeout(LIMIT_S):
        while len(store.watched_from) < len(watched_from):  # noqa: ASYNC110
            await asyncio.sleep(0.001)
    task.cancel()
    assert values == read
    assert store.watched_from == watched_from


async def test_the_key_is_read_again_periodically(monkeypatch):
    """A watch may stay silent while the service drops its history."""
    monkeypatch.setattr(key_watch, "REREAD_PERIOD_S", 0.02)
    values = []
    store = FakeStore(
        [listing(5, item(b"1", 3)), listing(9, item(b"2", 8))],
        [KeyChanges(5, (), ())] * 20_000,
    )
    watch = KeyWatch(
        store, BootClock(), KEY, lambda i: values.append(i and i.value)
    )
    task = asyncio.create_task(watch.run())
    async with asyncio.timeout(LIMIT_S):
        while len(values) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
    task.cancel()
    assert values == [b"1", b"2"]
