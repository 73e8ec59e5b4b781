"""Experiments: faults and unusual loads that both systems are run with."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from briarford.exceptions import UnknownNameError
from briarford_bench.compare import SYSTEMS, Plan, Round, run_round
from briarford_bench.profiles import Profile
from briarford_bench.trace import make_trace

__all__ = ["Experiment", "register_experiment", "run_experiments"]

DEFAULT_LOAD = 0.7
OVERLOAD = 3.0
BURST_START_S = 5.0
BURST_SPAN_S = 5.0
FAILING_JOB_EVERY = 10
CANCEL_EVERY = 2
CANCEL_AT_S = 6.0
MIXED_SPEEDS = (2.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0, 0.5, 0.5, 0.25, 0.25)


@dataclass(slots=True, frozen=True)
class Experiment:
    """Figures of both systems in one experiment.

    :param name: name of the experiment on the command line.
    :param rounds: the figures, one for each system.
    """

    name: str
    rounds: tuple[Round, ...]


PlanFactory = Callable[[Profile, float, int], Plan]

_plan_factories: dict[str, PlanFactory] = {}


def register_experiment(name: str) -> Callable[[PlanFactory], PlanFactory]:
    """Register a function that makes the plan of an experiment.

    :param name: name of the experiment on the command line.
    """

    def register(plan_factory: PlanFactory) -> PlanFactory:
        _plan_factories[name] = plan_factory
        return plan_factory

    return register


def run_experiments(
    names: Sequence[str], profile: Profile, seed: int, seconds: float
) -> list[Experiment]:
    """Run experiments, one after the other.

    :param names: names of the experiments; all if empty.
    :param seed: seed of the traces and the stand-ins.
    :param seconds: length of each trace.
    :raises UnknownNameError: if there is no experiment with a name.
    """
    for name in names:
        if name not in _plan_factories:
            raise UnknownNameError("experiment", name, list(_plan_factories))
    return [
        _run_experiment(name, _plan_factories[name](profile, seconds, seed))
        for name in names or _plan_factories
    ]


def _run_experiment(name: str, plan: Plan) -> Experiment:
    rounds = tuple([run_round(system, plan) for system in SYSTEMS])
    return Experiment(name, rounds)


def _make_plan(
    profile: Profile, load: float, seconds: float, seed: int
) -> Plan:
    trace = make_trace(profile, load, seconds, seed)
    return Plan(profile, load, seconds, seed, trace)


@register_experiment("black-hole")
def black_hole(profile: Profile, seconds: float, seed: int) -> Plan:
    """Let the first worker fail each task right after its start.

    Each slot of this worker is free again after a millisecond, so it can
    take, and fail, many more tasks than any other.
    """
    plan = _make_plan(profile, DEFAULT_LOAD, seconds, seed)
    return replace(plan, faults={0: {"fail_all": True}})


@register_experiment("poison")
def poison(profile: Profile, seconds: float, seed: int) -> Plan:
    """Let every tenth job fail on whatever worker it runs.

    No worker is to be throttled for these failures.
    """
    plan = _make_plan(profile, DEFAULT_LOAD, seconds, seed)
    trace = [
        replace(a, always_fails=index % FAILING_JOB_EVERY == 0)
        for index, a in enumerate(plan.trace)
    ]
    return replace(plan, trace=trace)


@register_experiment("burst")
def burst(profile: Profile, seconds: float, seed: int) -> Plan:
    """Send the arrivals of five seconds all at the same time."""
    plan = _make_plan(profile, DEFAULT_LOAD, seconds, seed)
    until = BURST_START_S + BURST_SPAN_S
    trace = [
        replace(a, at=BURST_START_S) if BURST_START_S < a.at < until else a
        for a in plan.trace
    ]
    return replace(plan, trace=trace)


@register_experiment("mixed-speeds")
def mixed_speeds(profile: Profile, seconds: float, seed: int) -> Plan:
    """Use workers whose speeds differ by a factor of eight."""
    mixed = replace(profile, speeds=MIXED_SPEEDS)
    return _make_plan(mixed, DEFAULT_LOAD, seconds, seed)


@register_experiment("cancellation-wave")
def cancellation_wave(profile: Profile, seconds: float, seed: int) -> Plan:
    """Cancel half of the jobs that have been sent, all at one moment."""
    plan = _make_plan(profile, DEFAULT_LOAD, seconds, seed)
    trace = [
        replace(a, cancel_at=CANCEL_AT_S)
        if a.at < CANCEL_AT_S and index % CANCEL_EVERY == 0
        else a
        for index, a in enumerate(plan.trace)
    ]
    return replace(plan, trace=trace)


@register_experiment("lopsided-entries")
def lopsided_entries(profile: Profile, seconds: float, seed: int) -> Plan:
    """Send all requests to one entry."""
    return replace(_make_plan(profile, DEFAULT_LOAD, seconds, seed), entries=1)


@register_experiment("silent-worker")
def silent_worker(profile: Profile, seconds: float, seed: int) -> Plan:
    """Let the first worker run its tasks and leave all calls unanswered."""
    plan = _make_plan(profile, DEFAULT_LOAD, seconds, seed)
    return replace(plan, faults={0: {"silent": True}})


@register_experiment("overload")
def overload(profile: Profile, seconds: float, seed: int) -> Plan:
    """Offer three times the work that the workers can do."""
    return _make_plan(profile, OVERLOAD, seconds, seed)
