"""Runs of tasks on a worker, and the messages about them.

An agent orders all runs on its worker. Entries ask it for runs over
sessions; a session that falls silent ends its runs.
"""

from briarford.runs.agent import RunAgent
from briarford.runs.directory import AgentAddress
from briarford.runs.messages import (
    AgentBatch,
    AgentHeartbeat,
    AgentMessage,
    Attach,
    Attached,
    CapacityOffer,
    Demand,
    EntryBatch,
    EntryHeartbeat,
    EntryMessage,
    RunEnd,
    RunEnded,
    StartRun,
    StopRun,
    UnreportedFailure,
    WorkerStatus,
)
from briarford.runs.worker import (
    Capacity,
    EndedRow,
    ListingFailure,
    OrderResult,
    RunListing,
    RunningRow,
    WorkerReport,
)

__all__ = [
    "AgentAddress",
    "AgentBatch",
    "AgentHeartbeat",
    "AgentMessage",
    "Attach",
    "Attached",
    "Capacity",
    "CapacityOffer",
    "Demand",
    "EndedRow",
    "EntryBatch",
    "EntryHeartbeat",
    "EntryMessage",
    "ListingFailure",
    "OrderResult",
    "RunAgent",
    "RunEnd",
    "RunEnded",
    "RunListing",
    "RunningRow",
    "StartRun",
    "StopRun",
    "UnreportedFailure",
    "WorkerReport",
    "WorkerStatus",
]
