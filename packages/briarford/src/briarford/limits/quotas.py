"""Divides a team's quota among the entries by the demand that they report.

Entries send each other reports of their demand, and each entry computes its
own part from the reports that it has. A smaller part takes effect at once. A
larger one takes effect only after the report behind it has had time to reach
every entry; until then an entry also allows for its former reports, which
other entries may still use. So the parts of all entries never exceed the
quota together as long as reports arrive within ``MAX_REPORT_DELAY_S``.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

__all__ = ["QuotaDivider", "divide"]

MAX_REPORT_DELAY_S = 0.5


def divide(quota: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Divide a quota among entries in proportion to their demand.

    An entry without demand counts as one task. What rounding down leaves
    goes to the largest remainders, and at a tie in the order of names, so
    that all entries compute the same parts.

    :param quota: tasks of the team that may run at once, over all entries.
    :param demands: running and queued tasks by entry.
    :return: tasks that may run at once, by entry.
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


class QuotaPart(msgspec.Struct):
    """The part of one team's quota that this entry may use.

    :param quota: tasks of the team that may run at once, over all entries.
    :param allowed: tasks of the team that may run at once at this entry.
    :param next_allowed: the larger part that replaces ``allowed`` later.
    :param grows_at: Unix seconds at which it does; None if no growth is
        pending.
    """

    quota: int
    allowed: int
    next_allowed: int = 0
    grows_at: float | None = None


class FormerReport(msgspec.Struct):
    """A replaced report of this entry that other entries may still use.

    :param demands: the reported running and queued tasks by team.
    :param valid_until: Unix seconds until which others may use it; None
        until the next call that knows the time.
    """

    demands: Mapping[str, int]
    valid_until: float | None = None


class QuotaDivider:
    """Computes the parts of the team quotas that one entry may use.

    :param entry: the name of this entry.
    :param max_report_delay_s: seconds within which a report reaches every
        entry.
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
        """Replace an entry's report of its running and queued tasks.

        Reports of this entry are passed here too, and must be the ones that
        it sends to the others.

        :param entry: the entry that the report is from.
        :param demands: its running and queued tasks by team.
        """
        if entry == self._entry:
            self._former_reports.append(FormerReport(self._reports[entry]))
        self._reports[entry] = dict(demands)
        for team, part in self._parts.items():
            _cap_part(part, self._safe_part(team, part.quota))

    def remove_entry(self, entry: str) -> None:
        """Remove the report of another entry that has left for good."""
        if entry != self._entry:
            self._reports.pop(entry, None)

    def allowed(self, team: str, quota: int, now: float) -> int:
        """Return how many tasks of a team may run at this entry now.

        :param quota: the team's quota over all entries.
        """
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
        """Return this entry's smallest part under its valid reports.

        Another entry may still divide the quota by any of them. The smallest
        part keeps within the quota, whichever report the others use.
        """
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
        """Begin the growth of a part to ``target``, or end it if it is due."""
        if target == part.allowed:
            return
        if part.grows_at is None:
            part.grows_at = now + self._max_report_delay_s
            part.next_allowed = target
        if now >= part.grows_at:
            part.allowed = part.next_allowed
            part.grows_at = None


def _cap_part(part: QuotaPart, target: int) -> None:
    """Lower a part, or the growth that is pending, to a new safe part.

    A pending growth ends at the smallest safe part since it began; a safe
    part that is not above the part in use cancels it.

    :param target: the new safe part.
    """
    part.next_allowed = min(part.next_allowed, target)
    if target <= part.allowed:
        part.allowed = target
        part.grows_at = None
