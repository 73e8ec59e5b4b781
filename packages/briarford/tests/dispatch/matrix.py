"""Runs cases of the fault matrix: faults injected at steps of a job."""

from __future__ import annotations

import functools
import itertools
import math
import random
from dataclasses import dataclass, field

from briarford.outcomes import Completed, Outcome, Step

from . import checks
from .faults import CLOCK_ERROR_S, CLOCK_FAULTS, FAULTS, Cast
from .processes import Agent, Backend, Client, Entry
from .world import BEGIN, Site, World

WARM_UP_S = 0.2
LATER_S = 4.0
GIVE_UP_S = 10.0
SETTLE_S = 8.0
GAPS = {Step.FORWARD: "needs homes that forward"}
STEPS = [s for s in Step if s not in GAPS]
CELLS = [(step, name) for step in STEPS for name in FAULTS]
CELLS += [(Step.ALLOCATE_ID, name) for name in CLOCK_FAULTS]


@dataclass(slots=True, frozen=True)
class Injection:
    """A fault, and the step of the watched job at which it strikes."""

    step: Step
    fault: str

    def __str__(self) -> str:
        return f"{self.fault}@{self.step}"


@dataclass(slots=True)
class Result:
    """How a case ended.

    :param outcome: the first answer to the watched job's client.
    :param waited_s: how long that answer took.
    """

    injections: tuple[Injection, ...]
    outcome: Outcome | None
    waited_s: float
    starts: int
    reached: int
    violations: list[str] = field(default_factory=list)

    @property
    def cell(self) -> str:
        """What a table shows of the case."""
        if self.reached < len(self.injections):
            return "not reached"
        if self.outcome is None:
            return "no answer"
        if isinstance(self.outcome, Completed):
            word = "completed"
        else:
            kind = type(self.outcome).__name__.lower()
            word = f"{kind} {self.outcome.reason}"
        return f"{word}, {math.ceil(self.waited_s)} s"


def build(seed: int) -> Cast:
    """Return the processes of a case: 2 entries, 3 agents, 5 clients."""
    world = World(seed)
    entries = [Entry(world, f"e{i}") for i in range(2)]
    speeds = (0.05, 0.1, 0.2)
    backends = [
        Backend(world, f"b{i}", 2, run_s) for i, run_s in enumerate(speeds)
    ]
    agents = [
        Agent(world, f"a{i}", entries, b) for i, b in enumerate(backends)
    ]
    clients = [
        Client(world, "watched", entries[0], 9),
        Client(world, "other", entries[1], 4),
        Client(world, "single", entries[1], 1),
        Client(world, "idempotent", entries[0], 1, idempotent=True),
        Client(world, "later", entries[0], 6, begin_after_s=LATER_S),
    ]
    return Cast(world, entries, agents, backends, clients)


def run_case(injections: tuple[Injection, ...], seed: int = 0) -> Result:
    """Run one case and check all that must hold."""
    cast = build(seed)
    world = cast.world
    watched = cast.clients[0]
    due = list(injections)
    for injection in [i for i in due if i.fault in CLOCK_FAULTS]:
        due.remove(injection)
        world.record.injected.append(injection.fault)
        CLOCK_FAULTS[injection.fault](cast, Site(injection.step))

    def on_step(site: Site) -> None:
        if site.job_id not in (watched.job_id, watched.name):
            return
        for injection in [i for i in due if i.step == site.step]:
            due.remove(injection)
            world.record.injected.append(injection.fault)
            world.fault_lasts(0.0)
            FAULTS[injection.fault](cast, site)

    world.on_step = on_step
    for client in cast.clients:
        begin_at = BEGIN + WARM_UP_S + client.begin_after_s
        world.call_at(begin_at, client.begin)
    _run(cast)
    first = watched.answers[0] if watched.answers else None
    return Result(
        injections,
        first[1] if first else None,
        first[0] - BEGIN - WARM_UP_S if first else 0.0,
        sum(s.ref.job_id == watched.job_id for s in world.record.starts),
        len(injections) - len(due),
        checks.violations(cast),
    )


def _run(cast: Cast) -> None:
    world = cast.world
    world.run_until(BEGIN + WARM_UP_S + 0.5)
    while True:
        give_up_at = world.faults_end_at + GIVE_UP_S
        end = max(BEGIN + GIVE_UP_S, give_up_at)
        if all(_done(c) for c in cast.clients):
            end = max(world.now, world.faults_end_at)
        if end <= world.now:
            break
        world.run_until(min(end, world.now + 0.5))
    for client in cast.clients:
        checks.note_held(cast, client)
    waiting = [c.deadline for c in cast.clients if not _done(c)]
    if waiting:
        world.run_until(max(waiting) + 1.5)
    world.run_until(world.now + SETTLE_S)
    if any(a.calls for a in cast.agents):
        latest = max(c.deadline for c in cast.clients) + CLOCK_ERROR_S
        world.run_until(max(latest + SETTLE_S, world.now))
    _wait_for_leavers(cast)


def _done(client: Client) -> bool:
    return client.crashed or client.answered_at is not None


def _wait_for_leavers(cast: Cast) -> None:
    """Let processes that crashed for long come back before the checks."""
    processes = [*cast.entries, *cast.agents, *cast.backends]
    for _ in range(60):
        if all(p.alive and not p.paused for p in processes):
            break
        cast.world.run_until(cast.world.now + 1.0)
    else:
        return
    cast.world.run_until(cast.world.now + SETTLE_S)


@functools.cache
def run_singles() -> dict[tuple[Step, str], Result]:
    """Run each fault at each step."""
    return {
        (step, name): run_case((Injection(step, name),))
        for step, name in CELLS
    }


def sample_cases(
    count: int, size: int, seed: int
) -> list[tuple[Injection, ...]]:
    """Return random combinations of faults at steps."""
    rng = random.Random(seed)
    points = [
        Injection(s, f) for s, f in itertools.product(STEPS, sorted(FAULTS))
    ]
    points += [
        Injection(Step.ALLOCATE_ID, f) for f in sorted(CLOCK_FAULTS)
    ] * 4
    return [tuple(rng.sample(points, size)) for _ in range(count)]
