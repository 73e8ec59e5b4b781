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


def make_default_record() -> Record:
    """Make version 1: an ordinary, a peak and a maintenance preset."""
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
        default_quota=Quota(slots=64),
        placement=Placement(strategy="most-credits"),
        limits=Limits(),
    )


def _make_peak() -> Preset:
    return Preset(
        summary="Peaks: refuse early, make no second copies.",
        default_quota=Quota(slots=48),
        placement=Placement(strategy="most-credits", prefetch=1),
        limits=Limits(
            queue_bound=5_000,
            admission_factor=1.5,
            retry_share=0.02,
            hedge_share=0.0,
        ),
    )


def _make_maintenance() -> Preset:
    return Preset(
        summary="Maintenance: half of the load while workers are replaced.",
        default_quota=Quota(slots=32),
        placement=Placement(strategy="most-credits", zone_weight=0.0),
        limits=Limits(
            queue_bound=10_000,
            retry_share=0.2,
            hedge_share=0.0,
            guard_share=0.1,
        ),
    )
