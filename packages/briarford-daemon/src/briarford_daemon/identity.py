"""The identity of one run of a process."""

from __future__ import annotations

import os

__all__ = ["new_incarnation"]

INCARNATION_BYTES = 6


def new_incarnation() -> str:
    """Return a name that no other run of a process has."""
    return os.urandom(INCARNATION_BYTES).hex()
