"""Dispatch: the cores of the entry and of the agent."""
