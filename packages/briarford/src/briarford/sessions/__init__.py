"""Sessions between entries and agents: messages, batches and numbering."""

from briarford.sessions.messages import (
    AgentBatch,
    EntryAddress,
    EntryBatch,
    Hello,
    StartTask,
    TaskReport,
    TaskResult,
    TaskStatus,
    Welcome,
    WorkerInfo,
)

__all__ = [
    "AgentBatch",
    "EntryAddress",
    "EntryBatch",
    "Hello",
    "StartTask",
    "TaskReport",
    "TaskResult",
    "TaskStatus",
    "Welcome",
    "WorkerInfo",
]
