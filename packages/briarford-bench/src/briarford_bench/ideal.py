"""Lower bound of the response time of a job; ratios are latency over it."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import accumulate

from briarford_bench.profiles import Profile

__all__ = ["ideal_s"]


def ideal_s(profile: Profile, run_ms: Sequence[float]) -> float:
    """Return the least time in which a client can have a job's answer.

    It assumes that all workers are idle and all run times are known. For
    each k, the k longest tasks take at least their work divided by the speed
    of the k fastest slots; all tasks together take at least their work
    divided by the speed of all slots. The highest of these bounds counts,
    plus one round trip between client and entry.

    :param run_ms: run time of each task at speed 1, in milliseconds.
    :return: seconds.
    """
    cumulative_work = accumulate(sorted(run_ms, reverse=True))
    cumulative_speed = accumulate(_slot_speeds(profile))
    bounds = [
        w / s for w, s in zip(cumulative_work, cumulative_speed, strict=False)
    ]
    bounds.append(sum(run_ms) / profile.capacity)
    return max(bounds) / 1000 + 2 * profile.client_delay_ms / 1000


def _slot_speeds(profile: Profile) -> list[float]:
    fastest = sorted(profile.speeds, reverse=True)
    return [speed for speed in fastest for _ in range(profile.slots)]
