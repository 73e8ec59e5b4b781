"""Entries and agents that run tasks under the leases of workers.

A process has one of the two roles and imports the modules of that role only:
it is to serve again within half a second of a restart.
"""
