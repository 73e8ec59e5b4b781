"""The ``drain`` and ``undrain`` commands.

A drain is a field of the preset record with the name of a worker. While it
is set, the worker gets no new tasks; the tasks that it runs are not stopped.
"""

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
    """Drain a worker: it gets no new tasks and finishes those it runs.

    Exit status 0 if the change was accepted, 2 if the input cannot be used,
    3 if it was not accepted or the key-value service gave no answer, 4 at a
    conflict, 5 if its outcome is unknown.

    :param worker: name of the worker, as 'briarford status --workers' shows
        it.
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
    """End the drain of a worker, so that it gets new tasks again.

    Exit status 0 if the change was accepted, 2 if the input cannot be used,
    3 if it was not accepted or the key-value service gave no answer, 4 at a
    conflict, 5 if its outcome is unknown.

    :param worker: name of the worker, as 'briarford status --workers' shows
        it.
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
