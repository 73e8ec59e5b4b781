"""Effects that the dispatcher returns for its process to perform."""

from __future__ import annotations

from typing import Any

import msgspec

from briarford.outcomes import Outcome
from briarford.runs import EntryMessage

__all__ = [
    "CancelConfirmed",
    "DialAgent",
    "DropLink",
    "EntryEffect",
    "EntryEvent",
    "JobEnded",
    "SendToAgent",
]


class SendToAgent(msgspec.Struct, frozen=True):
    """Send a message to an agent.

    :param link: number of the open connection to the agent.
    """

    link: int
    message: EntryMessage


class DialAgent(msgspec.Struct, frozen=True):
    """Open a connection to an agent.

    The process reports the result with :meth:`Dispatcher.link_up` or
    :meth:`Dispatcher.link_down`.

    :param agent: name of the agent.
    :param address: where it listens.
    """

    agent: str
    address: str


class DropLink(msgspec.Struct, frozen=True):
    """Close a connection that the dispatcher no longer uses.

    :param link: number of the connection.
    """

    link: int


class JobEnded(msgspec.Struct, frozen=True):
    """Answer the clients that wait for a job.

    :param job: id of the job.
    :param number: of its admission; a repeat may have been admitted since.
    :param outcome: what to answer.
    """

    job: str
    number: int
    outcome: Outcome


class CancelConfirmed(msgspec.Struct, frozen=True):
    """Answer the clients that wait for a cancel at another entry.

    :param job: id of the job, which has ended.
    """

    job: str


class EntryEvent(msgspec.Struct, frozen=True):
    """Log a decision.

    :param action: name of the log event.
    :param fields: its structured fields.
    """

    action: str
    fields: dict[str, Any]


EntryEffect = (
    SendToAgent
    | DialAgent
    | DropLink
    | JobEnded
    | CancelConfirmed
    | EntryEvent
)
