"""Connections between processes that carry length-prefixed frames.

A frame is its length, four bytes in network order, and that many bytes. The
first frame of a connection names the service that the dialing side requests;
the others are messages of that service. A connection that exceeds a limit is
aborted rather than slowed down: heartbeats on it would be late, and a new one
resumes the session.
"""

from __future__ import annotations

import asyncio
import logging
import struct
from collections.abc import Callable, Mapping
from typing import Protocol, TypeVar, cast

import msgspec

from briarford.intake import Account, ConnectionQuota, Phase
from briarford_daemon.addresses import split_address
from briarford_daemon.early_sockets import create_server
from briarford_daemon.intake import Intake

__all__ = [
    "CONNECTION_ERRORS",
    "MAX_FRAME_BYTES",
    "MAX_UNSENT_BYTES",
    "FrameConnection",
    "FrameHandler",
    "FrameServer",
    "MakeHandler",
    "dial",
]

LOGGER = logging.getLogger("briarford.frames")

# Larger than any batch: jobs are limited to a few megabytes by their servers.
MAX_FRAME_BYTES = 16 * 1024 * 1024
# A peer that has left this much unread is slower than its heartbeats allow.
MAX_UNSENT_BYTES = 32 * 1024 * 1024
# Longer than the name of any service.
MAX_NAME_BYTES = 100
# The first frame is sent with the handshake of the connection.
HELLO_TIMEOUT_S = 5.0
BACKLOG = 512
# What the kernel keeps for a connection that is not read.
RECEIVE_BUFFER_BYTES = 64 * 1024

CONNECTION_ERRORS = (OSError, TimeoutError, msgspec.MsgspecError)

_LENGTH = struct.Struct("!I")


class FrameHandler(Protocol):
    """Handles the frames of one connection."""

    def frame_received(self, data: bytes) -> None:
        """Handle one frame; an error in its encoding aborts the connection.

        :raises msgspec.MsgspecError: if it cannot be decoded.
        """

    def connection_closed(self, exc: Exception | None) -> None:
        """Handle the end of the connection.

        :param exc: why it was lost; None if a side has closed it.
        """


MakeHandler = Callable[["FrameConnection"], FrameHandler]

H = TypeVar("H", bound=FrameHandler)


class FrameConnection(asyncio.Protocol):
    """One side of a connection.

    :param make_handler: called with the connection once its service is
        known; None at the accepting side, where ``services`` has it by name.
    :param service: name of the service, at the dialing side.
    :param services: handlers by name of the service, at the accepting side.
    """

    def __init__(
        self,
        make_handler: MakeHandler | None = None,
        service: str = "",
        services: Mapping[str, MakeHandler] | None = None,
    ) -> None:
        self._make_handler = make_handler
        self._service = service
        self._services = services or {}
        self._handler: FrameHandler | None = None
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._cause: Exception | None = None
        self._is_in_use = False  # its service has got a frame
        self._hello_timer: asyncio.TimerHandle | None = None
        self.peer = ""

    def send(self, data: bytes) -> None:
        """Send one frame; it is dropped if the connection has ended.

        The connection is aborted if the peer has left too much unread.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(_LENGTH.pack(len(data)) + data)
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._abort("the peer does not read")

    def close(self) -> None:
        """Close the connection once what was sent has left."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # -- callbacks of asyncio -------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send or await the name of the service."""
        self._transport = cast(asyncio.Transport, transport)
        # The peer name is missing if the peer has already disconnected.
        peername = transport.get_extra_info("peername") or ("", 0)
        self.peer = f"{peername[0]}:{peername[1]}"
        if self._make_handler is not None:
            self.send(self._service.encode())
            self._handler = self._make_handler(self)
            return
        loop = asyncio.get_running_loop()
        self._hello_timer = loop.call_later(
            HELLO_TIMEOUT_S, self._abort, "no service was named in time"
        )

    def data_received(self, data: bytes) -> None:
        """Pass on the frames that are complete."""
        received = self._received
        received += data
        at = 0
        size = len(received)
        try:
            while size - at >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(received, at)
                if length > self._max_frame_bytes():
                    self._abort(f"a frame of {length} bytes is too long")
                    return
                end = at + _LENGTH.size + length
                if end > size:
                    break
                frame = bytes(received[at + _LENGTH.size : end])
                at = end
                self._handle(frame)
                if self._cause is not None:
                    return
        except msgspec.MsgspecError as exc:
            self._cause = exc
            self.abort()
            return
        except Exception as exc:
            LOGGER.exception("frame-failed", extra={"peer": self.peer})
            self._cause = exc
            self.abort()
            return
        del received[:at]

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self._transport = None
        self._stop_hello_timer()
        cause = self._cause or exc
        if self._handler is not None:
            self._handler.connection_closed(cause)
        elif cause is not None:
            LOGGER.info(
                "connection-refused",
                extra={"peer": self.peer, "error": repr(cause)},
            )

    def _max_frame_bytes(self) -> int:
        """Return the longest frame that is accepted now."""
        return MAX_FRAME_BYTES if self._handler else MAX_NAME_BYTES

    def _handle(self, frame: bytes) -> None:
        if self._handler is not None:
            self._handler.frame_received(frame)
            self._is_in_use = True
            return
        self._stop_hello_timer()
        name = frame.decode("latin-1")
        make_handler = self._services.get(name)
        if make_handler is None:
            self._abort(f"no service is named '{name}'")
            return
        self._handler = make_handler(self)

    def _abort(self, reason: str) -> None:
        self._received = bytearray()
        self._cause = ConnectionAbortedError(reason)
        self.abort()

    def _stop_hello_timer(self) -> None:
        if self._hello_timer is not None:
            self._hello_timer.cancel()
            self._hello_timer = None


