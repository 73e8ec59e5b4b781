"""A small HTTP/1.1 server and client for the stand-ins, on asyncio only."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Call:
    """A request that has arrived."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


@dataclass
class Answer:
    """A response; a status of 0 breaks the connection without one."""

    status: int
    body: Any = field(default_factory=dict)


Handle = Callable[[Call], Awaitable[Answer]]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Read the first line and the fields; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in fields}


async def serve_http(host: str, port: int, handle: Handle) -> asyncio.Server:
    """Serve HTTP until the server is closed."""

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _serve(reader, writer, handle)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,  # the test has ended
        ):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(accept, host, port, backlog=512)


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handle: Handle
) -> None:
    while (head := await read_head(reader)) is not None:
        first, fields = head
        method, target, _ = first.split(" ", 2)
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        parts = urlsplit(target)
        call = Call(
            method, parts.path, dict(parse_qsl(parts.query)), fields, body
        )
        answer = await handle(call)
        if not answer.status:
            writer.transport.abort()
            return
        text = json.dumps(answer.body).encode()
        writer.write(
            f"HTTP/1.1 {answer.status} X\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode()
            + text
        )
        await writer.drain()


def encode_request(
    method: str, path: str, fields: dict[str, str], body: bytes
) -> bytes:
    """Encode a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read a response; a status of 0 if the connection ends before it."""
    head = await read_head(reader)
    if head is None:
        return 0, b""
    first, fields = head
    try:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, b""
    return int(first.split(" ")[1]), body


async def call_http(
    address: str,
    method: str,
    path: str,
    fields: dict[str, str] | None = None,
    body: Any = None,
    timeout_s: float = 5.0,
) -> tuple[int, bytes]:
    """Make one call on a connection of its own.

    The connection is closed in the ordinary way once the answer has arrived
    or the time is over.

    :return: status and body; a status of 0 without an answer.
    """
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    data = b"" if body is None else json.dumps(body).encode()
    head = {
        "Host": address,
        "Content-Type": "application/json",
        **(fields or {}),
    }
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_request(method, path, head, data))
            return await read_response(reader)
    except (TimeoutError, OSError):
        return 0, b""
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
