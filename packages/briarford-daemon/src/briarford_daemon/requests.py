"""Decodes and checks the HTTP requests of clients.

A request that is not valid raises :class:`RequestError`, which names the
header or field at fault, before any job is made from it.
"""

from __future__ import annotations

import re
from typing import Annotated, TypeVar

import msgspec
from blacksheep import Request

from briarford.jobs import JobSpec, TaskSpec
from briarford_daemon.exceptions import RequestError

__all__ = [
    "JobBody",
    "SingleBody",
    "read_body",
    "read_deadline",
    "read_job",
    "read_single",
    "read_team",
]

MAX_BODY_BYTES = 16_000_000
# int() raises an error for a Content-Length of thousands of digits. A length
# cut to so many digits is still over MAX_BODY_BYTES.
MAX_LENGTH_DIGITS = 18
MAX_TASKS = 2000
MAX_TIMEOUT_S = 3600.0
DEFAULT_TIMEOUT_S = 60.0
DEFAULT_TEAM = "default"

Processors = Annotated[float, msgspec.Meta(ge=0, le=4096)]
MemoryMb = Annotated[int, msgspec.Meta(ge=0, le=100_000_000)]
Accelerators = Annotated[int, msgspec.Meta(ge=0, le=1024)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=3_600_000)]
Service = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]

_TEAM_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

B = TypeVar("B")


# The docstrings of TaskBody, JobBody and SingleBody are their descriptions in
# the OpenAPI document.
class TaskBody(msgspec.Struct, forbid_unknown_fields=True):
    """One task in a request; :class:`TaskSpec` says what the fields mean."""

    payload: msgspec.Raw
    processors: Processors = 0.0
    memory_mb: MemoryMb = 0
    accelerators: Accelerators = 0
    expected_ms: Milliseconds = 0.0


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a job's submission."""

    service: Service
    tasks: Annotated[
        list[TaskBody], msgspec.Meta(min_length=1, max_length=MAX_TASKS)
    ]


class SingleBody(TaskBody, forbid_unknown_fields=True, kw_only=True):
    """Body of a single request.

    :param idempotent: whether it may be run again after a failure.
    """

    idempotent: bool = False


async def read_body(req: Request, kind: type[B]) -> B:
    """Read and check the JSON body of a request.

    The size is checked before and while the body is read, so that
    reading stops as soon as the limit is exceeded.

    :param kind: the type of the body.
    :raises RequestError: names the field and what is allowed.
    """
    length = req.headers.get_first(b"content-length")
    if length is not None and length.isdigit():
        _check_size(int(length[:MAX_LENGTH_DIGITS]))
    data = bytearray()
    async for chunk in req.stream():  # type: ignore[attr-defined]
        data += chunk
        _check_size(len(data))
    try:
        return msgspec.json.decode(bytes(data), type=kind)
    except (msgspec.DecodeError, RecursionError) as exc:
        detail = str(exc).replace("`", "'")
        raise RequestError(f"the body is not accepted: {detail}") from exc


def _check_size(size: int) -> None:
    if size > MAX_BODY_BYTES:
        raise RequestError(
            f"the body has over {MAX_BODY_BYTES} bytes; split the job", 413
        )


def read_deadline(req: Request, now: float) -> float:
    """Return the deadline of a request in Unix seconds.

    The header ``Briarford-Deadline`` has Unix seconds. Without it, the
    deadline is ``Briarford-Timeout`` seconds from now, or the default.

    :param now: Unix seconds.
    :raises RequestError: if a header is not a number, or the deadline has
        passed or is too far away.
    """
    deadline = _read_number(req, "Briarford-Deadline")
    timeout = _read_number(req, "Briarford-Timeout")
    if deadline is None:
        deadline = now + (DEFAULT_TIMEOUT_S if timeout is None else timeout)
    if deadline <= now:
        raise RequestError("the deadline has passed; send a later one", 400)
    if deadline > now + MAX_TIMEOUT_S:
        raise RequestError(
            f"the deadline is over {MAX_TIMEOUT_S:.0f} s away; send an"
            " earlier one"
        )
    return deadline


def _read_number(req: Request, name: str) -> float | None:
    value = req.headers.get_first(name.encode())
    if value is None:
        return None
    try:
        return float(msgspec.json.decode(value, type=float))
    except msgspec.DecodeError as exc:
        raise RequestError(f"header '{name}' must be a number") from exc


def read_team(req: Request) -> str:
    """Return the team on whose quota a request runs.

    :raises RequestError: if the header does not hold a valid name.
    """
    value = req.headers.get_first(b"briarford-team")
    if value is None:
        return DEFAULT_TEAM
    team = value.decode("latin-1")
    if _TEAM_NAME.fullmatch(team) is None:
        raise RequestError(
            "header 'Briarford-Team' must have 1 to 63 letters, digits,"
            " dots, dashes or underscores"
        )
    return team


def read_job(
    job_id: str, body: JobBody, team: str, deadline: float
) -> JobSpec:
    """Convert the body of a submission to a job."""
    tasks = tuple(_make_task(t) for t in body.tasks)
    return JobSpec(job_id, body.service, team, deadline, tasks)


def read_single(
    job_id: str, service: str, body: SingleBody, team: str, deadline: float
) -> JobSpec:
    """Convert the body of a single request to a job of one task."""
    return JobSpec(
        job_id, service, team, deadline, (_make_task(body),), body.idempotent
    )


def _make_task(body: TaskBody) -> TaskSpec:
    return TaskSpec(
        payload=bytes(body.payload),
        processors=body.processors,
        memory_mb=body.memory_mb,
        accelerators=body.accelerators,
        expected_ms=body.expected_ms,
    )
