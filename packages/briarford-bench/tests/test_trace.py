"""Traces offer the stated load, and their figures rest on a valid bound.

A trace that drifts from its load, or differs between runs with one seed, would
make rounds incomparable; a bound that is too high would hide latency.
"""

from __future__ import annotations

import pytest

from briarford_bench.ideal import ideal_s
from briarford_bench.load import Sample, summarize
from briarford_bench.profiles import find_profile
from briarford_bench.trace import Arrival, make_trace

KYKLOS = find_profile("kyklos")


def make_arrival(at, run_ms, deadline=60.0):
    return Arrival(at, deadline, "leasing", run_ms, run_ms, len(run_ms) == 1)


@pytest.mark.parametrize("name", ["kyklos", "baridi"])
@pytest.mark.parametrize("load", [0.7, 3.0])
def test_trace_offers_the_stated_load(name, load):
    profile = find_profile(name)
    trace = make_trace(profile, load, 600, 7)
    offered = sum(arrival.work_s for arrival in trace)
    assert offered == pytest.approx(load * profile.capacity * 600, rel=0.1)
    assert {len(a.run_ms) for a in trace if a.single} == {1}
    assert max(len(a.run_ms) for a in trace) == 200
    assert all(not a.idempotent for a in trace if not a.single)


def test_same_seed_gives_the_same_trace():
    first = make_trace(KYKLOS, 0.7, 20, 7)
    assert first == make_trace(KYKLOS, 0.7, 20, 7)
    assert first != make_trace(KYKLOS, 0.7, 20, 8)


@pytest.mark.parametrize(
    ("run_ms", "expected_s"),
    [
        pytest.param((1300.0,), 1.002, id="fastest-slot"),
        pytest.param((1300.0,) * 16, 1.002, id="fastest-workers"),
        pytest.param((1300.0, 13.0), 1.002, id="longest-task"),
        pytest.param((110.0,) * 800, 1.002, id="all-slots"),
    ],
)
def test_ideal_is_the_highest_of_the_lower_bounds(run_ms, expected_s):
    assert ideal_s(KYKLOS, run_ms) == pytest.approx(expected_s)


def test_goodput_counts_only_work_completed_in_time():
    done = make_arrival(1.0, (1300.0,))
    late = make_arrival(9.5, (1300.0,))
    samples = [
        Sample(done, "a", "completed", "", 1.002, 1.0, 0.0),
        Sample(late, "b", "completed", "", 3.006, 3.0, 0.0),
        Sample(done, "c", "refused", "queue full", 0.1, 0.06, 0.0),
    ]
    summary = summarize(KYKLOS, samples, 10.0)
    assert summary.outcomes == {"completed": 2, "refused": 1}
    assert summary.reasons == {"queue full": 1}
    assert summary.ratio_p50 == pytest.approx(1.0, rel=0.01)
    assert summary.ratio_p99 == pytest.approx(3.0, rel=0.01)
    assert [r.jobs for r in summary.ratios.values()] == [2, 0, 0, 0]
    assert summary.goodput == pytest.approx(1.3 / (88 * 10))
    assert summary.refusals_over_50_ms == 1
