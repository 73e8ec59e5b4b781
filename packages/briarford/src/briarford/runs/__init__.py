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
    Demand,
    EntryBatch,
    EntryHeartbeat,
    EntryMessage,
    FormerFailure,
    Offer,
    RunEnd,
    RunEnded,
    StartRun,
    StopRun,
    WorkerStatus,
)
from briarford.runs.worker import (
    Capacity,
    EndedRow,
    NoListing,
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
    "Demand",
    "EndedRow",
    "EntryBatch",
    "EntryHeartbeat",
    "EntryMessage",
    "FormerFailure",
    "NoListing",
    "Offer",
    "OrderResult",
    "RunAgent",
    "RunEnd",
    "RunEnded",
    "RunListing",
    "RunningRow",
    "StartRun",
    "StopRun",
    "WorkerReport",
    "WorkerStatus",
]
