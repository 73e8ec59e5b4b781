"""Limits on connections: their settings, their page, their log lines."""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec
import pytest

from briarford.exceptions import SettingsError
from briarford.intake import IntakeLimits, Machine
from briarford_daemon.fleet.settings import load_fleet_settings
from briarford_daemon.intake import MAX_DETAILS, Intake

ROOT = Path(__file__).parents[3]
SETTINGS = """
name = "front-1"
zone = "a"
ip = "10.0.0.1"
rpc_port = 9000
store = "10.0.0.2:80"
http = "10.0.0.1:80"
"""


def load(folder, text):
    path = folder / "node.toml"
    path.write_text(SETTINGS + text)
    return load_fleet_settings(path)


def test_settings_have_the_machine_and_the_limits(tmp_path):
    cfg = load(
        tmp_path,
        "memory_mb = 300\nmax_open_files = 4100\n[intake]\nmax_fields = 50\n",
    )
    assert cfg.machine == Machine(300.0, 4100)
    assert cfg.intake == IntakeLimits(max_fields=50)


@pytest.mark.parametrize(
    "text",
    [
        "memory_mb = 0",
        "max_open_files = -1",
        "[intake]\nmemory_share = 1.5",
        "[intake]\nmax_pipelined = 0",
        "[intake]\nrequest_timeout_s = 'soon'",
    ],
)
def test_limits_out_of_range_are_rejected(tmp_path, text):
    with pytest.raises(SettingsError):
        load(tmp_path, text)


@pytest.mark.parametrize(
    "name", [f.name for f in msgspec.structs.fields(IntakeLimits)]
)
def test_each_limit_has_a_line_for_operators(name):
    page = (ROOT / "docs" / "operations" / "fleet.md").read_text()
    rows = [r for r in page.splitlines() if r.startswith("| `")]
    assert any(f"`{name}`" in row.split("|")[1] for row in rows)


def test_refusals_by_the_thousand_take_a_few_lines(caplog):
    caplog.set_level(logging.INFO)
    intake = Intake(IntakeLimits(), Machine(128.0, 3075))
    for _ in range(3000):
        intake.count("head", "the header is too large")
        intake.count("memory")
    intake.sweep(0.0)
    intake.sweep(1.0)
    assert len(caplog.records) == MAX_DETAILS + 1
    assert caplog.records[-1].reasons == {"head": 3000, "memory": 3000}
    intake.count("head", "the header is too large")
    intake.sweep(2.0)
    assert caplog.records[-1].reasons == {"head": 1}
    assert len(caplog.records) == MAX_DETAILS + 3
