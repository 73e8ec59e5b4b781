"""Liveness reports of an unknown service reach all agents, once each."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from record import Record  # noqa: E402
from web import call  # noqa: E402
from worker import Worker  # noqa: E402

from fleet import (  # noqa: E402
    CannotRunError,
    Fleet,
    free_port,
    job,
    new_id,
    submit,
)

LIMIT_S = 110.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 3
SECONDS = 30
JOBS_PER_S = 4


async def send_stray(record: Record, worker: Worker, number: int) -> None:
    """Send one report to the agent of a worker, of another service.

    Nobody listens at the address that it names.
    """
    host = worker.control.partition(":")[0]
    report = {
        **worker.report(),
        "service": "archive-desk",
        "address": f"{host}:{free_port(host)}",
        "sequence": 1,
        "born": worker.life.born_ms + 1500,
    }
    path = f"/briarford/instances/i-9{number}"
    status, _ = await call(worker.control, "PUT", path, report)
    record.add("stray-report", to=worker.control, status=status, body=report)


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    fleet = Fleet(record)
    workers: list[Worker] = []
    try:
        await fleet.start_store()
        entry = fleet.launch("entry", "front-1")
        for number in range(1, WORKERS + 1):
            agent = fleet.launch("agent", f"side-{number}")
            control = agent.listen["control"]
            worker = Worker(f"i-{number}", agent.ip, control, record)
            workers.append(worker)
            await worker.start()
        await fleet.until_ready(entry, 20.0)
        await fleet.until_controlled(workers, 20.0)
        if TROUBLE:
            for number, worker in enumerate(workers):
                await send_stray(record, worker, number)
        await asyncio.sleep(2.0)
        jobs = []
        for _ in range(SECONDS * JOBS_PER_S):
            body = job([300], count=2)
            jobs.append(
                asyncio.create_task(submit(record, entry, new_id(), body))
            )
            await asyncio.sleep(1 / JOBS_PER_S)
        statuses = await asyncio.gather(*jobs)
        served = sum(s == 200 for s in statuses)
        up = [w.name for w in workers if w.up and w.acked_s < 2.0]
        record.add("served", of=len(statuses), served=served, acked=up)
        if len(up) < WORKERS:
            raise CannotRunError("the reports of the workers have no ack")
        if not TROUBLE and served < len(statuses):
            raise CannotRunError("jobs fail without the disruption")
        return 0 if served else 1
    finally:
        for worker in workers:
            if worker.up:
                await worker.crash()
        await fleet.stop()


def main() -> None:
    """Play the case."""
    record = Record(HERE / "record.txt")
    try:
        status = asyncio.run(asyncio.wait_for(play(record), LIMIT_S))
    except (CannotRunError, OSError, TimeoutError) as exc:
        record.add("cannot-run", error=repr(exc))
        status = 2
    record.add("exit", status=status)
    record.close()
    sys.exit(status)


if __name__ == "__main__":
    main()
