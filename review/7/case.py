"""A job is cancelled at a daemon that was added while the job runs."""

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
    BOUNDS,
    HOST,
    PREFIX,
    CannotRunError,
    Fleet,
    job,
    new_id,
    submit,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STEP_MS = 3000
STEPS = 4


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    fleet = Fleet(record)
    workers: list[Worker] = []
    try:
        await fleet.start_store()
        entry = fleet.launch("entry", "front-1")
        for number in (1, 2):
            agent = fleet.launch("agent", f"side-{number}")
            control = agent.listen["control"]
            worker = Worker(f"i-{number}", agent.ip, control, record)
            workers.append(worker)
            await worker.start()
        await fleet.until_ready(entry, 20.0)
        await fleet.until_controlled(workers, 20.0)
        job_id = new_id()
        body = job([STEP_MS] * STEPS)
        posting = asyncio.create_task(
            submit(record, entry, job_id, body, deadline_ms=30000)
        )
        await asyncio.sleep(1.0)
        # With one daemon more, the hash of the client selects that one for
        # its next connection.
        target = entry
        if TROUBLE:
            target = fleet.launch("entry", "front-2")
        await fleet.until_ready(target, 20.0)
        record.add("cancel-sent", job=job_id, entry=target.name)
        headers = {"Host": HOST}
        path = PREFIX + job_id
        status, _ = await call(
            target.listen["front"], "DELETE", path, headers=headers
        )
        acked_at = record.now()
        record.add("cancel-answered", job=job_id, status=status)
        if not (200 <= status < 300 or status == 410):
            raise CannotRunError("the cancel has no ack")
        await posting
        # Time for starts that the rule doesn't allow.
        await asyncio.sleep(2 * BOUNDS["cancel_ms"] / 1000)
        late = [
            i
            for i in record.intervals
            if i.task.startswith(job_id)
            and i.start > acked_at + BOUNDS["cancel_ms"] / 1000
        ]
        for run in late:
            record.add(
                "UNASKED",
                task=run.task,
                worker=run.worker,
                after_ack_ms=round((run.start - acked_at) * 1000),
            )
        return 1 if late else 0
    finally:
        for worker in workers:
            if worker.up:
                await worker.crash()
        await fleet.stop()


def main() -> None:
    """Play the case."""
    record = Record(HERE / "record.txt")
    try:
        status = asyncio.run(play(record))
    except (CannotRunError, OSError, TimeoutError) as exc:
        record.add("cannot-run", error=str(exc))
        status = 2
    record.add("exit", status=status)
    record.close()
    sys.exit(status)


if __name__ == "__main__":
    main()
