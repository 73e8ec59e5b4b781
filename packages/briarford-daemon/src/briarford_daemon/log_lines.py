"""Log lines whose number is bounded and whose writing never blocks."""

from __future__ import annotations

import logging
import os
import stat
import time
from collections import Counter, deque

__all__ = ["LineRateLimiter", "PipeHandler"]

# Two lines a task at the traffic of one entry at its peak stay below it.
MAX_LINES_PER_S = 400
BUFFER_LINES = 4000  # about a megabyte, a hundredth of the memory of a VM


class LineRateLimiter(logging.Filter):
    """Lets a number of lines a second of each kind of event through.

    Rare events, refusals and failures have kinds of their own, so frequent
    ones do not push them out. What is held back is counted and reported
    with the next line of its kind.

    :param lines_per_s: lines of one kind in one second.
    """

    def __init__(self, lines_per_s: int = MAX_LINES_PER_S) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines_in_second: Counter[str] = Counter()
        self._suppressed: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is to be written."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_in_second.clear()
        kind = f"{record.name} {record.msg}"
        self._lines_in_second[kind] += 1
        if self._lines_in_second[kind] > self._lines_per_s:
            self._suppressed[kind] += 1
            return False
        if self._suppressed[kind]:
            record.suppressed = self._suppressed.pop(kind)
        return True


class PipeHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines that do not fit wait in a bounded buffer and go out with the next
    ones; beyond it the oldest are dropped and counted.

    :param fd: the descriptor; a pipe is made non-blocking.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self._fd = fd
        self._buffer: deque[bytes] = deque()
        self.dropped = 0
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or keep it until the reader has caught up."""
        if self.dropped and len(self._buffer) < BUFFER_LINES // 2:
            record.dropped = self.dropped
            self.dropped = 0
        self._buffer.append(self.format(record).encode() + b"\n")
        if len(self._buffer) > BUFFER_LINES:
            del self._buffer[1]  # the first may be written in part
            self.dropped += 1
        self._write()

    def _write(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self._buffer)
                self._buffer.clear()
                return
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()
