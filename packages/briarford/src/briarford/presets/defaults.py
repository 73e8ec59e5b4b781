"""The record that a new installation starts with."""

from __future__ import annotations

from briarford.presets.schema import (
    FORMAT,
    Limits,
    Placement,
    Preset,
    Quota,
    Record,
)

__all__ = ["PRESET_KEY", "make_default_record"]

PRESET_KEY = "briarford/presets"
STRATEGY = "soonest-end"


def make_default_record() -> Record:
    """Make version 1 of the record, with ``ordinary`` in force.

    The two other presets, ``peak`` and ``maintenance``, are ready to switch
    to.
    """
    return Record(
        format=FORMAT,
        version=1,
        active="ordinary",
        presets={
            "ordinary": _make_ordinary(),
            "peak": _make_peak(),
            "maintenance": _make_maintenance(),
        },
    )


def _make_ordinary() -> Preset:
    return Preset(
        summary="Ordinary days: short waits, few wasted messages.",
        default_quota=Quota(slots=None),
        placement=Placement(strategy=STRATEGY),
        limits=Limits(),
    )


def _make_peak() -> Preset:
    return Preset(
        summary="Peaks: refuse early, retry little.",
        default_quota=Quota(slots=None),
        placement=Placement(strategy=STRATEGY, urgent_margin=3.0),
        limits=Limits(
            queue_bound=5_000,
            admission_factor=3.0,
            retry_share=0.02,
        ),
    )


def _make_maintenance() -> Preset:
    return Preset(
        summary="Maintenance: more retries while workers are replaced.",
        default_quota=Quota(slots=None),
        placement=Placement(strategy=STRATEGY, zone_penalty_ms=0.0),
        limits=Limits(retry_share=0.2, guard_share=0.1),
    )
