"""HTTP interface of an agent.

Its backend server announces and withdraws itself here; the platform reads
health, readiness and metrics.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from blacksheep import Application, Request, Response

from briarford.sessions import WorkerInfo
from briarford_daemon.agent import AgentDaemon
from briarford_daemon.http_routes import (
    build_app,
    healthz,
    metrics_response,
    readiness,
)
from briarford_daemon.problems import json_response
from briarford_daemon.requests import Service, read_body
from briarford_daemon.settings import Address

__all__ = ["Announcement", "build_agent_app"]

MAX_TTL_S = 60.0

Slots = Annotated[int, msgspec.Meta(ge=1, le=4096)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Ttl = Annotated[float, msgspec.Meta(gt=0, le=MAX_TTL_S)]


class Announcement(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``PUT /v1/backend``: a backend server announces itself.

    The backend server repeats it before ``ttl_s`` has passed.

    :param service: name of the service that it provides.
    :param address: where it accepts tasks over HTTP.
    :param slots: the most tasks that it runs at the same time.
    :param connections: the most connections that it accepts.
    :param processors: its processors; may be a fraction.
    :param memory_mb: its memory in megabytes.
    :param accelerators: its accelerators.
    :param ttl_s: seconds after which the announcement lapses unless it is
        renewed.
    """

    service: Service
    address: Address
    slots: Slots
    connections: Slots
    processors: Positive
    memory_mb: Count
    accelerators: Count = 0
    ttl_s: Ttl = 3.0


class _Routes:
    """Handlers of the HTTP requests to an agent."""

    def __init__(self, agent: AgentDaemon) -> None:
        self._agent = agent

    async def announce(self, req: Request) -> Response:
        body = await read_body(req, Announcement)
        worker = WorkerInfo(
            service=body.service,
            # Each running task occupies one connection.
            slots=min(body.slots, body.connections),
            processors=body.processors,
            memory_mb=body.memory_mb,
            accelerators=body.accelerators,
        )
        expires_at = self._agent.clock.now() + body.ttl_s
        await self._agent.announce(
            worker, body.address, body.connections, expires_at
        )
        return json_response(200, {"expires_at": expires_at})

    async def withdraw(self, req: Request) -> Response:
        self._agent.withdraw("withdrawn by the backend server")
        return json_response(200, {"calls_running": self._agent.core.running})

    async def show(self, req: Request) -> Response:
        return json_response(200, self._agent.state())

    async def readyz(self, req: Request) -> Response:
        return readiness(not self._agent.core.stopping)

    async def metrics(self, req: Request) -> Response:
        return metrics_response(
            self._agent.metrics.render(self._agent.state())
        )


def build_agent_app(agent: AgentDaemon) -> Application:
    """Return the HTTP application of an agent."""
    routes = _Routes(agent)
    return build_app(
        agent.settings.name,
        [
            ("PUT", "/v1/backend", routes.announce),
            ("DELETE", "/v1/backend", routes.withdraw),
            ("GET", "/v1/backend", routes.show),
            ("GET", "/healthz", healthz),
            ("GET", "/readyz", routes.readyz),
            ("GET", "/metrics", routes.metrics),
        ],
    )
