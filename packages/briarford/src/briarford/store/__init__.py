"""The platform's key-value service as the processes see it."""

from briarford.store.guard import CallGuard, Deferred, GuardLimits
from briarford.store.interface import KeyListing, KeyValue, Store

__all__ = [
    "CallGuard",
    "Deferred",
    "GuardLimits",
    "KeyListing",
    "KeyValue",
    "Store",
]
