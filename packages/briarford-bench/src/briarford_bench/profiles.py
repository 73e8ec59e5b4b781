"""The deployments that the bench reproduces: size, speeds and delays."""

from __future__ import annotations

from dataclasses import dataclass

from briarford.exceptions import UnknownNameError
from briarford_bench.backend_core import BackendProfile

__all__ = ["CLIENT_ZONE", "Profile", "find_profile"]

CLIENT_ZONE = "clients"


@dataclass(slots=True, frozen=True)
class Profile:
    """Description of one deployment.

    :param name: its name on the command line.
    :param service: the service that its backend servers provide.
    :param zones: its availability zones.
    :param zone_delay_ms: one-way delay between zones, milliseconds.
    :param client_delay_ms: one-way delay to clients, milliseconds.
    :param entries: number of entries.
    :param speeds: speed of each worker's backend server, 1 for a usual one.
    :param slots: slots of each backend server.
    :param connections: connections that each backend server announces.
    :param memory_mb: memory of each worker in megabytes.
    :param teams: names of teams and their shares of the jobs.
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
        """Seconds of work at speed 1 that all workers do in a second."""
        return self.slots * sum(self.speeds)

    def zone(self, index: int) -> str:
        """Return the zone of a process; the zones are assigned in turn.

        :param index: number of the process among those of its role.
        """
        return self.zones[index % len(self.zones)]

    def delay_s(self, zone: str, other: str) -> float:
        """Return the one-way delay between two zones in seconds."""
        if zone == other:
            return 0.0
        if CLIENT_ZONE in (zone, other):
            return self.client_delay_ms / 1000
        return self.zone_delay_ms / 1000

    def make_backend_profiles(self) -> list[BackendProfile]:
        """Return the profiles of the backend servers, one for each worker."""
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
    """Return the profile with a name.

    :raises UnknownNameError: if there is no profile with this name.
    """
    if name not in _profiles:
        raise UnknownNameError("profile", name, list(_profiles))
    return _profiles[name]
