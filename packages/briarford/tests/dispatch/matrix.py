"""Runs the cases of the fault matrix.

A case runs five jobs, injects one or more faults when the first of them, the
watched job, reaches given steps, and applies every check afterwards.
"""

from __future__ import annotations

import functools
import itertools
import math
import random
from dataclasses import dataclass, field

from briarford.outcomes import Completed, Outcome, Step

from . import checks
from .faults import CLOCK_ERROR_S, CLOCK_FAULTS, FAULTS, Cluster
from .processes import Agent, Backend, Client, Entry
from .world import START_AT, StepContext, World

# Time in which agents attach to entries before the clients submit jobs.
WARM_UP_S = 0.2
LATE_CLIENT_DELAY_S = 4.0
# A job for which no call runs must be answered at the latest this long after
# the direct effects of all faults have ended.
ANSWER_WAIT_S = 10.0
# Time in which sessions reattach and state is cleaned up before the checks.
SETTLE_S = 8.0
GAPS = {Step.FORWARD: "needs homes that forward"}
STEPS = [s for s in Step if s not in GAPS]
CELLS = [(step, name) for step in STEPS for name in FAULTS]
CELLS += [(Step.ALLOCATE_ID, name) for name in CLOCK_FAULTS]


@dataclass(slots=True, frozen=True)
class Injection:
    """A fault, and the step of the watched job at which it is injected."""

    step: Step
    fault: str

    def __str__(self) -> str:
        return f"{self.fault}@{self.step}"


@dataclass(slots=True)
class Result:
    """How a case ended.

    :param outcome: the first answer that the watched job's client read.
    :param waited_s: seconds from the client's begin, before it has an id, to
        that answer.
    :param starts: starts of the watched job's tasks at backend servers.
    :param reached: how many of the injections took place; the others belong
        to steps that the job did not reach.
    :param violations: what the checks found.
    """

    injections: tuple[Injection, ...]
    outcome: Outcome | None
    waited_s: float
    starts: int
    reached: int
    violations: list[str] = field(default_factory=list)

    @property
    def cell(self) -> str:
        """The text of the case in the table of docs/FAULTS.md."""
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


def build(seed: int) -> Cluster:
    """Return the processes of a case: 2 entries, 3 workers, 5 clients."""
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
        Client(
            world, "later", entries[0], 6, begin_after_s=LATE_CLIENT_DELAY_S
        ),
    ]
    return Cluster(world, entries, agents, backends, clients)


def run_case(injections: tuple[Injection, ...], seed: int = 0) -> Result:
    """Run one case and apply every check to it."""
    cluster = build(seed)
    world = cluster.world
    watched = cluster.clients[0]
    pending = list(injections)
    for injection in [i for i in pending if i.fault in CLOCK_FAULTS]:
        pending.remove(injection)
        world.record.injected_faults.append(injection.fault)
        CLOCK_FAULTS[injection.fault](cluster, StepContext(injection.step))

    def on_step(context: StepContext) -> None:
        if context.job_id not in (watched.job_id, watched.name):
            return
        for injection in [i for i in pending if i.step == context.step]:
            pending.remove(injection)
            world.record.injected_faults.append(injection.fault)
            world.extend_faults(0.0)
            FAULTS[injection.fault](cluster, context)

    world.on_step = on_step
    for client in cluster.clients:
        begin_at = START_AT + WARM_UP_S + client.begin_after_s
        world.call_at(begin_at, client.begin)
    _run(cluster)
    first = watched.answers[0] if watched.answers else None
    return Result(
        injections,
        first[1] if first else None,
        first[0] - START_AT - WARM_UP_S if first else 0.0,
        sum(s.ref.job_id == watched.job_id for s in world.record.starts),
        len(injections) - len(pending),
        checks.violations(cluster),
    )


def _run(cluster: Cluster) -> None:
    world = cluster.world
    world.run_until(START_AT + WARM_UP_S + 0.5)
    while True:
        wait_until = world.faults_end_at + ANSWER_WAIT_S
        end = max(START_AT + ANSWER_WAIT_S, wait_until)
        if all(_has_ended(c) for c in cluster.clients):
            end = max(world.now, world.faults_end_at)
        if end <= world.now:
            break
        world.run_until(min(end, world.now + 0.5))
    for client in cluster.clients:
        checks.record_if_unanswered(cluster, client)
    waiting = [c.deadline for c in cluster.clients if not _has_ended(c)]
    if waiting:
        world.run_until(max(waiting) + 1.5)
    world.run_until(world.now + SETTLE_S)
    if any(a.calls for a in cluster.agents):
        latest = max(c.deadline for c in cluster.clients) + CLOCK_ERROR_S
        world.run_until(max(latest + SETTLE_S, world.now))
    _wait_for_restarts(cluster)


def _has_ended(client: Client) -> bool:
    return client.crashed or client.answered_at is not None


def _wait_for_restarts(cluster: Cluster) -> None:
    """Wait until crashed processes have restarted, as checks expect it."""
    processes = [*cluster.entries, *cluster.agents, *cluster.backends]
    for _ in range(60):
        if all(p.alive and not p.paused for p in processes):
            break
        cluster.world.run_until(cluster.world.now + 1.0)
    else:
        return
    cluster.world.run_until(cluster.world.now + SETTLE_S)


@functools.cache
def run_singles() -> dict[tuple[Step, str], Result]:
    """Run a case for each fault at each step."""
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
