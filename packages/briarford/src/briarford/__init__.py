"""Coordination parts of a dispatcher for sub-second tasks."""

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
