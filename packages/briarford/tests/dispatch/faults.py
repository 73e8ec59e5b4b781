"""The faults that the matrix injects, by name.

The names are printed in docs/FAULTS.md.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .processes import Agent, Backend, Client, Entry, Stream
from .world import StepContext, World

RESTART_AFTER_S = 2.0
SHORT_PAUSE_S = 1.0
PAUSE_S = 2.5
LONG_PAUSE_S = 8.0
OUTAGE_S = 30.0
CLOCK_ERROR_S = 30.0


@dataclass(slots=True)
class Cluster:
    """The processes of one case.

    Its methods choose the process that a fault acts on: the one involved in
    the step, or else the first.
    """

    world: World
    entries: list[Entry]
    agents: list[Agent]
    backends: list[Backend]
    clients: list[Client]

    def agent(self, context: StepContext) -> Agent:
        return context.agent or self.agents[0]

    def entry(self, context: StepContext) -> Entry:
        return context.entry or self.entries[0]

    def stream(self, context: StepContext) -> Stream | None:
        if context.stream is not None:
            return context.stream
        address = self.entry(context).address
        return self.agent(context).streams.get(address)


Fault = Callable[[Cluster, StepContext], None]

FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under the name that docs/FAULTS.md shows."""

    def register(inject: Fault) -> Fault:
        FAULTS[name] = inject
        return inject

    return register


def _clock_fault(kind: str, seconds: float) -> Fault:
    def inject(cluster: Cluster, context: StepContext) -> None:
        _select_process(cluster, context, kind).clock_offset_s = seconds

    return inject


# A process reads the system's clock only once, when it starts, so a clock that
# is wrong must be wrong from the beginning of a case. The step under which
# such a fault is listed has no effect.
CLOCK_FAULTS: dict[str, Fault] = {
    "entry-clock-ahead": _clock_fault("entry", CLOCK_ERROR_S),
    "entry-clock-behind": _clock_fault("entry", -CLOCK_ERROR_S),
    "agent-clock-ahead": _clock_fault("agent", CLOCK_ERROR_S),
    "agent-clock-behind": _clock_fault("agent", -CLOCK_ERROR_S),
}


def _register_process_faults() -> None:
    def crash(kind: str) -> Fault:
        def inject(cluster: Cluster, context: StepContext) -> None:
            _select_process(cluster, context, kind).crash(RESTART_AFTER_S)
            cluster.world.extend_faults(RESTART_AFTER_S)

        return inject

    def pause(kind: str, seconds: float) -> Fault:
        def inject(cluster: Cluster, context: StepContext) -> None:
            _select_process(cluster, context, kind).pause(seconds)
            cluster.world.extend_faults(seconds)

        return inject

    for kind in ("entry", "agent", "backend"):
        fault(f"{kind}-crash")(crash(kind))
        fault(f"{kind}-pause")(pause(kind, PAUSE_S))
        fault(f"{kind}-long-pause")(pause(kind, LONG_PAUSE_S))
    fault("entry-short-pause")(pause("entry", SHORT_PAUSE_S))


def _select_process(cluster: Cluster, context: StepContext, kind: str) -> Any:
    if kind == "entry":
        return cluster.entry(context)
    agent = cluster.agent(context)
    return agent if kind == "agent" else agent.backend


_register_process_faults()


def _message_fault(kind: str) -> Fault:
    def inject(cluster: Cluster, context: StepContext) -> None:
        cluster.world.message_faults.append(kind)
        cluster.world.extend_faults(1.0)

    return inject


for _kind in ("lost", "repeated", "late", "reordered"):
    fault(f"message-{_kind}")(_message_fault(_kind))


@fault("client-crash")
def crash_client(cluster: Cluster, context: StepContext) -> None:
    cluster.clients[0].crash(OUTAGE_S * 10)


@fault("silent-connection")
def silence_both_directions(cluster: Cluster, context: StepContext) -> None:
    _silence(cluster, context, to_entry=True, to_agent=True)


@fault("silent-to-entry")
def silence_to_entry(cluster: Cluster, context: StepContext) -> None:
    _silence(cluster, context, to_entry=True, to_agent=False)


@fault("silent-to-agent")
def silence_to_agent(cluster: Cluster, context: StepContext) -> None:
    _silence(cluster, context, to_entry=False, to_agent=True)


def _silence(
    cluster: Cluster, context: StepContext, to_entry: bool, to_agent: bool
) -> None:
    stream = cluster.stream(context)
    if stream is not None:
        stream.silent_to_entry |= to_entry
        stream.silent_to_agent |= to_agent
    cluster.world.extend_faults(PAUSE_S)


@fault("connection-reset")
def reset_connection(cluster: Cluster, context: StepContext) -> None:
    stream = cluster.stream(context)
    if stream is not None:
        stream.reset()


@fault("entries-unlisted")
def unlist_entry(cluster: Cluster, context: StepContext) -> None:
    """Remove the entry from the agent's list and reset their connection.

    The entry is listed again after a while.
    """
    agent = cluster.agent(context)
    entry = cluster.entry(context)
    others = [e for e in cluster.entries if e is not entry]

    def unlist() -> None:
        agent.list_entries(others)
        agent.after(LONG_PAUSE_S, lambda: agent.list_entries(cluster.entries))

    agent.at(cluster.world.now, unlist)
    reset_connection(cluster, context)
    cluster.world.extend_faults(LONG_PAUSE_S)


@fault("announcement-lapsed")
def lapse_announcement(cluster: Cluster, context: StepContext) -> None:
    cluster.agent(context).backend.suspend_announcements(PAUSE_S * 2)
    cluster.world.extend_faults(PAUSE_S * 2)


@fault("job-cancelled")
def cancel_job(cluster: Cluster, context: StepContext) -> None:
    cluster.clients[0].cancel()


@fault("backend-drained")
def drain_backend(cluster: Cluster, context: StepContext) -> None:
    cluster.agent(context).backend.drain(LONG_PAUSE_S)
    cluster.world.extend_faults(LONG_PAUSE_S)


@fault("all-backends-gone")
def crash_all_backends(cluster: Cluster, context: StepContext) -> None:
    for backend in cluster.backends:
        backend.crash(OUTAGE_S)


@fault("all-agents-gone")
def crash_all_agents(cluster: Cluster, context: StepContext) -> None:
    for agent in cluster.agents:
        agent.crash(OUTAGE_S)


@fault("entry-stopped")
def stop_entry(cluster: Cluster, context: StepContext) -> None:
    entry = cluster.entry(context)
    if entry.alive:
        entry.at(cluster.world.now, entry.stop)
    cluster.world.extend_faults(RESTART_AFTER_S)


@fault("agent-stopped")
def stop_agent(cluster: Cluster, context: StepContext) -> None:
    agent = cluster.agent(context)
    if agent.alive:
        agent.at(cluster.world.now, agent.stop)
    cluster.world.extend_faults(RESTART_AFTER_S)
