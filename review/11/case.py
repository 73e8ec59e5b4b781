"""A request to a suspended entry starts a job that runs elsewhere by then."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "lib3"))

from fleet3 import Connection, Fleet, in_trouble, new_job, run_case

CLIENTS = 10
STEPS = [{"count": 2, "cpu": 3100, "mem_mb": 64, "estimated_ms": 400}]
WORK = (3100, 0.4)
PATIENCE_S = 1.5  # the time budget of payment-confirm
RETRANSMIT_S = 1.3
SUSPENDED_S = 2.6


async def book(
    fleet: Fleet,
    connection: Connection,
    second: str,
    sent_at: float,
    job: str,
) -> None:
    """Submit a job, and once more at another entry if no answer comes."""
    await asyncio.sleep(sent_at - time.monotonic())
    status = await connection.post(job, STEPS, PATIENCE_S)
    if status in (0, 502, 504):
        await asyncio.sleep(RETRANSMIT_S)
        await fleet.post(fleet.front(second), job, STEPS, PATIENCE_S)


async def case() -> bool:
    """Return whether no task ran twice at the same time."""
    fleet = Fleet(4, 6, Path(__file__).parent, ("entry-1",))
    try:
        await fleet.start()
        connections = [Connection(fleet, "entry-1") for _ in range(CLIENTS)]
        for connection in connections:  # they are open, and in use
            job = new_job()
            fleet.work[job] = (1000, 0.05)
            await connection.post(job, STEPS, PATIENCE_S)
        jobs = [new_job() for _ in range(CLIENTS)]
        fleet.work |= dict.fromkeys(jobs, WORK)
        if in_trouble():
            fleet.suspend("entry-1")
        t0 = time.monotonic() + 0.3
        calls = [
            asyncio.create_task(
                book(fleet, c, f"entry-{2 + n % 3}", t0 + 0.02 * n, j)
            )
            for n, (c, j) in enumerate(zip(connections, jobs, strict=True))
        ]
        await asyncio.sleep(SUSPENDED_S)
        if in_trouble():
            fleet.wake("entry-1")
        await asyncio.gather(*calls)
        await asyncio.sleep(2.0)
        twice = fleet.overlaps()
        for one, other in twice:
            fleet.log("TWICE", one=one, other=other)
        fleet.log("result", jobs=len(jobs), twice=len(twice))
        print(f"{len(twice)} tasks ran twice at the same time")
        return not twice
    finally:
        await fleet.stop()


if __name__ == "__main__":
    run_case(case)
