"""What goes into a change session and what comes out of it."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.presets.edits import Clash
from briarford.presets.schema import Edit
from briarford.store import KeyValue

__all__ = [
    "Accepted",
    "ChangeEffect",
    "ChangeEvent",
    "ChangeOutcome",
    "Conflicted",
    "NotAccepted",
    "OutcomeUnknown",
    "ReadAnswered",
    "ReadRecord",
    "SleepUntil",
    "StoreFailed",
    "Woken",
    "WriteAnswered",
    "WriteRecord",
]


@dataclass(slots=True, frozen=True)
class ReadRecord:
    """From a session: read the record from the store."""


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """From a session: compare-and-swap the record.

    :param expected: version of the key that must be there.
    """

    encoded: bytes
    expected: int


@dataclass(slots=True, frozen=True)
class SleepUntil:
    """From a session: say :class:`Woken` at this time (Unix seconds)."""

    at: float


@dataclass(slots=True, frozen=True)
class ReadAnswered:
    """To a session: what a read gave; None if there is no such key."""

    found: KeyValue | None


@dataclass(slots=True, frozen=True)
class WriteAnswered:
    """To a session: what a write gave.

    :param found: None if it was written, else what is there.
    """

    found: KeyValue | None


@dataclass(slots=True, frozen=True)
class StoreFailed:
    """To a session: a read or write had no usable answer.

    :param maybe_applied: whether a write may have taken effect.
    """

    detail: str
    maybe_applied: bool


@dataclass(slots=True, frozen=True)
class Woken:
    """To a session: the time it asked for has come."""


@dataclass(slots=True, frozen=True)
class Accepted:
    """The change is in the store and will be in force everywhere.

    :param version: version of the record that the change made.
    :param rebased: whether it was made on a newer record than was seen.
    """

    change_id: str
    version: int
    rebased: bool = False


@dataclass(slots=True, frozen=True)
class Conflicted:
    """The change was not made, as others changed the record meanwhile.

    :param version: version of the record that is there now.
    :param mine: the edits that were to be made.
    :param theirs: the edits that were made meanwhile.
    :param clashes: the pairs that touch the same field; without any, the
        change can be made on the newer record.
    """

    version: int
    mine: tuple[Edit, ...]
    theirs: tuple[Edit, ...]
    clashes: tuple[Clash, ...]


@dataclass(slots=True, frozen=True)
class NotAccepted:
    """The change was not made and will not be."""

    detail: str


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """Nobody can tell yet whether the change was made.

    :param change_id: repeating the change under this id makes it once.
    """

    change_id: str
    detail: str


ChangeEvent = ReadAnswered | WriteAnswered | StoreFailed | Woken
ChangeOutcome = Accepted | Conflicted | NotAccepted | OutcomeUnknown
ChangeEffect = ReadRecord | WriteRecord | SleepUntil
