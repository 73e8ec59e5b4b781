"""The ``preset`` commands, which read, switch and edit presets."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from pathlib import Path
from typing import Any

import cyclopts
import msgspec

from briarford.presets import (
    Edit,
    Record,
    build_record,
    diff_records,
    explain,
    find_clashes,
    invert,
    to_document,
)
from briarford_cli.exceptions import InputError
from briarford_cli.output import Format, show_record, show_table
from briarford_cli.preset_output import (
    EXIT_CONFLICT,
    describe_edit,
    show_change,
    show_edits,
)
from briarford_cli.preset_store import (
    ChangeOptions,
    MakeEdits,
    ReadOptions,
    StoreOptions,
    change_record,
    create_record,
    read_record,
)

__all__ = ["preset_app"]

DEFAULT_READ_OPTIONS = ReadOptions()

preset_app = cyclopts.App(
    name="preset",
    help=(
        "Read, switch and edit presets. Exit status 0 if done or accepted, "
        "2 if the input cannot be used, 3 if not accepted or the key-value "
        "service gave no answer, 4 at a conflict, 5 if unknown."
    ),
)


@preset_app.command(name="list")
def list_presets(
    *,
    options: ReadOptions = DEFAULT_READ_OPTIONS,
    format: Format = Format.TABLE,
) -> None:
    """List the presets and show which one is in force.

    :param format: table or json.
    """
    record = _read_record(options)
    rows = [
        {
            "preset": name,
            "in force": "yes" if name == record.active else "",
            "teams named": len(preset.quotas),
            "summary": preset.summary,
        }
        for name, preset in sorted(record.presets.items())
    ]
    show_table(rows, format)


@preset_app.command
def show(
    name: str = "",
    *,
    options: ReadOptions = DEFAULT_READ_OPTIONS,
    format: Format = Format.TABLE,
) -> None:
    """Show a preset, by default the one in force.

    With --format json the whole record is printed, in the form that
    'preset edit' reads.

    :param name: the preset.
    :param format: table or json.
    """
    record = _read_record(options)
    if format is Format.JSON:
        show_record(to_document(record), format)
        return
    preset = to_document(record)["presets"][_resolve_name(record, name)]
    rows = [
        {"field": ".".join(path), "value": value}
        for path, value in _flatten((), preset)
    ]
    show_table(rows, format)


@preset_app.command(name="explain")
def explain_preset(
    name: str = "", *, options: ReadOptions = DEFAULT_READ_OPTIONS
) -> None:
    """Describe in plain sentences how the system behaves now.

    :param name: explain this preset as if it were in force.
    """
    record = _read_record(options)
    active = _resolve_name(record, name)
    if active != record.active:
        record = msgspec.structs.replace(record, active=active, history=())
        print(f"If '{active}' were switched to:")
    print("\n".join(explain(record)))


@preset_app.command
def diff(
    one: str,
    other: str,
    *,
    options: ReadOptions = DEFAULT_READ_OPTIONS,
    format: Format = Format.TABLE,
) -> None:
    """Show in which fields two presets differ.

    :param one: a preset.
    :param other: another preset.
    :param format: table or json.
    """
    record = _read_record(options)
    before = _isolate_preset(record, _resolve_name(record, one))
    after = _isolate_preset(record, _resolve_name(record, other))
    edits = diff_records(before, after)
    show_edits([Edit(e.path[2:], e.old, e.new) for e in edits], format)


@preset_app.command
def history(
    *,
    options: ReadOptions = DEFAULT_READ_OPTIONS,
    format: Format = Format.TABLE,
) -> None:
    """Show the last changes, the newest first.

    :param format: table or json.
    """
    rows = [
        {
            "version": change.version,
            "when": _format_time(change.when),
            "who": change.who,
            "why": change.why,
            "change id": change.change_id,
            "fields": ", ".join(edit.dotted for edit in change.edits),
        }
        for change in reversed(_read_record(options).history)
    ]
    show_table(rows, format)


@preset_app.command
def init(*, options: StoreOptions, format: Format = Format.TABLE) -> None:
    """Write the default record if the store has none.

    :param format: table or json.
    """
    created = asyncio.run(create_record(options))
    outcome = "created" if created else "there is a record already"
    show_record({"outcome": outcome}, format)


@preset_app.command
def switch(
    name: str, *, options: ChangeOptions, format: Format = Format.TABLE
) -> None:
    """Put a preset in force and show which values in force change.

    :param name: the preset.
    :param format: table or json.
    """

    def make_edits(record: Record) -> tuple[Edit, ...]:
        _resolve_name(record, name)
        return (Edit(("active",), record.active, name),)

    _make_change(options, make_edits, format)


@preset_app.command(name="set")
def set_fields(
    *fields: str, options: ChangeOptions, format: Format = Format.TABLE
) -> None:
    """Set fields, as in presets.peak.limits.queue_bound=7000.

    A value is read as JSON, or as a string if it is not JSON. Without a
    value, as in presets.peak.quotas.desk=, the field is removed.

    :param fields: path=value, all made in one change.
    :param format: table or json.
    """
    edits = tuple(_parse_field(field) for field in fields)
    _make_change(options, lambda record: edits, format)


@preset_app.command
def edit(
    file: Path, *, options: ChangeOptions, format: Format = Format.TABLE
) -> None:
    """Apply the edits made in a file from 'preset show --format json'.

    The file holds the version of the record on which the edits are based. If
    the record has changed since, that is a conflict, unless --reapply is
    given and nobody else has changed the same fields.

    :param file: the edited record as JSON.
    :param format: table or json.
    """
    edited = _read_record_file(file)
    edit_options = dataclasses.replace(options, expect_version=edited.version)

    def make_edits(record: Record) -> tuple[Edit, ...]:
        return diff_records(record, edited)

    _make_change(edit_options, make_edits, format)


@preset_app.command
def undo(
    change: str = "",
    *,
    options: ChangeOptions,
    format: Format = Format.TABLE,
) -> None:
    """Undo a change, by default the last one.

    This is refused if a later change has edited the same fields.

    :param change: id of the change, as 'preset history' shows it.
    :param format: table or json.
    """

    def make_edits(record: Record) -> tuple[Edit, ...]:
        return _invert_change(record, change, format)

    _make_change(options, make_edits, format)


def _invert_change(
    record: Record, change_id: str, fmt: Format
) -> tuple[Edit, ...]:
    """Return the edits that undo a change.

    :param change_id: of the change; empty for the latest one.
    :raises UndoConflictError: if a later change edited the same fields.
    """
    if not record.history:
        raise InputError("there is no change to undo")
    found = record.find_change(change_id or record.history[-1].change_id)
    if found is None:
        raise InputError(f"the history has no change '{change_id}'")
    later_edits = [
        e for c in record.history if c.version > found.version for e in c.edits
    ]
    clashes = find_clashes(found.edits, later_edits)
    if clashes:
        rows = [describe_edit(c.theirs) for c in clashes]
        show_table(rows, fmt)
        raise UndoConflictError(found.change_id)
    return invert(found.edits)


class UndoConflictError(InputError):
    """Raised for an undo of a change whose fields a later change edited."""

    exit_status = EXIT_CONFLICT

    def __init__(self, change_id: str) -> None:
        super().__init__(
            f"change '{change_id}' cannot be undone, as later changes made "
            "the edits above to its fields; set the fields instead"
        )


def _make_change(
    options: ChangeOptions, make_edits: MakeEdits, fmt: Format
) -> None:
    before, after, outcome = asyncio.run(change_record(options, make_edits))
    show_change(before, after, outcome, options.dry_run, fmt)


def _read_record(options: ReadOptions = DEFAULT_READ_OPTIONS) -> Record:
    return asyncio.run(read_record(options))


def _resolve_name(record: Record, name: str) -> str:
    """Return the name of a preset, by default of the one in force."""
    if not name:
        return record.active
    if name not in record.presets:
        names = ", ".join(sorted(record.presets))
        raise InputError(f"there is no preset '{name}'; use one of {names}")
    return name


def _isolate_preset(record: Record, name: str) -> Record:
    """Return a record with only this preset, under the name 'preset'.

    The records of two presets then differ just in the fields of the preset,
    whose paths start with ``presets.preset``.
    """
    presets = {"preset": record.presets[name]}
    return msgspec.structs.replace(record, active="preset", presets=presets)


def _flatten(
    path: tuple[str, ...], node: Any
) -> list[tuple[tuple[str, ...], Any]]:
    """Return the fields below a node of a document, with their paths."""
    if not isinstance(node, dict):
        return [(path, node)]
    return [
        found
        for key, value in node.items()
        for found in _flatten((*path, key), value)
    ]


def _parse_field(text: str) -> Edit:
    """Parse ``path=value``; an empty value removes the field."""
    path, sign, value = text.partition("=")
    if not sign or not path:
        raise InputError(f"'{text}' is not of the form path=value")
    if not value:
        return Edit(tuple(path.split(".")))
    try:
        new = msgspec.json.decode(value.encode())
    except msgspec.DecodeError:
        new = value
    return Edit(tuple(path.split(".")), new=new)


def _read_record_file(path: Path) -> Record:
    try:
        return build_record(msgspec.json.decode(path.read_bytes()))
    except OSError as exc:
        raise InputError(f"cannot read '{path}': {exc.strerror}") from exc
    except msgspec.DecodeError as exc:
        raise InputError(f"'{path}' is not JSON: {exc}") from exc


def _format_time(when: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(when))
