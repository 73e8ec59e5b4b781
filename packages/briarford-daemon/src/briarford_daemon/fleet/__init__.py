"""Entries and agents that run tasks under the leases of workers."""

from briarford_daemon.fleet.agent import FleetAgent, WorkerPort
from briarford_daemon.fleet.entry import FleetEntry
from briarford_daemon.fleet.settings import FleetSettings

__all__ = ["FleetAgent", "FleetEntry", "FleetSettings", "WorkerPort"]
