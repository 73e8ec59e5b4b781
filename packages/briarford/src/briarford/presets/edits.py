"""Differences between records, as edits that can be applied to another."""

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
    """Two edits of the same field.

    :param mine: the edit that was to be made.
    :param theirs: the edit that was made meanwhile.
    """

    mine: Edit
    theirs: Edit


def diff_records(before: Record, after: Record) -> tuple[Edit, ...]:
    """Return the edits that lead from one record to another."""
    old, new = to_document(before), to_document(after)
    edits: list[Edit] = []
    for field in EDITABLE:
        edits += _diff((field,), old[field], new[field])
    return tuple(edits)


def _diff(path: Path, old: Any, new: Any) -> list[Edit]:
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
    """Return the pairs of edits that touch the same field."""
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
    """Return the edits that undo these."""
    return tuple(Edit(e.path, e.new, e.old) for e in edits)


def read_field(record: Record, path: Path) -> Any:
    """Return the value of a field; unset if there is none."""
    node: Any = to_document(record)
    for key in path:
        if not isinstance(node, dict) or key not in node:
            return msgspec.UNSET
        node = node[key]
    return node


def apply_edits(record: Record, edits: Iterable[Edit]) -> Record:
    """Return the record with edits made, at the same version.

    :raises RecordError: if a path leads nowhere or the result is not valid.
    """
    document = copy.deepcopy(to_document(record))
    for edit in edits:
        _apply_edit(document, edit)
    return build_record(document)


def _apply_edit(document: dict[str, Any], edit: Edit) -> None:
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

    :raises RecordError: if the history does not reach back to it.
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

    A change whose id is in the history already gives the record unchanged.

    :param when: Unix seconds.
    :raises RecordError: if the result is not valid.
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
    """Drop the oldest changes, but never the last one."""
    kept = history[-MAX_HISTORY_CHANGES:]
    while len(kept) > 1 and len(msgspec.json.encode(kept)) > MAX_HISTORY_BYTES:
        kept = kept[1:]
    return kept
