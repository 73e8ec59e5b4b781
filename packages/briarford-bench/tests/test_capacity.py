"""The estimate at full size follows from the fitted lines.

A term that is left out or scaled wrongly would give a plausible but wrong
capacity page.
"""

from __future__ import annotations

import pytest

from briarford_bench.capacity import (
    FullSize,
    capacity_tables,
    estimate_full_size,
)
from briarford_bench.daemons import Reading
from briarford_bench.slopes import Fit, Slope, fit_line

RESOURCES = ("processor_percent", "memory_mb", "kb_per_s")


def make_slope(name, base, per_unit):
    fits = {
        f"{role}.{resource}": Fit(base, per_unit, 0.0)
        for role in ("entry", "agent")
        for resource in RESOURCES
    }
    return Slope(name, "control", (), fits)


SLOPES = [
    make_slope("agents", 1.0, 0.01),
    make_slope("entries", 0.5, 0.1),
    make_slope("tasks-per-s-logged", 1.0, 0.041),
    make_slope("jobs-per-s", 1.0, 0.12),
    make_slope("remembered-jobs", 50.0, 0.002),
    make_slope("teams", 1.0, 0.01),
]


@pytest.mark.parametrize(
    ("what", "every_entry", "subset"),
    [
        pytest.param("entries needed for data", 83, 83, id="entries"),
        pytest.param("agents attached", 5000, 5000 * 4 / 83, id="agents"),
        pytest.param(
            "control processor", 51.0, 1 + 50 * 4 / 83, id="entry-control"
        ),
        pytest.param(
            "jobs remembered", 15361.4458, 15361.4458, id="remembered"
        ),
        pytest.param("memory of those", 30.722892, 30.722892, id="memory"),
        pytest.param("processor for data", 11.152, 11.152, id="agent-data"),
    ],
)
def test_estimate_extends_the_fitted_lines(what, every_entry, subset):
    row = next(
        r for r in estimate_full_size(SLOPES, FullSize()) if r.what == what
    )
    assert row.every_entry == pytest.approx(every_entry, rel=1e-5)
    assert row.subset == pytest.approx(subset, rel=1e-5)


def test_tables_show_bounds_and_residuals():
    text = capacity_tables(SLOPES, FullSize())
    assert "| agent | control bytes | 8.8 | 0.9 | KB/s | 4 |" in text
    assert "| teams | control | agent.kb_per_s | 1 | 0.01 | 0 |" in text


@pytest.mark.parametrize(
    ("ys", "base", "per_unit", "residual"),
    [
        pytest.param((1.0, 3.0, 5.0), 1.0, 2.0, 0.0, id="line"),
        pytest.param((0.0, 3.0, 0.0), 1.0, 0.0, 2**0.5, id="off-line"),
    ],
)
def test_fit_is_least_squares(ys, base, per_unit, residual):
    fit = fit_line((0.0, 1.0, 2.0), ys)
    assert (fit.base, fit.per_unit, fit.residual) == pytest.approx(
        (base, per_unit, residual)
    )


def test_usage_between_readings_is_a_rate():
    usage = Reading(10.0, 1.0, 50.0, 1000).usage_until(
        Reading(14.0, 1.2, 60.0, 9000)
    )
    assert usage.processor_percent == pytest.approx(5.0)
    assert (usage.memory_mb, usage.kb_per_s) == (60.0, 2.0)
