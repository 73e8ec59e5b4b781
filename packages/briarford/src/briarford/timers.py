"""A collection of deadlines by key, kept in a heap."""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["Timers"]

# The heap is rebuilt only when stale items outnumber live ones by more than
# this, so that a small heap is not rebuilt all the time.
MIN_STALE_ITEMS = 64

K = TypeVar("K", bound=Hashable)


class Timers(Generic[K]):
    """Holds one deadline per key; postponing a deadline is cheap.

    A postponed deadline changes only in a dictionary. Its item stays in the
    heap at the old time and is pushed again, at the new one, when it reaches
    the top. Each key has one live item in the heap. Items of cleared keys and
    of deadlines moved to an earlier time are stale: they are skipped at the
    top, and the heap is rebuilt without them when too many of them pile up.
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
        """Number of items in the heap, stale ones included."""
        return len(self._heap)

    def set(self, key: K, deadline: float) -> None:
        """Set or move the deadline of a key.

        :param deadline: Unix seconds.
        """
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
        """Return the earliest time at which :meth:`pop_due` may return a key.

        It may be too early, as the heap can hold stale items and the old
        times of postponed deadlines. None if the heap is empty.
        """
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> list[K]:
        """Remove and return the keys whose deadline has passed.

        :param now: Unix seconds; a deadline at this time counts as passed.
        """
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
        """Push an item for a key; an older one of the key becomes stale."""
        self._serial += 1
        self._live[key] = (deadline, self._serial)
        heapq.heappush(self._heap, (deadline, self._serial, key))

    def _remove_stale_items(self) -> None:
        """Rebuild the heap from the live items if too many are stale."""
        stale = len(self._heap) - len(self._live)
        if stale <= len(self._live) + MIN_STALE_ITEMS:
            return
        self._heap = [
            (when, serial, key) for key, (when, serial) in self._live.items()
        ]
        heapq.heapify(self._heap)
