"""Sizes of the deployments that the bench reproduces."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.exceptions import UnknownNameError
from briarford_bench.backend_core import BackendProfile

__all__ = ["CLIENT_ZONE", "Profile", "find_profile"]

CLIENT_ZONE = "clients"


@dataclass(slots=True, frozen=True)
class Profile:
    """One deployment.

    :param name: its name on the command line.
    :param service: the service that its backend servers provide.
    :param zones: its availability zones.
    :param zone_delay_ms: one-way delay between zones, milliseconds.
    :param client_delay_ms: one-way delay to clients, milliseconds.
    :param entries: how many entries.
    :param speeds: speed of each worker's backend server.
    :param slots: slots of each.
    :param connections: connections that each accepts.
    :param memory_mb: memory of each worker in megabytes.
    :param teams: teams and their shares of the jobs.
    """

    name: str
    service: str
    zones: tuple[str, ...]
    zone_delay_ms: float
    client_delay_ms: float
    entries: int
    speeds: tuple[float, ...]
    slots: int
    connections: int
    memory_mb: int
    teams: tuple[tuple[str, float], ...]

    @property
    def capacity(self) -> float:
        """True work in seconds that all workers do in a second."""
        return self.slots * sum(self.speeds)

    def zone(self, index: int) -> str:
        """Zone of a process; processes take the zones in turn."""
        return self.zones[index % len(self.zones)]

    def delay_s(self, zone: str, other: str) -> float:
        """One-way delay between two zones in seconds."""
        if zone == other:
            return 0.0
        if CLIENT_ZONE in (zone, other):
            return self.client_delay_ms / 1000
        return self.zone_delay_ms / 1000

    def make_backend_profiles(self) -> list[BackendProfile]:
        """Return one backend server for each worker."""
        return [
            BackendProfile(
                name=f"worker-{index + 1}",
                service=self.service,
                speed=speed,
                slots=self.slots,
                connections=self.connections,
                memory_mb=self.memory_mb,
            )
            for index, speed in enumerate(self.speeds)
        ]


SPEEDS = (1.3, 1.3, 1.2, 1.2, 1.1, 1.0, 1.0, 0.9, 0.8, 0.7, 0.5)

_profiles = {
    profile.name: profile
    for profile in (
        Profile(
            name="kyklos",
            service="lease-desk",
            zones=("gr-1", "gr-2", "gr-3", "gr-4"),
            zone_delay_ms=1.5,
            client_delay_ms=1.0,
            entries=3,
            speeds=SPEEDS,
            slots=8,
            connections=64,
            memory_mb=65536,
            teams=(("leasing", 0.7), ("payments", 0.3)),
        ),
        Profile(
            name="baridi",
            service="order-desk",
            zones=("ke-1", "ke-2", "ke-3"),
            zone_delay_ms=0.5,
            client_delay_ms=1.0,
            entries=3,
            speeds=SPEEDS,
            slots=8,
            connections=64,
            memory_mb=131072,
            teams=(("dispatch", 1.0),),
        ),
    )
}


def find_profile(name: str) -> Profile:
    """Return the profile of that name.

    :raises UnknownNameError: if there is none.
    """
    if name not in _profiles:
        raise UnknownNameError("profile", name, list(_profiles))
    return _profiles[name]
