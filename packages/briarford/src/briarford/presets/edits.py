"""Computes the edits between two records, and applies them to a record.

An edit holds the path of one field with its old and new value. Conflicts,
reapplying a change to a newer record, rewinding to an earlier version and
undo all work on edits.
"""

from __future__ import annotations

import copy
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from briarford.presets.codec import (
    build_record,
    to_document,
)
from briarford.presets.exceptions import RecordError
from briarford.presets.schema import FORMAT, Change, Edit, Path, Record

__all__ = [
    "Clash",
    "apply_change",
    "apply_edits",
    "diff_records",
    "find_clashes",
    "invert",
    "read_field",
    "rewind",
]

MAX_HISTORY_CHANGES = 20
MAX_HISTORY_BYTES = 16_384
EDITABLE = ("active", "presets", "drains")


@dataclass(slots=True, frozen=True)
class Clash:
    """Two conflicting edits: of the same field, or of a field and its group.

    :param mine: the requested edit.
    :param theirs: the edit of another operator that is in the record.
    """

    mine: Edit
    theirs: Edit


def diff_records(before: Record, after: Record) -> tuple[Edit, ...]:
    """Return the edits that turn one record into another.

    Only the fields of ``EDITABLE`` are compared: version and history change
    with every accepted change and are not edited.
    """
    old, new = to_document(before), to_document(after)
    edits: list[Edit] = []
    for field in EDITABLE:
        edits += _diff((field,), old[field], new[field])
    return tuple(edits)


def _diff(path: Path, old: Any, new: Any) -> list[Edit]:
    """Return the edits that turn one value into another.

    Fields of mappings are compared one by one; any other value is replaced
    as a whole. A field that one side lacks has the value ``UNSET`` there.
    """
    if old == new:
        return []
    if not (isinstance(old, dict) and isinstance(new, dict)):
        return [Edit(path, old, new)]
    edits: list[Edit] = []
    for key in sorted({*old, *new}):
        before = old.get(key, msgspec.UNSET)
        after = new.get(key, msgspec.UNSET)
        edits += _diff((*path, key), before, after)
    return edits


def find_clashes(
    mine: Iterable[Edit], theirs: Sequence[Edit]
) -> tuple[Clash, ...]:
    """Return each pair of edits in which one path is a prefix of the other.

    :param mine: the requested edits.
    :param theirs: the edits that other operators have made.
    """
    return tuple(
        Clash(one, other)
        for one in mine
        for other in theirs
        if _paths_overlap(one.path, other.path)
    )


def _paths_overlap(one: Path, other: Path) -> bool:
    shared = min(len(one), len(other))
    return one[:shared] == other[:shared]


def invert(edits: Iterable[Edit]) -> tuple[Edit, ...]:
    """Return edits that undo the given ones: old and new value swapped."""
    return tuple(Edit(e.path, e.new, e.old) for e in edits)


def read_field(record: Record, path: Path) -> Any:
    """Return the value at a path, ``msgspec.UNSET`` if there is none."""
    node: Any = to_document(record)
    for key in path:
        if not isinstance(node, dict) or key not in node:
            return msgspec.UNSET
        node = node[key]
    return node


def apply_edits(record: Record, edits: Iterable[Edit]) -> Record:
    """Return a copy of the record with the edits applied.

    The version and the history stay as they are.

    :raises RecordError: if a path does not exist or may not be edited, or if
        the result is not a valid record.
    """
    document = copy.deepcopy(to_document(record))
    for edit in edits:
        _apply_edit(document, edit)
    return build_record(document)


def _apply_edit(document: dict[str, Any], edit: Edit) -> None:
    """Set or remove the field of an edit in a document, in place."""
    if not edit.path or edit.path[0] not in EDITABLE:
        allowed = f"edit a field under {', '.join(EDITABLE)}"
        raise RecordError(edit.dotted, edit.new, allowed)
    node: Any = document
    for depth, key in enumerate(edit.path[:-1]):
        if not isinstance(node, dict) or key not in node:
            path = ".".join(edit.path[: depth + 1])
            names = ", ".join(sorted(node)) if isinstance(node, dict) else ""
            raise RecordError(path, None, f"there is no such field: {names}")
        node = node[key]
    if not isinstance(node, dict):
        raise RecordError(edit.dotted, edit.new, "it is not a group of fields")
    if edit.new is msgspec.UNSET:
        node.pop(edit.path[-1], None)
    else:
        node[edit.path[-1]] = edit.new


def rewind(record: Record, version: int) -> Record:
    """Return a record as it was at an earlier version, without history.

    The later changes of the history are undone, newest first.

    :raises RecordError: if the history no longer holds all later changes, or
        there was no such version.
    """
    later = [c for c in record.history if c.version > version]
    if len(later) != record.version - version or version < 1:
        first = record.version - len(record.history)
        allowed = f"use one from {first} to {record.version}"
        raise RecordError("version", version, allowed)
    rewound = msgspec.structs.replace(record, version=version, history=())
    for change in reversed(later):
        rewound = apply_edits(rewound, invert(change.edits))
    return rewound


def apply_change(
    record: Record,
    edits: tuple[Edit, ...],
    *,
    change_id: str,
    who: str,
    why: str,
    when: float,
) -> Record:
    """Return the next version of a record, with the change in its history.

    If the history already has a change with this id, the record is returned
    unchanged, so that a repeated change takes effect only once.

    :param change_id: identifies the change across repeats.
    :param when: Unix seconds.
    :raises RecordError: if the result is not valid, or the record has a newer
        format than this version of briarford knows.
    """
    if record.find_change(change_id) is not None:
        return record
    if record.format > FORMAT:
        raise RecordError(
            "format",
            record.format,
            f"this tool edits records up to format {FORMAT}; use a newer one",
        )
    edited = apply_edits(record, edits)
    version = record.version + 1
    change = Change(change_id, version, who, why, when, edits)
    history = _trim_history((*record.history, change))
    changed = msgspec.structs.replace(edited, version=version, history=history)
    return build_record(to_document(changed))


def _trim_history(history: tuple[Change, ...]) -> tuple[Change, ...]:
    """Drop the oldest changes beyond the bounds on their number and bytes.

    The newest change is always kept: it is how a writer that got no answer
    finds out that its write was stored.
    """
    kept = history[-MAX_HISTORY_CHANGES:]
    while len(kept) > 1 and len(msgspec.json.encode(kept)) > MAX_HISTORY_BYTES:
        kept = kept[1:]
    return kept
