"""The record that a process has adopted."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.presets.codec import decode_record
from briarford.presets.exceptions import RecordError
from briarford.presets.schema import Record

__all__ = ["Adopted", "Ignored", "PresetHolder"]


@dataclass(slots=True, frozen=True)
class Adopted:
    """A record of a higher version is in force from now on."""

    version: int
    encoded: bytes
    record: Record


@dataclass(slots=True, frozen=True)
class Ignored:
    """A record that was not adopted.

    :param reason: ``same``, ``older``, ``differs`` (same version, other
        content) or ``unreadable``.
    :param version: its version, 0 if it cannot be read.
    """

    reason: str
    version: int
    detail: str = ""


class PresetHolder:
    """Holds the newest record and never goes back to an older one."""

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
        """The record as bytes; empty if there is none yet."""
        return self._encoded

    def offer(self, encoded: bytes, now: float) -> Adopted | Ignored:
        """Adopt a record if its version is higher.

        :param encoded: the record, from the store or from a peer.
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
