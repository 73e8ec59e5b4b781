"""The addresses of agents, as entries read them from the registry."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["AgentAddress"]


@dataclass(slots=True, frozen=True)
class AgentAddress:
    """Where an agent accepts connections of entries.

    :param address: host and port.
    :param service: the service that its worker runs; empty while that is
        not known yet.
    """

    address: str
    service: str = ""
