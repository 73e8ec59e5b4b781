"""Strategies that choose a worker for a task."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from briarford.exceptions import UnknownNameError
from briarford.placement.messages import QueuedTask
from briarford.placement.state import WorkerState

__all__ = ["Strategy", "find_strategy", "strategy"]


class Strategy(Protocol):
    """Chooses among workers that fit a task and have a credit."""

    def __call__(
        self,
        task: QueuedTask,
        workers: Sequence[WorkerState],
        zone: str,
        rng: random.Random,
    ) -> WorkerState:
        """Choose one of ``workers``, which is never empty."""


_strategies: dict[str, Strategy] = {}


def strategy(name: str) -> Callable[[Strategy], Strategy]:
    """Register a strategy under a name that presets can use."""

    def register(choose: Strategy) -> Strategy:
        _strategies[name] = choose
        return choose

    return register


def find_strategy(name: str) -> Strategy:
    """Return the strategy of that name.

    :raises UnknownNameError: if there is none.
    """
    if name not in _strategies:
        raise UnknownNameError("placement strategy", name, list(_strategies))
    return _strategies[name]


@strategy("random")
def choose_random(
    task: QueuedTask,
    workers: Sequence[WorkerState],
    zone: str,
    rng: random.Random,
) -> WorkerState:
    """Choose any worker with equal probability."""
    return rng.choice(workers)


@strategy("most-credits")
def choose_most_credits(
    task: QueuedTask,
    workers: Sequence[WorkerState],
    zone: str,
    rng: random.Random,
) -> WorkerState:
    """Choose the worker with the most unspent credits, own zone first."""
    return max(workers, key=lambda w: (w.credits, w.zone == zone, w.name))
