"""Checks of a record that a field's type and range cannot express.

They compare fields with each other, with the registered placement strategies
or with bounds on the number of items. They run when an operator's edit is
checked, not when a process decodes a stored record.
"""

from __future__ import annotations

from collections.abc import Callable

from briarford.exceptions import UnknownNameError
from briarford.placement.strategies import find_strategy
from briarford.presets.exceptions import RecordError
from briarford.presets.schema import Record

__all__ = ["check", "check_record"]

MAX_PRESETS = 12
MAX_TEAMS = 200
MAX_DRAINS = 1000

Check = Callable[[Record], None]

_checks: list[Check] = []


def check(function: Check) -> Check:
    """Register a check; it raises :class:`RecordError` if a record fails."""
    _checks.append(function)
    return function


def check_record(record: Record) -> None:
    """Run all registered checks on a record.

    :raises RecordError: by the first check that the record fails.
    """
    for function in _checks:
        function(record)


@check
def check_active(record: Record) -> None:
    """Check that ``active`` names a preset of the record."""
    if record.active in record.presets:
        return
    names = ", ".join(sorted(record.presets))
    raise RecordError("active", record.active, f"use one of {names}")


@check
def check_counts(record: Record) -> None:
    """Check the number of presets, of drained workers and of team quotas."""
    _check_count("presets", len(record.presets), MAX_PRESETS)
    _check_count("drains", len(record.drains), MAX_DRAINS)
    for name, preset in record.presets.items():
        path = f"presets.{name}.quotas"
        _check_count(path, len(preset.quotas), MAX_TEAMS)


def _check_count(path: str, count: int, highest: int) -> None:
    if count > highest:
        allowed = f"at most {highest} are allowed"
        raise RecordError(path, f"{count} entries", allowed)


@check
def check_strategies(record: Record) -> None:
    """Check that each preset names a registered placement strategy."""
    for name, preset in record.presets.items():
        strategy = preset.placement.strategy
        try:
            find_strategy(strategy)
        except UnknownNameError as exc:
            path = f"presets.{name}.placement.strategy"
            allowed = f"use one of {', '.join(sorted(exc.known))}"
            raise RecordError(path, strategy, allowed) from exc


@check
def check_history(record: Record) -> None:
    """Check that the history is consistent with the record's version.

    Its versions must rise by one and end with the version of the record, and
    no change id may occur twice.
    """
    versions = [change.version for change in record.history]
    first = record.version - len(versions) + 1
    if versions != list(range(first, record.version + 1)):
        allowed = f"versions up to {record.version} without a gap are allowed"
        raise RecordError("history", versions, allowed)
    ids = [change.change_id for change in record.history]
    if len(set(ids)) != len(ids):
        raise RecordError("history", ids, "each change id is allowed once")
