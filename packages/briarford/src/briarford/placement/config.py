"""The numbers of placement that a preset can set."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["PlacementConfig", "TeamQuota"]


@dataclass(slots=True, frozen=True)
class TeamQuota:
    """What a team may use of the fleet.

    :param share: weight of the team when the queue is shared out.
    :param max_running: tasks that it may run at once over all entries; None
        for no limit.
    """

    share: float = 1.0
    max_running: int | None = None


@dataclass(slots=True, frozen=True)
class PlacementConfig:
    """How tasks are ordered and workers are chosen.

    :param strategy: registered name of the strategy.
    :param zone_penalty_ms: how much slower a worker of another availability
        zone may look than it is before its own zone's worker is preferred.
    :param leave_slow_slots: whether a slow slot stays empty when waiting for
        a fast one ends the job sooner.
    :param aging_weight: how fast a waiting job gains on shorter ones; 0
        orders by remaining work alone.
    :param urgent_margin: a job goes first once its deadline is closer than
        this many times its remaining time.
    :param recall_after_ms: how long demand waits before an agent recalls
        idle credits of other entries.
    :param keep_in_hand: whether an agent keeps slots that no entry asks for,
        and tells entries of them; else it grants them all.
    :param idle_credits: with ``keep_in_hand``, credits of one worker that
        an entry without waiting tasks may hold.
    :param spare_untold: slots that an agent keeps in hand without telling
        entries of them; a higher number means fewer rejected starts.
    :param waiting_per_notice: tasks that must wait per worker that is told
        of them by a message of its own.
    :param notice_after_ms: waiting tasks that will get a slot of the entry's
        own in this time are not counted for that.
    :param notice_again_ms: how long such a worker is not told again.
    :param quotas: by team.
    :param default_quota: of a team that is not listed.
    """

    strategy: str = "soonest-end"
    zone_penalty_ms: float = 3.0
    leave_slow_slots: bool = True
    aging_weight: float = 0.03
    urgent_margin: float = 2.0
    recall_after_ms: float = 5.0
    keep_in_hand: bool = False
    idle_credits: int = 3
    spare_untold: int = 1
    waiting_per_notice: int = 2
    notice_after_ms: float = 600.0
    notice_again_ms: float = 250.0
    quotas: dict[str, TeamQuota] = field(default_factory=dict)
    default_quota: TeamQuota = TeamQuota()
