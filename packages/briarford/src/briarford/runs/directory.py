"""What the registry tells of agents."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["AgentAddress"]


@dataclass(slots=True, frozen=True)
class AgentAddress:
    """What the registry holds of an agent.

    :param address: host and port.
    :param service: that its worker runs; empty if that is not known yet.
    """

    address: str
    service: str = ""
