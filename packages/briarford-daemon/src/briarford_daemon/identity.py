"""The identity of one incarnation of a process."""

from __future__ import annotations

import os

__all__ = ["new_incarnation"]

INCARNATION_BYTES = 6


def new_incarnation() -> str:
    """Return a random name for this incarnation of a process.

    Peers notice by it that a process was restarted.
    """
    return os.urandom(INCARNATION_BYTES).hex()
