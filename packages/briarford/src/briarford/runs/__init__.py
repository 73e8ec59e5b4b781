"""Runs of tasks on a worker, and the messages about them.

An agent orders all runs on its worker. Entries ask it for runs over
sessions; a session that falls silent ends its runs.
"""

from briarford.runs.agent import RunAgent
from briarford.runs.directory import AgentAddress
from briarford.runs.messages import (
    AgentBatch,
    AgentMessage,
    AgentPulse,
    Attach,
    Attached,
    Demand,
    EntryBatch,
    EntryMessage,
    EntryPulse,
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
    "AgentMessage",
    "AgentPulse",
    "Attach",
    "Attached",
    "Capacity",
    "Demand",
    "EndedRow",
    "EntryBatch",
    "EntryMessage",
    "EntryPulse",
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
