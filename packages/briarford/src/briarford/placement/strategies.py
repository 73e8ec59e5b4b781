"""Placement strategies: how a worker is chosen for the next task.

A credit allows this entry to start one task on a worker, and reserves a slot
for it (:mod:`briarford.placement.grants`). Spare slots are reserved for no
entry.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from briarford.exceptions import UnknownNameError
from briarford.placement.groups import WorkerGroup, cost_class_s
from briarford.placement.state import WorkerState

__all__ = [
    "ChoiceInput",
    "MostCredits",
    "Random",
    "RoundRobin",
    "SoonestEnd",
    "Strategy",
    "TwoChoices",
    "find_strategy",
    "make_strategy",
    "strategy",
]

MAX_WAIT_TO_SLOW_RUN_RATIO = 0.5


@dataclass(slots=True)
class ChoiceInput:
    """The input of a strategy for one task.

    :param groups: the workers that the task fits.
    :param relative_run_time: expected run time relative to a typical task.
    :param tasks_ahead: queued tasks up to and including the last one of the
        task's job.
    :param leave_slow_slots: whether the task may wait for a faster slot.
    """

    groups: Sequence[WorkerGroup]
    relative_run_time: float
    tasks_ahead: int
    leave_slow_slots: bool


class Strategy(Protocol):
    """Chooses a worker for the task that goes next.

    A strategy that uses credits starts tasks only on credits or spare slots.
    Others start tasks on any worker, which rejects them if it is full.
    """

    uses_credits: bool

    def choose(self, choice: ChoiceInput) -> WorkerState | None:
        """Return the chosen worker, or None to leave the task queued."""


_strategies: dict[str, Callable[[random.Random], Strategy]] = {}


def strategy(
    name: str,
) -> Callable[
    [Callable[[random.Random], Strategy]],
    Callable[[random.Random], Strategy],
]:
    """Register a strategy under the name that presets refer to."""

    def register(
        make: Callable[[random.Random], Strategy],
    ) -> Callable[[random.Random], Strategy]:
        _strategies[name] = make
        return make

    return register


def find_strategy(name: str) -> Callable[[random.Random], Strategy]:
    """Return the registered factory of a strategy.

    :raises UnknownNameError: if there is none.
    """
    if name not in _strategies:
        raise UnknownNameError("placement strategy", name, list(_strategies))
    return _strategies[name]


def make_strategy(name: str, rng: random.Random) -> Strategy:
    """Create a strategy by its registered name.

    :raises UnknownNameError: if there is none of that name.
    """
    return find_strategy(name)(rng)


@strategy("soonest-end")
class SoonestEnd:
    """Uses the fastest free slot, or waits if that ends the job sooner."""

    uses_credits = True

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, choice: ChoiceInput) -> WorkerState | None:
        """Choose the fastest ready worker, or None if waiting is better."""
        ready = [w for g in choice.groups if (w := g.fastest_ready())]
        if not ready:
            return None
        best = min(ready, key=lambda w: w.cost_class)
        if choice.leave_slow_slots and _waiting_ends_job_sooner(best, choice):
            return None
        return best


def _waiting_ends_job_sooner(worker: WorkerState, choice: ChoiceInput) -> bool:
    """Whether the job ends sooner if this slot stays empty.

    Waiting takes until the tasks ahead have started on slots that faster
    workers free up, plus a run on one of these. It must take less than
    ``MAX_WAIT_TO_SLOW_RUN_RATIO`` of a run on this worker.
    """
    faster = 0
    ends_per_s = 0.0
    for group in choice.groups:
        for class_, count in group.running.items():
            if class_ < worker.cost_class:
                faster += count
                ends_per_s += count / cost_class_s(class_)
    if not faster:
        return False
    fast_run_s = faster / ends_per_s * choice.relative_run_time
    slow_run_s = cost_class_s(worker.cost_class) * choice.relative_run_time
    waiting_s = choice.tasks_ahead / ends_per_s
    return waiting_s + fast_run_s < slow_run_s * MAX_WAIT_TO_SLOW_RUN_RATIO


@strategy("most-credits")
class MostCredits:
    """Spreads tasks over free slots, regardless of run times and zones."""

    uses_credits = True

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, choice: ChoiceInput) -> WorkerState | None:
        """Choose the worker with the most unused credits."""
        ready = [w for g in choice.groups for w in g.ready_workers()]
        return max(ready, key=lambda w: (w.credits, w.name), default=None)


@strategy("random")
class Random:
    """Starts a task on any worker; a full one rejects the start."""

    uses_credits = False

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, choice: ChoiceInput) -> WorkerState | None:
        """Choose any worker with equal probability."""
        return _worker_at(
            choice.groups, self._rng.randrange(_count(choice.groups))
        )


@strategy("round-robin")
class RoundRobin:
    """Starts tasks on the workers in turn; a full one rejects the start."""

    uses_credits = False

    def __init__(self, rng: random.Random) -> None:
        self._next = rng.randrange(1 << 16)

    def choose(self, choice: ChoiceInput) -> WorkerState | None:
        """Choose the worker after the last one."""
        self._next += 1
        return _worker_at(choice.groups, self._next % _count(choice.groups))


@strategy("two-choices")
class TwoChoices:
    """Starts a task on the less loaded of two random workers."""

    uses_credits = False

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, choice: ChoiceInput) -> WorkerState | None:
        """Choose by the number of tasks that this entry runs there."""
        count = _count(choice.groups)
        pair = [
            _worker_at(choice.groups, self._rng.randrange(count))
            for _ in range(2)
        ]
        return min(pair, key=lambda w: w.running)


def _count(groups: Sequence[WorkerGroup]) -> int:
    return sum(len(g) for g in groups)


def _worker_at(groups: Sequence[WorkerGroup], position: int) -> WorkerState:
    for group in groups:
        if position < len(group):
            return group.at(position)
        position -= len(group)
    raise IndexError(position)