class FrameServer:
    """Accepts connections for one or several services.

    :param services: makes the handler of a connection, by the name of the
        service that the dialing side wants.
    :param intake: bounds the connections and what they hold; None for no
        bounds.
    """

    def __init__(
        self,
        services: Mapping[str, MakeHandler],
        intake: Intake | None = None,
    ) -> None:
        self._services = services
        self._intake = intake
        self._quota: ConnectionQuota | None = None
        self._server: asyncio.Server | None = None
        self._connections: set[FrameConnection] = set()

    async def start(self, host: str, port: int) -> int:
        """Listen for connections.

        :param port: port to listen on; 0 for any free one.
        :return: the port.
        """
        loop = asyncio.get_running_loop()
        if self._intake is not None:
            limits, machine = self._intake.limits, self._intake.machine
            self._quota = self._intake.add_listener(
                min(
                    limits.peer_connections, machine.client_connections(limits)
                )
            )
        self._server = await create_server(
            loop,
            self._make_connection,
            host,
            port,
            BACKLOG,
            0 if self._intake is None else RECEIVE_BUFFER_BYTES,
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        if self._intake is not None and self._quota is not None:
            self._intake.remove_listener(self._quota)
            self._quota = None
        for connection in list(self._connections):
            connection.close()

    def _make_connection(self) -> FrameConnection:
        if self._quota is None:
            return _AcceptedConnection(self._services, self._connections)
        return _BoundedConnection(
            self._services, self._connections, self._quota
        )


class _AcceptedConnection(FrameConnection):
    """A connection that is in the server's set while it is open."""

    def __init__(
        self,
        services: Mapping[str, MakeHandler],
        connections: set[FrameConnection],
    ) -> None:
        super().__init__(services=services)
        self._connections = connections

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._connections.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self)
        super().connection_lost(exc)


class _BoundedConnection(_AcceptedConnection):
    """A connection with an account in the budget of the process.

    One whose service has got a frame, and that holds no part of another, does
    not give way: it carries a session.
    """

    def __init__(
        self,
        services: Mapping[str, MakeHandler],
        connections: set[FrameConnection],
        quota: ConnectionQuota,
    ) -> None:
        super().__init__(services, connections)
        self._quota = quota
        self._account: Account | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        now = asyncio.get_running_loop().time()
        self._account = self._quota.open(self, now)
        super().connection_made(transport)
        if self._account is None:
            self._abort("too many connections are open")
            return
        self._quota.enter(self._account, Phase.UNFINISHED, now)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._account is not None:
            self._quota.close(self._account)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._account is None or not self._hold(len(data)):
            return
        super().data_received(data)
        idle = self._is_in_use and not self._received
        phase = Phase.SERVED if idle else Phase.UNFINISHED
        now = asyncio.get_running_loop().time()
        self._quota.enter(self._account, phase, now)
        self._hold(0)

    def give_way(self, phase: Phase) -> None:
        """Abort the connection, as the budget demands."""
        self._abort("it has made room for others")

    def _hold(self, more: int) -> bool:
        """Have the budget hold what has been received; False if it is full."""
        account, budget = self._account, self._quota.budget
        if account is None:
            return False
        if budget.hold(account, len(self._received) + more):
            return True
        if account.is_open:
            self._quota.close(account)
            self.give_way(account.phase)
        return False


async def dial(
    address: str, service: str, make_handler: Callable[[FrameConnection], H]
) -> H:
    """Open a connection; the caller limits the time.

    :param address: host and port of the peer.
    :param service: name of the requested service.
    :param make_handler: makes the handler of the connection.
    :return: the handler.
    :raises OSError: if no connection could be opened.
    """
    host, port = split_address(address)
    handlers: list[H] = []

    def keep_handler(connection: FrameConnection) -> H:
        handlers.append(make_handler(connection))
        return handlers[0]

    loop = asyncio.get_running_loop()
    await loop.create_connection(
        lambda: FrameConnection(keep_handler, service), host, port
    )
    return handlers[0]
