"""The command that shows a whole system at work."""

from __future__ import annotations

import sys

import uvloop

from briarford_bench.demo import as_record, run_demo
from briarford_cli.output import Format, show_record

__all__ = ["demo"]

EXIT_PROMISE_BROKEN = 1


def demo(*, seed: int = 7, format: Format = Format.TABLE) -> None:
    """Run a whole system in this process for half a minute.

    Exit status 1 if an answer was partial, a task started twice, or a
    refused request ran.

    :param seed: seed of jobs, arrivals and stand-ins.
    :param format: table or json.
    """
    report = uvloop.run(run_demo(seed, _say))
    show_record(as_record(report), format)
    if not report.all_answers_correct:
        sys.exit(EXIT_PROMISE_BROKEN)


def _say(line: str) -> None:
    print(line, file=sys.stderr)
