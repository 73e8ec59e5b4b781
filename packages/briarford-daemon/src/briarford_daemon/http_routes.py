"""Helpers that the HTTP interfaces of entries and agents share."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable, Sequence

from blacksheep import Application, Content, Request, Response, Router

from briarford_daemon.exceptions import RequestError
from briarford_daemon.problems import json_response, problem_of_error

__all__ = [
    "Handler",
    "build_app",
    "healthz",
    "metrics_response",
    "path_param",
    "readiness",
]

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4"

Handler = Callable[[Request], Awaitable[Response]]


def build_app(
    peer: str, routes: Sequence[tuple[str, str, Handler]]
) -> Application:
    """Return an application that answers errors with problem documents.

    :param peer: name of the process, which is given in the documents.
    :param routes: method, path and handler of each route.
    """
    app = Application(router=Router())
    for method, path, handler in routes:
        app.router.add(method, path, _handle_request_errors(handler, peer))
    return app


def _handle_request_errors(handler: Handler, peer: str) -> Handler:
    """Answer a :class:`RequestError` of a handler with a problem document."""

    @functools.wraps(handler)
    async def wrapped(req: Request) -> Response:
        try:
            return await handler(req)
        except RequestError as exc:
            return problem_of_error(exc, peer)

    return wrapped


def path_param(req: Request, name: str) -> str:
    """Return a parameter of the path; empty if the route has no such one."""
    params = req.route_values or {}
    return str(params.get(name, ""))


async def healthz(req: Request) -> Response:
    """Answer a liveness check: the process runs."""
    return json_response(200, {"status": "ok"})


def readiness(ready: bool) -> Response:
    """Answer a readiness check.

    :param ready: whether the process accepts new requests.
    """
    if ready:
        return json_response(200, {"status": "ready"})
    return json_response(503, {"status": "stopping"})


def metrics_response(text: bytes) -> Response:
    """Return a response with metrics in the Prometheus text format."""
    return Response(200, content=Content(METRICS_CONTENT_TYPE, text))
