"""Runs of tasks on a worker, and the messages that control them.

Each worker has one agent, and only that agent starts and stops runs on it.
Entries request runs from the agent over sessions. The agent stops the runs
of an entry whose heartbeats stop arriving.
"""

from briarford.runs.agent import RunAgent
from briarford.runs.directory import AgentAddress
from briarford.runs.losses import LossState, WorkerLoss
from briarford.runs.messages import (
    AgentBatch,
    AgentHeartbeat,
    AgentMessage,
    Attach,
    Attached,
    CancelJob,
    CapacityOffer,
    Demand,
    EntryBatch,
    EntryHeartbeat,
    EntryMessage,
    JobCancelled,
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
    "CancelJob",
    "Capacity",
    "CapacityOffer",
    "Demand",
    "EndedRow",
    "EntryBatch",
    "EntryHeartbeat",
    "EntryMessage",
    "JobCancelled",
    "ListingFailure",
    "LossState",
    "OrderResult",
    "RunAgent",
    "RunEnd",
    "RunEnded",
    "RunListing",
    "RunningRow",
    "StartRun",
    "StopRun",
    "UnreportedFailure",
    "WorkerLoss",
    "WorkerReport",
    "WorkerStatus",
]
