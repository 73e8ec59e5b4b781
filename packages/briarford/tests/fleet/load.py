"""Simulates the traffic of the users' deployments against the cores."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from briarford.outcomes import Completed
from briarford.requests import JobRequest, StepSpec
from briarford.routes import Route
from fleet.leaving import give_notice
from fleet.worker import StandInWorker
from fleet.world import World

CORES = (32, 32, 48)
ZONES = ("a", "b", "c")


@dataclass(frozen=True)
class Deployment:
    """A fleet and how its traffic differs from that of the annex.

    :param speeds: speeds that the workers get in rotation, in seconds of work
        per second.
    :param workers: number of workers; the traffic grows with it.
    :param zones: shares of the traffic, by entry.
    :param work_factor: seconds of work of a task, as a multiple of the usual;
        as much less traffic arrives.
    :param kinds: kinds of requests that arrive.
    """

    speeds: tuple[float, ...]
    workers: int = 11
    zones: tuple[int, ...] = (41, 32, 37, 30)
    work_factor: float = 1.0
    kinds: tuple[str, ...] = ("check", "confirm", "approve")


_MEASURED = (1 / 0.55, 1 / 1.2, 1 / 1.2, 1 / 1.2)
# 'measured' has the speeds that agents learnt on the users' bench, where three
# or four of eleven workers are almost twice as fast as estimated. The other
# ones are made up, for what must not depend on that fleet.
FLEETS = {
    "measured": Deployment(_MEASURED),
    "some slow": Deployment((0.55, 1.2, 1.2, 1.2)),
    "equal speeds": Deployment((1.0,)),
    "three workers": Deployment((1.5, 1.0, 0.8), workers=3, zones=(1, 1)),
    "seventy workers": Deployment(_MEASURED, workers=70, zones=(2, 1) * 6),
    "one busy zone": Deployment(_MEASURED, zones=(85, 5, 5, 5)),
    "short tasks": Deployment(_MEASURED, work_factor=0.1),
    "large jobs": Deployment(
        _MEASURED, 12, (1, 1), work_factor=1.4, kinds=("approve",)
    ),
}
CPU = 3100
ESTIMATE_SPREAD = 0.41  # as on the users' bench (0d0bb042), in nats
STRETCH = 1.6
TARGET_S = 0.06
LATE_VALUE_FACTOR = 0.2
FINISH_S = 10.0
UNANSWERED_DELAY_S = 3.0
NOTICE_S = 2.0
NEXT_AFTER_S = 4.0  # after a worker has left
SLOWED_FACTOR = 7.0
SLOWED_FOR_S = 5.0
STARTED_AT = 1001.0  # on the clock of the world


@dataclass(frozen=True)
class RequestKind:
    """A kind of request.

    :param per_s: jobs per second at the usual load.
    :param width: mean number of tasks.
    :param work_s: mean seconds of work of a task.
    :param value: value of the answer to a request of mean size.
    :param priority: of its route.
    """

    per_s: float
    width: int
    work_s: float
    value: float
    priority: int


KINDS = {
    "check": RequestKind(17.2, 8, 0.12, 0.0291, 0),
    "confirm": RequestKind(50.0, 2, 0.4, 0.01, 1),
    "approve": RequestKind(3.12, 4, 1.8, 0.16, 2),
}


@dataclass
class Tally:
    """Result of the requests of one kind.

    :param attainable: value if all were answered within their objective.
    :param earned: value of the answers as they came.
    :param refused: number of refused requests.
    """

    attainable: float = 0.0
    earned: float = 0.0
    refused: int = 0

    @property
    def share(self) -> float:
        return self.earned / self.attainable if self.attainable else 1.0


@dataclass(frozen=True)
class Arrival:
    """A request as it is planned.

    :param at: seconds after the start of the traffic.
    :param count: number of its tasks.
    :param work_s: seconds of work of a task.
    :param expected_s: the client's estimate of that.
    :param cpu: thousandths of a processor that a task needs.
    """

    at: float
    kind: str
    job: str
    count: int
    work_s: float
    expected_s: float
    cpu: int


def arrivals(
    load: float, seconds: float, seed: int, fleet: Deployment
) -> list[Arrival]:
    """Return random requests of all kinds, in the order of their arrival."""
    rng = random.Random(seed)
    found = []
    load *= fleet.workers / 11 / fleet.work_factor
    for name in fleet.kinds:
        kind = KINDS[name]
        mean_s = kind.work_s * fleet.work_factor
        at = rng.expovariate(kind.per_s * load)
        while at < seconds:
            work_s = mean_s * math.exp(rng.gauss(-0.08, 0.4))
            count = round(kind.width * math.exp(rng.gauss(-0.08, 0.4)))
            found.append(
                Arrival(
                    at,
                    name,
                    f"{rng.getrandbits(64):016x}",
                    max(1, min(4 * kind.width, count)),
                    min(4 * mean_s, work_s),
                    work_s * math.exp(rng.gauss(0.0, ESTIMATE_SPREAD)),
                    int(min(4700, max(1500, rng.gauss(CPU, 600)))),
                )
            )
            at += rng.expovariate(kind.per_s * load)
    return sorted(found, key=lambda a: a.at)


def play(
    load: float,
    seconds: float,
    seed: int = 1,
    slow: int = 0,
    agents_after_s: float = 0.0,
    fleet: str = "some slow",
    lost: Sequence[tuple[float, int]] = (),
    notices: Sequence[tuple[float, int]] = (),
    unanswered: float = 0.0,
    prefer_zone: bool = False,
    refused: bool = False,
    slowed: Sequence[tuple[float, int]] = (),
) -> tuple[dict[str, Tally], World]:
    """Simulate a load and return the result of each kind of request.

    :param load: multiple of the usual traffic.
    :param seconds: how long requests arrive.
    :param seed: of the traffic.
    :param slow: number of workers that take 6.5 times as long.
    :param agents_after_s: if not 0, all processes are restarted when the
        traffic begins, and agents are up this much later than entries.
    :param fleet: a key of ``FLEETS``.
    :param lost: seconds after which workers of these numbers crash for good.
    :param notices: seconds after which workers of these numbers report that
        they leave ``NOTICE_S`` later; others come ``NEXT_AFTER_S`` after
        that.
    :param unanswered: share of the orders that workers leave unanswered and
        carry out ``UNANSWERED_DELAY_S`` later, and of the run listings of
        which the answer is lost.
    :param prefer_zone: whether entries prefer workers of their own zone.
        Workers and entries are in the zones ``ZONES`` in rotation.
    :param slowed: seconds after which workers of these numbers take
        ``SLOWED_FACTOR`` times as long, for ``SLOWED_FOR_S``.
    :param refused: whether connections to crashed workers are refused.
    """
    deployment = FLEETS[fleet]
    speeds, zones = deployment.speeds, deployment.zones
    workers = [
        StandInWorker(
            f"w{n}",
            cpu=CORES[n % 3] * 1000,
            speed=speeds[n % len(speeds)] / (6.5 if n < slow else 1.0),
            zone=ZONES[n % len(ZONES)],
        )
        for n in range(deployment.workers)
    ]
    preferred = ZONES if prefer_zone else ("",)
    world = World(workers, len(zones), zones=preferred)
    world.refused_connections = refused
    world.run(1.0)
    started_at = world.now
    if agents_after_s:
        world.restart_all(agents_after_s)
    if unanswered:
        fault_rng = random.Random(seed + 2)
        world.unanswered_order_delay = lambda task: (
            UNANSWERED_DELAY_S if fault_rng.random() < unanswered else None
        )
        world.listing_lost = lambda: fault_rng.random() < unanswered
    for seconds_until, number in lost:
        _schedule_crash(world, workers[number], started_at + seconds_until)
    for seconds_until, number in notices:
        _schedule_notice(world, f"a{number}", started_at + seconds_until)
    for seconds_until, number in slowed:
        _schedule_slowdown(world, workers[number], started_at + seconds_until)
    rng = random.Random(seed + 1)
    planned = arrivals(load, seconds, seed, deployment)
    for arrival in planned:
        for worker in workers:
            worker.needs[arrival.job] = (arrival.cpu, arrival.work_s)
        number = rng.choices(range(len(zones)), zones)[0]
        _schedule(world, f"e{number}", arrival, started_at)
    world.run(seconds + FINISH_S * max(1.0, deployment.work_factor))
    return tally(world, planned, deployment), world


def _schedule_crash(world: World, worker: StandInWorker, at: float) -> None:
    world.at(at, lambda: worker.crash(world.now))


def _schedule_slowdown(world: World, worker: StandInWorker, at: float) -> None:
    usual = worker.speed
    slow = usual / SLOWED_FACTOR
    world.at(at, lambda: worker.set_speed(slow, world.now))
    world.at(at + SLOWED_FOR_S, lambda: worker.set_speed(usual, world.now))


def _schedule_notice(world: World, agent: str, at: float) -> None:
    world.at(
        at,
        lambda: give_notice(
            world, agent, NOTICE_S, next_after_s=NOTICE_S + NEXT_AFTER_S
        ),
    )


def _schedule(
    world: World, entry: str, arrival: Arrival, started_at: float
) -> None:
    kind = KINDS[arrival.kind]
    route = Route(
        arrival.kind,
        "h",
        f"/{arrival.kind}/",
        "desk",
        kind.priority,
        3,
        STRETCH,
        TARGET_S,
    )
    step = StepSpec(arrival.count, arrival.cpu, 64, 0, arrival.expected_s)
    payload = f"of {arrival.job}"
    req = JobRequest(arrival.job, payload, (step,), best_effort=True)
    node = world.entries[entry]
    world.at(
        started_at + arrival.at,
        lambda: world.submit(node, req, route, needs_known=True),
    )


def relative_size(arrival: Arrival, fleet: Deployment) -> float:
    """Return the work of a request as a multiple of the mean of its kind."""
    kind = KINDS[arrival.kind]
    size = arrival.count * arrival.work_s * arrival.cpu
    return size / (kind.width * kind.work_s * fleet.work_factor * CPU)


def value_of(arrival: Arrival, fleet: Deployment) -> float:
    """Return what the answer to a request is worth if it is in time."""
    size = min(4.0, relative_size(arrival, fleet))
    return KINDS[arrival.kind].value * (0.3 + 0.7 * size)


def share_earned(
    arrival: Arrival, world: World, started_at: float = STARTED_AT
) -> float:
    """Return the share of its value that the answer to a request earned."""
    at, outcome = world.outcomes.get(arrival.job, (math.inf, None))
    objective_s = STRETCH * arrival.work_s + TARGET_S
    took_s = at - started_at - arrival.at
    if not isinstance(outcome, Completed) or took_s > 3 * objective_s:
        return 0.0
    return 1.0 if took_s <= objective_s else LATE_VALUE_FACTOR


def tally(
    world: World, planned: Sequence[Arrival], fleet: Deployment
) -> dict[str, Tally]:
    """Return the result of each kind of request, after a simulation.

    :param planned: the requests to count.
    """
    tallies = {name: Tally() for name in KINDS}
    for arrival in planned:
        tally = tallies[arrival.kind]
        value = value_of(arrival, fleet)
        tally.attainable += value
        if arrival.job in world.refused:
            tally.refused += 1
            continue
        tally.earned += value * share_earned(arrival, world)
    return tallies
