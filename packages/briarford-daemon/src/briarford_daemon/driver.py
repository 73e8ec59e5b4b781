"""Runs a sans-I/O core on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

from briarford_daemon.clock import TimeSource

__all__ = ["Core", "CoreDriver"]

M = TypeVar("M", contravariant=True)
E = TypeVar("E", covariant=True)
D = TypeVar("D")
F = TypeVar("F")


class Core(Protocol[M, E]):
    """What a driver needs of a core."""

    def receive(self, message: M, now: float) -> None:
        """Take one message."""

    def turn(self, now: float) -> Sequence[E]:
        """Decide, and return the effects to perform."""

    def next_deadline(self) -> float | None:
        """Return when the next turn is due at the latest."""


class CoreDriver(Generic[D, F]):
    """Feeds messages to a core and performs its effects.

    All messages that arrive in one turn of the event loop are decided on
    together, so that what goes to one peer goes as one batch.

    :param core: the core.
    :param clock: the process's clock.
    :param perform: performs one effect; must not block.
    """

    def __init__(
        self,
        core: Core[D, F],
        clock: TimeSource,
        perform: Callable[[F], None],
    ) -> None:
        self._core = core
        self._clock = clock
        self._perform = perform
        self._loop = asyncio.get_running_loop()
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._closed = False

    def post(self, message: D) -> None:
        """Give a message to the core; a turn follows."""
        self._core.receive(message, self._clock.now())
        self.wake()

    def wake(self) -> None:
        """Have a turn at the end of this turn of the event loop."""
        if self._scheduled or self._closed:
            return
        self._scheduled = True
        self._loop.call_soon(self._turn)

    def close(self) -> None:
        """Have no more turns."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def _turn(self) -> None:
        self._scheduled = False
        if self._closed:
            return
        for effect in self._core.turn(self._clock.now()):
            self._perform(effect)
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        deadline = self._core.next_deadline()
        if deadline is None:
            return
        if self._timer is not None:
            if not self._timer.cancelled() and self._timer_at <= deadline:
                return
            self._timer.cancel()
        self._timer_at = deadline
        delay_s = max(0.0, deadline - self._clock.now())
        self._timer = self._loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._turn()
