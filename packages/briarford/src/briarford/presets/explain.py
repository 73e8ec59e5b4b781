"""Describes in plain sentences how the system behaves under a record.

Each registered function describes one topic; operators see the sentences with
``briarford preset explain``.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from briarford.presets.schema import AdmissionMode, Quota, Record

__all__ = ["explain", "explainer"]

Explainer = Callable[[Record], list[str]]

_explainers: list[Explainer] = []


def explainer(function: Explainer) -> Explainer:
    """Register a function that returns sentences about a record.

    The sentences are shown in the order of registration.
    """
    _explainers.append(function)
    return function


def explain(record: Record) -> list[str]:
    """Return the sentences of all registered functions, in their order."""
    return [line for function in _explainers for line in function(record)]


@explainer
def explain_change(record: Record) -> list[str]:
    """Explain which preset is in force, and who made the last change."""
    lines = [
        f"Preset '{record.active}' is in force "
        f"(record version {record.version}): {record.in_force.summary}"
    ]
    if record.history:
        last = record.history[-1]
        lines.append(
            f"The last change was made by {last.who} at "
            f"{_format_time(last.when)}: {last.why}"
        )
    return lines


@explainer
def explain_quotas(record: Record) -> list[str]:
    """Explain how many slots each team may use, and with which weight."""
    preset = record.in_force
    lines = [
        f"Team '{team}' {_describe_quota(quota)}."
        for team, quota in sorted(preset.quotas.items())
    ]
    who = "Any other team" if lines else "Each team"
    lines.append(f"{who} {_describe_quota(preset.default_quota)}.")
    lines.append(
        "A team at its quota waits; nothing that has started is cut off "
        "when a quota is lowered."
    )
    return lines


def _describe_quota(quota: Quota) -> str:
    if quota.slots == 0:
        return "starts nothing: its quota is 0 slots"
    if quota.slots is None:
        return (
            "may use all slots, and counts with weight "
            f"{quota.weight:g} when teams compete for them"
        )
    return (
        f"runs at most {quota.slots} tasks at the same time, and counts "
        f"with weight {quota.weight:g} when teams compete for free slots"
    )


@explainer
def explain_admission(record: Record) -> list[str]:
    """Explain which jobs an entry refuses on submission."""
    limits = record.in_force.limits
    lines = [
        "A job is refused at once, and has not run, if it would leave more "
        f"than {limits.queue_bound} tasks waiting at its entry."
    ]
    if limits.admission is AdmissionMode.DEADLINE:
        lines.append(
            f"It is refused too if {limits.admission_factor:g} times its "
            "estimated time does not fit before its deadline."
        )
    else:
        lines.append("Its deadline is not weighed when it is taken in.")
    return lines


@explainer
def explain_placement(record: Record) -> list[str]:
    """Explain how entries choose workers and order waiting jobs."""
    placement = record.in_force.placement
    slow = "may stay empty" if placement.leave_slow_slots else "is always used"
    return [
        f"Entries choose workers by '{placement.strategy}'; a worker of "
        "another availability zone is preferred if it ends a task more than "
        f"{placement.zone_penalty_ms:g} ms sooner.",
        f"A slow slot {slow} when waiting for a fast one ends the job sooner.",
        "Shorter jobs go first; a waiting job gains on them with weight "
        f"{placement.aging_weight:g}, and goes first once its deadline is "
        f"closer than {placement.urgent_margin:g} times its remaining time.",
    ]


@explainer
def explain_retries(record: Record) -> list[str]:
    """Explain which tasks are retried, and the bound on retries."""
    share = record.in_force.limits.retry_share
    return [
        "Only idempotent single requests are tried again after a failure; "
        f"these retries make up at most {share:.0%} of first tries."
    ]


@explainer
def explain_guards(record: Record) -> list[str]:
    """Explain when health guards stop sending work to a worker."""
    limits = record.in_force.limits
    return [
        "A worker that fails the tasks of different jobs is held back and "
        f"probed; guards hold back at most {limits.guard_share:.0%} of a "
        "service's workers."
    ]


@explainer
def explain_drains(record: Record) -> list[str]:
    """Explain which workers operators have drained, and why."""
    if not record.drains:
        return ["No worker is drained."]
    return [
        f"Worker '{name}' gets no new work: {drain.why} ({drain.who}, "
        f"{_format_time(drain.since)}). What it runs goes on."
        for name, drain in sorted(record.drains.items())
    ]


def _format_time(when: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime(when))
