"""What must hold after each case, checked against the record."""

from __future__ import annotations

import copy
import itertools
from collections import Counter
from collections.abc import Callable, Iterator

from briarford.outcomes import Completed, Failed, RefusalReason, Refused

from .faults import Cast
from .processes import ANNOUNCE_TTL_S, Agent, Client, run_task

MAX_ATTEMPTS = 3
LEAVING_S = 3.0
MAX_TURNS = 4000
GRACEFUL = {
    "agent-stopped",
    "entry-stopped",
    "backend-drained",
    "announcement-lapsed",
}

Check = Callable[[Cast], Iterator[str]]

CHECKS: dict[str, Check] = {}


def check(run: Check) -> Check:
    """Register a check under its name."""
    CHECKS[run.__name__] = run
    return run


def violations(cast: Cast) -> list[str]:
    """Return all that does not hold, each with the name of its check."""
    return [
        f"{name}: {found}"
        for name, run in CHECKS.items()
        for found in run(cast)
    ]


@check
def starts_at_most_once(cast: Cast) -> Iterator[str]:
    bounds = {
        c.job_id: MAX_ATTEMPTS if c.idempotent else 1 for c in cast.clients
    }
    starts = Counter(
        (s.ref.job_id, s.ref.index) for s in cast.world.record.starts
    )
    for (job_id, index), count in starts.items():
        if count > bounds.get(job_id, 0):
            yield f"task {index} of {job_id} began {count} times"


@check
def answers_are_whole_and_own(cast: Cast) -> Iterator[str]:
    for client in cast.clients:
        for _, outcome in client.answers:
            if not isinstance(outcome, Completed):
                continue
            if list(outcome.results) != [*map(run_task, client.payloads)]:
                yield f"{client.name} got {outcome.results!r}"


@check
def completed_tasks_began(cast: Cast) -> Iterator[str]:
    for client in cast.clients:
        for at, outcome in client.answers:
            if not isinstance(outcome, Completed):
                continue
            began = {
                s.ref.index
                for s in cast.world.record.starts
                if s.ref.job_id == client.job_id and s.at < at
            }
            for index in set(range(client.tasks)) - began:
                yield f"task {index} of {client.name} had not begun"


@check
def refusals_are_true(cast: Cast) -> Iterator[str]:
    for client in cast.clients:
        for at, outcome in client.answers:
            if isinstance(outcome, Refused) and _ran_despite(cast, client, at):
                yield f"{client.name} ran, but got {outcome.reason}"


def _ran_despite(cast: Cast, client: Client, refused_at: float) -> bool:
    """Whether a refused job ran without being submitted once more."""
    again = [s for s in client.sent_at if s >= refused_at]
    allowed_from = min(again, default=float("inf"))
    return any(
        s.ref.job_id == client.job_id and s.at < allowed_from
        for s in cast.world.record.starts
    )


@check
def denials_are_true(cast: Cast) -> Iterator[str]:
    began = {s.ref for s in cast.world.record.starts}
    for ref in cast.world.record.denied:
        if ref in began:
            yield f"{ref} began, but was reported as not started"


@check
def answers_agree(cast: Cast) -> Iterator[str]:
    """A later answer may be worse (a lost home), never another answer."""
    for client in cast.clients:
        kinds = [type(o) for _, o in client.answers]
        for earlier, later in itertools.pairwise(kinds):
            if earlier is Failed and later is not Failed:
                yield f"{client.name} failed, then {later.__name__}"
            if earlier is Completed and later is Refused:
                yield f"{client.name} completed, then was refused"


@check
def nothing_new_after_leaving(cast: Cast) -> Iterator[str]:
    for start in cast.world.record.starts:
        left_at = start.left_at
        if left_at is not None and start.at > left_at + LEAVING_S:
            yield f"{start.backend} began {start.ref} after it had left"


@check
def graceful_stops_cut_nothing(cast: Cast) -> Iterator[str]:
    injected = set(cast.world.record.injected)
    if not injected or not injected <= GRACEFUL:
        return
    for client in cast.clients:
        if not client.answers:
            yield f"{client.name} got no answer"
            continue
        first = client.answers[0][1]
        stopping = (
            isinstance(first, Refused)
            and first.reason is RefusalReason.STOPPING
        ) or not any(
            s.ref.job_id == client.job_id for s in cast.world.record.starts
        )
        if not isinstance(first, Completed) and not stopping:
            yield f"{client.name} got {first}"


@check
def all_end_by_the_deadline(cast: Cast) -> Iterator[str]:
    for client in cast.clients:
        if client.crashed or not client.job_id:
            continue
        if client.answered_at is None:
            yield f"{client.name} got no answer"
        elif client.answered_at > client.deadline + 1.0:
            late = client.answered_at - client.deadline
            yield f"{client.name} was answered {late:.2f} s too late"


