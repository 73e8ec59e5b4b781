"""Jobs and tasks: their messages, and their state at their home entry.

The home of a job is the entry that admits it, has its tasks run and keeps its
answer. :class:`briarford.jobs.state.JobTable` holds the jobs of one home.
"""

from briarford.jobs.messages import JobSpec, TaskRef, TaskSpec

__all__ = ["JobSpec", "TaskRef", "TaskSpec"]
