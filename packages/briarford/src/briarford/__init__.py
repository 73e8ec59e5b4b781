"""The coordination library of briarford, a dispatcher for sub-second tasks.

Its parts decide; they do no input or output. The daemon, the command-line tool
and the platform adapter run them.
"""

from briarford.exceptions import BriarfordError, SettingsError, StoreError
from briarford.jobs import JobSpec, TaskRef, TaskSpec
from briarford.outcomes import Completed, Failed, Outcome, Refused

__all__ = [
    "BriarfordError",
    "Completed",
    "Failed",
    "JobSpec",
    "Outcome",
    "Refused",
    "SettingsError",
    "StoreError",
    "TaskRef",
    "TaskSpec",
]
