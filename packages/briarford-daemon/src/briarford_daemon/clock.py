"""The clock of a process, which steps of the system clock do not move."""

from __future__ import annotations

import time
from typing import Protocol

__all__ = ["Clock", "TimeSource"]


class TimeSource(Protocol):
    """A source of Unix time that never goes back."""

    def now(self) -> float:
        """Return Unix time in seconds."""


class Clock:
    """Unix time that never goes back while the process runs.

    A step of the system clock does not move it, so the time left until a
    deadline that the process has set stays the same.
    """

    __slots__ = ("_offset",)

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return Unix time in seconds."""
        return time.monotonic() + self._offset
