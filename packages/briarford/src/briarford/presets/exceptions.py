"""Errors of preset records."""

from __future__ import annotations

from briarford.exceptions import SettingsError

__all__ = ["RecordError"]


class RecordError(SettingsError):
    """A field of a record that cannot be taken.

    :param path: where it is, as in ``presets.peak.limits.queue_bound``.
    :param value: what was given there.
    :param allowed: what is allowed there.
    """

    def __init__(self, path: str, value: object, allowed: str) -> None:
        super().__init__(
            f"'{path}' is {value!r}; {allowed}", step="preset-check"
        )
        self.path = path
        self.value = value
        self.allowed = allowed
