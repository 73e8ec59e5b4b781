"""A small HTTP/1.1 server and client for the stand-ins, without libraries."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

PHRASES = {200: "OK", 404: "Not Found", 409: "Conflict"}


@dataclass
class Request:
    """A request; ``body`` is decoded JSON, None without a body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


@dataclass
class Answer:
    """An answer; without a status none is ever sent."""

    status: int | None
    body: Any = field(default_factory=dict)


SILENCE = Answer(None)
Handler = Callable[[Request], Awaitable[Answer]]


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read one message; return its first line, its headers and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(size)


class HttpServer:
    """Serves one handler on a loopback address."""

    def __init__(self, handler: Handler, host: str) -> None:
        self._handler = handler
        self._host = host
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, port: int = 0) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(
            self._serve, self._host, port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, raw = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                url = urlsplit(target)
                body = json.loads(raw) if raw else None
                query = dict(parse_qsl(url.query))
                request = Request(
                    method, unquote(url.path), query, headers, body
                )
                answer = await self._handler(request)
                if answer.status is None:
                    await asyncio.Event().wait()
                data = json.dumps(answer.body).encode()
                phrase = PHRASES.get(answer.status or 0, "Status")
                writer.write(
                    f"HTTP/1.1 {answer.status} {phrase}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case ends; streams would log it as an error.
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, Any]:
    """Make one call on a connection of its own.

    :raises OSError: if there is no connection, or it ends too early.
    :raises TimeoutError: if there is no answer in time.
    """
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": address, "Content-Type": "application/json"}
    fields |= headers or {}
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(data)}", "", ""]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + data)
            first, _, raw = await _read_message(reader)
    except asyncio.IncompleteReadError as exc:
        raise ConnectionResetError("the connection ended") from exc
    finally:
        if writer is not None:
            writer.close()
    answer: Any = None
    with contextlib.suppress(ValueError):
        answer = json.loads(raw) if raw else None
    return int(first.split(" ")[1]), answer
