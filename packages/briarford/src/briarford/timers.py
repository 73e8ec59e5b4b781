"""Deadlines of a core, kept in one heap."""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["Timers"]

MIN_STALE_ITEMS = 64

K = TypeVar("K", bound=Hashable)


class Timers(Generic[K]):
    """One deadline per key, cheap to postpone.

    Postponing changes only a dictionary; the heap catches up when the old
    deadline comes to its top. Each key has one live entry in the heap; the
    entries of cleared keys are swept out when they outnumber the live ones.
    """

    __slots__ = ("_deadlines", "_heap", "_live", "_serial")

    def __init__(self) -> None:
        self._deadlines: dict[K, float] = {}
        self._live: dict[K, tuple[float, int]] = {}
        self._heap: list[tuple[float, int, K]] = []
        self._serial = 0

    def __len__(self) -> int:
        return len(self._deadlines)

    def __contains__(self, key: K) -> bool:
        return key in self._deadlines

    @property
    def heap_size(self) -> int:
        """How many entries the heap has, the stale ones too."""
        return len(self._heap)

    def set(self, key: K, deadline: float) -> None:
        """Set or move the deadline of a key (Unix seconds)."""
        self._deadlines[key] = deadline
        live = self._live.get(key)
        if live is None or deadline < live[0]:
            self._push(key, deadline)

    def clear(self, key: K) -> None:
        """Remove the deadline of a key, if it has one."""
        self._deadlines.pop(key, None)
        self._live.pop(key, None)
        self._remove_stale_items()

    def next_deadline(self) -> float | None:
        """Return the earliest time at which :meth:`due` may find a key."""
        return self._heap[0][0] if self._heap else None

    def due(self, now: float) -> list[K]:
        """Remove and return the keys whose deadline has come."""
        keys: list[K] = []
        while self._heap and self._heap[0][0] <= now:
            when, serial, key = heapq.heappop(self._heap)
            if self._live.get(key) != (when, serial):
                continue
            deadline = self._deadlines[key]
            if deadline > now:
                self._push(key, deadline)
                continue
            del self._deadlines[key]
            del self._live[key]
            keys.append(key)
        return keys

    def _push(self, key: K, deadline: float) -> None:
        self._serial += 1
        self._live[key] = (deadline, self._serial)
        heapq.heappush(self._heap, (deadline, self._serial, key))

    def _remove_stale_items(self) -> None:
        stale = len(self._heap) - len(self._live)
        if stale <= len(self._live) + MIN_STALE_ITEMS:
            return
        self._heap = [
            (when, serial, key) for key, (when, serial) in self._live.items()
        ]
        heapq.heapify(self._heap)
