"""The queue of batches that wait to be sent on the stream of a session."""

from __future__ import annotations

import asyncio
from typing import Any, Generic, Protocol, TypeVar

__all__ = ["BatchQueue", "BatchStream"]

T = TypeVar("T")


class BatchStream(Protocol):
    """The common part of client and server streams of grpclib."""

    async def send_message(self, message: Any) -> None:
        """Send one message."""


class BatchQueue(Generic[T]):
    """Batches of one session, sent in the order in which they are added."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[T] = asyncio.Queue()

    def put(self, batch: T) -> None:
        """Add a batch."""
        self._queue.put_nowait(batch)

    async def write_to(self, stream: BatchStream) -> None:
        """Send the batches on a stream until cancelled."""
        while True:
            batch = await self._queue.get()
            await stream.send_message(batch)
