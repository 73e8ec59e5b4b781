"""A clock for processes on machines that may be suspended."""

from __future__ import annotations

import time

__all__ = ["BootClock"]


class BootClock:
    """Unix time that never goes back and includes time spent suspended.

    ``CLOCK_MONOTONIC`` stands still while the machine is suspended, but the
    leases that other processes hold or grant expire meanwhile.
    """

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        self._offset = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> float:
        """Return Unix time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) + self._offset
