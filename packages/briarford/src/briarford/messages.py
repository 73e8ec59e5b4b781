"""The base of every message between processes, and its codec."""

from __future__ import annotations

from typing import TypeVar

import msgspec

__all__ = ["Message", "decode", "encode"]

M = TypeVar("M")


class Message(msgspec.Struct, frozen=True, array_like=True):
    """A message between processes, encoded as a MessagePack array.

    New fields go to the end and have a default: an older receiver ignores
    them, and a newer receiver fills in what an older sender leaves out.
    """


_encoder = msgspec.msgpack.Encoder()


def encode(message: object) -> bytes:
    """Encode a message as MessagePack.

    :param message: a :class:`Message` or a structure that holds some.
    """
    return _encoder.encode(message)


def decode(data: bytes, kind: type[M]) -> M:
    """Decode a message and check its types.

    :param data: MessagePack bytes.
    :param kind: the class of the message.
    :raises msgspec.DecodeError: if the bytes are no message of that class.
    """
    return msgspec.msgpack.decode(data, type=kind)
