"""Errors in preset records and in edits of them."""

from __future__ import annotations

from briarford.exceptions import SettingsError

__all__ = ["RecordError"]


class RecordError(SettingsError):
    """A record, or an edit of one, has a field that is not valid.

    :param path: path of the field, as in
        ``presets.peak.limits.queue_bound``.
    :param value: the value that was given.
    :param allowed: one clause that says which values are allowed.
    """

    def __init__(self, path: str, value: object, allowed: str) -> None:
        super().__init__(
            f"'{path}' is {value!r}; {allowed}", step="preset-check"
        )
        self.path = path
        self.value = value
        self.allowed = allowed
