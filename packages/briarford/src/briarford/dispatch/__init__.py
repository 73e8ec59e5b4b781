"""Dispatch: the cores of the entry and of the agent."""

from briarford.dispatch.agent import AgentCore
from briarford.dispatch.agent_state import AgentConfig
from briarford.dispatch.entry import EntryCore
from briarford.dispatch.entry_state import EntryConfig

__all__ = ["AgentConfig", "AgentCore", "EntryConfig", "EntryCore"]
