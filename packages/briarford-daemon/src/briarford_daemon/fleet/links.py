"""The connections between entries and agents.

An entry dials an agent and keeps one connection open. It has a number that
the process allocates, its link. The frames on it are batches of the message
classes of :mod:`briarford.runs`.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

from briarford.exceptions import SettingsError
from briarford.messages import encode
from briarford.runs import (
    AgentBatch,
    AgentMessage,
    Attach,
    EntryBatch,
    EntryMessage,
)
from briarford.runs.batches import decode_batch
from briarford_daemon.frames import (
    CONNECTION_ERRORS,
    FrameConnection,
    FrameServer,
    dial,
)
from briarford_daemon.intake import Intake

__all__ = ["AgentLinks", "EntryLinks"]

LOGGER = logging.getLogger("briarford.links")

RUNS_SERVICE = "briarford.runs/1"
DIAL_TIMEOUT_S = 0.4  # a handshake between zones takes a few milliseconds

M = TypeVar("M")


class _Outbox(Generic[M]):
    """Sends the messages of one turn of the event loop as one batch.

    :param connection: the connection of the link.
    :param make_batch: makes a batch of messages in their order.
    """

    __slots__ = ("_connection", "_make_batch", "_pending")

    def __init__(
        self,
        connection: FrameConnection,
        make_batch: Callable[[tuple[M, ...]], object],
    ) -> None:
        self._connection = connection
        self._make_batch = make_batch
        self._pending: list[M] = []

    def put(self, message: M) -> None:
        """Add a message; a batch with it is sent in the next turn."""
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending.append(message)

    def _flush(self) -> None:
        batch = self._make_batch(tuple(self._pending))
        self._pending.clear()
        self._connection.send(encode(batch))


def _log_unknown(link: int, kinds: Sequence[str]) -> None:
    """Log the messages of a newer peer that were left out."""
    for kind in kinds:
        LOGGER.warning("message-unknown", extra={"link": link, "kind": kind})


class AgentLinks:
    """Serves the connections of entries, at an agent.

    :param on_attach: called with the link and the ``Attach`` message with
        which an entry opens or resumes its session.
    :param on_messages: called with the link and the other messages of a
        batch.
    :param on_closed: called with the link when its connection has ended.
    :param intake: bounds the connections; None for no bounds.
    """

    def __init__(
        self,
        on_attach: Callable[[int, Attach], None],
        on_messages: Callable[[int, Sequence[EntryMessage]], None],
        on_closed: Callable[[int], None],
        intake: Intake | None = None,
    ) -> None:
        self._on_attach = on_attach
        self._on_messages = on_messages
        self._on_closed = on_closed
        self._link_numbers = itertools.count(1)
        self._outboxes: dict[int, _Outbox[AgentMessage]] = {}
        self._server = FrameServer({RUNS_SERVICE: self._accept}, intake)

    async def start(self, host: str, port: int) -> int:
        """Listen for connections of entries; return the port."""
        return await self._server.start(host, port)

    async def stop(self) -> None:
        """Close all connections."""
        self._server.close()

    def send(self, link: int, message: AgentMessage) -> None:
        """Send a message; it is dropped if the connection has ended."""
        outbox = self._outboxes.get(link)
        if outbox is not None:
            outbox.put(message)

    def _accept(self, connection: FrameConnection) -> _AcceptedLink:
        link = next(self._link_numbers)
        self._outboxes[link] = _Outbox(connection, AgentBatch)
        return _AcceptedLink(self, link)

    def handle_batch(self, link: int, batch: EntryBatch) -> None:
        """Pass the messages of a batch on; ``Attach`` can only be first."""
        messages: Sequence[EntryMessage] = batch.messages
        if messages and isinstance(messages[0], Attach):
            self._on_attach(link, messages[0])
            messages = messages[1:]
        self._on_messages(link, messages)

    def remove(self, link: int) -> None:
        """Forget a connection that has ended."""
        self._outboxes.pop(link, None)
        self._on_closed(link)


class _AcceptedLink:
    """The connection of one entry, at an agent."""

    __slots__ = ("_link", "_links")

    def __init__(self, links: AgentLinks, link: int) -> None:
        self._links = links
        self._link = link

    def frame_received(self, data: bytes) -> None:
        """Pass a batch on."""
        batch, unknown = decode_batch(data, EntryBatch)
        _log_unknown(self._link, unknown)
        self._links.handle_batch(self._link, batch)

    def connection_closed(self, exc: Exception | None) -> None:
        """Forget the link."""
        if exc is not None:
            LOGGER.info(
                "link-lost", extra={"link": self._link, "error": repr(exc)}
            )
        self._links.remove(self._link)


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
        self._outboxes: dict[int, _Outbox[EntryMessage]] = {}
        self._connections: dict[int, FrameConnection] = {}
        self._dials: set[asyncio.Task[None]] = set()
        # The last error of each agent that could not be dialed since.
        self._failing: dict[str, str] = {}

    def dial(self, agent: str, address: str) -> None:
        """Begin to open a connection to an agent.

        :param agent: name of the agent, passed to the callbacks.
        :param address: host and port of the agent.
        """
        task = asyncio.create_task(self._open(agent, address))
        self._dials.add(task)
        task.add_done_callback(self._dials.discard)

    def send(self, link: int, message: EntryMessage) -> None:
        """Send a message; it is dropped if the connection has ended."""
        outbox = self._outboxes.get(link)
        if outbox is not None:
            outbox.put(message)

    def drop(self, link: int) -> None:
        """Close one connection."""
        connection = self._connections.get(link)
        if connection is not None:
            connection.abort()

    async def stop(self) -> None:
        """Close all connections."""
        dials = list(self._dials)
        for task in dials:
            task.cancel()
        await asyncio.gather(*dials, return_exceptions=True)
        for connection in list(self._connections.values()):
            connection.close()

    async def _open(self, agent: str, address: str) -> None:
        """Open a connection; its handler serves it from then on."""
        link = next(self._link_numbers)
        handler = _DialedLink(self, agent, link)

        def make_handler(connection: FrameConnection) -> _DialedLink:
            self._connections[link] = connection
            self._outboxes[link] = _Outbox(connection, EntryBatch)
            return handler

        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await dial(address, RUNS_SERVICE, make_handler)
        except (*CONNECTION_ERRORS, SettingsError) as exc:
            self._dial_failed(agent, link, exc)
        except Exception as exc:
            # The agent is dialed again, as its record may be corrected.
            LOGGER.exception("dial-failed", extra={"agent": agent})
            self._dial_failed(agent, link, exc)
        else:
            self._failing.pop(agent, None)
        if link in self._connections:
            handler.is_open = True
            self._on_open(agent, link)
        else:
            self._on_closed(agent, None)

    def _dial_failed(self, agent: str, link: int, exc: Exception) -> None:
        """Forget the connection; a series of equal errors is logged once."""
        error = repr(exc)
        if self._failing.get(agent) != error:
            self._failing[agent] = error
            LOGGER.info("link-lost", extra={"agent": agent, "error": error})
        self.drop(link)
        self.forget(link)

    def handle_batch(self, link: int, batch: AgentBatch) -> None:
        """Pass the messages of a batch on."""
        self._on_messages(link, batch.messages)

    def remove(self, agent: str, link: int, exc: Exception | None) -> None:
        """Forget an open connection that has ended."""
        if exc is not None:
            LOGGER.info(
                "link-lost", extra={"agent": agent, "error": repr(exc)}
            )
        self.forget(link)
        self._on_closed(agent, link)

    def forget(self, link: int) -> None:
        """Drop what is kept of a connection."""
        self._connections.pop(link, None)
        self._outboxes.pop(link, None)


class _DialedLink:
    """The connection to one agent, at an entry.

    ``is_open`` is set once the dial has succeeded; the end of a connection
    before that is reported as a failed dial.
    """

    __slots__ = ("_agent", "_link", "_links", "is_open")

    def __init__(self, links: EntryLinks, agent: str, link: int) -> None:
        self._links = links
        self._agent = agent
        self._link = link
        self.is_open = False

    def frame_received(self, data: bytes) -> None:
        """Pass a batch on."""
        batch, unknown = decode_batch(data, AgentBatch)
        _log_unknown(self._link, unknown)
        self._links.handle_batch(self._link, batch)

    def connection_closed(self, exc: Exception | None) -> None:
        """Forget the link."""
        if self.is_open:
            self._links.remove(self._agent, self._link, exc)
        else:
            self._links.forget(self._link)
