"""Placement: which worker runs a task, and when."""

from briarford.placement.messages import Placed, QueuedTask
from briarford.placement.placer import Placer
from briarford.placement.state import WorkerState
from briarford.placement.strategies import Strategy, find_strategy, strategy

__all__ = [
    "Placed",
    "Placer",
    "QueuedTask",
    "Strategy",
    "WorkerState",
    "find_strategy",
    "strategy",
]
