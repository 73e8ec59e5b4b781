"""State machines that dispatch tasks: one for entries, one for agents.

An entry accepts jobs from clients and sends their tasks to agents. An agent
runs beside one backend server and calls it for each task. Both cores work
without sockets, clocks or timers of their own; the daemon supplies these.
"""

from briarford.dispatch.agent import AgentCore
from briarford.dispatch.agent_state import AgentConfig
from briarford.dispatch.entry import EntryCore
from briarford.dispatch.entry_state import EntryConfig

__all__ = ["AgentConfig", "AgentCore", "EntryConfig", "EntryCore"]
