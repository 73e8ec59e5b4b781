"""What a process holds for its clients, bounded as a whole."""

from briarford.intake.arrivals import (
    ClientNetwork,
    ClientNetworks,
    ConnectionArrivals,
    Suspensions,
)
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
    "ClientNetwork",
    "ClientNetworks",
    "ConnectionArrivals",
    "ConnectionQuota",
    "GivesWay",
    "IntakeBudget",
    "IntakeLimits",
    "Machine",
    "Phase",
    "Suspensions",
]
