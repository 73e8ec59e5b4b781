"""Homes: which entry may run a job, and how the entries agree on it.

The home of a job is the one process that may start its tasks. An allocated id
names its home; the home of a client-chosen id follows from the view, a record
in the key-value service of which every entry holds a copy.
"""

from briarford.homes.exchange import RecordExchanger
from briarford.homes.holder import ViewHolder
from briarford.homes.ids import (
    AllocatedId,
    ClientChosenId,
    Home,
    IdAllocator,
    parse_id,
)
from briarford.homes.lease import ViewLease
from briarford.homes.routing import (
    ForwardTo,
    Route,
    Router,
    ServeAsHeir,
    ServeHere,
)
from briarford.homes.transfer import (
    TransferredJobTable,
    choose_successor,
    split_into_batches,
)
from briarford.homes.view import Departed, Epoch, Member, ViewRecord, ViewTag

__all__ = [
    "AllocatedId",
    "ClientChosenId",
    "Departed",
    "Epoch",
    "ForwardTo",
    "Home",
    "IdAllocator",
    "Member",
    "RecordExchanger",
    "Route",
    "Router",
    "ServeAsHeir",
    "ServeHere",
    "TransferredJobTable",
    "ViewHolder",
    "ViewLease",
    "ViewRecord",
    "ViewTag",
    "choose_successor",
    "parse_id",
    "split_into_batches",
]
