"""Prints edits of the preset record and the outcome of a change."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import Any

import msgspec
from rich.console import Console

from briarford.presets import (
    Accepted,
    ChangeOutcome,
    Conflicted,
    Edit,
    NotAccepted,
    OutcomeUnknown,
    Record,
    diff_in_force,
    diff_records,
    find_effect,
)
from briarford_cli.output import Format, show_record, show_table

__all__ = [
    "EXIT_CONFLICT",
    "EXIT_NOT_ACCEPTED",
    "EXIT_OUTCOME_UNKNOWN",
    "describe_edit",
    "show_change",
    "show_edits",
]

EXIT_NOT_ACCEPTED = 3
EXIT_CONFLICT = 4
EXIT_OUTCOME_UNKNOWN = 5


def show_change(
    before: Record,
    after: Record,
    outcome: ChangeOutcome | None,
    dry_run: bool,
    fmt: Format,
) -> None:
    """Print the effect and the outcome of a change.

    Return if it was accepted, was a dry run or had nothing to change;
    otherwise exit with the status of the outcome.

    :param before: the record on which the change is based.
    :param after: this record with the edits of the change.
    :param outcome: None if nothing was written.
    :param dry_run: whether the change was only to be shown.
    :param fmt: how to print.
    """
    match outcome:
        case None:
            if before == after:
                _show_outcome(fmt, outcome="nothing to change")
            else:
                _show_preview(before, after, dry_run, fmt)
        case Accepted(change_id, version, rebased):
            _show_preview(before, after, dry_run, fmt)
            made_on = "a newer record than seen" if rebased else "as seen"
            _show_outcome(
                fmt,
                outcome="accepted",
                version=version,
                change_id=change_id,
                made_on=made_on,
            )
        case Conflicted():
            _show_conflict(outcome, fmt)
            sys.exit(EXIT_CONFLICT)
        case NotAccepted(detail):
            _show_outcome(fmt, outcome="not accepted", detail=detail)
            sys.exit(EXIT_NOT_ACCEPTED)
        case OutcomeUnknown(change_id, detail):
            _show_outcome(
                fmt,
                outcome="unknown",
                detail=detail,
                change_id=change_id,
                what_to_do=(
                    f"repeat the command with --change-id {change_id}; it "
                    "is made once at most"
                ),
            )
            sys.exit(EXIT_OUTCOME_UNKNOWN)


def _show_preview(
    before: Record, after: Record, dry_run: bool, fmt: Format
) -> None:
    """Print the edits, and for a table also their effect on work.

    The JSON output of a change that was made has only its outcome.
    """
    edits = diff_records(before, after)
    if not edits:
        return
    if fmt is Format.JSON and not dry_run:
        return
    show_edits(edits, fmt)
    if fmt is Format.TABLE:
        _show_effects(before, after, dry_run)
    if dry_run and fmt is Format.TABLE:
        Console().print("Dry run: nothing was changed.")


def _show_effects(before: Record, after: Record, dry_run: bool) -> None:
    """Print which values in force change, and how that affects work."""
    changes = diff_in_force(before, after)
    console = Console()
    if not changes:
        console.print("Nothing that is in force changes.")
        return
    heading = "Would come into force:" if dry_run else "In force from now on:"
    console.print(heading)
    for path, old, new in changes:
        console.print(_describe_effect(path, old, new), highlight=False)


def _describe_effect(path: tuple[str, ...], old: str, new: str) -> str:
    # diff_in_force leaves out the preset's name; find_effect expects one.
    full_path = (
        path if path[0] in ("active", "drains") else ("presets", "*", *path)
    )
    effect = find_effect(full_path)
    line = f"  {'.'.join(path)}: {old} -> {new}"
    if effect is None:
        return line
    return (
        f"{line}\n    queued work {effect.queued}; "
        f"running work {effect.running}"
    )


def show_edits(edits: Iterable[Edit], fmt: Format) -> None:
    """Print one row per edit."""
    show_table([describe_edit(edit) for edit in edits], fmt)


def describe_edit(edit: Edit) -> dict[str, str]:
    """Return an edit as a row: its field, the old and the new value."""
    return {
        "field": edit.dotted,
        "before": _format_value(edit.old),
        "after": _format_value(edit.new),
    }


def _show_conflict(conflict: Conflicted, fmt: Format) -> None:
    """Print both sides' edits and, with a table, what the operator can do."""
    rows = [{"whose": "yours", **describe_edit(e)} for e in conflict.mine]
    rows += [{"whose": "theirs", **describe_edit(e)} for e in conflict.theirs]
    show_table(rows, fmt)
    if fmt is Format.JSON:
        return
    advice = "look at both, then decide anew on the present record"
    if not conflict.clashes:
        advice = "no field is changed by both; --reapply makes yours as well"
    Console().print(
        f"Conflict: not made, version {conflict.version} is there now; "
        f"{advice}."
    )


def _show_outcome(fmt: Format, **fields: Any) -> None:
    show_record(fields, fmt)


def _format_value(value: Any) -> str:
    if value is msgspec.UNSET:
        return "-"
    return msgspec.json.encode(value).decode()
