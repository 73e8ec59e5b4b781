"""Sessions between entries and agents."""

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
