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
)
from briarford.presets.exceptions import RecordError
from briarford.presets.holder import Adopted, Ignored, PresetHolder
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

__all__ = [
    "PRESET_KEY",
    "Admission",
    "Adopted",
    "Change",
    "Clash",
    "Drain",
    "Edit",
    "Ignored",
    "Limits",
    "Placement",
    "Preset",
    "PresetHolder",
    "Quota",
    "Record",
    "RecordError",
    "apply_change",
    "apply_edits",
    "build_record",
    "decode_record",
    "diff_records",
    "encode_record",
    "find_clashes",
    "invert",
    "make_default_record",
    "read_field",
    "to_document",
]
