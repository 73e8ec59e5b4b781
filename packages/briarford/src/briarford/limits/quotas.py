"""Divides a team's quota over entries by the demand that they report.

Each entry works the same division out of the same reports. A part that
shrinks does so at once; a part that grows does so only when the report
behind it has had time to reach every entry, and an entry's former reports
count as long as others may go by them. So the parts never add up to
more than the quota while reports arrive within that time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["QuotaDivider", "divide"]

MAX_REPORT_DELAY_S = 0.5


def divide(quota: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Divide a quota by demand; each entry counts as one task at least.

    :param quota: tasks that may run at once.
    :param demands: running and waiting tasks by entry.
    """
    weights = {entry: max(1, n) for entry, n in demands.items()}
    total = sum(weights.values())
    parts = {e: quota * w // total for e, w in weights.items()}
    remainders = sorted(
        weights, key=lambda e: (-(quota * weights[e] % total), e)
    )
    for entry in remainders[: quota - sum(parts.values())]:
        parts[entry] += 1
    return parts


@dataclass(slots=True)
class QuotaPart:
    """What an entry may use of one team's quota.

    :param quota: tasks of the team that may run at once over all entries.
    :param allowed: tasks of it that may run at once here.
    :param next_allowed: a larger part that is due later.
    :param grows_at: Unix seconds when it is.
    """

    quota: int
    allowed: int
    next_allowed: int = 0
    grows_at: float | None = None


@dataclass(slots=True)
class FormerReport:
    """An own report that another entry may still go by.

    :param valid_until: Unix seconds until which it may; None if not yet
        known.
    """

    demands: Mapping[str, int]
    valid_until: float | None = None


class QuotaDivider:
    """One entry's parts of the team quotas.

    :param entry: the entry's name.
    :param max_report_delay_s: seconds within which a report reaches all.
    """

    __slots__ = (
        "_entry",
        "_former_reports",
        "_max_report_delay_s",
        "_parts",
        "_reports",
    )

    def __init__(
        self, entry: str, max_report_delay_s: float = MAX_REPORT_DELAY_S
    ) -> None:
        self._entry = entry
        self._max_report_delay_s = max_report_delay_s
        self._reports: dict[str, dict[str, int]] = {entry: {}}
        self._former_reports: list[FormerReport] = []
        self._parts: dict[str, QuotaPart] = {}

    def receive_report(self, entry: str, demands: Mapping[str, int]) -> None:
        """Take in an entry's running and waiting tasks by team.

        The own report is to be the one that the other entries get.
        """
        if entry == self._entry:
            self._former_reports.append(FormerReport(self._reports[entry]))
        self._reports[entry] = dict(demands)
        for team, part in self._parts.items():
            _cap_part(part, self._safe_part(team, part.quota))

    def remove_entry(self, entry: str) -> None:
        """Drop an entry that is gone for good."""
        if entry != self._entry:
            self._reports.pop(entry, None)

    def allowed(self, team: str, quota: int, now: float) -> int:
        """Return how many tasks of a team may run at this entry."""
        self._drop_former(now)
        target = self._safe_part(team, quota)
        part = self._parts.get(team)
        if part is None:
            first = quota // len(self._reports)
            part = self._parts[team] = QuotaPart(quota, min(target, first))
        part.quota = quota
        _cap_part(part, target)
        self._grow(part, target, now)
        return part.allowed

    def _safe_part(self, team: str, quota: int) -> int:
        """Return the least part by the reports that others may go by."""
        demands = {e: r.get(team, 0) for e, r in self._reports.items()}
        least = divide(quota, demands)[self._entry]
        for former in self._former_reports:
            demands[self._entry] = former.demands.get(team, 0)
            least = min(least, divide(quota, demands)[self._entry])
        return least

    def _drop_former(self, now: float) -> None:
        for former in self._former_reports:
            if former.valid_until is None:
                former.valid_until = now + self._max_report_delay_s
        self._former_reports = [
            f for f in self._former_reports if now < (f.valid_until or now)
        ]

    def _grow(self, part: QuotaPart, target: int, now: float) -> None:
        if target == part.allowed:
            return
        if part.grows_at is None:
            part.grows_at = now + self._max_report_delay_s
            part.next_allowed = target
        if now >= part.grows_at:
            part.allowed = part.next_allowed
            part.grows_at = None


def _cap_part(part: QuotaPart, target: int) -> None:
    """Keep a part to the least target since its growth began."""
    part.next_allowed = min(part.next_allowed, target)
    if target <= part.allowed:
        part.allowed = target
        part.grows_at = None
