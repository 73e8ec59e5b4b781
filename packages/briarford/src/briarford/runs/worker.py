"""What a worker reports of itself and of its runs."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = [
    "Capacity",
    "EndedRow",
    "ListingFailure",
    "OrderResult",
    "RunListing",
    "RunningRow",
    "WorkerReport",
]


@dataclass(slots=True, frozen=True)
class Capacity:
    """An amount of processors, memory and accelerators.

    :param cpu: thousandths of a processor.
    :param memory_mb: memory.
    :param gpu: accelerators.
    """

    cpu: int
    memory_mb: int
    gpu: int


@dataclass(slots=True, frozen=True)
class WorkerReport:
    """A worker's heartbeat.

    :param worker: its id.
    :param born_ms: start of this boot in Unix milliseconds; another value
        under the same id is another boot.
    :param service: the service that it runs.
    :param address: where it takes orders.
    :param zone: its availability zone.
    :param capacity: what its runs share.
    :param labels: its kind and its rack.
    :param draining: whether it is about to leave.
    :param clock_ms: its own steady clock.
    :param sequence: rises with each report of a boot.
    """

    worker: str
    born_ms: int
    service: str
    address: str
    zone: str
    capacity: Capacity
    labels: tuple[str, ...]
    draining: bool
    clock_ms: int
    sequence: int


class OrderResult(enum.StrEnum):
    """The answer of a worker to the order to start a run."""

    STARTED = "started"
    FENCED = "fenced"  # a higher fencing token has been seen
    OUTDATED = "outdated"  # a run of this number or a higher one is known
    LATE = "late"  # the lease in the order has passed
    NO_ROOM = "no-room"
    BUSY = "busy"  # unhealthy; nothing was done
    INVALID = "invalid"
    OTHER_INCARNATION = "other-boot"
    UNANSWERED = "unanswered"


class ListingFailure(enum.Enum):
    """Why a worker's lists could not be had."""

    UNANSWERED = "unanswered"
    REFUSED = "refused"  # crashed, or cut off in a way that refuses


@dataclass(slots=True, frozen=True)
class RunningRow:
    """A run in a worker's list.

    :param task: name of the task.
    :param run: number of the run.
    :param percent: how much of its work is done.
    """

    task: str
    run: int
    percent: int


@dataclass(slots=True, frozen=True)
class EndedRow:
    """An ended run in a worker's list.

    :param number: number of the end in this boot.
    :param task: name of the task.
    :param run: number of the run.
    :param how: the worker's word, such as ``done`` or ``lapsed``.
    """

    number: int
    task: str
    run: int
    how: str


@dataclass(slots=True, frozen=True)
class RunListing:
    """All runs of a worker at one moment.

    :param born_ms: the boot that it is of.
    :param running: what runs.
    :param ended: ends that were not acknowledged yet.
    :param clock_ms: its own steady clock; 0 if not told.
    """

    born_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    clock_ms: int = 0
