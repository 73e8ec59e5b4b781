"""Each field of a preset has a documented effect and takes effect.

The tests guard against a field that is added to the schema but left out of
the table of effects, of the documentation or of the configuration in force.
"""

from __future__ import annotations

import copy
from pathlib import Path

import msgspec
import pytest

from briarford.presets import (
    FIELD_EFFECTS,
    Drain,
    Edit,
    Preset,
    Quota,
    RecordError,
    apply_change,
    apply_edits,
    diff_in_force,
    explain,
    find_effect,
    make_default_record,
    rewind,
)
from briarford.presets.configs import make_limit_config, make_placement_config

V1 = make_default_record()


def list_fields(kind, path):
    """Yield the paths of the fields of a structure, below a path."""
    for field in msgspec.structs.fields(kind):
        here = (*path, field.encode_name)
        if field.encode_name == "quotas":
            yield from list_fields(Quota, (*here, "any-team"))
        elif isinstance(field.type, type) and issubclass(
            field.type, msgspec.Struct
        ):
            yield from list_fields(field.type, here)
        else:
            yield here


@pytest.mark.parametrize(
    "path",
    [
        pytest.param(path, id=".".join(path))
        for path in [
            ("active",),
            ("drains", "any-worker"),
            *list_fields(Preset, ("presets", "any")),
        ]
    ],
)
def test_each_field_has_an_effect_on_queued_and_running_work(path):
    effect = find_effect(path)
    assert effect.meaning
    assert effect.queued
    assert effect.running == "goes on"


def test_each_effect_is_of_a_field_that_exists():
    fields = {("active",), ("drains", "*")}
    for path in list_fields(Preset, ("presets", "*")):
        fields.add(tuple("*" if p == "any-team" else p for p in path))
    assert {e.path for e in FIELD_EFFECTS} == fields


def test_switch_lists_only_the_fields_that_differ():
    after = apply_edits(V1, [Edit(("active",), new="peak")])
    changes = {
        ".".join(p): (old, new) for p, old, new in diff_in_force(V1, after)
    }
    assert changes["limits.queue_bound"] == ("10000", "5000")
    assert "limits.guard_share" not in changes


def test_edit_of_an_inactive_preset_changes_nothing_in_force():
    path = ("presets", "peak", "limits", "queue_bound")
    assert diff_in_force(V1, apply_edits(V1, [Edit(path, new=9)])) == []


def test_explanation(snapshot):
    quotas = {"desk": Quota(16, 2.0), "closed": Quota(0)}
    preset = msgspec.structs.replace(V1.in_force, quotas=quotas)
    record = msgspec.structs.replace(
        V1,
        presets=V1.presets | {"ordinary": preset},
        drains={"worker-3": Drain("ann", "fan broken", 1_800_000_000.0)},
    )
    assert "\n".join(explain(record)) == snapshot


@pytest.mark.parametrize("version", [1, 2, 3, 4], ids=str)
def test_rewind_restores_each_earlier_version(version):
    records = {1: V1}
    record = V1
    for n, name in ((2, "peak"), (3, "maintenance"), (4, "ordinary")):
        edit = Edit(("active",), record.active, name)
        record = apply_change(
            record, (edit,), change_id=str(n), who="a", why="x", when=0.0
        )
        records[n] = record
    rewound = rewind(record, version)
    assert rewound.version == version
    assert rewound.active == records[version].active
    with pytest.raises(RecordError, match="use one from 1 to 4"):
        rewind(record, 0)


def test_each_field_of_a_preset_reaches_placement_or_limits():
    """Change each field in turn; the configuration in force must differ."""
    unused = {("summary",)}
    before = msgspec.to_builtins(V1.in_force)
    for path in list_fields(Preset, ()):
        if path in unused or path[0] == "quotas":
            continue
        preset = copy.deepcopy(before)
        group, name = path
        preset[group][name] = OTHER_CHOICES.get(
            name, change_value(preset, path)
        )
        changed = msgspec.convert(preset, Preset)
        assert make_configs(changed) != make_configs(V1.in_force), path


OTHER_CHOICES = {"strategy": "random", "admission": "bound"}


def change_value(preset, path):
    """Return another value for a number, a flag or an empty bound."""
    value = preset[path[0]][path[1]]
    if isinstance(value, str):
        return None
    if value is None:
        return 7
    if isinstance(value, bool):
        return not value
    return type(value)(value * 0.5)


def make_configs(preset):
    return make_placement_config(preset), make_limit_config(preset)


def test_table_of_effects_in_the_docs_matches_the_code():
    page = Path(__file__).parents[3] / "docs" / "design" / "presets.md"
    text = page.read_text(encoding="utf-8")
    rows = [line for line in text.splitlines() if line.startswith("| `")]
    assert rows == [
        f"| `{e.dotted}` | {e.meaning} | {e.queued} | {e.running} |"
        for e in FIELD_EFFECTS
    ]
