"""Turns records into bytes and back, and checks what operators give."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from briarford.presets.checks import check_record
from briarford.presets.exceptions import RecordError
from briarford.presets.schema import Admission, Record

__all__ = [
    "MAX_RECORD_BYTES",
    "build_record",
    "decode_record",
    "encode_record",
    "to_document",
]

MAX_RECORD_BYTES = 65_536
MAX_SHOWN_CHARS = 200
_VALIDATION_ERROR = re.compile(
    r"^(?P<what>.*?)(?: - at `(?P<at>key` in `)?(?P<path>.*)`)?$"
)
_ENUMS = {"admission": [member.value for member in Admission]}
_MISSING_FIELD = re.compile(r"missing required field `(\w+)`")
_PATH_STEP = re.compile(r"\[\.\.\.\]|\[(\d+)\]|\.(\w+)")

Document = dict[str, Any]


def encode_record(record: Record) -> bytes:
    """Encode a record for the store and for other processes.

    :raises RecordError: if it is larger than ``MAX_RECORD_BYTES``.
    """
    encoded = msgspec.json.encode(record)
    if len(encoded) > MAX_RECORD_BYTES:
        allowed = f"at most {MAX_RECORD_BYTES} bytes are allowed"
        raise RecordError("record", f"{len(encoded)} bytes", allowed)
    return encoded


def decode_record(encoded: bytes) -> Record:
    """Decode a record that a process stored or sent.

    Fields that this version does not know are ignored, so that processes
    of two versions can run side by side.

    :raises RecordError: if the bytes are no record.
    """
    if len(encoded) > MAX_RECORD_BYTES:
        allowed = f"at most {MAX_RECORD_BYTES} bytes are allowed"
        raise RecordError("record", f"{len(encoded)} bytes", allowed)
    try:
        record = msgspec.json.decode(encoded, type=Record)
    except msgspec.MsgspecError as exc:
        raise RecordError("record", _truncate(encoded), str(exc)) from exc
    if record.active not in record.presets:
        raise RecordError("active", record.active, "no preset has this name")
    return record


def to_document(record: Record) -> Document:
    """Return a record as JSON values."""
    document: Document = msgspec.to_builtins(record)
    return document


def build_record(document: Any) -> Record:
    """Build a record from JSON values that an operator gave.

    :raises RecordError: if a field is unknown, out of range or at odds with
        another one.
    """
    try:
        record = msgspec.convert(document, Record)
    except msgspec.ValidationError as exc:
        raise _make_record_error(document, exc) from exc
    _reject_unknown_fields(document, to_document(record), ())
    check_record(record)
    return record


def _reject_unknown_fields(
    given: Any, accepted: Any, path: tuple[str, ...]
) -> None:
    if isinstance(given, dict) and isinstance(accepted, dict):
        for key, value in given.items():
            if key not in accepted:
                names = ", ".join(sorted(accepted))
                raise RecordError(
                    ".".join((*path, key)),
                    value,
                    f"there is no such field; use one of {names}",
                )
            _reject_unknown_fields(value, accepted[key], (*path, key))
    if isinstance(given, list | tuple) and isinstance(accepted, list | tuple):
        for index, (given_item, known_item) in enumerate(
            zip(given, accepted, strict=False)
        ):
            _reject_unknown_fields(given_item, known_item, (*path, str(index)))


def _make_record_error(
    document: Any, exc: msgspec.ValidationError
) -> RecordError:
    match = _VALIDATION_ERROR.match(str(exc))
    if match is None:
        return RecordError("record", document, str(exc))
    what = match["what"]
    path, value = _resolve_path(document, match["path"] or "$", str(exc))
    if match["at"]:
        return RecordError(".".join(path), sorted(value), f"a key: {what}")
    missing = _MISSING_FIELD.search(what)
    if missing:
        return RecordError(".".join((*path, missing[1])), None, "it is needed")
    return RecordError(
        ".".join(path) or "record",
        _truncate(value),
        _describe_allowed(path, what),
    )


def _describe_allowed(path: tuple[str, ...], what: str) -> str:
    """Say what is allowed in place of a value."""
    if path and path[-1] in _ENUMS:
        return f"use one of {', '.join(_ENUMS[path[-1]])}"
    return what.replace("Expected", "it must be").replace("`", "")


def _resolve_path(
    document: Any, template: str, message: str
) -> tuple[tuple[str, ...], Any]:
    path: tuple[str, ...] = ()
    node = document
    for step in _PATH_STEP.finditer(template):
        if step[2]:
            key: Any = step[2]
        elif step[1]:
            key = int(step[1])
        else:
            key = _find_invalid_key(document, path, node, message)
        path = (*path, str(key))
        node = node[key]
    return path, node


def _find_invalid_key(
    document: Any, path: tuple[str, ...], node: Any, message: str
) -> str:
    """Find the key of a map whose value alone gives the same error."""
    for key in node:
        alone = _replace_at(document, path, {key: node[key]})
        try:
            msgspec.convert(alone, Record)
        except msgspec.ValidationError as exc:
            if str(exc) == message:
                return str(key)
    return str(next(iter(node)))


def _replace_at(document: Any, path: tuple[str, ...], value: Any) -> Any:
    if not path:
        return value
    copy = dict(document)
    copy[path[0]] = _replace_at(document[path[0]], path[1:], value)
    return copy


def _truncate(value: Any) -> Any:
    if isinstance(value, int | float | bool | None):
        return value
    text = value if isinstance(value, str) else repr(value)
    return (
        text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}…"
    )
