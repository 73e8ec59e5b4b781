"""Prints the results of commands as a table or as JSON."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

__all__ = ["Format", "show_record", "show_table"]


class Format(enum.StrEnum):
    """How a command prints its result."""

    TABLE = "table"
    JSON = "json"


def show_table(rows: Sequence[Mapping[str, Any]], fmt: Format) -> None:
    """Print a list of rows that all have the same keys."""
    if fmt is Format.JSON:
        _print_json(list(rows))
        return
    table = Table()
    for key in rows[0] if rows else ():
        table.add_column(str(key), overflow="fold")
    for row in rows:
        table.add_row(*(_format_cell(v) for v in row.values()))
    Console().print(table)


def show_record(record: Mapping[str, Any], fmt: Format) -> None:
    """Print one record; the table has a row per key."""
    if fmt is Format.JSON:
        _print_json(dict(record))
        return
    rows = [{"what": k, "value": v} for k, v in record.items()]
    show_table(rows, fmt)


def _format_cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    return str(value)


def _print_json(value: Any) -> None:
    print(msgspec.json.encode(value).decode())
