"""Chooses the entries that an agent connects to."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from briarford.sessions.messages import EntryAddress

__all__ = ["choose_entries"]

# Share of an agent's entries in other availability zones, for when its own
# zone is lost.
OTHER_ZONES_SHARE = 1 / 3


def choose_entries(
    agent: str, entries: Iterable[EntryAddress], count: int, zone: str
) -> tuple[EntryAddress, ...]:
    """Choose a bounded set of entries for an agent by rendezvous hashing.

    Most are in the agent's own availability zone. If ``count`` is more than
    one, at least one is in another zone if there is any, so that the agent
    stays connected when its own zone is lost. Adding or removing an entry
    replaces at most one chosen entry in the own zone and one in the others.

    :param agent: the agent's name.
    :param entries: all registered entries.
    :param count: the largest number to choose.
    :param zone: the agent's availability zone.
    :return: the chosen entries, those of the own zone first.
    """
    ranked = sorted(entries, key=lambda e: _hash_rank(agent, e), reverse=True)
    same_zone = [e for e in ranked if e.zone == zone]
    other_zones = [e for e in ranked if e.zone != zone]
    reserved = _count_other_zones(count)
    chosen = same_zone[: count - min(reserved, len(other_zones))]
    chosen += other_zones[: count - len(chosen)]
    return tuple(chosen)


def _count_other_zones(count: int) -> int:
    """Return how many of the chosen entries to reserve for other zones."""
    return max(1, round(count * OTHER_ZONES_SHARE)) if count > 1 else 0


def _hash_rank(agent: str, entry: EntryAddress) -> tuple[int, str]:
    """Return the rendezvous hash of a pair; the name breaks ties."""
    key = f"{agent}\0{entry.name}".encode()
    return xxhash.xxh3_64_intdigest(key), entry.name
