"""A small HTTP client with persistent connections, on the httptools parser.

Agents run beside workers, where memory and a short start matter. The client of
aiohttp, which the other programs use, takes 13 MB and a third of the time in
which an agent starts.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from httptools import HttpParserError, HttpResponseParser

from briarford.exceptions import SettingsError
from briarford_daemon.addresses import split_address

__all__ = [
    "CallAbandonedError",
    "CallLostError",
    "HttpAnswer",
    "HttpClient",
    "NotConnectedError",
]

# With the preferred number of connections in use, a call waits this long for
# one of them: several times the answer of a healthy peer.
REUSE_WAIT_S = 0.006
IDEMPOTENT_METHODS = frozenset({"GET", "DELETE"})
INFORMATIONAL_STATUSES = range(100, 200)


class HttpAnswer(msgspec.Struct, frozen=True):
    """A complete HTTP answer.

    :param status: status code.
    :param body: body, with chunks joined.
    """

    status: int
    body: bytes


class NotConnectedError(OSError):
    """No connection could be opened, so nothing has been sent.

    ``refused`` is true if the peer's machine has refused the connection.

    :param address: host and port of the peer.
    :param cause: the error of the attempt.
    """

    def __init__(self, address: str, cause: Exception) -> None:
        super().__init__(f"cannot connect to {address}: {cause}")
        self.refused = isinstance(cause, ConnectionRefusedError)


class CallAbandonedError(Exception):
    """The caller has given up the call before its request was written."""


class CallLostError(OSError):
    """The connection ended before the answer was complete."""


class _Connection(asyncio.Protocol):
    """One connection with at most one call at a time."""

    def __init__(self) -> None:
        self._transport: Any = None
        self._answer: asyncio.Future[HttpAnswer] | None = None
        self._parser: Any = None
        self._body_parts: list[bytes] = []
        self.open = False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self.open = True

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._fail(f"connection ended: {exc or 'closed by the peer'}")

    def data_received(self, data: bytes) -> None:
        if self._answer is None:
            self.abort()  # the peer sent data without a request
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError as exc:
            self._fail(f"unreadable answer: {exc}")
            self.abort()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body; called by the parser."""
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Return the complete answer to the caller; called by the parser.

        Informational answers are skipped: the final one follows.
        """
        status = self._parser.get_status_code()
        if status in INFORMATIONAL_STATUSES:
            return
        if not self._parser.should_keep_alive():
            self.open = False
        fut, self._answer = self._answer, None
        if fut is not None and not fut.done():
            fut.set_result(HttpAnswer(status, b"".join(self._body_parts)))

    def _fail(self, detail: str) -> None:
        """Raise :class:`CallLostError` at the waiting caller, if any."""
        fut, self._answer = self._answer, None
        if fut is not None and not fut.done():
            fut.set_exception(CallLostError(detail))

    async def exchange(self, request: bytes) -> HttpAnswer:
        """Send a request and return the answer to it."""
        fut = asyncio.get_running_loop().create_future()
        self._answer = fut
        self._body_parts = []
        self._parser = HttpResponseParser(self)
        self._transport.write(request)
        answer: HttpAnswer = await fut
        return answer

    def abort(self) -> None:
        """Close the connection at once."""
        self.open = False
        if self._transport is not None:
            self._transport.abort()


class HttpClient:
    """Makes HTTP calls to peers and reuses idle connections.

    :param connections: connections to each peer at the same time; further
        calls wait until one is free.
    :param idle_timeout_s: seconds after which an idle connection is closed
        instead of being used again.
    :param preferred: connections to each peer beyond which a call waits
        ``REUSE_WAIT_S`` for a free one before it opens another; as
        ``connections`` if 0.
    """

    def __init__(
        self, connections: int, idle_timeout_s: float, preferred: int = 0
    ) -> None:
        self._max_connections = connections
        self._preferred = preferred or connections
        self._in_use: Counter[str] = Counter()
        self._released: dict[str, asyncio.Event] = {}
        self._idle_timeout_s = idle_timeout_s
        self._idle: dict[str, deque[tuple[float, _Connection]]] = {}
        self._slots: dict[str, asyncio.Semaphore] = {}

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        before_send: Callable[[], None] | None = None,
    ) -> HttpAnswer:
        """Make one call; the caller limits its time.

        A GET or DELETE on an idle connection that turns out to be closed is
        sent again on a new one.

        :param address: host and port of the peer.
        :param method: HTTP method.
        :param target: path with query.
        :param before_send: called each time before the request is written;
            raises :class:`CallAbandonedError` if it is not to be.
        :raises NotConnectedError: if no connection could be opened; nothing
            has been sent, except if a GET or DELETE was to be sent again.
        :raises CallLostError: if the peer may have received the request.
        """
        request = _encode_request(address, method, target, body, headers or {})
        slot = self._slots.get(address)
        if slot is None:
            slot = self._slots[address] = asyncio.Semaphore(
                self._max_connections
            )
        async with slot:
            idle_conn = await self._find_idle(address)
            self._in_use[address] += 1
            try:
                return await self._call_on(
                    idle_conn,
                    address,
                    request,
                    method in IDEMPOTENT_METHODS,
                    before_send,
                )
            finally:
                self._in_use[address] -= 1
                released = self._released.get(address)
                if released is not None:
                    released.set()

    async def _find_idle(self, address: str) -> _Connection | None:
        """Return an idle connection; None if another one is to be opened."""
        conn = self._pop_idle(address)
        if conn is not None or self._in_use[address] < self._preferred:
            return conn
        released = self._released.setdefault(address, asyncio.Event())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REUSE_WAIT_S):
                while conn is None:
                    released.clear()
                    await released.wait()
                    conn = self._pop_idle(address)
        return conn

    async def _call_on(
        self,
        idle_conn: _Connection | None,
        address: str,
        request: bytes,
        may_repeat: bool,
        before_send: Callable[[], None] | None,
    ) -> HttpAnswer:
        if idle_conn is not None:
            try:
                return await self._exchange(
                    address, idle_conn, request, before_send
                )
            except CallLostError:
                # The peer may have closed the idle connection while the
                # request was being sent.
                if not may_repeat:
                    raise
        conn = await self._connect(address)
        return await self._exchange(address, conn, request, before_send)

    async def close(self) -> None:
        """Close idle connections; calls in flight go on."""
        for idle in self._idle.values():
            for _, conn in idle:
                conn.abort()
        self._idle.clear()

    async def _exchange(
        self,
        address: str,
        conn: _Connection,
        request: bytes,
        before_send: Callable[[], None] | None,
    ) -> HttpAnswer:
        try:
            if before_send is not None:
                before_send()
            answer = await conn.exchange(request)
        except CallAbandonedError:
            self._release(address, conn)
            raise
        except BaseException:
            # A late answer would be taken for that of the next call.
            conn.abort()
            raise
        self._release(address, conn)
        return answer

    def _release(self, address: str, conn: _Connection) -> None:
        """Keep an open connection for the next call."""
        if conn.open:
            now = asyncio.get_running_loop().time()
            idle = self._idle.setdefault(address, deque())
            idle.append((now + self._idle_timeout_s, conn))
        else:
            conn.abort()

    def _pop_idle(self, address: str) -> _Connection | None:
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(address)
        while idle:
            expires_at, conn = idle.pop()  # the most recently used one
            if conn.open and now < expires_at:
                return conn
            conn.abort()
        return None

    async def _connect(self, address: str) -> _Connection:
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            _, conn = await loop.create_connection(_Connection, host, port)
        except (OSError, SettingsError) as exc:
            raise NotConnectedError(address, exc) from exc
        return conn


def _encode_request(
    address: str,
    method: str,
    target: str,
    body: bytes,
    headers: Mapping[str, str],
) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in IDEMPOTENT_METHODS:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
