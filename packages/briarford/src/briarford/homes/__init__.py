"""Homes: which entry may run a job, and how the entries agree on it."""

from briarford.homes.exchange import Exchanger
from briarford.homes.handover import Inheritance, batches, choose_heir
from briarford.homes.holder import ViewHolder
from briarford.homes.ids import ClientId, Home, MintedId, Minter, parse_id
from briarford.homes.lease import ViewLease
from briarford.homes.routing import (
    ForwardTo,
    Route,
    Router,
    ServeAsHeir,
    ServeHere,
)
from briarford.homes.view import Departed, Epoch, Member, ViewRecord, ViewTag

__all__ = [
    "ClientId",
    "Departed",
    "Epoch",
    "Exchanger",
    "ForwardTo",
    "Home",
    "Inheritance",
    "Member",
    "MintedId",
    "Minter",
    "Route",
    "Router",
    "ServeAsHeir",
    "ServeHere",
    "ViewHolder",
    "ViewLease",
    "ViewRecord",
    "ViewTag",
    "batches",
    "choose_heir",
    "parse_id",
]
