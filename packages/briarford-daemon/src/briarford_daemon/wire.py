"""The gRPC service between entries and agents, with MessagePack messages.

grpclib takes the codec as an argument, so the messages of the library go
over the wire as they are and no code is generated.
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
    """The service that an entry offers to agents.

    :param attach: handles one session.
    """

    def __init__(self, attach: AttachHandler) -> None:
        self._attach = attach

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods by path, as grpclib wants them."""
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
    """Return the client side of a session on a channel."""
    return StreamStreamMethod(channel, ATTACH_PATH, AgentBatch, EntryBatch)
