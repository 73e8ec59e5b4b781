"""Jobs: their identity, their state at the home entry, their answer."""

from briarford.jobs.messages import JobSpec, TaskRef, TaskSpec

__all__ = ["JobSpec", "TaskRef", "TaskSpec"]
