"""Decides whether a process may call the key-value service now.

An outage of the service must cost its callers no time, and its recovery
must not meet all of them at once.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

__all__ = ["CallGuard", "Deferred", "GuardLimits"]

PROBE_TIMEOUT_S = 10.0
ROUNDING_CALLS = 1e-4  # Unix time as a float is no finer than 0.2 us


@dataclass(slots=True, frozen=True)
class GuardLimits:
    """How a process spares the key-value service.

    :param calls_per_s: calls that the process may make a second.
    :param burst: calls that it may save up.
    :param failures_to_open: failures in a row that open the circuit.
    :param first_delay_s: shortest time for which the circuit opens.
    :param longest_delay_s: longest time for which it opens.
    """

    calls_per_s: float = 20.0
    burst: float = 40.0
    failures_to_open: int = 3
    first_delay_s: float = 0.25
    longest_delay_s: float = 3.0


@dataclass(slots=True, frozen=True)
class Deferred:
    """A call that is not to be made now.

    :param reason: ``circuit-open`` or ``budget-spent``.
    :param retry_at: Unix seconds from which it may be tried.
    """

    reason: str
    retry_at: float


class CallGuard:
    """A budget of calls and a circuit breaker with jittered back-off.

    :param rng: spreads the retries of the processes.
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
        """Whether the last calls failed, so that calls are held back."""
        return self._failures >= self._limits.failures_to_open

    def admit(self, kind: str, now: float) -> Deferred | None:
        """Spend a call; None if it may be made.

        While the circuit is open, one call at a time is let through once
        the back-off is over.

        :param kind: name of the call, for the counts.
        """
        held = self._check_circuit(now) or self._check_budget(now)
        if held is not None:
            self.counts[kind, held.reason] += 1
            return held
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
        earned = max(0.0, now - self._tokens_at) * limits.calls_per_s
        self._tokens = min(limits.burst, self._tokens + earned)
        self._tokens_at = now
        if self._tokens >= 1.0 - ROUNDING_CALLS:
            return None
        wait_s = (1.0 - self._tokens) / limits.calls_per_s
        return Deferred("budget-spent", now + wait_s)

    def succeeded(self, kind: str) -> None:
        """Note an answer; it closes the circuit."""
        self.counts[kind, "answered"] += 1
        self._failures = 0
        self._delay_s = 0.0
        self._probe_until = 0.0

    def failed(self, kind: str, now: float, retry_at: float = 0.0) -> None:
        """Note a call without a usable answer.

        :param retry_at: when the service asked to be called again.
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
