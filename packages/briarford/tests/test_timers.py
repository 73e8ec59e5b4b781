"""Deadlines come due once and in order, and the heap stays small."""

from __future__ import annotations

from briarford.timers import Timers


def test_items_of_cleared_deadlines_are_removed_from_the_heap():
    """Stale items that stayed until their deadline would fill the heap."""
    timers: Timers[int] = Timers()
    for key in range(1000):
        timers.set(key, 60.0)
        timers.clear(key)
    assert len(timers) == 0
    assert timers.heap_size < 100


def test_key_that_is_set_again_comes_due_once_at_its_last_deadline():
    timers: Timers[str] = Timers()
    for second in range(200):
        now = float(second)
        timers.set("key", now + 5.0)
        timers.clear("key")
        timers.set("key", now + 2.0)
        timers.set("key", now + 9.0)
        assert timers.pop_due(now) == []
    assert timers.heap_size < 100
    assert timers.pop_due(300.0) == ["key"]
    assert timers.next_deadline() is None


def test_deadlines_come_due_in_order_and_once():
    timers: Timers[str] = Timers()
    timers.set("late", 3.0)
    timers.set("early", 5.0)
    timers.set("early", 1.0)
    assert timers.pop_due(0.5) == []
    assert timers.pop_due(4.0) == ["early", "late"]
    assert timers.pop_due(9.0) == []
