"""The timeline of a job from the logs of several processes.

Logs may arrive in any order and be incomplete: a process was killed, its log
is missing or it left lines out. Guards against a timeline that lacks events
of the job without naming the gap.
"""

from __future__ import annotations

import json

import pytest

from briarford_cli.main import app
from briarford_cli.timeline import build_timeline, read_lines

JOB = "5c0e"
TASK = f"{JOB}.0.0.0"


def make_line(at: float, process: str, event: str, **fields) -> str:
    frame = {"time": at, "level": "INFO", "name": "briarford.decision"}
    return json.dumps(
        {**frame, "message": event, "process": process, **fields}
    )


ACCEPTED = make_line(10.0, "e1", "accepted", job=JOB, tasks=1)
PLACED = make_line(10.1, "e1", "placed", task=TASK, run=7, agent="a1")
RUN_LOST = make_line(10.6, "a1", "run-ended", task=TASK, run=7, how="lost")
RUN_DONE = make_line(10.6, "a1", "run-ended", task=TASK, run=7, how="done")
ENDED = make_line(10.7, "e1", "job-ended", job=JOB, outcome="completed")
REFUSED = make_line(10.0, "e1", "refused", job=JOB, reason="workers-lost")
WORKER_LEAVING = make_line(10.3, "a1", "worker-leaving", left_ms=2000)
RUN_MOVED = make_line(10.4, "a1", "run-moved", task=TASK, run=7)
WORKER_SILENT = make_line(10.4, "a1", "worker-silent", runs=3)
SILENT_AT_OTHER_AGENT = make_line(10.4, "a2", "worker-silent", runs=3)
SILENT_AFTER_JOB = make_line(20.0, "a1", "worker-silent", runs=3)
OTHER_JOB = make_line(10.2, "e1", "accepted", job="5c0f", tasks=1)


@pytest.mark.parametrize(
    ("lines", "outcome", "events", "gaps"),
    [
        pytest.param(
            [RUN_DONE, ACCEPTED, PLACED, OTHER_JOB, ENDED],
            "completed",
            "accepted placed run-ended job-ended",
            [],
            id="complete, with the log of the agent first",
        ),
        pytest.param([REFUSED], "refused", "refused", [], id="refused"),
        pytest.param(
            [ACCEPTED, PLACED, WORKER_SILENT, RUN_LOST, ENDED],
            "completed",
            "accepted placed worker-silent run-ended job-ended",
            [],
            id="with an event of its worker",
        ),
        pytest.param(
            [ACCEPTED, PLACED, WORKER_LEAVING, RUN_MOVED, RUN_LOST, ENDED],
            "completed",
            "accepted placed worker-leaving run-moved run-ended job-ended",
            [],
            id="moved, as its worker was to leave",
        ),
        pytest.param(
            [
                ACCEPTED,
                PLACED,
                SILENT_AT_OTHER_AGENT,
                RUN_DONE,
                ENDED,
                SILENT_AFTER_JOB,
            ],
            "completed",
            "accepted placed run-ended job-ended",
            [],
            id="without events of other agents or after the job",
        ),
        pytest.param(
            [ACCEPTED, PLACED, ENDED],
            "completed",
            "accepted placed job-ended",
            ["has no end: the log of 'a1'"],
            id="agent's log missing",
        ),
        pytest.param(
            [RUN_DONE],
            "",
            "run-ended",
            ["no 'accepted'", "no 'job-ended'", "was ordered by"],
            id="entry's log missing",
        ),
        pytest.param(
            [ACCEPTED, PLACED, RUN_DONE],
            "",
            "accepted placed run-ended",
            ["no 'job-ended'"],
            id="entry killed",
        ),
        pytest.param([OTHER_JOB], "", "", ["no line names"], id="unknown"),
        pytest.param(
            [
                ACCEPTED,
                make_line(10.05, "e1", "link-lost", suppressed=12),
                PLACED,
                RUN_DONE,
                ENDED,
            ],
            "completed",
            "accepted placed run-ended job-ended",
            ["'e1' left out 12 lines"],
            id="suppressed lines",
        ),
        pytest.param(
            [
                ACCEPTED,
                PLACED,
                RUN_DONE,
                ENDED,
                make_line(7.0, "e1", "accepted", job="5c0f"),
            ],
            "completed",
            "accepted placed run-ended job-ended",
            ["the clock of 'e1' went back by 3.7 s"],
            id="clock set back",
        ),
    ],
)
def test_timeline_has_the_events_and_gaps(lines, outcome, events, gaps):
    timeline = build_timeline(JOB, read_lines(lines))
    assert timeline.outcome == outcome
    assert " ".join(line.event for line in timeline.events) == events
    assert len(timeline.gaps) == len(gaps)
    assert all(
        part in gap for part, gap in zip(gaps, timeline.gaps, strict=True)
    )


