"""One HTTP connection at the server, on the httptools parser.

Data is read into one buffer of the process and parsed in slices, so that a
client that sends much ahead, or much in one read, costs no more than the
slice before a limit is checked. What the connection holds is on its account
in the budget of the process (:mod:`briarford.intake`).
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable
from http import HTTPStatus
from typing import cast

import httptools

from briarford.intake import Account, ConnectionQuota, IntakeLimits, Phase
from briarford_daemon.http_messages import Handler, HttpCall, HttpReply
from briarford_daemon.intake import Intake
from briarford_daemon.submissions import (
    ConnectionSubmissions,
    SubmissionWatch,
    boot_time,
)
from briarford_daemon.tcp_state import TcpState, read_tcp_state

__all__ = [
    "Handler",
    "HttpCall",
    "HttpConnection",
    "HttpReply",
    "OpenConnections",
    "RequestLimits",
]

LOGGER = logging.getLogger("briarford.http")

READ_BYTES = 16 * 1024
SLICE_BYTES = 2 * 1024
# What a header field and a parsed request cost besides their bytes.
FIELD_BYTES = 160
CALL_BYTES = 640
RETRY_AFTER_S = 1

# The data of a read is parsed before the next one, on any connection.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))


_UNREADABLE = b'{"error":"the request cannot be read"}'
_OVERLOADED = HttpReply(
    HTTPStatus.SERVICE_UNAVAILABLE,
    b'{"error":"the request was not read whole; it has not run"}',
    headers=(("Retry-After", str(RETRY_AFTER_S)),),
    close=True,
)


class RequestLimits:
    """Limits on a request to one listener; may be changed at any time.

    :param max_head_bytes: largest size of target and header fields.
    :param max_body_bytes: largest body.
    """

    __slots__ = ("max_body_bytes", "max_head_bytes")

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes


class OpenConnections(set["HttpConnection"]):
    """The open connections of a listener."""

    def __init__(self) -> None:
        super().__init__()
        self._empty = asyncio.Event()

    def discard(self, connection: object) -> None:
        """Remove a connection that has ended."""
        super().discard(connection)
        if not self:
            self._empty.set()

    async def wait_until_empty(self) -> None:
        """Wait until no connection is open."""
        while self:
            self._empty.clear()
            await self._empty.wait()


class HttpConnection(asyncio.BufferedProtocol):
    """One connection of a client.

    :param handler: answers one request.
    :param connections: those of the listener.
    :param limits: on a request.
    :param intake: of the process.
    :param quota: of the listener.
    :param watch: of the submissions to the listener. Those whose clients may
        have left are served only once the ends of their connections would
        have shown. None if all requests are served at once.
    """

    def __init__(
        self,
        handler: Handler,
        connections: OpenConnections,
        limits: RequestLimits,
        intake: Intake,
        quota: ConnectionQuota,
        watch: SubmissionWatch | None = None,
    ) -> None:
        self._handler = handler
        self._connections = connections
        self._limits = limits
        self._intake = intake
        self._common: IntakeLimits = intake.limits
        self._quota = quota
        self._now = asyncio.get_running_loop().time
        self._account: Account | None = None
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = None
        self._reset_request()
        self._reading = False  # a request has arrived in part
        # Read since the parser has last reported anything: what it may hold.
        self._silent_bytes = 0
        self._ready: deque[HttpCall] = deque()
        self._ahead_bytes = 0  # of the requests that are ready
        self._unparsed = b""
        self._lingered_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._answering = False
        self._serving_soon = False
        self._watch = watch
        self._submissions: ConnectionSubmissions | None = None
        self._delay: asyncio.TimerHandle | None = None
        self._closing = False
        self._ignoring = False  # what is sent from now on is dropped
        self._reading_paused = False
        self._writing_paused = False
        self._refusal: HttpReply | None = None

    def _reset_request(self) -> None:
        """Drop the request that is being read."""
        self._target = b""
        self._header_bytes = 0
        self._fields = 0
        self._headers: dict[str, str] = {}
        self._head_complete = False
        self._body: bytes | bytearray = b""

    # -- callbacks of asyncio -------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, unless there are too many."""
        self._transport = cast(asyncio.Transport, transport)
        # Whatever the client has not read counts as unread.
        self._transport.set_write_buffer_limits(high=0)
        self._account = self._quota.open(self, self._now())
        if self._account is None:
            self._ignoring = True
            self._write(_OVERLOADED)
            self.abort_unless_flushed()
            return
        self._connections.add(self)
        if self._watch is not None:
            peer = self._transport.get_extra_info("peername")
            self._submissions = self._watch.open(
                peer[0] if peer else "", self._tcp_state()
            )
        self._parser = httptools.HttpRequestParser(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what the connection waits for."""
        if self._submissions is not None:
            call = self._ready[0] if self._ready else HttpCall()
            self._submissions.ended(call.method, call.path, self._answering)
        if self._delay is not None:
            self._delay.cancel()
        self._transport = None
        self._parser = None
        self._connections.discard(self)
        self._drop_input()
        if self._account is not None:
            self._quota.close(self._account)
        if self._task is not None:
            self._task.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which data is read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the data that has been read."""
        if self._submissions is not None:
            self._submissions.received()
        if self._refusal is not None or self._ignoring:
            self._lingered_bytes += nbytes
            if self._lingered_bytes > self._common.max_linger_bytes:
                self._intake.count("linger")
                self.abort()
            return
        if self._unparsed:  # read although reading is paused
            self._unparsed += _READ_BUFFER[:nbytes]
            return
        account = self._account
        if account is not None and account.phase is Phase.IDLE:
            self._quota.enter(account, Phase.UNFINISHED, self._now())
        self._parse(_READ_BUFFER[:nbytes])
        self._serve_next()

    def pause_writing(self) -> None:
        """Serve and read no more requests while answers are not read."""
        self._writing_paused = True
        self._update()

    def resume_writing(self) -> None:
        """Go on with the requests that wait."""
        self._writing_paused = False
        self._serve_next()

    # -- input ----------------------------------------------------------------

    def _parse(self, data: memoryview | bytes) -> None:
        """Parse data until it is enough for now; the rest is kept."""
        for at in range(0, len(data), SLICE_BYTES):
            if self._must_pause():
                self._unparsed = bytes(data[at:])
                return
            if not self._parse_slice(data[at : at + SLICE_BYTES]):
                return

    def _parse_slice(self, data: memoryview | bytes) -> bool:
        """Parse some bytes; False if no more is to be parsed."""
        if not self._hold(len(data)) or self._parser is None:
            return False
        self._silent_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(
                HTTPStatus.NOT_IMPLEMENTED,
                "upgrade",
                "no upgrade is available",
            )
        except httptools.HttpParserError as exc:
            if self._refusal is None:
                self._refuse(HTTPStatus.BAD_REQUEST, "unreadable", str(exc))
        if self._silent_bytes > self._limits.max_head_bytes + SLICE_BYTES:
            self._refuse_head()
        return self._refusal is None

    def _must_pause(self) -> bool:
        """Whether enough is here until requests have been answered."""
        if self._writing_paused or len(self._ready) >= (
            self._common.max_pipelined
        ):
            return True
        return (
            self._answering
            and self._ahead_bytes + self._partial_bytes()
            > self._common.max_ahead_bytes
        )

    def _pause_or_resume_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        lingering = self._refusal is not None and not self._answering
        ended = self._refusal is not None or self._ignoring
        paused = not lingering and (
            ended or bool(self._unparsed) or self._must_pause()
        )
        if paused == self._reading_paused:
            return
        self._reading_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _tcp_state(self) -> TcpState:
        if self._transport is None:
            return TcpState()
        return read_tcp_state(self._transport.get_extra_info("socket"))

    def _drop_input(self) -> None:
        """Drop all that was sent and is not being served."""
        self._reset_request()
        self._reading = False
        self._silent_bytes = 0
        self._ready.clear()
        self._ahead_bytes = 0
        self._unparsed = b""

    # -- callbacks of the parser ----------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset_request()
        self._reading = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field of the head, or of the trailer."""
        self._fields += 1
        if self._fields > self._common.max_fields:
            self._refuse_head()
            raise ValueError("too many fields")
        self._count_header_bytes(len(name) + len(value))
        if not self._head_complete:
            field = name.decode("latin-1").lower()
            self._headers[field] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Refuse a body that is announced as too large before it arrives."""
        self._silent_bytes = 0
        self._head_complete = True
        length = self._headers.get("content-length", "")
        if length and not _at_most(length, self._limits.max_body_bytes):
            self._refuse_body()
            raise ValueError("body too large")
        expected = self._headers.get("expect", "").lower()
        if expected == "100-continue" and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_chunk_header(self) -> None:
        """Note that the line before a chunk was complete."""
        self._silent_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._silent_bytes = 0
        if len(self._body) + len(body) > self._limits.max_body_bytes:
            self._refuse_body()
            raise ValueError("body too large")
        if not self._body:
            self._body = body
            return
        if not isinstance(self._body, bytearray):
            self._body = bytearray(self._body)
        self._body += body

    def on_message_complete(self) -> None:
        """Add the request to those that are ready."""
        if self._parser is None:
            return
        self._reading = False
        self._silent_bytes = 0
        path = self._target.partition(b"?")[0].decode("latin-1")
        method = self._parser.get_method().decode("latin-1")
        state = self._tcp_state()
        boot_now = (
            boot_time() if self._watch is None else self._watch.boot_now()
        )
        suspended_s = 0.0
        if self._submissions is not None:
            suspended_s = self._submissions.completed(method, state)
        call = HttpCall(
            method,
            path,
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
            boot_now - state.silent_s - suspended_s,
        )
        self._ahead_bytes += self._partial_bytes() + CALL_BYTES
        self._reset_request()
        self._ready.append(call)

    def _count_header_bytes(self, count: int) -> None:
        self._silent_bytes = 0
        self._header_bytes += count
        if self._header_bytes > self._limits.max_head_bytes:
            self._refuse_head()
            raise ValueError("header too large")

    # -- requests and answers -------------------------------------------------

    def _serve_next(self) -> None:
        """Serve the next request that has arrived.

        Others that need no waiting are served in the next turns of the event
        loop, one in each, so that other connections have theirs.
        """
        if self._must_delay():
            self._update()
            return
        if self._can_serve():
            self._serve(self._ready.popleft())
        if self._unparsed and not self._ready and not self._must_pause():
            data, self._unparsed = self._unparsed, b""
            self._parse(data)
        if self._can_serve():
            self._serve_soon()
        elif self._refusal is not None and not self._answering:
            self._send_refusal(self._refusal)
        self._update()

    def _can_serve(self) -> bool:
        return (
            bool(self._ready)
            and not self._answering
            and not self._writing_paused
            and self._transport is not None
        )

    def _must_delay(self) -> bool:
        """Whether the next request is not to be served yet, or not at all."""
        if self._submissions is None or not self._can_serve():
            return False
        if self._delay is not None:
            return True
        call = self._ready[0]
        delay_s = self._submissions.delay_s(call.method)
        if delay_s is None:
            if not self._submissions.resolve(call.path, self._tcp_state):
                return False
            self.abort()
            return True
        self._delay = asyncio.get_running_loop().call_later(
            delay_s, self._end_delay
        )
        return True

    def _end_delay(self) -> None:
        self._delay = None
        self._serve_next()

    def _serve_soon(self) -> None:
        if not self._serving_soon:
            self._serving_soon = True
            asyncio.get_running_loop().call_soon(self._serve_in_turn)

    def _serve_in_turn(self) -> None:
        self._serving_soon = False
        self._serve_next()

    def _serve(self, call: HttpCall) -> None:
        if not self._ready:
            self._ahead_bytes = 0
        else:
            self._ahead_bytes -= min(_size(call), self._ahead_bytes)
        self._answering = True
        try:
            result = self._handler(call)
        except Exception:
            self._answer(call, _report_failure(call))
            return
        if isinstance(result, HttpReply):
            self._answer(call, result)
            return
        call.body = b""
        call.headers = {}
        self._task = asyncio.ensure_future(self._wait(call, result))

    async def _wait(
        self, call: HttpCall, awaitable: Awaitable[HttpReply]
    ) -> None:
        try:
            reply = await awaitable
        except Exception:
            reply = _report_failure(call)
        self._task = None
        self._answer(call, reply)
        self._serve_next()

    def _answer(self, call: HttpCall, reply: HttpReply) -> None:
        self._answering = False
        last = self._closing and not (
            self._ready or self._reading or self._unparsed
        )
        close = reply.close or not call.keep_alive or last or self._ignoring
        self._write(reply, close=close, head=call.method == "HEAD")
        if close:
            self.close()

    def _write(
        self, reply: HttpReply, *, close: bool = True, head: bool = False
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        phrase = HTTPStatus(reply.status).phrase
        lines = [
            f"HTTP/1.1 {reply.status} {phrase}",
            f"Content-Type: {reply.content_type}",
            f"Content-Length: {len(reply.body)}",
            *(f"{name}: {value}" for name, value in reply.headers),
        ]
        if close:
            lines.append("Connection: close")
        text = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self._transport.write(text if head else text + reply.body)

    # -- refusals -------------------------------------------------------------

    def _refuse_head(self) -> None:
        self._refuse(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head",
            "the header is too large",
        )

    def _refuse_body(self) -> None:
        self._refuse(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            "body",
            "the body is too large",
        )

    def _refuse(self, status: HTTPStatus, reason: str, detail: str) -> None:
        """Refuse a request; it is answered after those before it."""
        if self._refusal is not None:
            return
        self._intake.count(reason, detail)
        self._refusal = HttpReply(status, _UNREADABLE, close=True)
        self._reset_request()
        self._reading = False
        self._silent_bytes = 0
        self._unparsed = b""

    def _send_refusal(self, refusal: HttpReply) -> None:
        """Answer with a refusal, and read on so that it arrives.

        A connection that is closed with unread data is reset, and the client
        may lose the answer.
        """
        if self._ignoring or self._transport is None:
            return
        self._ignoring = True
        self._parser = None
        self._write(refusal)
        if (
            not self._transport.is_closing()
            and self._transport.can_write_eof()
        ):
            self._transport.write_eof()

    # -- the account ----------------------------------------------------------

    def give_way(self, phase: Phase) -> None:
        """Release what the connection holds, as the budget demands."""
        if phase is Phase.AHEAD:
            self._drop_input()
            self._ignoring = True
            self._parser = None
            self._pause_or_resume_reading()
            return
        self._ignoring = True
        self._parser = None
        self._drop_input()
        if phase is Phase.UNFINISHED:
            self._write(_OVERLOADED)
            self.abort_unless_flushed()
        elif phase is Phase.IDLE:
            self.close()
        else:
            self.abort()

    def _phase(self) -> Phase:
        ahead = self._ready or self._unparsed or self._reading
        if self._answering:
            return Phase.AHEAD if ahead else Phase.SERVED
        if self._writing_paused:
            return Phase.UNREAD
        if self._refusal is not None or self._ignoring:
            return Phase.LINGERING
        more = len(self._ready) > 1 or self._unparsed or self._reading
        if self._delay is not None and not more:
            return Phase.SERVED  # its one request is whole, and waits
        if ahead or self._silent_bytes:
            return Phase.UNFINISHED
        return Phase.IDLE

    def _update(self) -> None:
        """Bring the account up to date, and pause or resume reading."""
        account = self._account
        if account is None or not account.is_open or self._transport is None:
            return
        self._quota.enter(account, self._phase(), self._now())
        self._hold(0)
        self._pause_or_resume_reading()

    def _hold(self, more: int) -> bool:
        """Have the budget hold what is here and more bytes; False if full."""
        account = self._account
        if account is None:
            return False
        unsent = 0
        if self._writing_paused and self._transport is not None:
            unsent = self._transport.get_write_buffer_size()
        held = (
            self._ahead_bytes
            + self._partial_bytes()
            + len(self._unparsed)
            + unsent
            + more
        )
        if self._quota.budget.hold(account, held):
            return True
        if account.phase in (Phase.AHEAD, Phase.SERVED):
            self.give_way(Phase.AHEAD)
        else:
            self._quota.budget.end(account)
        return False

    def _partial_bytes(self) -> int:
        """Return what the request that is being read costs."""
        return (
            self._header_bytes
            + FIELD_BYTES * self._fields
            + len(self._body)
            + self._silent_bytes
        )

    # -- end of the connection ------------------------------------------------

    def close(self) -> None:
        """Close the connection once answers have left; serve no more."""
        self._ignoring = True
        self._drop_input()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once and cancel what it waits for."""
        if self._transport is not None:
            self._transport.abort()

    def abort_unless_flushed(self) -> None:
        """Close the connection without waiting for its client."""
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def finish(self) -> None:
        """Close the connection once the requests in flight are answered."""
        self._closing = True
        if not (
            self._answering or self._ready or self._reading or self._unparsed
        ):
            self.close()


def _size(call: HttpCall) -> int:
    """Return what a request that is ready was counted for, at most."""
    fields = sum(len(k) + len(v) for k, v in call.headers.items())
    return (
        len(call.path)
        + fields
        + FIELD_BYTES * len(call.headers)
        + len(call.body)
        + CALL_BYTES
    )


def _at_most(length: str, limit: int) -> bool:
    """Whether an announced length, of any number of digits, is allowed."""
    digits = length.strip().lstrip("0")
    if len(digits) > len(str(limit)):
        return False
    return not digits.isdigit() or int(digits) <= limit


def _report_failure(call: HttpCall) -> HttpReply:
    """Log the exception of a handler and return the answer to its client."""
    LOGGER.exception(
        "handler-failed", extra={"method": call.method, "path": call.path}
    )
    body = b'{"error":"internal error"}'
    return HttpReply(HTTPStatus.INTERNAL_SERVER_ERROR, body)
