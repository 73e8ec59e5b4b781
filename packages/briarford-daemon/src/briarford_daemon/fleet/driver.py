"""Gives a core its turns on the event loop."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

from briarford_daemon.driver import CoreDriver
from briarford_daemon.fleet.clock import BootClock

__all__ = ["TurnDriver"]

E = TypeVar("E")
E_co = TypeVar("E_co", covariant=True)


class _TurnCore(Protocol[E_co]):
    def turn(self, now: float) -> Sequence[E_co]: ...

    def next_deadline(self) -> float | None: ...


class _CoreAdapter(Generic[E]):
    """A core whose inputs are method calls, as CoreDriver wants it."""

    def __init__(self, core: _TurnCore[E]) -> None:
        self._core = core
        self.turn = core.turn
        self.next_deadline = core.next_deadline

    def receive(self, message: None, now: float) -> None:
        """Take nothing: inputs are method calls."""


class TurnDriver(Generic[E]):
    """Performs the effects of a core after each input.

    :param core: the core.
    :param clock: the process's clock.
    :param perform: performs one effect; must not block.
    """

    def __init__(
        self,
        core: _TurnCore[E],
        clock: BootClock,
        perform: Callable[[E], None],
    ) -> None:
        self._driver: CoreDriver[None, E] = CoreDriver(
            _CoreAdapter(core), clock, perform
        )
        self.wake = self._driver.wake
        self.close = self._driver.close
