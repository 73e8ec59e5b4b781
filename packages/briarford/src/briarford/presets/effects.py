"""What the fields of a preset mean to placement and limits."""

from __future__ import annotations

from briarford.limits import LimitConfig
from briarford.placement import PlacementConfig, TeamQuota
from briarford.presets.schema import Admission, Preset, Quota

__all__ = ["limit_config", "placement_config"]

MAX_ZONE_PENALTY_MS = 12.0


def placement_config(preset: Preset) -> PlacementConfig:
    """Return the numbers of placement that a preset puts in force."""
    return PlacementConfig(
        strategy=preset.placement.strategy,
        zone_penalty_ms=preset.placement.zone_weight * MAX_ZONE_PENALTY_MS,
        quotas={t: _team_quota(q) for t, q in preset.quotas.items()},
    )


def limit_config(preset: Preset) -> LimitConfig:
    """Return the numbers of limits that a preset puts in force."""
    limits = preset.limits
    return LimitConfig(
        max_queued=limits.queue_bound,
        admission_margin=limits.admission_factor,
        refuse_unreachable=limits.admission is Admission.DEADLINE,
        retry_share=limits.retry_share,
        hedge_share=limits.hedge_share,
        guard_share=limits.guard_share,
    )


def _team_quota(quota: Quota) -> TeamQuota:
    return TeamQuota(share=quota.weight, max_running=quota.slots)
