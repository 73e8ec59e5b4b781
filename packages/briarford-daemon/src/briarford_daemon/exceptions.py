"""The errors of the daemons."""

from __future__ import annotations

from briarford.exceptions import BriarfordError

__all__ = ["RequestError"]


class RequestError(BriarfordError):
    """A request that cannot be read; nothing of it has run.

    :param message: one sentence that names the field and what is allowed.
    :param status: HTTP status.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message, step="submit")
        self.status = status
