"""What the dispatcher wants done."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from briarford.outcomes import Outcome
from briarford.runs import EntryMessage

__all__ = [
    "DialAgent",
    "DropLink",
    "EntryEffect",
    "EntryEvent",
    "JobEnded",
    "SendToAgent",
]


@dataclass(slots=True, frozen=True)
class SendToAgent:
    """Send a message on a connection."""

    link: int
    message: EntryMessage


@dataclass(slots=True, frozen=True)
class DialAgent:
    """Open a connection to an agent; report it as up or failed."""

    agent: str
    address: str


@dataclass(slots=True, frozen=True)
class DropLink:
    """Close a connection that fell silent."""

    link: int


@dataclass(slots=True, frozen=True)
class JobEnded:
    """Answer the client of a job."""

    job: str
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class EntryEvent:
    """A decision to be logged."""

    action: str
    fields: dict[str, Any]


EntryEffect = SendToAgent | DialAgent | DropLink | JobEnded | EntryEvent
