"""Budgets that limit retries and hedges to a share of the first tries.

A hedge is a second run of a request whose first run takes unusually long.
"""

from __future__ import annotations

from briarford.limits.config import LimitConfig

__all__ = ["AttemptBudgets", "TokenBudget", "hedge_at"]


class TokenBudget:
    """Token bucket that first tries fill and extra tries empty.

    Each first try adds ``share`` of a token; each extra try costs one token.

    :param share: extra tries allowed per first try.
    :param burst: capacity in tokens; the bucket starts full.
    """

    __slots__ = ("_burst", "_share", "_tokens")

    def __init__(self, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Extra tries that the budget allows now."""
        return self._tokens

    def earn(self, first_tries: int = 1) -> None:
        """Add the tokens of some first tries, up to the capacity."""
        earned = self._tokens + self._share * first_tries
        self._tokens = min(self._burst, earned)

    def spend(self) -> bool:
        """Use a token for an extra try; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class AttemptBudgets:
    """The separate budgets of one entry for retries and for hedges.

    :param cfg: the limits in force.
    """

    __slots__ = ("hedges", "retries")

    def __init__(self, cfg: LimitConfig) -> None:
        self.retries = TokenBudget(cfg.retry_share, cfg.budget_burst)
        self.hedges = TokenBudget(cfg.hedge_share, cfg.budget_burst)

    def count_first_tries(self, tasks: int = 1) -> None:
        """Credit both budgets with tasks started for the first time."""
        self.retries.earn(tasks)
        self.hedges.earn(tasks)


def hedge_at(
    cfg: LimitConfig,
    started_at: float,
    expected_s: float,
    tasks: int,
    idempotent: bool,
) -> float | None:
    """Return the time from which a running request may be hedged.

    :param started_at: Unix seconds at which its first run started.
    :param expected_s: expected run time in seconds.
    :return: Unix seconds, or None if it must not be hedged: only an
        idempotent job of a single task may run twice.
    """
    if not idempotent or tasks != 1 or cfg.hedge_share <= 0.0:
        return None
    return started_at + expected_s * cfg.hedge_after_ratio
