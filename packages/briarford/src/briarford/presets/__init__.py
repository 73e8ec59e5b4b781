"""Presets: named sets of limits and weights that operators change at run time.

All of them are kept in one record under one key of the key-value service.
Operators change the record with :class:`ChangeSession`; entries and agents
adopt each newer version through :class:`PresetHolder`.
"""

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
    diff_in_force,
    find_effect,
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
    ReadOrWriteFailed,
    ReadRecord,
    SleepUntil,
    Woken,
    WriteAnswered,
    WriteRecord,
)
from briarford.presets.schema import (
    AdmissionMode,
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
    "AdmissionMode",
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
    "ReadOrWriteFailed",
    "ReadRecord",
    "Record",
    "RecordError",
    "SleepUntil",
    "Woken",
    "WriteAnswered",
    "WriteRecord",
    "apply_change",
    "apply_edits",
    "build_record",
    "decode_record",
    "diff_in_force",
    "diff_records",
    "encode_record",
    "explain",
    "find_clashes",
    "find_effect",
    "invert",
    "make_default_record",
    "read_field",
    "rewind",
    "to_document",
]
