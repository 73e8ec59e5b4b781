"""Errors of the daemons' HTTP interfaces and of the HTTP client."""

from __future__ import annotations

from briarford.exceptions import BriarfordError

__all__ = ["EntryUnreachableError", "RequestError"]


class RequestError(BriarfordError):
    """An invalid request; nothing of it has run.

    :param message: one sentence that names the field and what is allowed.
    :param status: HTTP status of the answer.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message, step="submit")
        self.status = status


class EntryUnreachableError(BriarfordError):
    """No entry answered a client.

    :param message: one sentence that says what to do, if anything.
    :param may_have_run: whether an entry may have accepted the job.
    """

    exit_status = 3

    def __init__(self, message: str, may_have_run: bool) -> None:
        super().__init__(message, step="submit")
        self.may_have_run = may_have_run
