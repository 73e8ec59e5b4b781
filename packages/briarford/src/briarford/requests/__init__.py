"""Requests that an entry answers once all their tasks have ended."""

from briarford.requests.dispatcher import Dispatcher
from briarford.requests.effects import (
    DialAgent,
    DropLink,
    EntryEvent,
    JobEnded,
    SendToAgent,
)
from briarford.requests.job import JobRequest, StepSpec

__all__ = [
    "DialAgent",
    "Dispatcher",
    "DropLink",
    "EntryEvent",
    "JobEnded",
    "JobRequest",
    "SendToAgent",
    "StepSpec",
]
