"""Which configuration is in force, and which route a request takes."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Configuration", "ConfigurationHolder", "Route"]


@dataclass(slots=True, frozen=True)
class Route:
    """A queue of requests that one service runs.

    :param name: unique in a configuration.
    :param host: the ``Host`` of its requests, without port.
    :param prefix: what the path of its requests begins with.
    :param service: the service whose workers run its tasks.
    :param priority: 0 goes first.
    :param max_attempts: failures of one task that fail its job.
    :param stretch: the objective in multiples of the longest chain of work.
    :param target_s: seconds that the objective adds to that.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the operators' record.

    :param version: rises from record to record, in uneven steps.
    :param routes: all routes.
    :param services: names of the services.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: frozenset[str] = frozenset()


@dataclass(slots=True)
class ConfigurationHolder:
    """Holds the configuration in force; it never returns to an older one."""

    current: Configuration | None = None
    in_force_since: float = 0.0
    _by_host: dict[str, list[Route]] = field(default_factory=dict)

    def offer(self, cfg: Configuration, now: float) -> bool:
        """Put a configuration in force unless it is older.

        :return: whether it is in force now and was not before.
        """
        if self.current is not None and cfg.version <= self.current.version:
            return False
        by_host: dict[str, list[Route]] = {}
        for route in cfg.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda r: len(r.prefix), reverse=True)
        self.current = cfg
        self.in_force_since = now
        self._by_host = by_host
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
