"""What a worker reports about itself and its runs.

The adapter of a platform decodes the worker's messages into these types.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from briarford.bounds import MAX_COUNT, Count, Labels, Name, SocketAddress

__all__ = [
    "Capacity",
    "EndedRow",
    "ListingFailure",
    "OrderResult",
    "RunListing",
    "RunningRow",
    "WorkerId",
    "WorkerReport",
]


# Calls to the worker carry its id in a header.
WorkerId = Annotated[
    str, msgspec.Meta(pattern=r"\A[\x21-\x7e]+\Z", max_length=256)
]


class Capacity(msgspec.Struct, frozen=True):
    """An amount of processors, memory and accelerators.

    :param cpu: thousandths of a processor.
    :param memory_mb: memory.
    :param gpu: accelerators.
    """

    cpu: Count
    memory_mb: Count
    gpu: Count


class WorkerReport(msgspec.Struct, frozen=True):
    """A worker's heartbeat.

    Agents store it under these field names, for the next process.

    :param worker: id of the worker.
    :param born_ms: when this incarnation of the worker started, in Unix
        milliseconds; another value under the same id is another incarnation.
    :param service: the service that it runs.
    :param address: host and port at which it accepts orders.
    :param zone: its availability zone.
    :param capacity: the capacity that its runs share.
    :param labels: its kind and its rack.
    :param draining: whether it is about to leave.
    :param clock_ms: milliseconds on its own monotonic clock.
    :param sequence: increases with each heartbeat of an incarnation.
    :param leaves_at: while it drains, the time until which it stays at least,
        in Unix seconds on the agent's clock; 0 if unknown.
    """

    worker: WorkerId
    born_ms: Count
    service: Name
    address: SocketAddress
    zone: Name
    capacity: Capacity
    labels: Labels
    draining: bool
    clock_ms: Count
    sequence: Count
    leaves_at: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_COUNT)] = 0.0


class OrderResult(enum.StrEnum):
    """A worker's answer to the order to start a run."""

    STARTED = "started"
    FENCED = "fenced"  # the worker has seen a higher fencing token
    OUTDATED = "outdated"  # this run or a later one of the task is known
    LATE = "late"  # the lease in the order has ended
    NO_ROOM = "no-room"  # not enough free capacity
    BUSY = "busy"  # the worker is unhealthy and did nothing
    INVALID = "invalid"
    OTHER_INCARNATION = "other-boot"  # another instance answered
    UNANSWERED = "unanswered"  # it may still be executed
    NOT_SENT = "not-sent"  # no connection could be opened, or no lease given
    EXPIRED = "expired"  # not sent either: its time or its run was over


class ListingFailure(enum.Enum):
    """Why a request for a worker's run listing gave no listing."""

    UNANSWERED = "unanswered"
    # The connection was refused: the worker has crashed, or the network
    # refuses connections to it.
    REFUSED = "refused"
    # The connection ended before the answer.
    RESET = "reset"
    # Another instance answered at the address.
    OTHER_INSTANCE = "other-instance"


class RunningRow(msgspec.Struct, frozen=True):
    """A run in a worker's list of running runs.

    :param task: name of the task.
    :param run: number of the run.
    :param percent: how much of its work is done.
    """

    task: str
    run: int
    percent: int


class EndedRow(msgspec.Struct, frozen=True):
    """An ended run in a worker's list of ended runs.

    :param number: increases with each ended run of this incarnation of the
        worker; the agent acknowledges ended runs by it.
    :param task: name of the task.
    :param run: number of the run.
    :param how: how it ended in the worker's words, such as ``done`` or
        ``lapsed``.
    """

    number: int
    task: str
    run: int
    how: str


class RunListing(msgspec.Struct, frozen=True):
    """A worker's lists of running and ended runs at one moment.

    :param born_ms: when the incarnation of the worker started that answered,
        in Unix milliseconds.
    :param running: the runs in progress.
    :param ended: ended runs that the agent has not acknowledged.
    :param clock_ms: milliseconds on the worker's monotonic clock; 0 if
        unknown.
    """

    born_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    clock_ms: int = 0
