"""The faults of the matrix, by name."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .processes import Agent, Backend, Client, Entry, Stream
from .world import Site, World

BACK_AFTER_S = 2.0
SHORT_PAUSE_S = 1.0
PAUSE_S = 2.5
LONG_PAUSE_S = 8.0
GONE_S = 30.0
CLOCK_ERROR_S = 30.0


@dataclass(slots=True)
class Cast:
    """The processes of a case, and those that a fault strikes."""

    world: World
    entries: list[Entry]
    agents: list[Agent]
    backends: list[Backend]
    clients: list[Client]

    def agent(self, site: Site) -> Agent:
        return site.agent or self.agents[0]

    def entry(self, site: Site) -> Entry:
        return site.entry or self.entries[0]

    def stream(self, site: Site) -> Stream | None:
        if site.stream is not None:
            return site.stream
        address = self.entry(site).address
        return self.agent(site).streams.get(address)


Fault = Callable[[Cast, Site], None]

FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under the name that tables show."""

    def register(inject: Fault) -> Fault:
        FAULTS[name] = inject
        return inject

    return register


def _clock(pick: str, seconds: float) -> Fault:
    def inject(cast: Cast, site: Site) -> None:
        _pick(cast, site, pick).clock_offset_s = seconds

    return inject


# A process reads the system's clock once, when it starts: these hold from
# the beginning of a case, at whatever step they are listed.
CLOCK_FAULTS: dict[str, Fault] = {
    "entry-clock-ahead": _clock("entry", CLOCK_ERROR_S),
    "entry-clock-behind": _clock("entry", -CLOCK_ERROR_S),
    "agent-clock-ahead": _clock("agent", CLOCK_ERROR_S),
    "agent-clock-behind": _clock("agent", -CLOCK_ERROR_S),
}


def _register_process_faults() -> None:
    def crash(pick: str) -> Fault:
        def inject(cast: Cast, site: Site) -> None:
            _pick(cast, site, pick).crash(BACK_AFTER_S)
            cast.world.fault_lasts(BACK_AFTER_S)

        return inject

    def pause(pick: str, seconds: float) -> Fault:
        def inject(cast: Cast, site: Site) -> None:
            _pick(cast, site, pick).pause(seconds)
            cast.world.fault_lasts(seconds)

        return inject

    for pick in ("entry", "agent", "backend"):
        fault(f"{pick}-crash")(crash(pick))
        fault(f"{pick}-pause")(pause(pick, PAUSE_S))
        fault(f"{pick}-long-pause")(pause(pick, LONG_PAUSE_S))
    fault("entry-short-pause")(pause("entry", SHORT_PAUSE_S))


def _pick(cast: Cast, site: Site, pick: str) -> Any:
    if pick == "entry":
        return cast.entry(site)
    agent = cast.agent(site)
    return agent if pick == "agent" else agent.backend


_register_process_faults()


def _message_fault(kind: str) -> Fault:
    def inject(cast: Cast, site: Site) -> None:
        cast.world.message_faults.append(kind)
        cast.world.fault_lasts(1.0)

    return inject


for _kind in ("lost", "repeated", "late", "reordered"):
    fault(f"message-{_kind}")(_message_fault(_kind))


@fault("client-crash")
def crash_client(cast: Cast, site: Site) -> None:
    cast.clients[0].crash(GONE_S * 10)


@fault("silent-connection")
def silence_both(cast: Cast, site: Site) -> None:
    _silence(cast, site, up=True, down=True)


@fault("silent-to-entry")
def silence_up(cast: Cast, site: Site) -> None:
    _silence(cast, site, up=True, down=False)


@fault("silent-to-agent")
def silence_down(cast: Cast, site: Site) -> None:
    _silence(cast, site, up=False, down=True)


def _silence(cast: Cast, site: Site, up: bool, down: bool) -> None:
    stream = cast.stream(site)
    if stream is not None:
        stream.silent_up |= up
        stream.silent_down |= down
    cast.world.fault_lasts(PAUSE_S)


@fault("connection-reset")
def reset_connection(cast: Cast, site: Site) -> None:
    stream = cast.stream(site)
    if stream is not None:
        stream.reset()


@fault("entries-unlisted")
def unlist_entry(cast: Cast, site: Site) -> None:
    """Take the entry off the agent's list for a while, and reset."""
    agent = cast.agent(site)
    entry = cast.entry(site)
    others = [e for e in cast.entries if e is not entry]

    def unlist() -> None:
        agent.list_entries(others)
        agent.after(LONG_PAUSE_S, lambda: agent.list_entries(cast.entries))

    agent.at(cast.world.now, unlist)
    reset_connection(cast, site)
    cast.world.fault_lasts(LONG_PAUSE_S)


@fault("announcement-lapsed")
def lapse_announcement(cast: Cast, site: Site) -> None:
    cast.agent(site).backend.lapse(PAUSE_S * 2)
    cast.world.fault_lasts(PAUSE_S * 2)


@fault("job-cancelled")
def cancel_job(cast: Cast, site: Site) -> None:
    cast.clients[0].cancel()


@fault("backend-drained")
def drain_backend(cast: Cast, site: Site) -> None:
    cast.agent(site).backend.leave(LONG_PAUSE_S)
    cast.world.fault_lasts(LONG_PAUSE_S)


@fault("all-backends-gone")
def crash_all_backends(cast: Cast, site: Site) -> None:
    for backend in cast.backends:
        backend.crash(GONE_S)


@fault("all-agents-gone")
def crash_all_agents(cast: Cast, site: Site) -> None:
    for agent in cast.agents:
        agent.crash(GONE_S)


@fault("entry-stopped")
def stop_entry(cast: Cast, site: Site) -> None:
    entry = cast.entry(site)
    if entry.alive:
        entry.at(cast.world.now, entry.stop)
    cast.world.fault_lasts(BACK_AFTER_S)


@fault("agent-stopped")
def stop_agent(cast: Cast, site: Site) -> None:
    agent = cast.agent(site)
    if agent.alive:
        agent.at(cast.world.now, agent.stop)
    cast.world.fault_lasts(BACK_AFTER_S)
