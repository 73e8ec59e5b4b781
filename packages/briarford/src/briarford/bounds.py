"""Types with the bounds that decoders check.

A value that a decoder lets through is compared, sent on in other encodings,
dialed and stored. The bounds keep all of that possible.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

__all__ = ["MAX_COUNT", "Count", "Labels", "Name", "Ratio", "SocketAddress"]

# All integers up to this one are exact as floats, and fit into MessagePack.
MAX_COUNT = 2**53
# Longer than any name on the users' platform; a record has a dozen of them.
MAX_NAME_LENGTH = 256
MAX_LABELS = 64

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_PORT = (
    "([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}"
    "|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
)
_IPV4 = rf"{_OCTET}(\.{_OCTET}){{3}}"
_IPV6 = r"\[[0-9A-Fa-f:.]{2,45}\]"

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Ratio = Annotated[float, Meta(gt=0.0, le=float(MAX_COUNT))]
Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Labels = Annotated[tuple[Name, ...], Meta(max_length=MAX_LABELS)]
# Host and port. No host names: a look-up may hang, and no peer has one.
SocketAddress = Annotated[str, Meta(pattern=rf"\A({_IPV4}|{_IPV6}):{_PORT}\Z")]
