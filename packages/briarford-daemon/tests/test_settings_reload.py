"""Settings that are changed while a process runs."""

from __future__ import annotations

import logging

import pytest

from briarford.exceptions import SettingsError
from briarford_daemon.fleet.reload import SettingsWatch

SETTINGS = {
    "name": "front-1",
    "zone": "a",
    "ip": "10.0.0.1",
    "rpc_port": 9000,
    "store": "10.0.0.2:80",
    "http": "10.0.0.1:80",
    "log_level": "info",
    "stop_within_s": 6.0,
}


def write(path, **changes) -> None:
    lines = []
    for key, value in {**SETTINGS, **changes}.items():
        text = f'"{value}"' if isinstance(value, str) else value
        lines.append(f"{key} = {text}")
    path.write_text("\n".join(lines))


@pytest.fixture
def watch(tmp_path, caplog):
    root = logging.getLogger()
    level = root.level
    caplog.set_level(logging.INFO)
    path = tmp_path / "node.toml"
    write(path)
    yield SettingsWatch(path), path
    root.setLevel(level)


@pytest.mark.parametrize(
    ("cause", "changes", "taken", "needs_restart", "logged"),
    [
        ("signal", {}, {}, [], True),
        ("change", {}, {}, [], False),
        (
            "change",
            {"stop_within_s": 9.0},
            {"stop_within_s": 9.0},
            [],
            True,
        ),
        ("signal", {"rpc_port": 9001}, {}, ["rpc_port"], True),
        (
            "change",
            {"log_level": "error", "zone": "b"},
            {"log_level": "error"},
            ["zone"],
            True,
        ),
        ("change", {"unknown": 1}, {}, [], False),
    ],
    ids=[
        "signal without a change",
        "no change",
        "silent change",
        "socket",
        "both kinds",
        "unknown key",
    ],
)
def test_changes_are_applied_or_logged_as_needing_a_restart(
    watch, caplog, cause, changes, taken, needs_restart, logged
):
    settings, path = watch
    applied = []
    settings.subscribe(applied.append)
    write(path, **changes)
    settings.reload(cause)
    records = [r for r in caplog.records if r.message == "settings-reloaded"]
    assert bool(records) is logged
    if logged:
        assert records[0].cause == cause
        assert records[0].taken == taken
        assert records[0].needs_restart == needs_restart
    assert len(applied) == bool(taken)
    for key, value in taken.items():
        assert getattr(settings.current, key) == value
    for key in needs_restart:
        assert getattr(settings.current, key) == SETTINGS[key]
    settings.reload("change")
    after = [r for r in caplog.records if r.message == "settings-reloaded"]
    assert len(after) == len(records), "the same change was logged twice"


def test_a_changed_log_level_is_applied(watch):
    settings, path = watch
    write(path, log_level="error")
    settings.reload("signal")
    assert logging.getLogger().level == logging.ERROR


@pytest.mark.parametrize(
    "changes", [{"log_level": "loud"}, {"rpc_port": "many"}, None]
)
def test_an_unusable_file_changes_nothing_and_is_logged_once(
    watch, caplog, changes
):
    settings, path = watch
    before = settings.current
    if changes is None:
        path.write_text("no TOML")
    else:
        write(path, **changes)
    settings.reload("change")
    settings.reload("change")
    assert settings.current == before
    errors = [r for r in caplog.records if r.message == "settings-unusable"]
    assert len(errors) == 1
    write(path, stop_within_s=3.0)
    settings.reload("change")
    assert settings.current.stop_within_s == 3.0


def test_a_start_fails_without_a_usable_file(tmp_path):
    with pytest.raises(SettingsError):
        SettingsWatch(tmp_path / "none.toml")
