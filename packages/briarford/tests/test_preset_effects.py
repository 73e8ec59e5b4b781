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
    explain,
    find_effect,
    list_effects,
    make_default_record,
    rewind,
)
from briarford.presets.configs import make_limit_config, make_placement_config

V1 = make_default_record()


def leaves(kind, path):
    for field in msgspec.structs.fields(kind):
        here = (*path, field.encode_name)
        if field.encode_name == "quotas":
            yield from leaves(Quota, (*here, "any-team"))
        elif isinstance(field.type, type) and issubclass(
            field.type, msgspec.Struct
        ):
            yield from leaves(field.type, here)
        else:
            yield here


@pytest.mark.parametrize(
    "path",
    [
        pytest.param(path, id=".".join(path))
        for path in [
            ("active",),
            ("drains", "any-worker"),
            *leaves(Preset, ("presets", "any")),
        ]
    ],
)
def test_each_field_states_its_effect_on_queued_and_running_work(path):
    effect = find_effect(path)
    assert effect.meaning
    assert effect.queued
    assert effect.running == "goes on"


def test_no_effect_stands_for_a_field_that_does_not_exist():
    fields = {("active",), ("drains", "*")}
    for path in leaves(Preset, ("presets", "*")):
        fields.add(tuple("*" if p == "any-team" else p for p in path))
    assert {e.path for e in FIELD_EFFECTS} == fields


def test_a_switch_lists_what_becomes_different():
    after = apply_edits(V1, [Edit(("active",), new="peak")])
    changes = {
        ".".join(p): (old, new) for p, old, new in list_effects(V1, after)
    }
    assert changes["limits.queue_bound"] == ("10000", "5000")
    assert "limits.guard_share" not in changes


def test_editing_a_preset_that_is_not_in_force_changes_nothing_tonight():
    path = ("presets", "peak", "limits", "queue_bound")
    assert list_effects(V1, apply_edits(V1, [Edit(path, new=9)])) == []


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
def test_rewinding_gives_each_earlier_record(version):
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


def test_each_number_of_a_preset_reaches_placement_or_limits():
    """Change each field; the configuration in force has to differ."""
    same = {("summary",)}
    before = msgspec.to_builtins(V1.in_force)
    for path in leaves(Preset, ()):
        if path in same or path[0] == "quotas":
            continue
        preset = copy.deepcopy(before)
        group, name = path
        preset[group][name] = OTHER.get(name, change_value(preset, path))
        changed = msgspec.convert(preset, Preset)
        assert configs(changed) != configs(V1.in_force), path


OTHER = {"strategy": "random", "admission": "bound"}


def change_value(preset, path):
    value = preset[path[0]][path[1]]
    if isinstance(value, str):
        return None
    if value is None:
        return 7
    if isinstance(value, bool):
        return not value
    return type(value)(value * 0.5)


def configs(preset):
    return make_placement_config(preset), make_limit_config(preset)


def test_the_table_of_effects_in_the_docs_is_whole():
    page = Path(__file__).parents[3] / "docs" / "design" / "presets.md"
    text = page.read_text(encoding="utf-8")
    rows = [line for line in text.splitlines() if line.startswith("| `")]
    assert rows == [
        f"| `{e.dotted}` | {e.meaning} | {e.queued} | {e.running} |"
        for e in FIELD_EFFECTS
    ]
