"""A short soak of real processes; more seeds with ``make soak-processes``."""

from __future__ import annotations

import pytest

from soak import Soak

SECONDS = 8.0


@pytest.mark.parametrize("seed", [1, 2])
async def test_overlapping_faults_break_no_promise(tmp_path, seed):
    """Guards against processes that faults of several kinds bring down."""
    soak = Soak(seed, tmp_path, entries=2, agents=3)
    assert await soak.run(SECONDS) == []
