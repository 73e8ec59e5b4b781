"""The ``demo`` command, which runs a whole system on generated jobs."""

from __future__ import annotations

import sys

import uvloop

from briarford_bench.demo import as_record, run_demo
from briarford_cli.output import Format, show_record

__all__ = ["demo"]

EXIT_INCORRECT_ANSWER = 1


def demo(*, seed: int = 7, format: Format = Format.TABLE) -> None:
    """Run a whole system with stand-ins in this process for half a minute.

    Jobs are submitted while a preset is switched, a worker is drained and an
    entry is stopped. Exit status 1 if a job got a partial answer, a task
    started twice, or a refused request ran.

    :param seed: seed of the jobs, their arrival times and the stand-ins.
    :param format: table or json.
    """
    report = uvloop.run(run_demo(seed, _print_progress))
    show_record(as_record(report), format)
    if not report.all_answers_correct:
        sys.exit(EXIT_INCORRECT_ANSWER)


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr)
