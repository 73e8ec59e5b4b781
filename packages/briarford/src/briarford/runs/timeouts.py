"""Learns how long to wait for a worker's answer to an order.

A worker that leaves an order unanswered holds up its task until the order is
withdrawn, which short tasks cannot afford. Answers usually take a few
milliseconds, but longer on a machine that has little processor time. The
timeout therefore follows the answers seen, as TCP's retransmission timeout
does (RFC 6298).
"""

from __future__ import annotations

__all__ = ["AnswerTimeout"]

MIN_TIMEOUT_S = 0.03  # several times the answer of a healthy worker
MAX_TIMEOUT_S = 0.12
# Weights of a new sample, and the multiple of the deviation, of RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
# The first samples of a process that has just started are slower than later
# ones, so the longest timeout is kept until there are some.
MIN_SAMPLES = 4
BACKOFF_FACTOR = 1.5


class AnswerTimeout:
    """The timeout of orders to one worker.

    :attr:`seconds` is the present timeout.
    """

    __slots__ = ("_deviation", "_mean", "_samples", "seconds")

    def __init__(self) -> None:
        self.seconds = MAX_TIMEOUT_S
        self._samples = 0
        self._mean = 0.0
        self._deviation = 0.0

    def observe(self, answer_s: float) -> None:
        """Add the time that an answer took, in seconds."""
        self._samples += 1
        if self._samples == 1:
            self._mean = answer_s
            self._deviation = answer_s / 2
        else:
            error = abs(answer_s - self._mean)
            self._deviation += DEVIATION_WEIGHT * (error - self._deviation)
            self._mean += MEAN_WEIGHT * (answer_s - self._mean)
        if self._samples >= MIN_SAMPLES:
            wanted = self._mean + DEVIATIONS * self._deviation
            self.seconds = min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, wanted))

    def expired(self) -> None:
        """Raise the timeout after an order without an answer.

        The next answer sets it anew.
        """
        self.seconds = min(MAX_TIMEOUT_S, self.seconds * BACKOFF_FACTOR)
