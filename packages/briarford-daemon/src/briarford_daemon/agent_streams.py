"""The streams of an entry's sessions with agents.

An agent opens one stream per session. Its batches are posted to the entry's
core, and the core's batches are written back to the stream.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable

from briarford.dispatch.messages import (
    AgentAttached,
    AgentBatchArrived,
    AgentLost,
    CloseSession,
    SendToAgent,
)
from briarford.sessions import AgentBatch, EntryBatch
from briarford_daemon.frames import CONNECTION_ERRORS, FrameConnection
from briarford_daemon.metrics import Metrics
from briarford_daemon.streams import BatchStream

__all__ = ["AgentStreams"]

LOGGER = logging.getLogger("briarford.entry")

PostToCore = Callable[[AgentAttached | AgentBatchArrived | AgentLost], None]


EntryStream = BatchStream[EntryBatch, AgentBatch]


class AgentStreams:
    """Serves the streams of all agents that are connected to an entry.

    :param post: posts a message to the entry's core.
    :param metrics: counts batches, starts, cancellations and results.

    ``observe``, if set, is called with each batch in either direction.
    """

    def __init__(self, post: PostToCore, metrics: Metrics) -> None:
        self._post = post
        self._metrics = metrics
        self._streams: dict[int, EntryStream] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._conn_ids = itertools.count(1)
        self.observe: Callable[[object], None] | None = None

    def accept(self, connection: FrameConnection) -> EntryStream:
        """Begin to serve a connection; return what handles its frames.

        The core learns of the stream by ``AgentAttached`` and of its end by
        ``AgentLost``.
        """
        conn = next(self._conn_ids)
        stream: EntryStream = BatchStream(connection, AgentBatch)
        self._streams[conn] = stream
        self._post(AgentAttached(conn))
        task = asyncio.create_task(self._serve(conn, stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return stream

    async def _serve(self, conn: int, stream: EntryStream) -> None:
        try:
            await self._receive_batches(conn, stream)
        except CONNECTION_ERRORS as exc:
            LOGGER.info("stream of agent lost", extra={"error": repr(exc)})
        finally:
            self._streams.pop(conn, None)
            self._post(AgentLost(conn))

    def send(self, effect: SendToAgent) -> None:
        """Queue a batch for a stream; drop it if the stream has ended."""
        stream = self._streams.get(effect.conn)
        if stream is None:
            return
        counts = self._metrics.messages
        counts["batches_out"] += 1
        counts["starts_out"] += len(effect.batch.starts)
        counts["cancels_out"] += len(effect.batch.cancels)
        if not effect.batch.starts:
            counts["idle_out"] += 1
        if self.observe is not None:
            self.observe(effect.batch)
        stream.send(effect.batch)

    def close_session(self, effect: CloseSession) -> None:
        """End the stream of a session that the core closes."""
        stream = self._streams.pop(effect.conn, None)
        LOGGER.info("session closed", extra={"reason": effect.reason})
        if stream is not None:
            stream.close()

    def close(self) -> None:
        """End all streams."""
        for stream in list(self._streams.values()):
            stream.close()

    async def _receive_batches(self, conn: int, stream: EntryStream) -> None:
        while (batch := await stream.receive()) is not None:
            if self.observe is not None:
                self.observe(batch)
            self._metrics.messages["batches_in"] += 1
            if not batch.results:
                self._metrics.messages["idle_in"] += 1
            for result in batch.results:
                self._metrics.attempts[result.status] += 1
            self._post(AgentBatchArrived(conn, batch))
