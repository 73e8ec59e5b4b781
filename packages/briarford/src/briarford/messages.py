"""The base class of messages between processes, and their encoding."""

from __future__ import annotations

from typing import TypeVar

import msgspec

__all__ = ["Message", "decode", "decode_json", "encode"]

M = TypeVar("M")
J = TypeVar("J")


class Message(msgspec.Struct, frozen=True, array_like=True):
    """A message between processes, encoded as a MessagePack array.

    Fields are encoded by position. A new field must be the last one and have
    a default: an older receiver then ignores it, and a newer receiver uses
    the default if an older sender leaves it out.
    """


_encoder = msgspec.msgpack.Encoder()


def encode(message: object) -> bytes:
    """Encode a message as MessagePack.

    :param message: a :class:`Message`, or a container of messages.
    """
    return _encoder.encode(message)


def decode(data: bytes, kind: type[M]) -> M:
    """Decode a message and check the types of its fields.

    :param data: MessagePack bytes.
    :param kind: the class of the message.
    :raises msgspec.DecodeError: if the bytes are not such a message.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except RecursionError as exc:
        raise msgspec.DecodeError("nested too deeply") from exc


def decode_json(data: bytes, kind: type[J]) -> J:
    """Decode JSON and check the types of its fields.

    :param data: UTF-8 text.
    :param kind: the class to decode to.
    :raises msgspec.DecodeError: if the text is not such JSON, also if it is
        not UTF-8 or is nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (RecursionError, UnicodeDecodeError) as exc:
        raise msgspec.DecodeError(f"not readable: {exc}") from exc
