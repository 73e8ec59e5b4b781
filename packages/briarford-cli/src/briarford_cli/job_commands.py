"""Commands for callers: submit a job, look at the entries."""

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
    """Submit a job and print its whole answer as JSON.

    Exit status 0 if the job completed, 1 if it failed or was refused, 2 if
    the input cannot be used, 3 if no entry answered.

    :param tasks: a JSON file with a list of payloads, one per task.
    :param service: the service that runs them.
    :param entry: HTTP address of an entry; may be given several times.
    :param team: the team on whose quota the job runs.
    :param timeout_s: seconds after which no answer is wanted.
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


def status(*, entry: list[str], format: Format = Format.TABLE) -> None:
    """Show entries: what each holds, and which preset version it has.

    :param entry: HTTP address of an entry; may be given several times.
    :param format: table or json.
    """
    show_table(asyncio.run(_status(entry)), format)


async def _status(entries: list[str]) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    async with Client(entries) as client:
        for index, address in enumerate(entries):
            answer = await client.get("/v1/status", index)
            if answer is None:
                rows.append({"entry": address, "state": "unreachable"})
                continue
            state = answer.body["state"]
            rows.append(
                {
                    "entry": answer.body["name"],
                    "state": answer.body["status"],
                    "preset": state["preset_version"],
                    "workers": state["workers"],
                    "queued": state["tasks_queued"],
                    "outstanding": state["tasks_outstanding"],
                    "jobs": state["jobs_running"],
                }
            )
    columns = max(rows, key=len, default={})
    return [{c: row.get(c, "") for c in columns} for row in rows]
