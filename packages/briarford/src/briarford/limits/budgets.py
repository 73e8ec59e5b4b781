"""Budgets of retries and hedges, as a share of first tries."""

from __future__ import annotations

from briarford.limits.config import LimitConfig

__all__ = ["AttemptBudgets", "TokenBudget", "hedge_at"]


class TokenBudget:
    """Earns a part of a token per first try; an extra try costs one.

    :param share: extra tries allowed per first try.
    :param burst: the most tokens kept; the budget starts with as many.
    """

    __slots__ = ("_burst", "_share", "_tokens")

    def __init__(self, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Extra tries that are allowed now."""
        return self._tokens

    def earn(self, first_tries: int = 1) -> None:
        """Count first tries."""
        earned = self._tokens + self._share * first_tries
        self._tokens = min(self._burst, earned)

    def spend(self) -> bool:
        """Take a token for an extra try; False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class AttemptBudgets:
    """The retries and hedges of one entry.

    :param cfg: the limits in force.
    """

    __slots__ = ("hedges", "retries")

    def __init__(self, cfg: LimitConfig) -> None:
        self.retries = TokenBudget(cfg.retry_share, cfg.budget_burst)
        self.hedges = TokenBudget(cfg.hedge_share, cfg.budget_burst)

    def count_first_tries(self, tasks: int = 1) -> None:
        """Count tasks that were started for the first time."""
        self.retries.earn(tasks)
        self.hedges.earn(tasks)


def hedge_at(
    cfg: LimitConfig,
    started_at: float,
    expected_s: float,
    tasks: int,
    idempotent: bool,
) -> float | None:
    """Return from when a running request may be hedged; None for never.

    Only an idempotent job of a single task may be.
    """
    if not idempotent or tasks != 1 or cfg.hedge_share <= 0.0:
        return None
    return started_at + expected_s * cfg.hedge_after_ratio
