"""Runs a sans-I/O core on the event loop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

from briarford_daemon.clock import TimeSource

__all__ = ["Core", "CoreDriver"]

LOGGER = logging.getLogger("briarford.driver")

# A turn that has failed left its deadlines as they were.
FAILED_TURN_DELAY_S = 0.05

M = TypeVar("M", contravariant=True)
E = TypeVar("E", covariant=True)
D = TypeVar("D")
F = TypeVar("F")


class Core(Protocol[M, E]):
    """A core without I/O and without a clock, as a driver needs it."""

    def receive(self, message: M, now: float) -> None:
        """Process one message; its effects are returned by the next turn."""

    def turn(self, now: float) -> Sequence[E]:
        """Make the decisions that are due and return their effects."""

    def next_deadline(self) -> float | None:
        """Return the Unix time of the next turn; None if none is due.

        A message may cause an earlier turn.
        """


class CoreDriver(Generic[D, F]):
    """Passes messages to a core and performs its effects.

    All messages that arrive in one turn of the event loop are followed by one
    turn of the core, so that its messages to one peer are sent as one batch.
    The core also has a turn at its deadlines.

    :param core: the core.
    :param clock: the clock of the process.
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
        """Pass a message to the core and schedule a turn."""
        self._core.receive(message, self._clock.now())
        self.wake()

    def wake(self) -> None:
        """Schedule a turn of the core in the next turn of the event loop."""
        if self._scheduled or self._closed:
            return
        self._scheduled = True
        self._loop.call_soon(self._turn)

    def close(self) -> None:
        """Run no more turns."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def _turn(self) -> None:
        self._scheduled = False
        if self._closed:
            return
        try:
            effects = self._core.turn(self._clock.now())
        except Exception:
            LOGGER.exception("turn-failed")
            self._schedule_timer(FAILED_TURN_DELAY_S)
            return
        for effect in effects:
            try:
                self._perform(effect)
            except Exception:
                LOGGER.exception(
                    "effect-failed", extra={"effect": type(effect).__name__}
                )
        self._schedule_timer()

    def _schedule_timer(self, least_delay_s: float = 0.0) -> None:
        """Schedule a turn at the core's next deadline.

        A timer that fires earlier is left as it is; the turn that it causes
        schedules the next one.

        :param least_delay_s: seconds before which no turn is scheduled.
        """
        deadline = self._core.next_deadline()
        if deadline is None:
            return
        if self._timer is not None:
            if not self._timer.cancelled() and self._timer_at <= deadline:
                return
            self._timer.cancel()
        self._timer_at = deadline
        delay_s = max(least_delay_s, deadline - self._clock.now())
        self._timer = self._loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._turn()
