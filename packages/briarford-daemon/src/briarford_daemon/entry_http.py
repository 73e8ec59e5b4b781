"""HTTP interface of an entry.

Clients submit, read and cancel jobs here; operators read the status and the
preset record; the platform reads health, readiness and metrics.
"""

from __future__ import annotations

from blacksheep import Application, Request, Response

from briarford.outcomes import Outcome, Refused
from briarford_daemon.entry import EntryDaemon
from briarford_daemon.exceptions import RequestError
from briarford_daemon.http_routes import (
    build_app,
    healthz,
    metrics_response,
    path_param,
    readiness,
)
from briarford_daemon.openapi import openapi_document
from briarford_daemon.problems import answer, json_response
from briarford_daemon.requests import (
    JobBody,
    SingleBody,
    read_body,
    read_deadline,
    read_job,
    read_single,
    read_team,
)

__all__ = ["build_entry_app"]

MAX_IDS = 1000
# A job that ends at its deadline is still answered with its outcome, instead
# of with "running".
ANSWER_GRACE_S = 1.0


class _Routes:
    """Handlers of the HTTP requests to an entry."""

    def __init__(self, entry: EntryDaemon) -> None:
        self._entry = entry

    async def allocate_ids(self, req: Request) -> Response:
        count = _read_count(req)
        ids: list[str] = []
        for _ in range(count):
            job_id = self._entry.allocate_id()
            if isinstance(job_id, Refused):
                return self._answer("", job_id)
            ids.append(job_id)
        return json_response(201, {"ids": ids})

    async def submit(self, req: Request) -> Response:
        job_id = path_param(req, "id")
        deadline = read_deadline(req, self._entry.clock.now())
        team = read_team(req)
        body = await read_body(req, JobBody)
        spec = read_job(job_id, body, team, deadline)
        wait_until = 0.0 if _prefers_async(req) else deadline + ANSWER_GRACE_S
        outcome = await self._entry.peers.submit(spec, wait_until)
        return self._answer(job_id, outcome)

    async def single(self, req: Request) -> Response:
        deadline = read_deadline(req, self._entry.clock.now())
        team = read_team(req)
        body = await read_body(req, SingleBody)
        job_id = self._entry.allocate_single_id()
        service = path_param(req, "service")
        spec = read_single(job_id, service, body, team, deadline)
        outcome = await self._entry.peers.submit(
            spec, deadline + ANSWER_GRACE_S
        )
        return self._answer(job_id, outcome)

    async def read(self, req: Request) -> Response:
        job_id = path_param(req, "id")
        outcome = await self._entry.peers.read(job_id, 0.0)
        return self._answer(job_id, outcome)

    async def cancel(self, req: Request) -> Response:
        job_id = path_param(req, "id")
        outcome = await self._entry.peers.cancel(job_id)
        return self._answer(job_id, outcome)

    async def status(self, req: Request) -> Response:
        return json_response(200, self._entry.status())

    async def preset(self, req: Request) -> Response:
        record = self._entry.preset()
        if record is None:
            raise RequestError("no preset record has been adopted yet", 404)
        return json_response(200, record)

    async def openapi(self, req: Request) -> Response:
        return json_response(200, openapi_document())

    async def readyz(self, req: Request) -> Response:
        return readiness(not self._entry.leaving)

    async def metrics(self, req: Request) -> Response:
        return metrics_response(
            self._entry.metrics.render(self._entry.state())
        )

    def _answer(self, job_id: str, outcome: Outcome | None) -> Response:
        if outcome is not None:
            return answer(job_id, outcome, self._entry.clock.now())
        response = json_response(202, {"id": job_id, "outcome": "running"})
        response.add_header(b"Location", f"/v1/jobs/{job_id}".encode())
        return response


def build_entry_app(entry: EntryDaemon) -> Application:
    """Return the HTTP application of an entry."""
    routes = _Routes(entry)
    return build_app(
        entry.settings.name,
        [
            ("POST", "/v1/jobs", routes.allocate_ids),
            ("PUT", "/v1/jobs/{id}", routes.submit),
            ("GET", "/v1/jobs/{id}", routes.read),
            ("DELETE", "/v1/jobs/{id}", routes.cancel),
            ("POST", "/v1/services/{service}/requests", routes.single),
            ("GET", "/v1/status", routes.status),
            ("GET", "/v1/preset", routes.preset),
            ("GET", "/openapi.json", routes.openapi),
            ("GET", "/healthz", healthz),
            ("GET", "/readyz", routes.readyz),
            ("GET", "/metrics", routes.metrics),
        ],
    )


def _read_count(req: Request) -> int:
    values = req.query.get("count", ["1"])
    if not values[0].isdecimal() or not 1 <= int(values[0]) <= MAX_IDS:
        raise RequestError(f"parameter 'count' must be from 1 to {MAX_IDS}")
    return int(values[0])


def _prefers_async(req: Request) -> bool:
    value = req.headers.get_first(b"prefer") or b""
    return b"respond-async" in value
