"""Serves a blacksheep application with uvicorn on the caller's loop."""

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

# Keys of the scope in which handlers find data on their connection.
CONNECTED_AT = "briarford.connected_at"
TRANSPORT = "briarford.transport"
ON_CLOSE = "briarford.on_close"
STOP_TIMEOUT_S = 1
BACKLOG = 512
START_POLL_PERIOD_S = 0.001
# Longer than clients keep idle connections, so that the server does not close
# one while a client sends a request on it.
KEEP_ALIVE_TIMEOUT_S = 60


class _ConnectionProtocol(HttpToolsProtocol):
    """Adds data on the connection of a request to the scope of the request.

    Under ``CONNECTED_AT`` is the Unix time at which the connection was opened,
    under ``TRANSPORT`` its transport, and under ``ON_CLOSE`` a set to which
    handlers may add callbacks for the end of the connection.
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
    """A server without signal handlers; the embedding program has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Serves an application on its own listening socket.

    ``address`` has the host and port once the server has been started.

    :param app: the application.
    :param host: IP number to listen on.
    :param port: port to listen on; 0 for any free one.
    :param connections: highest number of connections at the same time; None
        for no limit.
    :param stop_within_s: seconds that a stop waits for requests in flight.
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
        """Listen, and return once requests are served.

        :raises OSError: if the server stops before that.
        """
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
                raise OSError(
                    f"HTTP server on {self.address} ended before it was ready"
                )
            await asyncio.sleep(START_POLL_PERIOD_S)

    async def stop(self) -> None:
        """Stop listening, and wait for the requests in flight to end."""
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
