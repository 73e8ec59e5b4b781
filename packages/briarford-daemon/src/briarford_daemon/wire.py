"""The gRPC service between entries and agents, with MessagePack messages.

grpclib accepts a codec as an argument, so the message classes of the library
are sent as they are, without generated code.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.server import Stream

from briarford.messages import decode, encode
from briarford.sessions import AgentBatch, EntryBatch

__all__ = ["AttachHandler", "MsgpackCodec", "Sessions", "attach_method"]

ATTACH_PATH = "/briarford.Sessions/Attach"

AttachHandler = Callable[[Stream[AgentBatch, EntryBatch]], Awaitable[None]]


class MsgpackCodec(CodecBase):
    """Encodes messages as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        return encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message of a known class."""
        return decode(data, message_type)


class Sessions:
    """The gRPC service with which an entry serves the sessions of agents.

    :param attach: called with the stream of each session; the stream ends
        when it returns.
    """

    def __init__(self, attach: AttachHandler) -> None:
        self._attach = attach

    def __mapping__(self) -> dict[str, Handler]:
        """Return the gRPC methods by path, for the server of grpclib."""
        handler = Handler(
            self._attach,
            Cardinality.STREAM_STREAM,
            AgentBatch,
            EntryBatch,
        )
        return {ATTACH_PATH: handler}


def attach_method(
    channel: Channel,
) -> StreamStreamMethod[AgentBatch, EntryBatch]:
    """Return the method with which an agent opens a session on a channel."""
    return StreamStreamMethod(channel, ATTACH_PATH, AgentBatch, EntryBatch)
