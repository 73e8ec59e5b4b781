"""Builds the configurations of placement and limits from a preset."""

from __future__ import annotations

from briarford.limits import LimitConfig
from briarford.placement import PlacementConfig, TeamQuota
from briarford.presets.schema import AdmissionMode, Preset, Quota

__all__ = ["make_limit_config", "make_placement_config"]


def make_placement_config(preset: Preset) -> PlacementConfig:
    """Return the placement configuration of a preset."""
    placement = preset.placement
    return PlacementConfig(
        strategy=placement.strategy,
        zone_penalty_ms=placement.zone_penalty_ms,
        leave_slow_slots=placement.leave_slow_slots,
        aging_weight=placement.aging_weight,
        urgent_margin=placement.urgent_margin,
        default_quota=_team_quota(preset.default_quota),
        quotas={t: _team_quota(q) for t, q in preset.quotas.items()},
    )


def make_limit_config(preset: Preset) -> LimitConfig:
    """Return the configuration of admission, retries and health guards."""
    limits = preset.limits
    return LimitConfig(
        max_queued=limits.queue_bound,
        admission_margin=limits.admission_factor,
        refuse_unreachable=limits.admission is AdmissionMode.DEADLINE,
        retry_share=limits.retry_share,
        guard_share=limits.guard_share,
    )


def _team_quota(quota: Quota) -> TeamQuota:
    return TeamQuota(share=quota.weight, max_running=quota.slots)
