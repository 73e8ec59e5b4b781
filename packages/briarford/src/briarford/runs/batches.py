"""Decodes batches of a peer that may be of another build.

While an upgrade replaces processes one after the other, a newer peer may send
a kind of message that this build does not know. The other messages of the
batch still count, so the unknown one is left out and reported.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar, get_args

import msgspec

from briarford.messages import decode
from briarford.runs.messages import (
    AgentBatch,
    AgentMessage,
    EntryBatch,
    EntryMessage,
)

__all__ = ["decode_batch"]

B = TypeVar("B", AgentBatch, EntryBatch)


class _RawBatch(msgspec.Struct, frozen=True, array_like=True):
    messages: tuple[msgspec.Raw, ...]


def decode_batch(data: bytes, kind: type[B]) -> tuple[B, Sequence[str]]:
    """Decode a batch without the messages of kinds that are not known.

    :param data: MessagePack bytes.
    :param kind: the class of the batch.
    :return: the batch, and the tags of what was left out.
    :raises msgspec.DecodeError: if the batch is damaged, or a message of a
        known kind is.
    """
    try:
        return decode(data, kind), ()
    except msgspec.ValidationError as exc:
        raw = decode(data, _RawBatch)
        tags = [_tag(message) for message in raw.messages]
        unknown = [tag for tag in tags if tag not in _TAGS[kind]]
        if not unknown:
            raise exc
    known = [
        message
        for message, tag in zip(raw.messages, tags, strict=True)
        if tag in _TAGS[kind]
    ]
    return decode(msgspec.msgpack.encode([known]), kind), unknown


def _tag(message: msgspec.Raw) -> str:
    """Return the tag of a message, its first field.

    :raises msgspec.DecodeError: if it has none.
    """
    fields = msgspec.msgpack.decode(message, type=list[msgspec.Raw])
    if not fields:
        raise msgspec.ValidationError("a message without a tag")
    return msgspec.msgpack.decode(fields[0], type=str)


def _known_tags(messages: object) -> frozenset[str]:
    """Return the tags of the classes in a union of messages."""
    return frozenset(str(m.__struct_config__.tag) for m in get_args(messages))


_TAGS: dict[type, frozenset[str]] = {
    AgentBatch: _known_tags(AgentMessage),
    EntryBatch: _known_tags(EntryMessage),
}
