"""Agents that are stopped by a signal just after a burst of orders.

Two entries, the agents and their workers, as real processes.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from soak import BURST_JOB, Soak, stop_after_burst

AGENTS = 8
START_S = 60.0
SETTLE_S = 1.0
IDLE_S = 0.3
SLOW = 0.98
# A job of these tasks fills a worker, so that each agent has a part of them.
STEP = {**BURST_JOB["steps"][0], "cpu": 200}
BURST: dict[str, Any] = {
    "body": {**BURST_JOB, "steps": [STEP]},
    "longest_s": 0.3,
}


async def serve_burst(fleet: Soak) -> list[int]:
    """Leave agents with connections to their workers that are idle."""
    burst = {**BURST, "longest_s": 0.1}
    statuses = await asyncio.gather(
        *(fleet.client(**burst) for _ in range(AGENTS))
    )
    await asyncio.sleep(IDLE_S)
    return statuses


@pytest.mark.parametrize(("seconds", "stops"), [(1.24, 3), (2.4, 2)])
async def test_no_run_outlives_a_pause_that_ends_it(tmp_path, seconds, stops):
    """Guards against orders that are sent after their runs were given up.

    After the shorter pause agents have counted the runs of their workers as
    lost, after the longer one entries have those of the agents.
    """
    fleet = Soak(
        *(1, tmp_path, 2, AGENTS), is_metered=False, clock_rates=(SLOW,)
    )
    await fleet.start()
    try:
        async with asyncio.timeout(START_S):
            while set(await serve_burst(fleet)) != {200}:
                pass
        for _ in range(stops):
            await serve_burst(fleet)
            await stop_after_burst(
                fleet, fleet.agents, seconds, jobs=AGENTS, **BURST
            )
        await asyncio.sleep(SETTLE_S)
        found = fleet.outlived(), fleet.overlaps()
    finally:
        await fleet.stop()
    assert found == ([], [])