@pytest.mark.parametrize(
    "text",
    ["", "no JSON", "{broken", '{"time": 1}', '{"time": "x"}', "[1]"],
)
def test_lines_of_other_programs_are_left_out(text):
    assert read_lines([text]) == []


def test_prefix_of_a_log_collector_is_skipped():
    (found,) = read_lines([f"12.3 front-1 | {ACCEPTED}"])
    assert found.event == "accepted"


@pytest.mark.parametrize(
    ("job", "status"), [(JOB, 0), ("other", 1)], ids=["found", "not found"]
)
def test_command_prints_json_and_exits_1_if_no_line_names_the_job(
    job, status, tmp_path, capsys
):
    paths = [tmp_path / "entry.log", tmp_path / "agent.log"]
    paths[0].write_text(f"{ACCEPTED}\n{PLACED}\n{ENDED}\n")
    paths[1].write_text(f"{RUN_DONE}\n")
    logs = [arg for path in paths for arg in ("--logs", str(path))]
    with pytest.raises(SystemExit) as caught:
        app(["explain", job, *logs, "--format", "json"])
    assert (caught.value.code or 0) == status
    printed = json.loads(capsys.readouterr().out)
    assert printed["job"] == job
    assert [e["event"] for e in printed["events"]] == (
        ["accepted", "placed", "run-ended", "job-ended"] if not status else []
    )


def test_command_prints_a_table(tmp_path, capsys):
    path = tmp_path / "all.log"
    path.write_text("\n".join([ACCEPTED, PLACED, ENDED]))
    with pytest.raises(SystemExit):
        app(["explain", JOB, "--logs", str(path)])
    out = capsys.readouterr().out
    assert f"job {JOB}: completed" in out
    assert "gap: run 7" in out


def test_unreadable_log_file_is_an_error(tmp_path):
    with pytest.raises(Exception, match="cannot read"):
        app(["explain", JOB, "--logs", str(tmp_path / "none")])


def make_run(begin: float, end: float, agent: str, entry: str) -> str:
    fields = {"task": TASK, "run": round(begin * 1000), "entry": entry}
    ran_ms = round((end - begin) * 1000)
    return make_line(end, agent, "run-ended", ran_ms=ran_ms, **fields)


@pytest.mark.parametrize(
    ("runs", "conflicts"),
    [
        ([(10.0, 11.0, "a1", "e1"), (11.0, 12.0, "a2", "e2")], []),
        (
            [(12.0, 14.0, "a2", "e2"), (10.0, 13.0, "a1", "e1")],
            ["ran at 'a1' for 'e1' and at 'a2' for 'e2' at once, for 1.00 s"],
        ),
    ],
    ids=["one after the other", "at once"],
)
def test_runs_of_a_task_at_once_are_conflicts(runs, conflicts):
    lines = [ACCEPTED, *(make_run(*run) for run in runs), ENDED]
    found = build_timeline(JOB, read_lines(lines)).conflicts
    assert len(found) == len(conflicts)
    assert all(c in f for c, f in zip(conflicts, found, strict=True))
