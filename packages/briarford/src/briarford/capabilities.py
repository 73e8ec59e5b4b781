"""The build and the capabilities that processes announce to each other.

During an upgrade two builds run side by side. A peer of an earlier build
ignores fields that it does not know; what it has to understand is used only
where it has announced that it does. See docs/design/versions.md.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable

__all__ = ["BUILD", "CAPABILITIES", "Capability", "count_builds"]

BUILD = "0.4.0"


class Capability(enum.StrEnum):
    """Something that a peer may rely on; sent by its value.

    A value that is not known here belongs to a newer build and is ignored.
    """

    # Skips kinds of message that it does not know, and takes unknown ends of
    # runs for lost ones: new kinds and values may be sent to it.
    SKIPS_UNKNOWN = "skips-unknown"
    # Passes on, or carries out, cancels of jobs that other entries have.
    RELAYS_CANCELS = "relays-cancels"


CAPABILITIES = tuple(c.value for c in Capability)


def count_builds(peers: Iterable[str]) -> dict[str, float]:
    """Return the build of this process and those of its peers, as gauges.

    :param peers: the builds of the connected peers; empty if one is unknown.
    """
    counts = Counter(f"peers-build-{build or 'unknown'}" for build in peers)
    return {f"build-{BUILD}": 1.0, **counts}
