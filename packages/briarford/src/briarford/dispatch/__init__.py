"""Dispatch: the cores of the entry and of the agent."""

from briarford.dispatch.agent import AgentConfig, AgentCore
from briarford.dispatch.entry import EntryConfig, EntryCore

__all__ = ["AgentConfig", "AgentCore", "EntryConfig", "EntryCore"]
