"""Deadlines of a core, kept in one heap."""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["Timers"]

K = TypeVar("K", bound=Hashable)


class Timers(Generic[K]):
    """One deadline per key, cheap to postpone.

    Postponing changes only a dictionary; the heap catches up when the old
    deadline comes to its top.
    """

    __slots__ = ("_deadlines", "_heap", "_serial")

    def __init__(self) -> None:
        self._deadlines: dict[K, float] = {}
        self._heap: list[tuple[float, int, K]] = []
        self._serial = 0

    def __len__(self) -> int:
        return len(self._deadlines)

    def set(self, key: K, deadline: float) -> None:
        """Set or move the deadline of a key (Unix seconds)."""
        known = self._deadlines.get(key)
        self._deadlines[key] = deadline
        if known is None or deadline < known:
            self._push(key, deadline)

    def clear(self, key: K) -> None:
        """Remove the deadline of a key, if it has one."""
        self._deadlines.pop(key, None)

    def next_deadline(self) -> float | None:
        """Return the earliest time at which :meth:`due` may find a key."""
        return self._heap[0][0] if self._heap else None

    def due(self, now: float) -> list[K]:
        """Remove and return the keys whose deadline has come."""
        keys: list[K] = []
        while self._heap and self._heap[0][0] <= now:
            _, _, key = heapq.heappop(self._heap)
            deadline = self._deadlines.get(key)
            if deadline is None:
                continue
            if deadline > now:
                self._push(key, deadline)
                continue
            del self._deadlines[key]
            keys.append(key)
        return keys

    def _push(self, key: K, deadline: float) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (deadline, self._serial, key))
