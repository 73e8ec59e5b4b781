"""A rate limit for log lines, and a log handler that never blocks.

A flood of log lines, or a reader of them that has stopped, must not slow the
process down.
"""

from __future__ import annotations

import logging
import os
import stat
import time
from collections import Counter, deque

__all__ = ["ERROR_LINES", "ErrorCounter", "LineRateLimiter", "PipeHandler"]

# More than two lines per task at the peak traffic of one entry.
MAX_LINES_PER_S = 400
BUFFER_LINES = 4000  # about 1 MB, a hundredth of the memory of a VM


class LineRateLimiter(logging.Filter):
    """Limits how many lines of each kind of event are written per second.

    A kind is a logger's name with an event's name. Rare events, refusals and
    failures are kinds of their own, so frequent events do not suppress them.
    The next line of a kind has the number of its suppressed lines in the
    field ``suppressed``.

    :param lines_per_s: lines of one kind that are written in one second.
    """

    def __init__(self, lines_per_s: int = MAX_LINES_PER_S) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines_in_second: Counter[str] = Counter()
        self._suppressed: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written, and count it if it is not."""
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


class ErrorCounter(logging.Handler):
    """Counts lines of level error by their event, for the metrics.

    ``counts`` has the numbers, also of lines that the rate limit suppresses.
    """

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.counts: Counter[str] = Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Count a line."""
        self.counts[str(record.msg)] += 1


ERROR_LINES = ErrorCounter()


class PipeHandler(logging.Handler):
    """Writes log lines to a descriptor without waiting for its reader.

    Lines that a full pipe does not accept are kept in a bounded buffer and
    written with the following ones. If the buffer is full, the oldest lines
    are dropped; once it is half empty, a line has their number in the field
    ``dropped``. If writing fails, all buffered lines are dropped.

    :param fd: the descriptor; if it is a pipe, it is made non-blocking.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self._fd = fd
        self._buffer: deque[bytes] = deque()
        self.dropped = 0
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or buffer it until the reader has caught up."""
        if self.dropped and len(self._buffer) < BUFFER_LINES // 2:
            record.dropped = self.dropped
            self.dropped = 0
        self._buffer.append(self.format(record).encode() + b"\n")
        if len(self._buffer) > BUFFER_LINES:
            # The first line may have been written in part.
            del self._buffer[1]
            self.dropped += 1
        self._write()

    def _write(self) -> None:
        """Write buffered lines until the descriptor accepts no more."""
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
