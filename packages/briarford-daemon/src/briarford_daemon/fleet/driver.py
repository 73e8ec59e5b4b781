"""Drives a core whose inputs are method calls on the event loop."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

from briarford_daemon.driver import CoreDriver
from briarford_daemon.fleet.clock import BootClock

__all__ = ["TurnDriver"]

E = TypeVar("E")
E_co = TypeVar("E_co", covariant=True)


class _TurnCore(Protocol[E_co]):
    """A core whose inputs are method calls."""

    def turn(self, now: float) -> Sequence[E_co]: ...

    def next_deadline(self) -> float | None: ...


class _CoreAdapter(Generic[E]):
    """Adapts a core to the ``Core`` protocol of :class:`CoreDriver`.

    That protocol has a method for messages, which is never called here.
    """

    def __init__(self, core: _TurnCore[E]) -> None:
        self._core = core
        self.turn = core.turn
        self.next_deadline = core.next_deadline

    def receive(self, message: None, now: float) -> None:
        """Do nothing: the inputs of the core are method calls."""


class TurnDriver(Generic[E]):
    """Runs a turn of a core after inputs and at its deadlines.

    Whoever calls a method of the core calls :meth:`wake` afterwards. The
    effects that the turn returns are performed at once.

    :param core: the core, with ``turn`` and ``next_deadline``.
    :param clock: the clock of the process.
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
