"""The clock of a process on a machine that may be suspended."""

from __future__ import annotations

import time

__all__ = ["BootClock"]


class BootClock:
    """Unix time that never goes back and counts time spent suspended.

    The steady clock stands still while a machine is suspended, but the
    leases of others run on.
    """

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        self._offset = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> float:
        """Return Unix time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) + self._offset
