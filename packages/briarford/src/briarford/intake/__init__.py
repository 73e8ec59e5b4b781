"""What a process holds for its clients, bounded as a whole."""

from briarford.intake.budget import (
    Account,
    ConnectionQuota,
    GivesWay,
    IntakeBudget,
    Phase,
)
from briarford.intake.limits import IntakeLimits, Machine

__all__ = [
    "Account",
    "ConnectionQuota",
    "GivesWay",
    "IntakeBudget",
    "IntakeLimits",
    "Machine",
    "Phase",
]
