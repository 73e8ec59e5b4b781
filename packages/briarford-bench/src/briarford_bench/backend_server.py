"""The backend server stand-in over HTTP.

Serves :class:`BackendCore` and announces itself to the agent of its worker;
docs/design/backend-protocol.md has the protocol.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
from typing import Any, cast

import aiohttp
import msgspec
from blacksheep import Application, Content, Request, Response, Router

from briarford_bench.backend_core import (
    Abort,
    Answer,
    BackendCore,
    BackendProfile,
    Call,
    NoReply,
    Start,
)
from briarford_daemon.http_server import CONNECTED_AT, TRANSPORT, HttpServer

__all__ = ["BackendServer", "make_announcement"]

logger = logging.getLogger(__name__)

JSON_TYPE = b"application/json"
ANNOUNCE_TTL_S = 3.0
ANNOUNCEMENTS_PER_TTL = 3
ANNOUNCE_TIMEOUT_S = 1.0


class BackendServer:
    """Runs tasks as a backend server does and announces itself to an agent.

    :param profile: how it behaves.
    :param seed: seed of its run times and failures.
    :param agent: HTTP address of its agent; empty for no announcements.
    :param host: IP number to listen on.
    :param port: port to listen on, 0 for any free one.
    :param ttl_s: seconds after which an announcement expires.
    """

    def __init__(
        self,
        profile: BackendProfile,
        seed: int = 0,
        agent: str = "",
        host: str = "127.0.0.1",
        port: int = 0,
        ttl_s: float = ANNOUNCE_TTL_S,
    ) -> None:
        self.core = BackendCore(profile, random.Random(seed))
        self._agent = agent
        self._ttl_s = ttl_s
        self._stopped = asyncio.Event()
        self._announce_task: asyncio.Task[None] | None = None
        self._server = HttpServer(self._routes(), host, port)

    @property
    def address(self) -> str:
        """Host and port; known after :meth:`start`."""
        return self._server.address

    @property
    def starts(self) -> list[Start]:
        """Records of the tasks that started here, oldest first."""
        return self.core.starts

    async def start(self) -> None:
        """Listen, then announce this server until it is withdrawn."""
        await self._server.start()
        if self._agent:
            self._announce_task = asyncio.create_task(
                self._announce_repeatedly()
            )

    async def stop(self) -> None:
        """Withdraw the announcement, then stop listening."""
        await self.withdraw()
        self._stopped.set()
        await self._server.stop()

    async def withdraw(self) -> None:
        """Stop announcing and ask the agent to remove the announcement.

        The agent then starts no new tasks here; running ones go on. If the
        request fails, the announcement stays until it expires.
        """
        if self._announce_task is None:
            return
        self._announce_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._announce_task
        self._announce_task = None
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await session.delete(self._agent_url())

    def _routes(self) -> Application:
        router = Router()

        @router.post("/tasks")
        async def run_task(request: Request) -> Response:
            return await self._run_task(request)

        @router.post("/faults")
        async def set_faults(request: Request) -> Response:
            return await self._set_faults(request)

        return Application(router=router)

    async def _run_task(self, request: Request) -> Response:
        call = await _read_call(request)
        reply = self.core.handle_call(call, time.time())
        match reply:
            case Answer():
                await _sleep_until(reply.at)
                return _make_response(reply)
            case Abort():
                await _sleep_until(reply.at)
            case NoReply():
                await self._stopped.wait()
        _get_scope(request)[TRANSPORT].abort()
        return Response(500)

    async def _set_faults(self, request: Request) -> Response:
        try:
            changes = msgspec.json.decode(
                await request.read() or b"", type=dict[str, Any]
            )
            self.core.set_faults(changes)
        except (msgspec.MsgspecError, TypeError) as exc:
            return Response(
                400, content=Content(b"text/plain", _encode_error(exc))
            )
        return Response(204)

    async def _announce_repeatedly(self) -> None:
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                body = make_announcement(
                    self.core.profile, self.address, self._ttl_s
                )
                try:
                    async with session.put(self._agent_url(), json=body):
                        pass
                except (aiohttp.ClientError, TimeoutError) as exc:
                    logger.warning("announcement to the agent failed: %s", exc)
                await asyncio.sleep(self._ttl_s / ANNOUNCEMENTS_PER_TTL)

    def _agent_url(self) -> str:
        return f"http://{self._agent}/v1/backend"


def make_announcement(
    profile: BackendProfile, address: str, ttl_s: float
) -> dict[str, Any]:
    """Return the JSON body that announces a backend server to its agent.

    :param address: host and port on which the backend server listens.
    :param ttl_s: seconds after which the announcement expires.
    """
    return {
        "service": profile.service,
        "address": address,
        "slots": profile.slots,
        "connections": profile.connections,
        "processors": profile.processors,
        "memory_mb": profile.memory_mb,
        "accelerators": profile.accelerators,
        "ttl_s": ttl_s,
    }


async def _read_call(request: Request) -> Call:
    return Call(
        _get_header(request, b"Briarford-Job"),
        int(_get_header(request, b"Briarford-Task") or 0),
        int(_get_header(request, b"Briarford-Attempt") or 0),
        float(_get_header(request, b"Briarford-Deadline") or 0),
        await request.read() or b"",
        _get_scope(request)[CONNECTED_AT],
    )


def _get_scope(request: Request) -> dict[str, Any]:
    return cast(dict[str, Any], request.scope)


def _get_header(request: Request, name: bytes) -> str:
    value = request.get_first_header(name)
    return value.decode() if value else ""


def _make_response(reply: Answer) -> Response:
    headers = [] if reply.ran else [(b"Briarford-Did-Run", b"no")]
    return Response(reply.status, headers, Content(JSON_TYPE, reply.body))


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - time.time()))


def _encode_error(exc: Exception) -> bytes:
    return str(exc).encode()
