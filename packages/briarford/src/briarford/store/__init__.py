"""The platform's key-value service as the processes see it."""

from briarford.store.interface import KeyValue, Listing, Store

__all__ = ["KeyValue", "Listing", "Store"]
