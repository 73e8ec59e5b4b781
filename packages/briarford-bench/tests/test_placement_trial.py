"""The default strategy wastes no more messages than naive placement.

Runs short placement trials in virtual time. They guard against a change of
placement that loses tasks, sends more messages without a start or a result, or
lets goodput collapse under overload.
"""

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
def test_waste_is_at_most_that_of_naive_placement(
    naive: str, load: float, seed: int
) -> None:
    product = run("soonest-end", load, seed)
    reference = run(naive, load, seed)
    assert product.jobs == product.done == reference.done
    assert product.tasks_done == reference.tasks_done
    assert product.wasted_per_task <= reference.wasted_per_task


def test_goodput_holds_at_three_times_the_capacity() -> None:
    at_capacity = run("soonest-end", 1.0, 1)
    overloaded = run("soonest-end", 3.0, 1)
    assert overloaded.refused > 0
    assert overloaded.goodput >= 0.9 * at_capacity.goodput
