"""Parameters of placement; a preset sets some of them."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["PlacementConfig", "TeamQuota"]


@dataclass(slots=True, frozen=True)
class TeamQuota:
    """The share of slots that a team may use.

    :param share: weight of the team when teams compete for free slots.
    :param max_running: tasks that it may run at once, over all entries; None
        for no limit.
    """

    share: float = 1.0
    max_running: int | None = None


@dataclass(slots=True, frozen=True)
class PlacementConfig:
    """How tasks are ordered and workers are chosen.

    :param strategy: registered name of the strategy.
    :param zone_penalty_ms: time added to the expected run time on a worker
        of another availability zone, so that a worker of the entry's own
        zone is preferred unless it is slower by more than this.
    :param leave_slow_slots: whether a slow slot stays empty if the job would
        end sooner by waiting for a faster one.
    :param aging_weight: seconds of remaining work by which a job moves ahead
        of later jobs for each second that it arrived before them; 0 orders
        by remaining work alone.
    :param urgent_margin: a job goes first once its deadline is closer than
        this many times its expected remaining time.
    :param recall_after_ms: time that demand of one entry stays unmet before
        an agent recalls unused credits of other entries.
    :param keep_in_hand: whether an agent keeps slots ungranted while no
        entry has demand for them, and reports their number to the entries;
        otherwise it grants all slots as credits.
    :param idle_credits: with ``keep_in_hand``, the most credits of one
        worker that an entry without queued tasks may hold.
    :param spare_untold: ungranted slots that an agent leaves out of its
        report to the entries; a higher number means fewer rejected starts.
    :param waiting_per_notice: queued tasks for each worker that is notified
        of them by a message that carries nothing else.
    :param notice_after_ms: queued tasks that are expected to start within
        this time on slots that the entry already uses are not counted for
        these notices.
    :param notice_again_ms: time for which a notified worker is not notified
        again.
    :param quotas: quotas by team.
    :param default_quota: quota of each team that is not in ``quotas``.
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
