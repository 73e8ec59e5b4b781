"""The command that explains one job from logs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from briarford_cli.exceptions import InputError
from briarford_cli.output import Format, show_record, show_table
from briarford_cli.story import LogLine, Story, read_lines, tell_story

__all__ = ["explain"]

EXIT_NOT_FOUND = 1
MS_PER_S = 1000


def explain(
    job: str, *, logs: list[Path], format: Format = Format.TABLE
) -> None:
    """Print the story of one job in order, from the logs of processes.

    Exit status 0 if a line names the job, 1 if none does, 2 if a file cannot
    be read.

    :param job: its id, the last part of the path of the request.
    :param logs: a file with log lines; may be given several times.
    :param format: table or json.
    """
    lines = [line for path in logs for line in _read(path)]
    story = tell_story(job, lines)
    if format is Format.JSON:
        show_record(_record(story), format)
    else:
        _print(story)
    if not story.events:
        sys.exit(EXIT_NOT_FOUND)


def _read(path: Path) -> list[LogLine]:
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as exc:
        raise InputError(f"cannot read '{path}': {exc.strerror}") from exc
    return read_lines(text.splitlines())


def _print(story: Story) -> None:
    print(f"job {story.job}: {story.outcome or 'outcome unknown'}")
    if story.events:
        show_table(_rows(story), Format.TABLE)
    for gap in story.gaps:
        print(f"gap: {gap}")


def _rows(story: Story) -> list[dict[str, Any]]:
    began = story.events[0].at
    return [
        {
            "ms": round((line.at - began) * MS_PER_S),
            "process": line.process,
            "event": line.event,
            "details": _details(line),
        }
        for line in story.events
    ]


def _details(line: LogLine) -> str:
    return " ".join(f"{k}={v}" for k, v in line.fields.items() if k != "job")


def _record(story: Story) -> dict[str, Any]:
    return {
        "job": story.job,
        "outcome": story.outcome,
        "events": [
            {
                "time": line.at,
                "process": line.process,
                "event": line.event,
                **line.fields,
            }
            for line in story.events
        ],
        "gaps": story.gaps,
    }
