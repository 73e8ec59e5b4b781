from __future__ import annotations

import pytest

from briarford_bench.placement_trial import Report, TrialConfig, run_trial

SECONDS = 4.0


def run(strategy: str, load: float, seed: int) -> Report:
    cfg = TrialConfig(strategy=strategy, load=load, seed=seed, seconds=SECONDS)
    return run_trial(cfg)


@pytest.mark.parametrize("naive", ["random", "round-robin"])
@pytest.mark.parametrize(
    ("load", "seed"),
    [
        pytest.param(0.4, 1, id="quiet-1"),
        pytest.param(0.4, 2, id="quiet-2"),
        pytest.param(0.7, 1, id="ordinary-1"),
        pytest.param(0.7, 2, id="ordinary-2"),
    ],
)
def test_against_naive(naive: str, load: float, seed: int) -> None:
    ours = run("soonest-end", load, seed)
    theirs = run(naive, load, seed)
    assert ours.jobs == ours.done == theirs.done
    assert ours.tasks_done == theirs.tasks_done
    assert ours.wasted_per_task <= theirs.wasted_per_task


def test_overload_keeps_goodput() -> None:
    at_capacity = run("soonest-end", 1.0, 1)
    overloaded = run("soonest-end", 3.0, 1)
    assert overloaded.refused > 0
    assert overloaded.goodput >= 0.9 * at_capacity.goodput
