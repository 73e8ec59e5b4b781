"""Random traces of jobs and single requests, the same for the same seed."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from briarford_bench.profiles import Profile

__all__ = ["Arrival", "make_trace", "mean_work_s"]

SINGLE_SHARE = 0.4
IDEMPOTENT_SHARE = 0.7
MAX_TASKS = 200
MIN_RUN_MS = 50.0
MAX_RUN_MS = 1000.0
LONG_SHARE = 0.02
MIN_LONG_RUN_MS = 2000.0
MAX_LONG_RUN_MS = 6000.0
MAX_EXPECTED_MS_FACTOR = 4.0
MIN_CLIENT_TIMEOUT_S = 5.0
MAX_CLIENT_TIMEOUT_S = 30.0


@dataclass(slots=True, frozen=True)
class Arrival:
    """One job or single request of a trace.

    Times are in seconds from the start of the trace.

    :param at: when it is sent.
    :param deadline: the deadline that it is sent with; a later answer is of
        no use to its client.
    :param team: the team that sends it.
    :param run_ms: run time of each task at speed 1, in milliseconds.
    :param expected_ms: run time that the client declares for each task; it
        is up to 4 times too low or too high.
    :param single: whether it is a single request.
    :param idempotent: whether its task may be retried.
    :param always_fails: whether each of its tasks fails on every worker.
    :param cancel_at: when the client cancels it; None if it does not.
    """

    at: float
    deadline: float
    team: str
    run_ms: tuple[float, ...]
    expected_ms: tuple[float, ...]
    single: bool
    idempotent: bool = False
    always_fails: bool = False
    cancel_at: float | None = None

    @property
    def work_s(self) -> float:
        """Run time of all tasks together at speed 1, in seconds."""
        return sum(self.run_ms) / 1000


def make_trace(
    profile: Profile, load: float, seconds: float, seed: int
) -> list[Arrival]:
    """Draw Poisson arrivals that offer a share of the capacity.

    :param profile: the deployment that sets the capacity and the teams.
    :param load: offered work over the capacity of all workers.
    :param seconds: length of the trace.
    """
    rng = random.Random(f"{profile.name} {load} {seed}")
    rate = load * profile.capacity / mean_work_s()
    return list(_draw_arrivals(profile, rate, seconds, rng))


def mean_work_s() -> float:
    """Return the mean work of an arrival in seconds of run time at speed 1."""
    mean_tasks = SINGLE_SHARE + (1 - SINGLE_SHARE) * _mean_job_size()
    short = _log_uniform_mean(MIN_RUN_MS, MAX_RUN_MS)
    long = _log_uniform_mean(MIN_LONG_RUN_MS, MAX_LONG_RUN_MS)
    mean_ms = (1 - LONG_SHARE) * short + LONG_SHARE * long
    return mean_tasks * mean_ms / 1000


def _draw_arrivals(
    profile: Profile, rate: float, seconds: float, rng: random.Random
) -> Iterator[Arrival]:
    at = rng.expovariate(rate)
    while at < seconds:
        yield _draw_arrival(profile, at, rng)
        at += rng.expovariate(rate)


def _draw_arrival(profile: Profile, at: float, rng: random.Random) -> Arrival:
    single = rng.random() < SINGLE_SHARE
    count = 1 if single else _draw_job_size(rng)
    run_ms = tuple(_draw_run_ms(rng) for _ in range(count))
    teams, shares = zip(*profile.teams, strict=True)
    return Arrival(
        at=at,
        deadline=at + rng.uniform(MIN_CLIENT_TIMEOUT_S, MAX_CLIENT_TIMEOUT_S),
        team=rng.choices(teams, shares)[0],
        run_ms=run_ms,
        expected_ms=tuple(_draw_expected_ms(ms, rng) for ms in run_ms),
        single=single,
        idempotent=single and rng.random() < IDEMPOTENT_SHARE,
    )


def _draw_job_size(rng: random.Random) -> int:
    return int(_draw_log_uniform(1, MAX_TASKS + 1, rng))


def _mean_job_size() -> float:
    span = math.log(MAX_TASKS + 1)
    return sum(
        n * math.log((n + 1) / n) / span for n in range(1, MAX_TASKS + 1)
    )


def _draw_run_ms(rng: random.Random) -> float:
    if rng.random() < LONG_SHARE:
        return _draw_log_uniform(MIN_LONG_RUN_MS, MAX_LONG_RUN_MS, rng)
    return _draw_log_uniform(MIN_RUN_MS, MAX_RUN_MS, rng)


def _draw_expected_ms(run_ms: float, rng: random.Random) -> float:
    return run_ms * _draw_log_uniform(
        1 / MAX_EXPECTED_MS_FACTOR, MAX_EXPECTED_MS_FACTOR, rng
    )


def _draw_log_uniform(low: float, high: float, rng: random.Random) -> float:
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _log_uniform_mean(low: float, high: float) -> float:
    return (high - low) / math.log(high / low)
