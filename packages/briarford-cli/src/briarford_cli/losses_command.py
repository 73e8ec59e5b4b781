"""The ``losses`` command: which requests were lost, and why, from logs."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from briarford_cli.exceptions import InputError
from briarford_cli.losses import Ending, Loss, LossReport, find_losses
from briarford_cli.output import Format, show_record, show_table
from briarford_cli.timeline import read_log

__all__ = ["Grouping", "losses"]


class Grouping(enum.StrEnum):
    """By what the lost requests are summed up."""

    CAUSE = "cause"
    MOMENT = "moment"
    ROUTE = "route"
    ZONE = "zone"
    ENTRY = "entry"


_KEYS: dict[Grouping, Callable[[Loss], str]] = {
    Grouping.CAUSE: lambda loss: loss.cause,
    Grouping.ROUTE: lambda loss: loss.route,
    Grouping.ZONE: lambda loss: loss.zone or "unknown",
    Grouping.ENTRY: lambda loss: loss.entry,
}


def losses(
    *logs: Path,
    by: Grouping = Grouping.CAUSE,
    window_s: float = 2.0,
    list_requests: bool = False,
    format: Format = Format.TABLE,
) -> None:
    """Print why requests were refused, late, failed, abandoned or cut.

    The causes are taken from the log lines that name each request. Exit
    status 0, 2 if a file cannot be read.

    :param logs: log files of entries and agents.
    :param by: cause, moment, route, zone or entry.
    :param window_s: length of a moment in seconds.
    :param list_requests: print each lost request in place of sums.
    :param format: table or json; json has both the sums by cause and the
        requests.
    """
    if window_s <= 0:
        raise InputError(f"--window-s must be above 0, not {window_s:g}")
    report = find_losses([line for path in logs for line in read_log(path)])
    if format is Format.JSON:
        show_record(
            {
                "requests": report.requests,
                "lost": len(report.losses),
                "sums": _sum_up(report, by, window_s),
                "losses": [_make_row(loss, report) for loss in report.losses],
            },
            format,
        )
        return
    print(f"{len(report.losses)} of {report.requests} requests were lost")
    rows = (
        [_make_row(loss, report) for loss in report.losses]
        if list_requests
        else _sum_up(report, by, window_s)
    )
    if rows:
        show_table(rows, format)


def _sum_up(
    report: LossReport, by: Grouping, window_s: float
) -> list[dict[str, Any]]:
    """Return a row for each group, the largest one first.

    Moments are in the order of time.
    """
    if by is Grouping.MOMENT:
        first_at = report.losses[0].at if report.losses else 0.0
        groups = [
            f"{(loss.at - first_at) // window_s * window_s:g} s"
            for loss in report.losses
        ]
    else:
        groups = [_KEYS[by](loss) for loss in report.losses]
    totals = Counter(groups)
    counts = Counter(
        (group, loss.ending)
        for group, loss in zip(groups, report.losses, strict=True)
    )
    ordered = list(totals)
    if by is not Grouping.MOMENT:
        ordered.sort(key=lambda group: -totals[group])
    return [
        {
            by.value: group,
            "lost": totals[group],
            **{ending.value: counts[group, ending] for ending in Ending},
        }
        for group in ordered
    ]


def _make_row(loss: Loss, report: LossReport) -> dict[str, Any]:
    return {
        "s": round(loss.at - report.losses[0].at, 3),
        "job": loss.job,
        "route": loss.route,
        "entry": loss.entry,
        "zone": loss.zone,
        "ending": loss.ending.value,
        "cause": loss.cause,
        "detail": loss.detail,
    }
