"""Records: encoding, validation, edits, history and adoption."""

from __future__ import annotations

import copy

import msgspec
import pytest

from briarford.presets import (
    Edit,
    PresetHolder,
    Quota,
    RecordError,
    apply_change,
    apply_edits,
    build_record,
    decode_record,
    diff_records,
    encode_record,
    find_clashes,
    invert,
    make_default_record,
    to_document,
)

QUEUE_BOUND = ("presets", "peak", "limits", "queue_bound")


def change(record, change_id, *edits):
    return apply_change(
        record, edits, change_id=change_id, who="ann", why="test", when=1.0
    )


def set_at(document, path, value):
    """Set the value at a path of nested dictionaries, in place."""
    node = document
    for key in path[:-1]:
        node = node[key]
    node[path[-1]] = value
    return document


def test_record_is_the_same_after_encoding_and_as_a_document():
    record = change(make_default_record(), "c1", Edit(QUEUE_BOUND, 5000, 7))
    assert decode_record(encode_record(record)) == record
    assert build_record(to_document(record)) == record


@pytest.mark.parametrize(
    ("path", "value", "allowed"),
    [
        pytest.param(QUEUE_BOUND, 0, ">= 1", id="too-low"),
        pytest.param(QUEUE_BOUND, "many", "got str", id="wrong-type"),
        pytest.param(
            (*QUEUE_BOUND[:-1], "queue"), 5, "queue_bound", id="unknown"
        ),
        pytest.param(("colour",), "red", "presets", id="unknown-at-top"),
        pytest.param(
            ("presets", "peak", "quotas", "desk"),
            {"slots": -1},
            ">= 0",
            id="value-in-a-map",
        ),
        pytest.param(
            ("presets", "peak", "placement", "strategy"),
            "best",
            "soonest-end",
            id="unknown-strategy",
        ),
        pytest.param(("active",), "night", "ordinary", id="active-missing"),
        pytest.param(
            ("presets", "peak", "limits", "admission"),
            "maybe",
            "use one of deadline, bound",
            id="not-in-enum",
        ),
        pytest.param(
            ("presets", "peak", "limits", "retry_share"),
            1.0,
            None,
            id="share-of-1-is-allowed",
        ),
        pytest.param(
            ("presets", "ordinary", "limits", "retry_share"),
            1.01,
            "<= 1.0",
            id="share-of-more-than-1",
        ),
    ],
)
def test_errors_name_the_path_the_value_and_what_is_allowed(
    path, value, allowed
):
    document = set_at(to_document(make_default_record()), path, value)
    if allowed is None:
        build_record(document)
        return
    with pytest.raises(RecordError) as caught:
        build_record(document)
    assert caught.value.path.startswith(".".join(path))
    assert allowed in caught.value.message
    shown_value = value["slots"] if isinstance(value, dict) else value
    assert repr(shown_value) in caught.value.message


@pytest.mark.parametrize(
    ("path", "shown_name"),
    [
        pytest.param(("presets", "peak", "limits"), "peak", id="group"),
        pytest.param(("active",), "active", id="field"),
    ],
)
def test_error_names_a_missing_field(path, shown_name):
    document = to_document(make_default_record())
    node = document
    for key in path[:-1]:
        node = node[key]
    del node[path[-1]]
    with pytest.raises(RecordError, match=shown_name):
        build_record(document)


def test_decoding_ignores_fields_of_a_newer_writer():
    document = to_document(make_default_record())
    document["presets"]["peak"]["limits"]["new_limit"] = 5
    encoded = msgspec.json.encode(document)
    assert decode_record(encoded) == make_default_record()


def test_record_of_a_newer_format_is_not_edited():
    newer = msgspec.structs.replace(make_default_record(), format=2)
    with pytest.raises(RecordError, match="use a newer one"):
        change(newer, "c1", Edit(QUEUE_BOUND, 5000, 7))


def test_record_that_is_too_large_is_rejected():
    quotas = {f"team-{n}": Quota(1) for n in range(200)}
    record = make_default_record()
    peak = msgspec.structs.replace(record.presets["peak"], quotas=quotas)
    presets = {f"p{n}": peak for n in range(12)} | record.presets
    record = msgspec.structs.replace(record, presets=presets)
    with pytest.raises(RecordError, match="65536"):
        encode_record(record)
    with pytest.raises(RecordError, match="at most 12"):
        build_record(to_document(record))


def test_history_is_trimmed_but_keeps_the_last_change():
    record = make_default_record()
    why = "x" * 300
    for n in range(60):
        record = apply_change(
            record,
            (Edit(QUEUE_BOUND, None, n + 1),),
            change_id=f"c{n}",
            who="ann",
            why=why,
            when=1.0,
        )
    assert record.version == 61
    assert record.history[-1].version == 61
    assert len(record.history) == 20


def test_a_repeated_change_id_has_no_effect():
    once = change(make_default_record(), "c1", Edit(QUEUE_BOUND, 5000, 7))
    assert change(once, "c1", Edit(QUEUE_BOUND, 7, 8)) == once


def test_edits_of_a_diff_can_be_applied_and_undone():
    before = make_default_record()
    document = copy.deepcopy(to_document(before))
    document["active"] = "night"
    document["presets"]["night"] = document["presets"].pop("peak")
    document["presets"]["ordinary"]["quotas"]["desk"] = {
        "slots": 3,
        "weight": 2.0,
    }
    after = build_record(document)
    edits = diff_records(before, after)
    assert apply_edits(before, edits) == after
    assert apply_edits(after, invert(edits)) == before


@pytest.mark.parametrize(
    ("mine", "theirs", "clash"),
    [
        pytest.param(QUEUE_BOUND, QUEUE_BOUND, True, id="same-field"),
        pytest.param(
            QUEUE_BOUND, QUEUE_BOUND[:2], True, id="group-holds-field"
        ),
        pytest.param(QUEUE_BOUND[:2], QUEUE_BOUND, True, id="field-in-group"),
        pytest.param(QUEUE_BOUND, ("active",), False, id="other-field"),
    ],
)
def test_edits_clash_on_the_same_field_or_its_group(mine, theirs, clash):
    found = find_clashes([Edit(mine)], [Edit(theirs)])
    assert bool(found) is clash


@pytest.mark.parametrize(
    ("received", "reason", "version"),
    [
        pytest.param([1, 3], None, 3, id="newer"),
        pytest.param([3, 1], "older", 3, id="older"),
        pytest.param([3, 3], "same", 3, id="same"),
        pytest.param([3, b"{}"], "unreadable", 3, id="unreadable"),
        pytest.param([3, "other"], "differs", 3, id="same-version-differs"),
        pytest.param(
            [b"no json"], "unreadable", 0, id="unreadable-first-record"
        ),
    ],
)
def test_holder_adopts_only_a_higher_version(received, reason, version):
    record = make_default_record()
    encoded = {1: encode_record(record)}
    for n in (2, 3):
        record = change(record, f"c{n}", Edit(QUEUE_BOUND, None, n))
        encoded[n] = encode_record(record)
    other = change(make_default_record(), "x", Edit(QUEUE_BOUND, None, 9))
    other = change(other, "y", Edit(QUEUE_BOUND, None, 10))
    encoded["other"] = encode_record(other)
    holder = PresetHolder()
    for item in received:
        last = holder.adopt_if_newer(encoded.get(item, item), 5.0)
    assert getattr(last, "reason", None) == reason
    assert holder.version == version
