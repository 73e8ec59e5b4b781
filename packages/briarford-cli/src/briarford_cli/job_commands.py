"""The commands of callers: submit a job, show the status of entries."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

from briarford_cli.exceptions import InputError
from briarford_cli.output import Format, show_table
from briarford_daemon.client import Answer, Client

__all__ = ["status", "submit"]

EXIT_NOT_COMPLETED = 1


def submit(
    tasks: Path,
    *,
    service: str,
    entry: list[str],
    team: str = "default",
    timeout_s: float = 60.0,
) -> None:
    """Submit a job, wait for its answer and print it as JSON.

    Exit status 0 if the job completed, 1 if it failed or was refused, 2 if
    the input cannot be used, 3 if no entry answered.

    :param tasks: a JSON file with a list of payloads, one per task.
    :param service: the service that runs them.
    :param entry: HTTP address of an entry; may be given several times.
    :param team: the team on whose quota the job runs.
    :param timeout_s: seconds from now to the deadline of the job.
    """
    payloads = _read_payloads(tasks)
    answer = asyncio.run(_submit(payloads, service, entry, team, timeout_s))
    print(json.dumps(answer.body))
    if not answer.completed:
        sys.exit(EXIT_NOT_COMPLETED)


async def _submit(
    payloads: list[Any],
    service: str,
    entries: list[str],
    team: str,
    timeout_s: float,
) -> Answer:
    deadline = time.time() + timeout_s
    bodies = [{"payload": p} for p in payloads]
    async with Client(entries, team) as client:
        return await client.run_job(service, bodies, deadline)


def _read_payloads(path: Path) -> list[Any]:
    try:
        payloads = json.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        raise InputError(f"cannot read '{path}': {exc.strerror}") from exc
    except ValueError as exc:
        raise InputError(f"'{path}' is not JSON: {exc}") from exc
    if not isinstance(payloads, list) or not payloads:
        raise InputError(f"'{path}' must hold a list of payloads")
    return payloads


def status(
    *,
    entry: list[str],
    workers: bool = False,
    format: Format = Format.TABLE,
) -> None:
    """Show the state, preset version, workers, tasks and jobs of entries.

    :param entry: HTTP address of an entry; may be given several times.
    :param workers: show the workers that are attached to each entry instead.
    :param format: table or json.
    """
    answers = asyncio.run(_fetch_status(entry))
    rows = _worker_rows(answers) if workers else _entry_rows(answers)
    columns = max(rows, key=len, default={})
    show_table([{c: r.get(c, "") for c in columns} for r in rows], format)


async def _fetch_status(entries: list[str]) -> dict[str, Answer | None]:
    """Return the status by address of the entry; None if unreachable."""
    async with Client(entries) as client:
        answers = await asyncio.gather(
            *(client.get("/v1/status", i) for i in range(len(entries)))
        )
    return dict(zip(entries, answers, strict=True))


def _entry_rows(answers: dict[str, Answer | None]) -> list[dict[str, Any]]:
    return [
        _entry_row(answer)
        if answer is not None
        else {"entry": address, "state": "unreachable"}
        for address, answer in answers.items()
    ]


def _entry_row(answer: Answer) -> dict[str, Any]:
    state = answer.body["state"]
    return {
        "entry": answer.body["name"],
        "state": answer.body["status"],
        # Missing in answers of builds before 0.2.0.
        "build": str(answer.body.get("build", "")),
        "preset": int(state["preset_version"]),
        "workers": int(state["workers"]),
        "queued": int(state["tasks_queued"]),
        "outstanding": int(state["tasks_outstanding"]),
        "jobs": int(state["jobs_running"]),
    }


def _worker_rows(answers: dict[str, Answer | None]) -> list[dict[str, Any]]:
    return [
        {"entry": answer.body["name"], **worker}
        for answer in answers.values()
        if answer is not None
        for worker in answer.body["workers"]
    ]
