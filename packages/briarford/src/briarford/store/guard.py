"""Limits the calls of a process to the key-value service.

During an outage of the service, callers must fail at once instead of waiting
for time-outs. After it, the processes must not all call at the same moment.
"""

from __future__ import annotations

import random
from collections import Counter

import msgspec

__all__ = ["CallGuard", "Deferred", "GuardLimits"]

# A probe without a reported end blocks further probes for this long.
PROBE_TIMEOUT_S = 10.0
# Unix time as a float has a resolution of 0.2 us, so a call that comes exactly
# at the time given to it may find slightly less than one token.
ROUNDING_TOKENS = 1e-4


class GuardLimits(msgspec.Struct, frozen=True):
    """Limits for the calls of one process to the key-value service.

    :param calls_per_s: calls that the process may make per second on average.
    :param burst: calls that it may make at once after a pause.
    :param failures_to_open: failures in a row that open the circuit.
    :param first_delay_s: shortest time for which the circuit stays open.
    :param longest_delay_s: longest time for which it stays open.
    """

    calls_per_s: float = 20.0
    burst: float = 40.0
    failures_to_open: int = 3
    first_delay_s: float = 0.25
    longest_delay_s: float = 3.0


class Deferred(msgspec.Struct, frozen=True):
    """The refusal of a call, which may be made later.

    :param reason: ``circuit-open`` or ``budget-spent``.
    :param retry_at: Unix seconds from which the call may be tried again.
    """

    reason: str
    retry_at: float


class CallGuard:
    """A token bucket and a circuit breaker with jittered back-off.

    ``counts`` counts calls by kind and result.

    :param rng: random numbers that spread the retries of the processes.
    :param limits: limits for the calls; the defaults if None.
    """

    __slots__ = (
        "_delay_s",
        "_failures",
        "_limits",
        "_open_until",
        "_probe_until",
        "_rng",
        "_tokens",
        "_tokens_at",
        "counts",
    )

    def __init__(
        self, rng: random.Random, limits: GuardLimits | None = None
    ) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        self._rng = rng
        self._limits = limits or GuardLimits()
        self._failures = 0
        self._delay_s = 0.0
        self._open_until = 0.0
        self._probe_until = 0.0
        self._tokens = self._limits.burst
        self._tokens_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether so many calls in a row failed that the circuit is open."""
        return self._failures >= self._limits.failures_to_open

    def admit(self, kind: str, now: float) -> Deferred | None:
        """Check whether a call may be made now, and count it.

        While the circuit is open, one call at a time is admitted as a probe
        once the back-off is over.

        :param kind: name of the call, for the counts.
        :return: None if the call may be made.
        """
        deferred = self._check_circuit(now) or self._check_budget(now)
        if deferred is not None:
            self.counts[kind, deferred.reason] += 1
            return deferred
        if self.is_open:
            self._probe_until = now + PROBE_TIMEOUT_S
        self._tokens -= 1.0
        self.counts[kind, "made"] += 1
        return None

    def _check_circuit(self, now: float) -> Deferred | None:
        if not self.is_open:
            return None
        retry_at = max(self._open_until, self._probe_until)
        if now >= retry_at:
            return None
        return Deferred("circuit-open", retry_at)

    def _check_budget(self, now: float) -> Deferred | None:
        limits = self._limits
        new_tokens = max(0.0, now - self._tokens_at) * limits.calls_per_s
        self._tokens = min(limits.burst, self._tokens + new_tokens)
        self._tokens_at = now
        if self._tokens >= 1.0 - ROUNDING_TOKENS:
            return None
        wait_s = (1.0 - self._tokens) / limits.calls_per_s
        return Deferred("budget-spent", now + wait_s)

    def succeeded(self, kind: str) -> None:
        """Record an answer, which closes the circuit."""
        self.counts[kind, "answered"] += 1
        self._failures = 0
        self._delay_s = 0.0
        self._probe_until = 0.0

    def failed(self, kind: str, now: float, retry_at: float = 0.0) -> None:
        """Record a call without a usable answer.

        :param retry_at: Unix seconds before which the service asked not to be
            called; 0 if it did not ask.
        """
        self.counts[kind, "failed"] += 1
        self._failures += 1
        self._probe_until = 0.0
        if not self.is_open:
            return
        self._delay_s = self._next_delay()
        self._open_until = max(now + self._delay_s, retry_at)

    def _next_delay(self) -> float:
        first = self._limits.first_delay_s
        highest = max(first, self._delay_s * 3.0)
        delay_s = self._rng.uniform(first, highest)
        return min(self._limits.longest_delay_s, delay_s)
