"""A small HTTP server on the httptools parser.

The processes on the users' platform are restarted all at once and have little
memory, so they do without a web framework, whose import took most of their
start. Requests on one connection are answered one after the other, in their
order.
"""

from __future__ import annotations

import asyncio
import contextlib

from briarford.intake import ConnectionQuota, IntakeLimits, Machine
from briarford_daemon.early_sockets import create_server
from briarford_daemon.http_connection import (
    Handler,
    HttpCall,
    HttpConnection,
    HttpReply,
    OpenConnections,
    RequestLimits,
)
from briarford_daemon.intake import Intake
from briarford_daemon.submissions import SubmissionWatch

__all__ = [
    "Handler",
    "HttpCall",
    "HttpListener",
    "HttpReply",
    "RequestLimits",
]

BACKLOG = 512
STOP_TIMEOUT_S = 1.0
# What the kernel keeps for a connection that is not read.
RECEIVE_BUFFER_BYTES = 16 * 1024

# For a listener without limits of its own, as in a tool.
_MACHINE = Machine(memory_mb=512, max_open_files=4096)


class HttpListener:
    """Serves HTTP requests on one listening socket.

    ``address`` has the host and port once it has been started.

    :param handler: answers one request, at once or as an awaitable. If the
        client closes its connection before, the awaitable is cancelled.
    :param host: IP number to listen on.
    :param port: port to listen on; 0 for any free one.
    :param intake: of the process; one of its own by default.
    :param connections: largest number of connections; that of clients by
        default.
    :param limits: on requests; those on requests of clients by default.
    :param submissions: HTTP methods of requests that clients repeat elsewhere.
        One that was held on its way, or waited for the start of the process,
        is left out if its client has closed the connection.
    """

    def __init__(
        self,
        handler: Handler,
        host: str = "127.0.0.1",
        port: int = 0,
        intake: Intake | None = None,
        connections: int = 0,
        limits: RequestLimits | None = None,
        submissions: frozenset[str] = frozenset(),
    ) -> None:
        self._submissions = submissions
        self._handler = handler
        self._host = host
        self._port = port
        self._intake = intake or Intake(IntakeLimits(), _MACHINE)
        common = self._intake.limits
        machine = self._intake.machine
        self._limit = connections or machine.client_connections(common)
        self._limits = limits or RequestLimits(
            common.max_head_bytes, common.max_body_bytes
        )
        self._quota: ConnectionQuota | None = None
        self._server: asyncio.Server | None = None
        self._connections = OpenConnections()
        self.address = ""

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the port is in use.
        """
        loop = asyncio.get_running_loop()
        quota = self._quota = self._intake.add_listener(self._limit)
        watch = None
        if self._submissions:
            watch = SubmissionWatch(self._submissions)
        self._server = await create_server(
            loop,
            lambda: HttpConnection(
                self._handler,
                self._connections,
                self._limits,
                self._intake,
                quota,
                watch,
            ),
            self._host,
            self._port,
            BACKLOG,
            RECEIVE_BUFFER_BYTES,
            keepalive=True,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self, within_s: float = STOP_TIMEOUT_S) -> None:
        """Stop listening, and wait a short time for requests in flight.

        :param within_s: seconds after which connections are cut.
        """
        if self._server is None:
            return
        self._server.close()
        if self._quota is not None:
            self._intake.remove_listener(self._quota)
            self._quota = None
        for connection in list(self._connections):
            connection.finish()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self._connections.wait_until_empty()
        for connection in list(self._connections):
            connection.abort()
