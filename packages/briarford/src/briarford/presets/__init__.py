"""Presets: the record that operators change, and how it is changed."""

from briarford.presets.codec import (
    build_record,
    decode_record,
    encode_record,
    to_document,
)
from briarford.presets.defaults import PRESET_KEY, make_default_record
from briarford.presets.edits import (
    Clash,
    apply_change,
    apply_edits,
    diff_records,
    find_clashes,
    invert,
    read_field,
    rewind,
)
from briarford.presets.exceptions import RecordError
from briarford.presets.explain import explain
from briarford.presets.field_effects import (
    FIELD_EFFECTS,
    find_effect,
    list_effects,
)
from briarford.presets.holder import Adopted, Ignored, PresetHolder
from briarford.presets.messages import (
    Accepted,
    ChangeEffect,
    ChangeOutcome,
    Conflicted,
    NotAccepted,
    OutcomeUnknown,
    ReadAnswered,
    ReadRecord,
    SleepUntil,
    StoreFailed,
    Woken,
    WriteAnswered,
    WriteRecord,
)
from briarford.presets.schema import (
    Admission,
    Change,
    Drain,
    Edit,
    Limits,
    Placement,
    Preset,
    Quota,
    Record,
)
from briarford.presets.session import ChangeRequest, ChangeSession

__all__ = [
    "FIELD_EFFECTS",
    "PRESET_KEY",
    "Accepted",
    "Admission",
    "Adopted",
    "Change",
    "ChangeEffect",
    "ChangeOutcome",
    "ChangeRequest",
    "ChangeSession",
    "Clash",
    "Conflicted",
    "Drain",
    "Edit",
    "Ignored",
    "Limits",
    "NotAccepted",
    "OutcomeUnknown",
    "Placement",
    "Preset",
    "PresetHolder",
    "Quota",
    "ReadAnswered",
    "ReadRecord",
    "Record",
    "RecordError",
    "SleepUntil",
    "StoreFailed",
    "Woken",
    "WriteAnswered",
    "WriteRecord",
    "apply_change",
    "apply_edits",
    "build_record",
    "decode_record",
    "diff_records",
    "encode_record",
    "explain",
    "find_clashes",
    "find_effect",
    "invert",
    "list_effects",
    "make_default_record",
    "read_field",
    "rewind",
    "to_document",
]
