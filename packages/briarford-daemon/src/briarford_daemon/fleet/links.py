"""The gRPC connections between entries and agents.

An entry dials an agent and keeps one bidirectional stream open. A connection
has a number that the process allocates, its link. grpclib is given a
MessagePack codec, so the message classes of :mod:`briarford.runs` are sent
without generated code.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Callable, Sequence
from typing import Any, Generic, TypeVar

import msgspec
from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from briarford.runs import (
    AgentBatch,
    AgentMessage,
    Attach,
    EntryBatch,
    EntryMessage,
)
from briarford_daemon.settings import split_address
from briarford_daemon.streams import BatchQueue
from briarford_daemon.wire import MsgpackCodec

__all__ = ["AgentLinks", "EntryLinks"]

LOGGER = logging.getLogger("briarford.links")

RUNS_PATH = "/briarford.Runs/Attach"
DIAL_TIMEOUT_S = 0.4  # a handshake between zones takes a few milliseconds

_CONNECTION_ERRORS = (
    OSError,
    GRPCError,
    StreamTerminatedError,
    TimeoutError,
    msgspec.MsgspecError,
)

M = TypeVar("M")
B = TypeVar("B")


class _Outbox(Generic[M, B]):
    """Collects the messages of one turn of the event loop in one batch.

    :param make_batch: makes a batch of messages in their order.
    """

    def __init__(self, make_batch: Callable[[tuple[M, ...]], B]) -> None:
        self._make_batch = make_batch
        self._pending: list[M] = []
        self.queue: BatchQueue[B] = BatchQueue()

    def put(self, message: M) -> None:
        """Add a message; a batch with it is queued in the next turn."""
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending.append(message)

    def _flush(self) -> None:
        batch = self._make_batch(tuple(self._pending))
        self._pending.clear()
        self.queue.put(batch)


class AgentLinks:
    """Serves the connections of entries, at an agent.

    :param on_attach: called with the link and the ``Attach`` message with
        which an entry opens or resumes its session.
    :param on_messages: called with the link and the other messages of a
        batch.
    :param on_closed: called with the link when its connection has ended.
    """

    def __init__(
        self,
        on_attach: Callable[[int, Attach], None],
        on_messages: Callable[[int, Sequence[EntryMessage]], None],
        on_closed: Callable[[int], None],
    ) -> None:
        self._on_attach = on_attach
        self._on_messages = on_messages
        self._on_closed = on_closed
        self._link_numbers = itertools.count(1)
        self._outboxes: dict[int, _Outbox[AgentMessage, AgentBatch]] = {}
        self._server: Server | None = None

    def __mapping__(self) -> dict[str, Handler]:
        """Return the gRPC methods by path, for the server of grpclib."""
        handler = Handler(
            self._serve, Cardinality.STREAM_STREAM, EntryBatch, AgentBatch
        )
        return {RUNS_PATH: handler}

    async def start(self, host: str, port: int) -> None:
        """Listen for connections of entries."""
        self._server = Server([self], codec=MsgpackCodec())
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()

    def send(self, link: int, message: AgentMessage) -> None:
        """Send a message; it is dropped if the connection has ended."""
        outbox = self._outboxes.get(link)
        if outbox is not None:
            outbox.put(message)

    async def _serve(self, stream: Stream[EntryBatch, AgentBatch]) -> None:
        """Serve the connection of one entry until it ends."""
        link = next(self._link_numbers)
        outbox: _Outbox[AgentMessage, AgentBatch] = _Outbox(AgentBatch)
        self._outboxes[link] = outbox
        writer = asyncio.create_task(outbox.queue.write_to(stream))
        try:
            async for batch in stream:
                self._handle_batch(link, batch.messages)
        except _CONNECTION_ERRORS as exc:
            LOGGER.info("link-lost", extra={"link": link, "error": repr(exc)})
        finally:
            writer.cancel()
            with contextlib.suppress(
                asyncio.CancelledError, *_CONNECTION_ERRORS
            ):
                await writer
            del self._outboxes[link]
            self._on_closed(link)

    def _handle_batch(
        self, link: int, messages: Sequence[EntryMessage]
    ) -> None:
        """Pass the messages of a batch on; ``Attach`` can only be first."""
        if messages and isinstance(messages[0], Attach):
            self._on_attach(link, messages[0])
            messages = messages[1:]
        self._on_messages(link, messages)


class EntryLinks:
    """Opens and holds the connections to agents, at an entry.

    :param on_open: called with the agent's name and the link when a
        connection is open.
    :param on_messages: called with the link and the messages of a batch.
    :param on_closed: called with the agent's name and the link when a
        connection has ended; the link is None if it could not be opened.
    """

    def __init__(
        self,
        on_open: Callable[[str, int], None],
        on_messages: Callable[[int, Sequence[AgentMessage]], None],
        on_closed: Callable[[str, int | None], None],
    ) -> None:
        self._on_open = on_open
        self._on_messages = on_messages
        self._on_closed = on_closed
        self._link_numbers = itertools.count(1)
        self._outboxes: dict[int, _Outbox[EntryMessage, EntryBatch]] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}

    def dial(self, agent: str, address: str) -> None:
        """Begin to open a connection to an agent.

        :param agent: name of the agent, passed to the callbacks.
        :param address: host and port of the agent.
        """
        link = next(self._link_numbers)
        task = asyncio.create_task(self._run_connection(agent, address, link))
        self._tasks[link] = task
        task.add_done_callback(lambda _: self._tasks.pop(link, None))

    def send(self, link: int, message: EntryMessage) -> None:
        """Send a message; it is dropped if the connection has ended."""
        outbox = self._outboxes.get(link)
        if outbox is not None:
            outbox.put(message)

    def drop(self, link: int) -> None:
        """Close one connection."""
        task = self._tasks.get(link)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Close all connections."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_connection(
        self, agent: str, address: str, link: int
    ) -> None:
        """Open a connection and serve it until it ends."""
        host, port = split_address(address)
        channel = Channel(host, port, codec=MsgpackCodec())
        opened = False
        try:
            method: StreamStreamMethod[Any, Any] = StreamStreamMethod(
                channel, RUNS_PATH, EntryBatch, AgentBatch
            )
            async with method.open() as stream:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    await stream.send_request()
                opened = True
                await self._exchange(agent, link, stream)
        except _CONNECTION_ERRORS as exc:
            LOGGER.info(
                "link-lost", extra={"agent": agent, "error": repr(exc)}
            )
        finally:
            self._outboxes.pop(link, None)
            channel.close()
            self._on_closed(agent, link if opened else None)

    async def _exchange(self, agent: str, link: int, stream: Any) -> None:
        """Send and receive batches on an open stream until it ends."""
        outbox: _Outbox[EntryMessage, EntryBatch] = _Outbox(EntryBatch)
        self._outboxes[link] = outbox
        writer = asyncio.create_task(outbox.queue.write_to(stream))
        self._on_open(agent, link)
        try:
            async for batch in stream:
                self._on_messages(link, batch.messages)
        finally:
            writer.cancel()
            with contextlib.suppress(
                asyncio.CancelledError, *_CONNECTION_ERRORS
            ):
                await writer
