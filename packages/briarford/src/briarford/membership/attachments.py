"""Chooses the entries that an agent attaches to."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from briarford.sessions.messages import EntryAddress

__all__ = ["choose_entries"]

OUTSIDE_SHARE = 1 / 3


def choose_entries(
    agent: str, entries: Iterable[EntryAddress], count: int, zone: str
) -> tuple[EntryAddress, ...]:
    """Choose a bounded set of entries by rendezvous hash.

    Most are in the agent's own zone; at least one is outside if there is
    any, for the loss of the zone. An entry that comes or goes changes at
    most one attachment of each kind.

    :param agent: the agent's name.
    :param entries: the entries that there are.
    :param count: how many to choose at most.
    :param zone: the agent's availability zone.
    """
    ranked = sorted(entries, key=lambda e: _weight(agent, e), reverse=True)
    inside = [e for e in ranked if e.zone == zone]
    outside = [e for e in ranked if e.zone != zone]
    wanted_outside = _outside_count(count)
    chosen = inside[: count - min(wanted_outside, len(outside))]
    chosen += outside[: count - len(chosen)]
    return tuple(chosen)


def _outside_count(count: int) -> int:
    return max(1, round(count * OUTSIDE_SHARE)) if count > 1 else 0


def _weight(agent: str, entry: EntryAddress) -> tuple[int, str]:
    key = f"{agent}\0{entry.name}".encode()
    return xxhash.xxh3_64_intdigest(key), entry.name
