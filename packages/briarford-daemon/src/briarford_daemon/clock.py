"""The clock of a process."""

from __future__ import annotations

import time
from typing import Protocol

__all__ = ["Clock", "TimeSource"]


class TimeSource(Protocol):
    """Tells Unix time in seconds that never goes back."""

    def now(self) -> float:
        """Return Unix time in seconds."""


class Clock:
    """Unix time that never goes back while the process runs.

    A step of the system clock does not move it: deadlines that the process
    set for itself stay as far away as they were.
    """

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return Unix time in seconds."""
        return time.monotonic() + self._offset
