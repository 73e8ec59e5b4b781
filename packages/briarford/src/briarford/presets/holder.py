"""Holds the record that is in force in a process."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.presets.codec import decode_record
from briarford.presets.exceptions import RecordError
from briarford.presets.schema import Record

__all__ = ["Adopted", "Ignored", "PresetHolder"]


@dataclass(slots=True, frozen=True)
class Adopted:
    """The received record has a higher version and is now in force.

    :param encoded: the record as it was received, to pass on to others.
    """

    version: int
    encoded: bytes
    record: Record


@dataclass(slots=True, frozen=True)
class Ignored:
    """The received record was not adopted.

    :param reason: ``same`` (equal to the record in force), ``older``,
        ``differs`` (same version, other content) or ``unreadable``.
    :param version: version of the received record, 0 if it cannot be read.
    :param detail: the cause in a few words, empty for ``same``.
    """

    reason: str
    version: int
    detail: str = ""


class PresetHolder:
    """Holds the newest record that was received, by version.

    A stale read or a peer that is behind cannot put an older record in force
    again.
    """

    __slots__ = ("_encoded", "adopted_at", "record")

    def __init__(self) -> None:
        self.record: Record | None = None
        self.adopted_at = 0.0
        self._encoded = b""

    @property
    def version(self) -> int:
        """Version of the record; 0 if there is none yet."""
        return 0 if self.record is None else self.record.version

    @property
    def encoded(self) -> bytes:
        """The record as it was received; empty if there is none yet."""
        return self._encoded

    def adopt_if_newer(self, encoded: bytes, now: float) -> Adopted | Ignored:
        """Adopt a record if its version is higher than the present one.

        :param encoded: the record as stored, or as a peer sent it.
        :param now: Unix seconds.
        """
        if encoded == self._encoded:
            return Ignored("same", self.version)
        try:
            record = decode_record(encoded)
        except RecordError as exc:
            return Ignored("unreadable", 0, exc.message)
        if record.version < self.version:
            detail = f"version {self.version} is in force"
            return Ignored("older", record.version, detail)
        if record.version == self.version:
            detail = "two records have the same version"
            return Ignored("differs", record.version, detail)
        self.record = record
        self.adopted_at = now
        self._encoded = encoded
        return Adopted(record.version, encoded, record)
