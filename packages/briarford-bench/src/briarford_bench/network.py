"""Delays between availability zones on loopback connections.

The event loop wraps the transport and the protocol of each connection that
it opens between two zones, and delays the bytes of both directions.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any, cast

import uvloop

from briarford_bench.profiles import Profile

__all__ = ["ZoneDelayLoop", "dialler_zone"]

# The zone of the code that opens connections; inherited by its asyncio tasks.
# No delay is added while it is empty.
dialler_zone: ContextVar[str] = ContextVar("dialler_zone", default="")


class _DelayQueue:
    """Delivers items in order, each after the same delay.

    :param delay_s: the delay in seconds.
    :param deliver: called with each item.
    """

    __slots__ = ("_delay_s", "_deliver", "_items", "_loop")

    def __init__(self, delay_s: float, deliver: Callable[[Any], None]) -> None:
        self._delay_s = delay_s
        self._deliver = deliver
        self._items: deque[Any] = deque()
        self._loop = asyncio.get_running_loop()

    def put(self, item: Any) -> None:
        self._items.append(item)
        self._loop.call_later(self._delay_s, self._deliver_next)

    def _deliver_next(self) -> None:
        self._deliver(self._items.popleft())


class _DelayedTransport:
    """Delays the bytes that are written and the close that follows them."""

    def __init__(self, transport: Any, delay_s: float) -> None:
        self._transport = transport
        self._queue = _DelayQueue(delay_s, self._send)
        self._closing = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        self._queue.put(bytes(data))

    def writelines(self, parts: list[bytes]) -> None:
        self._queue.put(b"".join(parts))

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            self._queue.put(None)

    def is_closing(self) -> bool:
        return self._closing or cast(bool, self._transport.is_closing())

    def _send(self, data: bytes | None) -> None:
        if data is None:
            self._transport.close()
        elif not self._transport.is_closing():
            self._transport.write(data)


class _DelayedProtocol(asyncio.Protocol):
    """Delays the bytes that are received and the end of the connection."""

    def __init__(self, inner: Any, delay_s: float) -> None:
        self.inner = inner
        self.transport: _DelayedTransport | None = None
        self._delay_s = delay_s
        self._queue = _DelayQueue(delay_s, self._receive)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    def connection_made(self, transport: Any) -> None:
        self.transport = _DelayedTransport(transport, self._delay_s)
        self.inner.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        self._queue.put(data)

    def eof_received(self) -> None:
        self._queue.put(b"")

    def connection_lost(self, exc: Exception | None) -> None:
        self._queue.put(exc)

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()

    def _receive(self, item: Any) -> None:
        if isinstance(item, Exception) or item is None:
            self.inner.connection_lost(item)
        elif item:
            self.inner.data_received(item)
        else:
            self.inner.eof_received()


class ZoneDelayLoop(uvloop.Loop):
    """An event loop whose connections have the delays of a profile.

    The connecting side is in the zone :data:`dialler_zone`; the zone of the
    listening side is looked up by its port. Timers have a resolution of a
    millisecond, so half-millisecond delays come out longer; this affects
    all compared systems in the same way.

    :param profile: the deployment whose delays apply.
    """

    def __init__(self, profile: Profile) -> None:
        super().__init__()
        self._profile = profile
        self._zones: dict[int, str] = {}

    def set_listener_zone(self, address: str, zone: str) -> None:
        """Set the zone of the process that listens on an address."""
        self._zones[int(address.rpartition(":")[2])] = zone

    async def create_connection(
        self,
        protocol_factory: Callable[[], Any],
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> tuple[Any, Any]:
        """Connect, with a delay in both directions if the zones differ."""
        delay_s = self._delay_s(port, options.get("sock"))
        if delay_s == 0:
            return await super().create_connection(
                protocol_factory, host, port, **options
            )
        delayed = _DelayedProtocol(protocol_factory(), delay_s)
        await super().create_connection(lambda: delayed, host, port, **options)
        return delayed.transport, delayed.inner

    def _delay_s(self, port: int | None, sock: Any) -> float:
        if sock is not None:
            port = sock.getpeername()[1]
        listener_zone = self._zones.get(port or 0)
        own_zone = dialler_zone.get()
        if listener_zone is None or not own_zone:
            return 0.0
        return self._profile.delay_s(own_zone, listener_zone)
