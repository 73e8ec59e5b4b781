"""Entries, agents and workers under leases, in virtual time."""
