"""Placement: which worker runs a task, and when."""

from briarford.placement.grants import Grant, SlotGranter
from briarford.placement.messages import Placed, QueuedTask
from briarford.placement.placer import Placer
from briarford.placement.state import WorkerState
from briarford.placement.strategies import Strategy, find_strategy, strategy

__all__ = [
    "Grant",
    "Placed",
    "Placer",
    "QueuedTask",
    "SlotGranter",
    "Strategy",
    "WorkerState",
    "find_strategy",
    "strategy",
]
