"""Effects, events and outcomes of a change session.

A :class:`~briarford.presets.session.ChangeSession` returns an effect, the
caller carries it out and passes the result back as an event, until the
session returns an outcome.
"""

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
    "ReadOrWriteFailed",
    "ReadRecord",
    "SleepUntil",
    "Woken",
    "WriteAnswered",
    "WriteRecord",
]


@dataclass(slots=True, frozen=True)
class ReadRecord:
    """Effect: read the record's key from the store."""


@dataclass(slots=True, frozen=True)
class WriteRecord:
    """Effect: replace the record by compare-and-swap.

    :param encoded: the new record.
    :param expected: version that the key must have for the write to take
        effect.
    """

    encoded: bytes
    expected: int


@dataclass(slots=True, frozen=True)
class SleepUntil:
    """Effect: send :class:`Woken` at a time.

    :param at: Unix seconds.
    """

    at: float


@dataclass(slots=True, frozen=True)
class ReadAnswered:
    """Event: the store answered a read.

    :param found: the key with its value; None if there is no such key.
    """

    found: KeyValue | None


@dataclass(slots=True, frozen=True)
class WriteAnswered:
    """Event: the store answered a compare-and-swap.

    :param found: None if the record was written; otherwise the key as it is
        in the store, with another version than expected.
    """

    found: KeyValue | None


@dataclass(slots=True, frozen=True)
class ReadOrWriteFailed:
    """Event: a read or write failed or got no usable answer.

    :param detail: the cause, for the operator.
    :param maybe_applied: whether a write may have taken effect.
    """

    detail: str
    maybe_applied: bool


@dataclass(slots=True, frozen=True)
class Woken:
    """Event: the time of :class:`SleepUntil` has come."""


@dataclass(slots=True, frozen=True)
class Accepted:
    """Outcome: the change is stored and will be adopted by every process.

    :param change_id: the id under which it is in the history.
    :param version: version of the record that holds the change.
    :param rebased: whether the edits were reapplied to a newer record than
        the operator saw.
    """

    change_id: str
    version: int
    rebased: bool = False


@dataclass(slots=True, frozen=True)
class Conflicted:
    """Outcome: not stored, as the record has changed since it was read.

    :param version: version of the record in the store.
    :param mine: the requested edits.
    :param theirs: the edits made since the operator read the record.
    :param clashes: the pairs that touch the same field; if there are none,
        the edits can be reapplied to the newer record.
    """

    version: int
    mine: tuple[Edit, ...]
    theirs: tuple[Edit, ...]
    clashes: tuple[Clash, ...]


@dataclass(slots=True, frozen=True)
class NotAccepted:
    """Outcome: the change was not stored, and no write of it can still be.

    :param detail: why it was not stored.
    """

    detail: str


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """Outcome: the change may have been stored, or may still be.

    :param change_id: a repeat of the change under this id makes it at most
        once in all.
    :param detail: why the outcome is not known.
    """

    change_id: str
    detail: str


ChangeEvent = ReadAnswered | WriteAnswered | ReadOrWriteFailed | Woken
ChangeOutcome = Accepted | Conflicted | NotAccepted | OutcomeUnknown
ChangeEffect = ReadRecord | WriteRecord | SleepUntil
