"""The errors of the daemons and of the client."""

from __future__ import annotations

from briarford.exceptions import BriarfordError

__all__ = ["EntryUnreachableError", "RequestError"]


class RequestError(BriarfordError):
    """A request that cannot be read; nothing of it has run.

    :param message: one sentence that names the field and what is allowed.
    :param status: HTTP status.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message, step="submit")
        self.status = status


class EntryUnreachableError(BriarfordError):
    """No entry answered a client.

    :param may_have_run: whether the job may have been taken.
    """

    exit_status = 3

    def __init__(self, message: str, may_have_run: bool) -> None:
        super().__init__(message, step="submit")
        self.may_have_run = may_have_run
