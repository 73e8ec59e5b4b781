"""Runs the fault matrix and compares it with docs/FAULTS.md."""

from __future__ import annotations

import pytest

from . import matrix, report

PAIRS = matrix.sample_cases(200, 2, seed=11)


@pytest.mark.parametrize(
    ("step", "fault"),
    [pytest.param(*c, id=f"{c[1]}@{c[0]}") for c in matrix.CELLS],
)
def test_checks_pass_under_each_fault(step, fault):
    assert matrix.run_singles()[step, fault].violations == []


@pytest.mark.parametrize(
    ("case", "seed"),
    [
        pytest.param(case, seed, id="+".join(map(str, case)))
        for seed, case in enumerate(PAIRS)
    ],
)
def test_checks_pass_under_two_faults(case, seed):
    assert matrix.run_case(case, seed).violations == []


@pytest.mark.parametrize(
    ("size", "seed"),
    [
        pytest.param(2, 1823690366, id="repeat-after-a-refusal-of-two"),
        pytest.param(3, 1093585234, id="repeat-after-a-refusal-of-three"),
        # A run that was stuck counted as one that frees its slot soon. The
        # entry therefore requested no other slot for its waiting tasks.
        pytest.param(3, 933499703, id="stuck-run-hides-demand"),
        pytest.param(3, 1849348425, id="stuck-run-hides-demand-again"),
    ],
)
def test_cases_that_make_soak_found(size, seed):
    """Combinations of faults that violated a check in the random soak runs."""
    [case] = matrix.sample_cases(1, size, seed)
    assert matrix.run_case(case, seed).violations == []


def test_outcomes_of_the_matrix(snapshot):
    """An answer that changes under a fault must be noticed and reviewed."""
    assert report.table() == snapshot


def test_page_of_faults_is_up_to_date():
    """Written by ``python -m dispatch.report``."""
    assert report.PAGE.read_text() == report.page()
