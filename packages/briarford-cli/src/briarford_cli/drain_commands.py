"""Commands that keep new work off a worker."""

from __future__ import annotations

import asyncio
import time

import msgspec

from briarford.presets import Edit, Record, read_field
from briarford_cli.output import Format
from briarford_cli.preset_output import show_change
from briarford_cli.preset_store import ChangeOptions, MakeEdits, change_record

__all__ = ["drain", "undrain"]


def drain(
    worker: str, *, options: ChangeOptions, format: Format = Format.TABLE
) -> None:
    """Keep new work off a worker; what it runs goes on.

    Exit status 0 if accepted, 2 if the input cannot be used, 3 if not
    accepted, 4 at a conflict, 5 if unknown.

    :param worker: name of the worker, as 'briarford status' shows it.
    :param format: table or json.
    """
    value = {"who": options.who, "why": options.why, "since": time.time()}

    def make_edits(record: Record) -> tuple[Edit, ...]:
        if worker in record.drains:
            return ()
        return (Edit(("drains", worker), new=value),)

    _make_change(options, make_edits, format)


def undrain(
    worker: str, *, options: ChangeOptions, format: Format = Format.TABLE
) -> None:
    """Let a worker get new work again.

    Exit status 0 if accepted, 2 if the input cannot be used, 3 if not
    accepted, 4 at a conflict, 5 if unknown.

    :param worker: name of the worker.
    :param format: table or json.
    """

    def make_edits(record: Record) -> tuple[Edit, ...]:
        path = ("drains", worker)
        old = read_field(record, path)
        return () if old is msgspec.UNSET else (Edit(path, old=old),)

    _make_change(options, make_edits, format)


def _make_change(
    options: ChangeOptions,
    make_edits: MakeEdits,
    fmt: Format,
) -> None:
    before, after, outcome = asyncio.run(change_record(options, make_edits))
    show_change(before, after, outcome, options.dry_run, fmt)