@check
def given_up_is_answered_at_once(cast: Cast) -> Iterator[str]:
    yield from cast.world.record.held


@check
def credits_are_conserved(cast: Cast) -> Iterator[str]:
    for agent in cast.agents:
        granter = agent.core._granter
        if granter.running:
            yield f"{agent.name} counts {granter.running} running"
        total = granter.granted + granter.running + granter.free
        if total != granter.slots:
            yield f"{agent.name}: {total} credits for {granter.slots} slots"
        held = 0
        for entry in cast.entries:
            worker = entry.core.placer.workers.get(agent.name)
            held += worker.credits if worker else 0
        if held != granter.granted:
            yield f"{agent.name} granted {granter.granted}, held are {held}"
        if granter.free < 0:
            yield f"{agent.name} gave away {-granter.free} slots too many"
        waiting = sum(
            sum(e.core.placer.queued_by_service().values())
            for e in cast.entries
        )
        if granter.free > 0 and waiting:
            yield f"{agent.name} keeps {granter.free} slots from tasks"
        kept = granter.free - _granted_on_demand(agent, cast.world.now)
        if granter.free > 0 and kept:
            yield f"{agent.name} keeps {kept} free slots from demand"


def _granted_on_demand(agent: Agent, now: float) -> int:
    """Count the free slots that an entry with waiting tasks would get."""
    granter = copy.deepcopy(agent.core._granter)
    for address, link in agent.core._links.items():
        if link.welcomed:
            granter.set_demand(address, granter.slots + granter.granted)
            break
    return sum(grant.credits for grant in granter.turn(now))


@check
def nothing_is_left_over(cast: Cast) -> Iterator[str]:
    for entry in cast.entries:
        core = entry.core
        sizes = {
            "jobs that run": core.jobs.running,
            "attempts outstanding": core.outstanding(),
            "tasks queued": sum(core.placer.queued_by_service().values()),
            "sessions too many": len(core._sessions) - len(cast.agents),
            "agents too many": len(core._agents) - len(cast.agents),
            "waiters": len(entry.waiters),
        }
        for what, size in sizes.items():
            if size:
                yield f"{entry.name} has {size} {what}"
        yield from _unused_outboxes(entry.name, core._sessions.values())
    for agent in cast.agents:
        core = agent.core
        sizes = {
            "calls": core.running,
            "links too many": len(core._links) - len(cast.entries),
            "results unread": sum(
                len(k.results) for k in core._links.values()
            ),
            "attempts running": sum(
                len(k.running) for k in core._links.values()
            ),
        }
        for what, size in sizes.items():
            if size:
                yield f"{agent.name} has {size} {what}"
        yield from _unused_outboxes(agent.name, core._links.values())


def _unused_outboxes(name: str, owners: object) -> Iterator[str]:
    for owner in owners:  # type: ignore[attr-defined]
        box = owner.outbox
        for field in ("starts", "cancels", "results", "reports"):
            if getattr(box, field, None):
                yield f"{name} kept {field} in an outbox"


@check
def timers_are_bounded(cast: Cast) -> Iterator[str]:
    for process in [*cast.entries, *cast.agents]:
        timers = process.core._timers
        bound = 8 + 4 * (len(cast.agents) + len(cast.clients))
        if len(timers) > bound:
            yield f"{process.name} has {len(timers)} timers"


@check
def no_core_spins(cast: Cast) -> Iterator[str]:
    for name, turns in cast.world.record.turns.items():
        if turns > MAX_TURNS:
            yield f"{name} took {turns} turns"


@check
def workers_come_back(cast: Cast) -> Iterator[str]:
    for agent in cast.agents:
        if agent.core.leaving and agent.backend.alive:
            yield f"{agent.name} takes no work, {ANNOUNCE_TTL_S} s lease"


@check
def placement_counts_nothing_twice(cast: Cast) -> Iterator[str]:
    for entry in cast.entries:
        for pool in entry.core.placer._pools.values():
            counts = {
                "running": pool.running,
                "queued": pool.queued,
                "jobs queued": len(pool.jobs),
                "jobs running": len(pool.running_by_job),
            }
            for share in pool.shares.values():
                counts[f"running of {share.team}"] = share.running
                counts[f"queued of {share.team}"] = share.queued
            for worker in entry.core.placer.workers.values():
                counts[f"running on {worker.name}"] = worker.running
            for what, count in counts.items():
                if count:
                    yield f"{entry.name} counts {count} {what}"


def note_held(cast: Cast, client: Client) -> None:
    """Note a request that waits though nothing can come of it any more."""
    if client.crashed or client.answered_at is not None:
        return
    called = any(
        ref.job_id == client.job_id for a in cast.agents for ref in a.calls
    )
    if not called and client.job_id:
        cast.world.record.held.append(f"{client.name} is held")
