"""The addresses of agents, as entries read them from the registry."""

from __future__ import annotations

import msgspec

__all__ = ["AgentAddress"]


class AgentAddress(msgspec.Struct, frozen=True):
    """Where an agent accepts connections of entries.

    :param address: host and port.
    :param service: the service that its worker runs; empty while that is
        not known yet.
    :param incarnation: of the agent's process; empty if not known.
    """

    address: str
    service: str = ""
    incarnation: str = ""
