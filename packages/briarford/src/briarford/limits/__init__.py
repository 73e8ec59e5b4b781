"""Limits: admission, quotas, budgets, and guards of the workers."""

from briarford.limits.admission import (
    Load,
    check_deadline,
    check_queue,
    expected_s,
)
from briarford.limits.budgets import AttemptBudgets, TokenBudget, hedge_at
from briarford.limits.concurrency import ConcurrencyGuard
from briarford.limits.config import LimitConfig
from briarford.limits.health import HealthGuard, ThrottleChange
from briarford.limits.quotas import QuotaDivider, divide

__all__ = [
    "AttemptBudgets",
    "ConcurrencyGuard",
    "HealthGuard",
    "LimitConfig",
    "Load",
    "QuotaDivider",
    "ThrottleChange",
    "TokenBudget",
    "check_deadline",
    "check_queue",
    "divide",
    "expected_s",
    "hedge_at",
]
