"""Requests and answers of the small HTTP server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

__all__ = ["Handler", "HttpCall", "HttpReply"]

JSON = "application/json"


class HttpReply(msgspec.Struct, frozen=True):
    """An answer to a request.

    :param status: HTTP status.
    :param body: body of the answer.
    :param content_type: media type of the body.
    :param headers: further header lines, as names and values.
    :param close: whether the connection ends after the answer.
    """

    status: int
    body: bytes = b""
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = ()
    close: bool = False


class HttpCall(msgspec.Struct):
    """A request.

    :param method: HTTP method.
    :param path: path of the target, without the query.
    :param headers: values by lower-case name.
    :param body: the whole body; dropped once the handler has returned.
    :param keep_alive: whether the client wants to go on using the connection.
    :param arrived_at: when its last bytes arrived at this machine, on a clock
        that counts suspensions; the process may have read them later.
    """

    method: str = ""
    path: str = ""
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    arrived_at: float = 0.0


Handler = Callable[[HttpCall], HttpReply | Awaitable[HttpReply]]
