"""Preset and drain commands against a stand-in of the key-value service.

Guards against a change that is made twice or overwrites the change of another
operator, and against an exit status that does not match the outcome.
"""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest

from briarford.exceptions import BriarfordError
from briarford.presets import PRESET_KEY, decode_record
from briarford_bench.kv_server import KvServer
from briarford_cli.drain_commands import drain, undrain
from briarford_cli.preset_commands import preset_app
from briarford_cli.preset_store import ChangeOptions

QUEUE = "presets.peak.limits.queue_bound"


class CommandRunner:
    """Runs commands in this process against a stand-in of the store."""

    def __init__(self, server, capsys):
        self.server = server
        self.capsys = capsys

    def record(self):
        return decode_record(self.server.core.get(PRESET_KEY, 0.0).value)

    async def preset(self, *args):
        args = [*args, "--store", self.server.address]
        if args[0] in ("set", "switch", "undo", "edit"):
            args += ["--why", "test", "--who", "ann"]
        return await self.run(
            lambda: preset_app(args, result_action=return_result)
        )

    async def run(self, command):
        def call():
            try:
                command()
            except SystemExit as exc:
                return exc.code
            except BriarfordError as exc:
                print(exc.message)
                return exc.exit_status
            return 0

        status = await asyncio.to_thread(call)
        return status, self.capsys.readouterr().out


def return_result(result):
    return result


@contextlib.asynccontextmanager
async def start_runner(capsys):
    server = KvServer()
    await server.start()
    runner = CommandRunner(server, capsys)
    await runner.preset("init")
    try:
        yield runner
    finally:
        await server.stop()


@pytest.mark.parametrize(
    ("args", "status", "shown"),
    [
        pytest.param(["list"], 0, "ordinary", id="list"),
        pytest.param(["show", "peak"], 0, "queue_bound", id="show"),
        pytest.param(["show", "night"], 2, "use one of", id="show-unknown"),
        pytest.param(["explain"], 0, "is in force", id="explain"),
        pytest.param(["diff", "ordinary", "peak"], 0, "10000", id="diff"),
        pytest.param(["history"], 0, "", id="empty-history"),
        pytest.param(["init"], 0, "already", id="init-twice"),
        pytest.param(["switch", "peak"], 0, "accepted", id="switch"),
        pytest.param(
            ["switch", "ordinary"], 0, "nothing", id="switch-to-active"
        ),
        pytest.param(
            ["switch", "night"], 2, "use one of", id="switch-unknown"
        ),
        pytest.param(
            ["switch", "peak", "--dry-run"], 0, "Dry run", id="dry-run"
        ),
        pytest.param(["set", f"{QUEUE}=0"], 2, QUEUE, id="set-too-low"),
        pytest.param(["set", QUEUE], 2, "path=value", id="set-no-value"),
        pytest.param(
            ["set", "version=7"], 2, "edit a field under", id="set-version"
        ),
        pytest.param(["undo"], 2, "no change", id="nothing-to-undo"),
        pytest.param(["edit", "/nowhere"], 2, "cannot read", id="no-file"),
    ],
)
async def test_commands_on_a_new_record(args, status, shown, capsys):
    async with start_runner(capsys) as runner:
        got, out = await runner.preset(*args)
        assert (got, shown in out) == (status, True), out
        changed = args == ["switch", "peak"]
        assert runner.record().version == 1 + changed


async def test_conflict_shows_both_edits_and_can_be_reapplied(capsys):
    async with start_runner(capsys) as runner:
        await runner.preset("switch", "peak")
        old = ["set", f"{QUEUE}=7", "--expect-version", "1"]
        status, out = await runner.preset(*old, "--format", "json")
        rows = json.loads(out)
        assert status == 4
        assert [r["whose"] for r in rows] == ["yours", "theirs"]
        assert (await runner.preset(*old, "--reapply"))[0] == 0
        assert runner.record().presets["peak"].limits.queue_bound == 7
        assert (await runner.preset(*old, "--reapply"))[0] == 4


async def test_edited_file_conflicts_with_a_change_made_since(
    capsys, tmp_path
):
    async with start_runner(capsys) as runner:
        _, shown = await runner.preset("show", "--format", "json")
        document = json.loads(shown)
        document["presets"]["peak"]["limits"]["queue_bound"] = 7
        path = tmp_path / "record.json"
        path.write_text(json.dumps(document))
        await runner.preset("switch", "peak")
        assert (await runner.preset("edit", str(path)))[0] == 4
        assert (await runner.preset("edit", str(path), "--reapply"))[0] == 0
        record = runner.record()
        assert record.active == "peak"
        assert record.presets["peak"].limits.queue_bound == 7


async def test_undo_is_refused_if_a_later_change_edited_the_field(capsys):
    async with start_runner(capsys) as runner:
        await runner.preset("set", f"{QUEUE}=7", "--change-id", "first")
        await runner.preset("set", f"{QUEUE}=8")
        assert (await runner.preset("undo", "first"))[0] == 4
        assert (await runner.preset("undo"))[0] == 0
        assert runner.record().presets["peak"].limits.queue_bound == 7


@pytest.mark.parametrize(
    ("faults", "status", "shown"),
    [
        pytest.param({"lost_answers": 1}, 0, "accepted", id="answer-lost"),
        pytest.param({"lost_answers": 99}, 0, "accepted", id="all-lost"),
        pytest.param({"down": True}, 3, "503", id="down"),
        pytest.param({"stale_reads": True}, 0, "accepted", id="stale"),
    ],
)
async def test_switch_is_made_once_under_faults_of_the_store(
    faults, status, shown, capsys
):
    async with start_runner(capsys) as runner:
        runner.server.set_faults(**faults)
        args = ["switch", "peak", "--change-id", "c1"]
        got, out = await runner.preset(*args)
        assert (got, shown in out) == (status, True), out
        runner.server.set_faults()
        assert (await runner.preset(*args))[0] == 0
        assert [c.change_id for c in runner.record().history] == ["c1"]


async def test_repeated_drain_keeps_the_first_reason_until_undrain(capsys):
    async with start_runner(capsys) as runner:
        options = ChangeOptions(store=runner.server.address, why="fan broken")
        await runner.run(lambda: drain("worker-3", options=options))
        repeated = ChangeOptions(store=runner.server.address, why="again")
        await runner.run(lambda: drain("worker-3", options=repeated))
        assert runner.record().drains["worker-3"].why == "fan broken"
        options = ChangeOptions(store=runner.server.address, why="mended")
        await runner.run(lambda: undrain("worker-3", options=options))
        assert runner.record().drains == {}
