"""The interface to the platform's key-value service, and a call guard.

The guard limits how often a process calls the service.
"""

from briarford.store.guard import CallGuard, Deferred, GuardLimits
from briarford.store.interface import (
    ChangeStore,
    KeyChanges,
    KeyListing,
    KeyValue,
    Store,
)

__all__ = [
    "CallGuard",
    "ChangeStore",
    "Deferred",
    "GuardLimits",
    "KeyChanges",
    "KeyListing",
    "KeyValue",
    "Store",
]
