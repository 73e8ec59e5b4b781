"""The gRPC streams of an entry's sessions with agents.

An agent opens one stream per session. Its batches are posted to the entry's
core, and the core's batches are written back to the stream.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Callable
from typing import Any

from grpclib.server import Stream

from briarford.dispatch.messages import (
    AgentAttached,
    AgentBatchArrived,
    AgentLost,
    CloseSession,
    SendToAgent,
)
from briarford.sessions import AgentBatch, EntryBatch
from briarford_daemon.metrics import Metrics
from briarford_daemon.streams import BatchQueue

__all__ = ["AgentStreams"]

LOGGER = logging.getLogger("briarford.entry")

PostToCore = Callable[[AgentAttached | AgentBatchArrived | AgentLost], None]


class _AgentStream:
    """One stream of an agent.

    :param task: serves the stream; cancelling it ends the stream.
    """

    __slots__ = ("outgoing", "task")

    def __init__(self, task: asyncio.Task[Any]) -> None:
        self.task = task
        self.outgoing: BatchQueue[EntryBatch] = BatchQueue()


class AgentStreams:
    """Serves the streams of all agents that are connected to an entry.

    :param post: posts a message to the entry's core.
    :param metrics: counts batches, starts, cancellations and results.
    """

    def __init__(self, post: PostToCore, metrics: Metrics) -> None:
        self._post = post
        self._metrics = metrics
        self._streams: dict[int, _AgentStream] = {}
        self._conn_ids = itertools.count(1)

    async def attach(self, stream: Stream[AgentBatch, EntryBatch]) -> None:
        """Serve one stream until it ends.

        The core learns of the stream by ``AgentAttached`` and of its end by
        ``AgentLost``.
        """
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError("a session must be served by an asyncio task")
        conn = next(self._conn_ids)
        agent_stream = _AgentStream(task)
        self._streams[conn] = agent_stream
        self._post(AgentAttached(conn))
        writer = asyncio.create_task(agent_stream.outgoing.write_to(stream))
        try:
            await self._receive_batches(conn, stream)
        finally:
            writer.cancel()
            self._streams.pop(conn, None)
            self._post(AgentLost(conn))
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await writer

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
        stream.outgoing.put(effect.batch)

    def close_session(self, effect: CloseSession) -> None:
        """End the stream of a session that the core closes."""
        stream = self._streams.pop(effect.conn, None)
        LOGGER.info("session closed", extra={"reason": effect.reason})
        if stream is not None:
            stream.task.cancel()

    def close(self) -> None:
        """End all streams."""
        for stream in self._streams.values():
            stream.task.cancel()

    async def _receive_batches(
        self, conn: int, stream: Stream[AgentBatch, EntryBatch]
    ) -> None:
        while True:
            batch = await stream.recv_message()
            if batch is None:
                return
            self._metrics.messages["batches_in"] += 1
            if not batch.results:
                self._metrics.messages["idle_in"] += 1
            for result in batch.results:
                self._metrics.attempts[result.status] += 1
            self._post(AgentBatchArrived(conn, batch))
