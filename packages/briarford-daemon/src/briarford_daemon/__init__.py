"""The daemons: processes that run an entry or an agent."""
