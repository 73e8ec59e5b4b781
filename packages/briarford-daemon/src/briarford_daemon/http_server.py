"""A blacksheep application on uvicorn, run within the caller's loop."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import uvicorn
from blacksheep import Application
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = ["CONNECTED_AT", "ON_CLOSE", "TRANSPORT", "HttpServer"]

CONNECTED_AT = "briarford.connected_at"
TRANSPORT = "briarford.transport"
ON_CLOSE = "briarford.on_close"
STOP_TIMEOUT_S = 1
BACKLOG = 512
START_POLL_PERIOD_S = 0.001
KEEP_ALIVE_TIMEOUT_S = 60  # longer than clients keep idle connections


class _ConnectionProtocol(HttpToolsProtocol):
    """Shows handlers the connection that a request came on.

    Handlers may add callbacks for its end to ``ON_CLOSE`` of the scope.
    """

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._connected_at = time.time()
        self._on_close: set[Callable[[], object]] = set()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        for callback in list(self._on_close):
            callback()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        scope: dict[str, Any] = self.scope  # type: ignore[assignment]
        scope[CONNECTED_AT] = self._connected_at
        scope[TRANSPORT] = self.transport
        scope[ON_CLOSE] = self._on_close


class _EmbeddedServer(uvicorn.Server):
    """Leaves signals to the program that embeds the server."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Serves an application on a socket of its own.

    :param app: the application.
    :param host: IP number to listen on.
    :param port: port to listen on, 0 for any free one.
    :param connections: most connections at the same time, None for any.
    :param stop_within_s: how long a stop waits for requests in flight.
    """

    def __init__(
        self,
        app: Application,
        host: str = "127.0.0.1",
        port: int = 0,
        connections: int | None = None,
        stop_within_s: float = STOP_TIMEOUT_S,
    ) -> None:
        self._app = app
        self._host = host
        self._port = port
        self._connections = connections
        self._stop_within_s = stop_within_s
        self._server: _EmbeddedServer | None = None
        self._task: asyncio.Task[None] | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen, and return once requests are served."""
        sock = self._bind()
        cfg = uvicorn.Config(
            self._app,
            http=_ConnectionProtocol,
            lifespan="on",
            log_config=None,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            access_log=False,
            proxy_headers=False,
            limit_concurrency=self._connections,
            timeout_graceful_shutdown=math.ceil(self._stop_within_s),
            server_header=False,
            date_header=False,
        )
        self._server = _EmbeddedServer(cfg)
        self._task = asyncio.create_task(self._server.serve([sock]))
        while not self._server.started:
            if self._task.done():
                await self._task
                raise OSError(f"cannot serve on {self.address}")
            await asyncio.sleep(START_POLL_PERIOD_S)

    async def stop(self) -> None:
        """Stop listening, and wait for the requests in flight."""
        if self._server is None or self._task is None:
            return
        self._server.should_exit = True
        await self._task

    def _bind(self) -> socket.socket:
        # With protocol 0 asyncio would not set TCP_NODELAY on connections.
        sock = socket.socket(proto=socket.IPPROTO_TCP)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._host, self._port))
        sock.listen(BACKLOG)
        sock.setblocking(False)
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        return sock
