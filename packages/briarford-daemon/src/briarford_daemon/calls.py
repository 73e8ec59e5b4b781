"""Calls with one request and one reply over a connection of frames.

Calls are numbered within a connection, so that any number of them may be open
and their replies may come in any order.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

import msgspec

from briarford.messages import Message, decode, encode
from briarford_daemon.frames import FrameConnection, MakeHandler, dial

__all__ = ["CallChannel", "CallMethod", "CallRejectedError", "serve_calls"]

LOGGER = logging.getLogger("briarford.calls")

Rep = TypeVar("Rep")


class CallRejectedError(Exception):
    """The peer has answered a call with an error."""


class _Request(Message, frozen=True):
    """A call, or its cancellation.

    :param number: number of the call on its connection.
    :param method: name of the method; empty to cancel the call.
    :param body: the encoded request.
    """

    number: int
    method: str
    body: bytes = b""


class _Reply(Message, frozen=True):
    """The reply to a call.

    :param number: number of the call.
    :param body: the encoded reply; empty after an error.
    :param error: why there is no reply; empty if there is one.
    """

    number: int
    body: bytes = b""
    error: str = ""


class CallMethod(msgspec.Struct, frozen=True):
    """A method that a service offers.

    :param kind: type of the request.
    :param call: returns the reply to a request.
    """

    kind: type[Any]
    call: Callable[[Any], Awaitable[object]]


def serve_calls(methods: Mapping[str, CallMethod]) -> MakeHandler:
    """Return what makes the handler of a connection of a service.

    :param methods: the methods of the service by name.
    """
    return lambda connection: _CallServer(connection, methods)


class _CallServer:
    """Answers the calls on one connection."""

    def __init__(
        self, connection: FrameConnection, methods: Mapping[str, CallMethod]
    ) -> None:
        self._connection = connection
        self._methods = methods
        self._tasks: dict[int, asyncio.Task[None]] = {}

    def frame_received(self, data: bytes) -> None:
        """Begin to answer a call, or cancel it."""
        req = decode(data, _Request)
        if not req.method:
            task = self._tasks.get(req.number)
            if task is not None:
                task.cancel()
            return
        method = self._methods.get(req.method)
        if method is None:
            self._reply(_Reply(req.number, error="no such method"))
            return
        body = decode(req.body, method.kind)
        task = asyncio.create_task(self._answer(req.number, method, body))
        self._tasks[req.number] = task
        task.add_done_callback(lambda _: self._tasks.pop(req.number, None))

    def connection_closed(self, exc: Exception | None) -> None:
        """Cancel the calls that have no reply yet."""
        for task in list(self._tasks.values()):
            task.cancel()

    async def _answer(
        self, number: int, method: CallMethod, body: object
    ) -> None:
        try:
            reply = await method.call(body)
        except Exception as exc:
            LOGGER.exception("call failed", extra={"peer": self._peer})
            self._reply(_Reply(number, error=repr(exc)))
        else:
            self._reply(_Reply(number, encode(reply)))

    @property
    def _peer(self) -> str:
        return self._connection.peer

    def _reply(self, reply: _Reply) -> None:
        self._connection.send(encode(reply))


class CallChannel:
    """Makes calls to one peer over one connection, opened when needed.

    :param address: host and port of the peer.
    :param service: name of the service that has the methods.
    """

    def __init__(self, address: str, service: str) -> None:
        self._address = address
        self._service = service
        self._numbers = itertools.count(1)
        self._dial: asyncio.Task[None] | None = None
        self._connection: FrameConnection | None = None
        self._replies: dict[int, asyncio.Future[_Reply]] = {}
        self._closed = False

    async def call(self, method: str, req: object, kind: type[Rep]) -> Rep:
        """Call the peer and wait for the reply; the caller limits the time.

        :param method: name of the method.
        :param kind: type of the reply.
        :raises OSError: if no connection could be opened or it was lost.
        :raises CallRejectedError: if the peer has answered with an error.
        :raises msgspec.MsgspecError: if the reply could not be decoded.
        """
        connection = await self._connect()
        if connection is None:
            raise ConnectionAbortedError("the connection is closed")
        number = next(self._numbers)
        fut: asyncio.Future[_Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._replies[number] = fut
        connection.send(encode(_Request(number, method, encode(req))))
        try:
            reply = await fut
        except asyncio.CancelledError:
            connection.send(encode(_Request(number, "")))
            raise
        finally:
            self._replies.pop(number, None)
        if reply.error:
            raise CallRejectedError(reply.error)
        return decode(reply.body, kind)

    def close(self) -> None:
        """Close the connection; open calls raise an error."""
        self._closed = True
        if self._dial is not None:
            self._dial.cancel()
        if self._connection is not None:
            self._connection.abort()
        self._fail(ConnectionAbortedError("the connection is closed"))

    async def _connect(self) -> FrameConnection | None:
        """Return the connection, or None if the channel is closed.

        Calls that come meanwhile wait for the same connection.
        """
        if self._dial is None:
            self._dial = asyncio.create_task(self._open())
        await asyncio.wait((self._dial,))
        if not self._dial.cancelled():
            self._dial.result()
        return None if self._closed else self._connection

    async def _open(self) -> None:
        def keep(connection: FrameConnection) -> CallChannel:
            self._connection = connection
            return self

        await dial(self._address, self._service, keep)

    def frame_received(self, data: bytes) -> None:
        """Pass a reply to its call; called by the connection."""
        reply = decode(data, _Reply)
        fut = self._replies.get(reply.number)
        if fut is not None and not fut.done():
            fut.set_result(reply)

    def connection_closed(self, exc: Exception | None) -> None:
        """Fail all open calls; called by the connection."""
        self._closed = True
        cause = (
            exc if isinstance(exc, OSError | msgspec.MsgspecError) else None
        )
        self._fail(cause or ConnectionAbortedError("closed by the peer"))

    def _fail(self, exc: Exception) -> None:
        for fut in self._replies.values():
            if not fut.done():
                fut.set_exception(exc)
