"""The errors of the command line."""

from __future__ import annotations

from briarford.exceptions import BriarfordError

__all__ = ["InputError"]


class InputError(BriarfordError):
    """An argument or input file that cannot be used."""

    exit_status = 2
