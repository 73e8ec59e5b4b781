"""Encodes and decodes records, and validates those that operators edit.

Processes decode with :func:`decode_record`, which ignores unknown fields.
Operators' input goes through :func:`build_record`, which rejects them and
names the path, the value and what is allowed.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec

from briarford.presets.checks import check_record
from briarford.presets.exceptions import RecordError
from briarford.presets.schema import AdmissionMode, Record

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
_ENUMS = {"admission": [member.value for member in AdmissionMode]}
_MISSING_FIELD = re.compile(r"missing required field `(\w+)`")
_PATH_STEP = re.compile(r"\[\.\.\.\]|\[(\d+)\]|\.(\w+)")

Document = dict[str, Any]


def encode_record(record: Record) -> bytes:
    """Encode a record as JSON, as it is stored and sent to other processes.

    :raises RecordError: if it is larger than ``MAX_RECORD_BYTES``.
    """
    encoded = msgspec.json.encode(record)
    if len(encoded) > MAX_RECORD_BYTES:
        allowed = f"at most {MAX_RECORD_BYTES} bytes are allowed"
        raise RecordError("record", f"{len(encoded)} bytes", allowed)
    return encoded


def decode_record(encoded: bytes) -> Record:
    """Decode a record that a process stored or sent.

    Unknown fields are ignored, so that processes of two versions of briarford
    can run side by side.

    :raises RecordError: if the bytes are not a record, are more than
        ``MAX_RECORD_BYTES``, or name an active preset that they do not hold.
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
    """Return a record as plain dictionaries, lists and scalars."""
    document: Document = msgspec.to_builtins(record)
    return document


def build_record(document: Any) -> Record:
    """Build a record from an operator's decoded JSON and validate it.

    :raises RecordError: if a field is unknown, has a wrong type, is out of
        range, or fails a check of :mod:`briarford.presets.checks`.
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
    """Raise for a key that msgspec ignored.

    :param given: the operator's input.
    :param accepted: the record that was built from it, as plain values.
    :param path: keys that lead to both.
    """
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
    """Turn a msgspec error into one with path, value and what is allowed."""
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
    """Describe which values are allowed, from msgspec's message."""
    if path and path[-1] in _ENUMS:
        return f"use one of {', '.join(_ENUMS[path[-1]])}"
    return what.replace("Expected", "it must be").replace("`", "")


def _resolve_path(
    document: Any, template: str, message: str
) -> tuple[tuple[str, ...], Any]:
    """Return the path and the value to which msgspec's path template leads.

    :param template: as in ``$.presets[...].limits.queue_bound``.
    :param message: the whole message, to tell which key ``[...]`` is.
    """
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
    """Find which key of a map has the value that msgspec rejected.

    The path in msgspec's message shows map keys as ``[...]``, so the
    conversion is repeated with one key at a time until the message is the
    same.
    """
    for key in node:
        single = _replace_at(document, path, {key: node[key]})
        try:
            msgspec.convert(single, Record)
        except msgspec.ValidationError as exc:
            if str(exc) == message:
                return str(key)
    return str(next(iter(node)))


def _replace_at(document: Any, path: tuple[str, ...], value: Any) -> Any:
    """Return a copy of nested dictionaries with another value at a path."""
    if not path:
        return value
    copy = dict(document)
    copy[path[0]] = _replace_at(document[path[0]], path[1:], value)
    return copy


def _truncate(value: Any) -> Any:
    """Shorten a value that an error message shows; numbers stay as given."""
    if isinstance(value, int | float | bool | None):
        return value
    text = value if isinstance(value, str) else repr(value)
    return (
        text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}…"
    )
