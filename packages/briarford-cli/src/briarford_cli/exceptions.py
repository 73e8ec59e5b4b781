"""Errors of the command line; their exit status is that of the command."""

from __future__ import annotations

from briarford.exceptions import BriarfordError

__all__ = ["InputError"]


class InputError(BriarfordError):
    """Raised for an argument or input file that cannot be used."""

    exit_status = 2
