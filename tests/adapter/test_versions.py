"""The build of today beside the one in service.

The deploy file names the commit in service. Its sources are taken from the
history of the repository, and run or decode what today's code sends, and the
other way round.
"""

from __future__ import annotations

import asyncio
import base64
import io
import json
import os
import signal
import subprocess
import sys
import tarfile
import tomllib

import msgspec
import pytest

from briarford.capabilities import BUILD, count_builds
from briarford.messages import decode, encode
from briarford.runs import (
    AgentBatch,
    Attach,
    EntryBatch,
    LossState,
    RunEnd,
    RunEnded,
    StopRun,
    WorkerLoss,
)
from briarford.runs.batches import decode_batch
from briarford_daemon.fleet.registry import AgentRecord
from fleet.record_messages import FOLDER, RECORD, plain, record
from test_processes import ROOT, TIMEOUT_S, Fleet, report_worker

PRODUCTION = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())[
    "production"
]
RECORDED = json.loads((FOLDER / f"messages-{PRODUCTION[:7]}.json").read_text())
PACKAGES = (
    "packages/briarford/src",
    "packages/briarford-daemon/src",
    "platform/src",
)
# Run by the build in service: decodes what today's build sends.
READ_BY_OLDER = """
import base64, json, sys
import msgspec
from briarford.messages import decode, decode_json
from briarford.runs import AgentBatch, EntryBatch
from briarford_daemon.fleet.registry import AgentRecord
sent = json.load(sys.stdin)
found = {}
for name, kind in (("entry", EntryBatch), ("agent", AgentBatch)):
    batch = decode(base64.b64decode(sent[name]), kind)
    found[name + "_fields"] = [
        {"kind": type(m).__name__, **msgspec.structs.asdict(m)}
        for m in batch.messages
    ]
record = decode_json(sent["record"].encode(), AgentRecord)
found["record"] = record.address
sys.stdout.buffer.write(msgspec.json.encode(found))
"""


@pytest.fixture(scope="module")
def production(tmp_path_factory) -> str:
    """Unpack the sources in service, and return them as PYTHONPATH."""
    folder = tmp_path_factory.mktemp("production")
    command = ["git", "archive", PRODUCTION, "packages", "platform"]
    found = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
    if found.returncode:
        pytest.fail(
            f"the commit in service, {PRODUCTION}, is not in this clone; "
            "fetch the whole history",
            pytrace=False,
        )
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return os.pathsep.join(str(folder / p) for p in PACKAGES)


def run_older(production: str, code: str, data: object) -> object:
    """Run code with the sources in service; it reads and writes JSON."""
    done = subprocess.run(
        [sys.executable, "-c", code],
        input=json.dumps(data).encode(),
        env={**os.environ, "PYTHONPATH": production},
        capture_output=True,
        check=True,
    )
    return json.loads(done.stdout)


def without(newer: list[dict], older: list[dict]) -> list[dict]:
    """Return the newer messages without the fields that the older lack."""
    return [
        {k: v for k, v in new.items() if k in old}
        for new, old in zip(newer, older, strict=True)
    ]


def test_what_the_build_in_service_sends_is_read():
    """Guards against fields that are moved, and values that are renamed."""
    for name, kind in (("entry", EntryBatch), ("agent", AgentBatch)):
        batch, unknown = decode_batch(base64.b64decode(RECORDED[name]), kind)
        assert not unknown
        expected = RECORDED[f"{name}_fields"]
        assert without(plain(list(batch.messages)), expected) == expected
    found = msgspec.json.decode(RECORDED["record"], type=AgentRecord)
    assert found == RECORD


def test_what_this_build_sends_is_read_by_the_one_in_service(production):
    sent = record()
    found = run_older(production, READ_BY_OLDER, sent)
    assert found["record"] == RECORD.address
    for name in ("entry_fields", "agent_fields"):
        assert found[name] == without(sent[name], found[name])


def test_the_recorded_messages_are_those_of_the_build_in_service(production):
    code = (
        f"import sys; sys.path.insert(1, {str(FOLDER.parents[1])!r})\n"
        "import json; from fleet.record_messages import record\n"
        "print(json.dumps(record()))"
    )
    assert run_older(production, code, None) == RECORDED


