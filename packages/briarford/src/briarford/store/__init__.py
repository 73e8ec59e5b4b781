"""The platform's key-value service as the processes see it."""

from briarford.store.guard import CallGuard, Deferred, GuardLimits
from briarford.store.interface import KeyValue, Listing, Store

__all__ = [
    "CallGuard",
    "Deferred",
    "GuardLimits",
    "KeyValue",
    "Listing",
    "Store",
]
