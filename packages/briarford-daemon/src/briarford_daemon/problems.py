"""Converts outcomes of jobs and errors in requests to HTTP answers.

A completed job is answered with its results, everything else with a problem
document.
"""

from __future__ import annotations

import math

import msgspec
from blacksheep import Content, Response

from briarford.outcomes import (
    Completed,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
)
from briarford_daemon.exceptions import RequestError

__all__ = ["answer", "json_response", "problem_of_error"]

JSON = b"application/json"
PROBLEM = b"application/problem+json"

_REFUSAL_STATUS = {
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_JOB: 404,
    RefusalReason.NO_WORKER_FITS: 422,
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.QUOTA_EXCEEDED: 429,
    RefusalReason.DEADLINE_UNREACHABLE: 503,
    RefusalReason.DEADLINE_PASSED: 504,
    RefusalReason.CANCELLED: 409,
    RefusalReason.STOPPING: 503,
    RefusalReason.NO_PRESET: 503,
    RefusalReason.BODY_DIFFERS: 409,
    RefusalReason.ID_EXPIRED: 410,
    RefusalReason.ID_INVALID: 400,
    RefusalReason.VIEW_UNCONFIRMED: 503,
    RefusalReason.HOME_UNREACHABLE: 503,
    RefusalReason.WORKERS_LOST: 503,
}
_FAILURE_STATUS = {
    FailureReason.TASK_FAILED: 502,
    FailureReason.WORKER_LOST: 502,
    FailureReason.HOME_LOST: 502,
    FailureReason.HOME_UNREACHABLE: 503,
    FailureReason.DEADLINE_PASSED: 504,
    FailureReason.CANCELLED: 409,
    FailureReason.ANSWER_DROPPED: 410,
}


# The docstring of Problem is its description in the OpenAPI document.
class Problem(msgspec.Struct, omit_defaults=True):
    """A problem document (RFC 9457) with what is known of the request.

    :param did_run: ``no`` if nothing ran, ``unknown`` if something may have.
    :param retry_at: Unix seconds from which to ask again; absent if final.
    """

    type: str
    title: str
    status: int
    detail: str
    did_run: str
    step: str
    peer: str = ""
    id: str = ""
    retry_at: float | None = None


class _CompletedJob(msgspec.Struct):
    """Body of the answer of a completed job.

    :param results: the JSON answers of the backend servers, unchanged, in the
        order of the tasks.
    """

    id: str
    outcome: str
    results: list[msgspec.Raw]


def json_response(status: int, body: object) -> Response:
    """Return an HTTP answer with a body as JSON."""
    return Response(status, content=Content(JSON, msgspec.json.encode(body)))


def answer(job_id: str, outcome: Outcome, now: float) -> Response:
    """Return the HTTP answer for the outcome of a job.

    :param now: Unix seconds, from which ``Retry-After`` counts.
    """
    if isinstance(outcome, Completed):
        results = [msgspec.Raw(r) for r in outcome.results]
        return json_response(200, _CompletedJob(job_id, "completed", results))
    if isinstance(outcome, Failed):
        status = _FAILURE_STATUS[outcome.reason]
        did_run = "unknown" if outcome.may_have_run else "no"
    else:
        status = _REFUSAL_STATUS[outcome.reason]
        did_run = "no"
    return _problem_response(
        Problem(
            type=f"urn:briarford:problem:{outcome.reason}",
            title=outcome.reason.replace("-", " "),
            status=status,
            detail=outcome.detail,
            did_run=did_run,
            step=outcome.step,
            peer=outcome.peer,
            id=job_id,
            retry_at=outcome.retry_at,
        ),
        now,
    )


def problem_of_error(exc: RequestError, peer: str) -> Response:
    """Return the HTTP answer for a request that is not valid.

    :param peer: the name of this process.
    """
    return _problem_response(
        Problem(
            type="urn:briarford:problem:bad-request",
            title="bad request",
            status=exc.status,
            detail=exc.message,
            did_run="no",
            step=exc.step,
            peer=peer,
        ),
        0.0,
    )


def _problem_response(problem: Problem, now: float) -> Response:
    response = Response(
        problem.status,
        content=Content(PROBLEM, msgspec.json.encode(problem)),
    )
    if problem.retry_at is not None:
        wait = max(0, math.ceil(problem.retry_at - now))
        response.add_header(b"Retry-After", str(wait).encode())
    return response
