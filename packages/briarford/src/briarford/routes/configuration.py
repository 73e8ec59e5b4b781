"""The configuration in force, and the choice of the route of a request."""

from __future__ import annotations

import msgspec

__all__ = ["Configuration", "ConfigurationHolder", "Route"]


class Route(msgspec.Struct, frozen=True):
    """The service and the objective of requests with a host and a path.

    A job of the route is to end within ``stretch`` times the expected run
    time of its longest chain of dependent steps, plus ``target_s``.

    :param name: unique in a configuration.
    :param host: the ``Host`` header of its requests, without the port.
    :param prefix: the beginning of the path of its requests.
    :param service: the service whose workers run its tasks.
    :param priority: 0 is the highest.
    :param max_attempts: failed runs of one task after which its job fails.
    :param stretch: factor of the objective.
    :param target_s: constant part of the objective, in seconds.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operators' record.

    :param version: rises with each new record, by any number.
    :param routes: all routes.
    :param services: names of all services.
    :param max_head_bytes: largest head of a request; 0 if it is not set.
    :param max_body_bytes: largest body of a request; 0 if it is not set.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: frozenset[str] = frozenset()
    max_head_bytes: int = 0
    max_body_bytes: int = 0


class ConfigurationHolder(msgspec.Struct):
    """Holds the configuration in force, and never returns to an older one.

    :param current: the configuration in force; None if none was read yet.
    :param in_force_since: when it came into force, in Unix seconds.
    """

    current: Configuration | None = None
    in_force_since: float = 0.0
    _by_host: dict[str, list[Route]] = msgspec.field(default_factory=dict)

    def adopt_if_newer(self, cfg: Configuration, now: float) -> bool:
        """Put a configuration in force if it is newer than the current one.

        :return: whether it came into force.
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
        """Return the route of a request; None if no route matches.

        Of several routes whose prefix matches, the longest prefix wins.

        :param host: the ``Host`` header of the request, without the port.
        :param path: its path.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
