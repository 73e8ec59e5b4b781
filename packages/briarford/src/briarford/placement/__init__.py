"""Placement: decides which worker runs a queued task, and when."""

from briarford.placement.config import PlacementConfig, TeamQuota
from briarford.placement.grants import Grant, SlotGranter
from briarford.placement.messages import Placed, QueuedTask
from briarford.placement.placer import Placer
from briarford.placement.state import WorkerState
from briarford.placement.strategies import (
    Strategy,
    find_strategy,
    make_strategy,
    strategy,
)

__all__ = [
    "Grant",
    "Placed",
    "PlacementConfig",
    "Placer",
    "QueuedTask",
    "SlotGranter",
    "Strategy",
    "TeamQuota",
    "WorkerState",
    "find_strategy",
    "make_strategy",
    "strategy",
]
