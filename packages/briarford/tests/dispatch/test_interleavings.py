"""Random orders of jobs, time and faults, and a comparison with plain code."""

from __future__ import annotations

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarford.outcomes import Completed, Step

from . import checks
from .faults import FAULTS
from .matrix import SETTLE_S, build
from .processes import Client, run_task
from .world import StepContext

LIVE_CHECKS = (
    checks.starts_at_most_once,
    checks.answers_are_whole_and_own,
    checks.refusals_are_true,
    checks.denials_are_true,
    checks.nothing_new_after_leaving,
)
LONG_FAULTS = ("all-backends-gone", "all-agents-gone", "client-crash")


class Interleavings(RuleBasedStateMachine):
    """Submits jobs and injects faults in any order, at 2 entries, 3 agents.

    Checks that must hold at any time run after each step; all checks run at
    the end, when faults and jobs are over.
    """

    def __init__(self) -> None:
        super().__init__()
        self.cluster = build(seed=5)
        self.cluster.clients.clear()
        self.cluster.world.run_until(self.cluster.world.now + 0.2)

    @rule(entry=st.integers(0, 1), tasks=st.integers(1, 8), idem=st.booleans())
    def submit(self, entry: int, tasks: int, idem: bool) -> None:
        name = f"client-{len(self.cluster.clients)}"
        home = self.cluster.entries[entry]
        idempotent = idem and tasks == 1
        client = Client(self.cluster.world, name, home, tasks, idempotent)
        self.cluster.clients.append(client)
        client.begin()

    @rule(step_s=st.sampled_from([0.0004, 0.003, 0.06, 0.7, 2.0]))
    def wait(self, step_s: float) -> None:
        self.cluster.world.run_until(self.cluster.world.now + step_s)

    @rule(
        name=st.sampled_from(sorted(set(FAULTS) - set(LONG_FAULTS))),
        entry=st.integers(0, 1),
        agent=st.integers(0, 2),
    )
    def inject_fault(self, name: str, entry: int, agent: int) -> None:
        if name == "job-cancelled" and not self.cluster.clients:
            return
        context = StepContext(
            Step.RUNNING,
            entry=self.cluster.entries[entry],
            agent=self.cluster.agents[agent],
        )
        FAULTS[name](self.cluster, context)

    @invariant()
    def checks_pass(self) -> None:
        for check in LIVE_CHECKS:
            assert list(check(self.cluster)) == []

    def teardown(self) -> None:
        world = self.cluster.world
        world.message_faults.clear()
        ends = [c.deadline for c in self.cluster.clients]
        world.run_until(max([world.now, *ends]) + SETTLE_S + 10.0)
        assert checks.violations(self.cluster) == []


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = settings(
    max_examples=25, stateful_step_count=20, deadline=None, derandomize=True
)


def run_in_sequence(payloads: list[bytes]) -> Completed:
    """Run the tasks in sequence in this process, as a reference."""
    return Completed(tuple(run_task(p) for p in payloads))


@pytest.mark.parametrize("seed", range(8))
def test_answers_equal_those_of_a_naive_dispatcher(seed):
    rng = random.Random(seed)
    cluster = build(seed)
    cluster.clients[:] = [
        Client(
            cluster.world, f"c{i}", cluster.entries[i % 2], rng.randint(1, 12)
        )
        for i in range(20)
    ]
    for client in cluster.clients:
        cluster.world.call_later(0.2 + rng.random(), client.begin)
    cluster.world.run_until(cluster.world.now + 20.0)
    for client in cluster.clients:
        expected = run_in_sequence(client.payloads)
        answers = [o for _, o in client.answers]
        assert len(answers) >= 3
        assert answers == [expected] * len(answers)
    assert checks.violations(cluster) == []
