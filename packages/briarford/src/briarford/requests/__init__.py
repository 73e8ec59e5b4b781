"""The core of an entry that runs jobs on behalf of waiting clients.

Clients submit a job and keep the connection open; the entry answers once all
tasks of the job have ended. :class:`Dispatcher` admits or refuses jobs, keeps
the tasks that wait for a worker, chooses a worker for each and orders runs
from the agents to which the entry is attached. It has no sockets and no
clock: each call passes the current time, and :meth:`Dispatcher.turn` returns
the effects that the process has to perform.
"""

from briarford.requests.dispatcher import Dispatcher
from briarford.requests.effects import (
    CancelConfirmed,
    DialAgent,
    DropLink,
    EntryEvent,
    JobEnded,
    SendToAgent,
)
from briarford.requests.job import JobRequest, StepSpec

__all__ = [
    "CancelConfirmed",
    "DialAgent",
    "Dispatcher",
    "DropLink",
    "EntryEvent",
    "JobEnded",
    "JobRequest",
    "SendToAgent",
    "StepSpec",
]
