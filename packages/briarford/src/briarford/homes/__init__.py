"""Homes: which entry may run a job, and how the entries agree on it."""

from briarford.homes.ids import ClientId, Home, MintedId, Minter, parse_id

__all__ = ["ClientId", "Home", "MintedId", "Minter", "parse_id"]
