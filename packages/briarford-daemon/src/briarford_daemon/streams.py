"""The streams of the sessions between entries and agents."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

from briarford.messages import decode, encode
from briarford_daemon.frames import FrameConnection

__all__ = ["SESSIONS_SERVICE", "BatchStream"]

SESSIONS_SERVICE = "briarford.sessions/1"

S = TypeVar("S")
R = TypeVar("R")


class BatchStream(Generic[S, R]):
    """A connection on which both sides send batches.

    :param connection: the connection.
    :param kind: type of the batches that arrive.
    """

    def __init__(self, connection: FrameConnection, kind: type[R]) -> None:
        self._connection = connection
        self._kind = kind
        self._arrived: asyncio.Queue[R | None] = asyncio.Queue()
        self._cause: Exception | None = None

    def send(self, batch: S) -> None:
        """Send a batch; it is dropped if the connection has ended."""
        self._connection.send(encode(batch))

    async def receive(self) -> R | None:
        """Return the next batch; None once the peer has closed the stream.

        :raises OSError: if the connection was lost.
        :raises msgspec.MsgspecError: if a batch could not be decoded.
        """
        batch = await self._arrived.get()
        if batch is None and self._cause is not None:
            raise self._cause
        return batch

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def frame_received(self, data: bytes) -> None:
        """Queue a batch; called by the connection."""
        self._arrived.put_nowait(decode(data, self._kind))

    def connection_closed(self, exc: Exception | None) -> None:
        """End the stream; called by the connection."""
        self._cause = exc
        self._arrived.put_nowait(None)