@pytest.mark.parametrize(
    ("kind", "message"),
    [(EntryBatch, StopRun(7)), (AgentBatch, RunEnded(1, 7, RunEnd.DONE, 0.1))],
    ids=["agent", "entry"],
)
def test_an_unknown_kind_of_message_costs_no_other(kind, message):
    """Guards against sessions that end with the first newer message."""
    raw = msgspec.msgpack.encode(message)
    newer = msgspec.msgpack.encode(["hint", 1, {"a": 2}])
    parts = [msgspec.Raw(raw), msgspec.Raw(newer), msgspec.Raw(raw)]
    data = msgspec.msgpack.encode([parts])
    batch, unknown = decode_batch(data, kind)
    assert batch.messages == (message, message)
    assert list(unknown) == ["hint"]


@pytest.mark.parametrize(
    "messages",
    [[["stop", "x"]], [["hint"], ["stop", "x"]], [[]], [7], [["hint"], 7]],
    ids=str,
)
def test_a_damaged_message_of_a_known_kind_is_not_skipped(messages):
    data = msgspec.msgpack.encode([messages])
    with pytest.raises(msgspec.DecodeError):
        decode_batch(data, EntryBatch)


@pytest.mark.parametrize(
    ("message", "newer", "expected"),
    [
        (RunEnded(1, 7, RunEnd.DONE, 0.1), "paused", RunEnd.LOST),
        (WorkerLoss("w/1", LossState.CRASHED, ()), "asleep", LossState.SILENT),
    ],
)
def test_an_unknown_value_is_taken_for_the_weakest_one(
    message, newer, expected
):
    """Guards against runs of which the end is never known."""
    fields = msgspec.msgpack.decode(encode(message))
    old = next(f for f in fields if f in ("done", "crashed"))
    fields[fields.index(old)] = newer
    found = decode(msgspec.msgpack.encode(fields), type(message))
    values = msgspec.structs.asdict(found).values()
    assert any(value is expected for value in values)


def test_builds_are_told_when_a_session_opens():
    """An older build ignores the trailing fields, and sends none."""
    newer = Attach("e", "i", 1, 2.0, 3, "9.9", ("skips-unknown", "new"))
    assert decode(encode(newer), Attach) == newer
    older = msgspec.msgpack.encode(["attach", "e", "i", 1, 2.0, 3])
    assert decode(older, Attach).capabilities == ()


@pytest.mark.parametrize(
    ("peers", "gauges"),
    [
        ([], {}),
        (["", "0.2.0"], {"peers-build-unknown": 1, "peers-build-0.2.0": 1}),
        (["9.9", "9.9"], {"peers-build-9.9": 2}),
    ],
)
def test_metrics_show_the_builds_of_peers(peers, gauges):
    assert count_builds(peers) == {f"build-{BUILD}": 1.0, **gauges}


@pytest.mark.parametrize(
    "order", [("agent", "entry"), ("entry", "agent")], ids="-".join
)
async def test_processes_are_upgraded_and_rolled_back_one_by_one(
    production, tmp_path, order
):
    """Guards against two builds that do not serve a job together."""
    fleet = Fleet(tmp_path)
    fleet.builds = dict.fromkeys(order, production)
    await fleet.start()
    done = (200, b'{"state":"completed"}')
    try:
        await fleet.eventually(lambda: report_worker(fleet), True)
        steps = [(r, None) for r in order] + [(r, production) for r in order]
        for n, (role, build) in enumerate([(None, None), *steps]):
            if role is not None:
                fleet.processes[role].send_signal(signal.SIGTERM)
                async with asyncio.timeout(TIMEOUT_S):
                    await fleet.processes[role].wait()
                fleet.builds.pop(role, None)
                if build is not None:
                    fleet.builds[role] = build
                await fleet.launch(role)
            job = f"00000000000000b{n}"
            await fleet.eventually(lambda: report_worker(fleet), True)
            await fleet.eventually(lambda job=job: fleet.submit(job), done)
    finally:
        await fleet.stop()
    starts = [h.task for h in fleet.worker.core.history if h.how == "done"]
    assert len(starts) == len(set(starts)) == 15
