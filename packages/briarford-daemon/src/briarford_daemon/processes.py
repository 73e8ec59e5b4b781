"""An entry or agent with its HTTP server, started and stopped as one."""

from __future__ import annotations

from briarford_daemon.agent import AgentDaemon
from briarford_daemon.agent_http import build_agent_app
from briarford_daemon.clock import Clock
from briarford_daemon.entry import EntryDaemon
from briarford_daemon.entry_http import build_entry_app
from briarford_daemon.http_server import HttpServer
from briarford_daemon.settings import (
    AgentSettings,
    EntrySettings,
    split_address,
)

__all__ = ["AgentProcess", "EntryProcess"]


class EntryProcess:
    """An entry that serves agents, entries, clients and operators.

    :param settings: its settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.daemon = EntryDaemon(settings, Clock())
        host, port = split_address(settings.http)
        self._http = HttpServer(
            build_entry_app(self.daemon),
            host,
            port,
            stop_within_s=settings.stop_within_s,
        )

    @property
    def http_address(self) -> str:
        """Host and port on which clients and operators reach the entry."""
        return self._http.address

    async def start(self) -> None:
        """Start serving."""
        await self.daemon.start()
        await self._http.start()

    async def stop(self) -> None:
        """Stop gracefully.

        The jobs are finished first. The HTTP server stops after them, so that
        their answers still reach the clients.
        """
        await self.daemon.stop()
        await self._http.stop()
        await self.daemon.close()


class AgentProcess:
    """An agent that serves its backend server.

    :param settings: its settings.
    """

    def __init__(self, settings: AgentSettings) -> None:
        self.daemon = AgentDaemon(settings, Clock())
        host, port = split_address(settings.http)
        self._http = HttpServer(build_agent_app(self.daemon), host, port)

    @property
    def http_address(self) -> str:
        """Host and port to which the backend server announces itself."""
        return self._http.address

    async def start(self) -> None:
        """Start serving."""
        await self.daemon.start()
        await self._http.start()

    async def stop(self) -> None:
        """Stop gracefully: accept no new tasks, finish the started ones."""
        await self.daemon.stop()
        await self._http.stop()
