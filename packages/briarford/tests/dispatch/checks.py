"""Checks that are applied after each case.

A check yields one line for each violation it finds in the record of the case
or in the state of the cores. Its name is printed in docs/FAULTS.md.
"""

from __future__ import annotations

import copy
import itertools
from collections import Counter
from collections.abc import Callable, Iterator

from briarford.outcomes import Completed, Failed, RefusalReason, Refused

from .faults import Cluster
from .processes import ANNOUNCE_TTL_S, Agent, Client, run_task

MAX_ATTEMPTS = 3
# A backend server may still start tasks this long after its drain has begun.
LEAVING_S = 3.0
MAX_TURNS = 4000
# Faults that let running work finish, so no job that has started may fail.
GRACEFUL = {
    "agent-stopped",
    "entry-stopped",
    "backend-drained",
    "announcement-lapsed",
}

Check = Callable[[Cluster], Iterator[str]]

CHECKS: dict[str, Check] = {}


def check(run: Check) -> Check:
    """Register a check under its name."""
    CHECKS[run.__name__] = run
    return run


def violations(cluster: Cluster) -> list[str]:
    """Return the violations, each with the name of the check that found it."""
    return [
        f"{name}: {found}"
        for name, run in CHECKS.items()
        for found in run(cluster)
    ]


@check
def starts_at_most_once(cluster: Cluster) -> Iterator[str]:
    """Check that no task starts more often than its request allows."""
    bounds = {
        c.job_id: MAX_ATTEMPTS if c.idempotent else 1 for c in cluster.clients
    }
    starts = Counter(
        (s.ref.job_id, s.ref.index) for s in cluster.world.record.starts
    )
    for (job_id, index), count in starts.items():
        if count > bounds.get(job_id, 0):
            yield f"task {index} of {job_id} began {count} times"


@check
def answers_are_whole_and_own(cluster: Cluster) -> Iterator[str]:
    """Check that a completed job has all results, in order, of its tasks."""
    for client in cluster.clients:
        for _, outcome in client.answers:
            if not isinstance(outcome, Completed):
                continue
            if list(outcome.results) != [*map(run_task, client.payloads)]:
                yield f"{client.name} got {outcome.results!r}"


@check
def completed_tasks_began(cluster: Cluster) -> Iterator[str]:
    """Check that a job completes only after each of its tasks has started."""
    for client in cluster.clients:
        for at, outcome in client.answers:
            if not isinstance(outcome, Completed):
                continue
            began = {
                s.ref.index
                for s in cluster.world.record.starts
                if s.ref.job_id == client.job_id and s.at < at
            }
            for index in set(range(client.tasks)) - began:
                yield f"task {index} of {client.name} had not begun"


@check
def refusals_are_true(cluster: Cluster) -> Iterator[str]:
    """Check that no task of a refused job has started."""
    for client in cluster.clients:
        for at, outcome in client.answers:
            if isinstance(outcome, Refused) and _ran_despite_refusal(
                cluster, client, at
            ):
                yield f"{client.name} ran, but got {outcome.reason}"


def _ran_despite_refusal(
    cluster: Cluster, client: Client, refused_at: float
) -> bool:
    """Whether a task of a refused job started, before or after the refusal.

    Starts after the client submitted the job again do not count, as the
    repeated submission may have been accepted.
    """
    again = [s for s in client.sent_at if s >= refused_at]
    allowed_from = min(again, default=float("inf"))
    return any(
        s.ref.job_id == client.job_id and s.at < allowed_from
        for s in cluster.world.record.starts
    )


@check
def denials_are_true(cluster: Cluster) -> Iterator[str]:
    """Check that no attempt reported as not started has started."""
    began = {s.ref for s in cluster.world.record.starts}
    for ref in cluster.world.record.reported_not_started:
        if ref in began:
            yield f"{ref} began, but was reported as not started"


@check
def answers_agree(cluster: Cluster) -> Iterator[str]:
    """Check that repeated reads of a job give no contradictory answers.

    A completed job may later be answered as failed, when its entry was lost.
    """
    for client in cluster.clients:
        kinds = [type(o) for _, o in client.answers]
        for earlier, later in itertools.pairwise(kinds):
            if earlier is Failed and later is not Failed:
                yield f"{client.name} failed, then {later.__name__}"
            if earlier is Completed and later is Refused:
                yield f"{client.name} completed, then was refused"


@check
def nothing_new_after_leaving(cluster: Cluster) -> Iterator[str]:
    """Check that a backend server starts no task long after its drain began.

    The limit is ``LEAVING_S``.
    """
    for start in cluster.world.record.starts:
        left_at = start.left_at
        if left_at is not None and start.at > left_at + LEAVING_S:
            yield f"{start.backend} began {start.ref} after it had left"


@check
def graceful_stops_cut_nothing(cluster: Cluster) -> Iterator[str]:
    """Check that stops and drains fail no job that has started.

    A job may be refused by a stopping entry, or fail if it never started.
    """
    injected = set(cluster.world.record.injected_faults)
    if not injected or not injected <= GRACEFUL:
        return
    for client in cluster.clients:
        if not client.answers:
            yield f"{client.name} got no answer"
            continue
        first = client.answers[0][1]
        stopping = (
            isinstance(first, Refused)
            and first.reason is RefusalReason.STOPPING
        ) or not any(
            s.ref.job_id == client.job_id for s in cluster.world.record.starts
        )
        if not isinstance(first, Completed) and not stopping:
            yield f"{client.name} got {first}"


@check
def all_end_by_the_deadline(cluster: Cluster) -> Iterator[str]:
    """Check that each client has an answer at most 1 s after its deadline."""
    for client in cluster.clients:
        if client.crashed or not client.job_id:
            continue
        if client.answered_at is None:
            yield f"{client.name} got no answer"
        elif client.answered_at > client.deadline + 1.0:
            late = client.answered_at - client.deadline
            yield f"{client.name} was answered {late:.2f} s too late"


@check
def given_up_is_answered_at_once(cluster: Cluster) -> Iterator[str]:
    """Check that no client waits for a job for which no call runs."""
    yield from cluster.world.record.unanswered


@check
def credits_are_conserved(cluster: Cluster) -> Iterator[str]:
    """Check that credits and running tasks add up to an agent's slots.

    Entries must hold the credits that the agent counts as granted, and the
    agent must not keep slots free while tasks wait or demand arises.
    """
    for agent in cluster.agents:
        granter = agent.core._granter
        if granter.running:
            yield f"{agent.name} counts {granter.running} running"
        total = granter.granted + granter.running + granter.free
        if total != granter.slots:
            yield f"{agent.name}: {total} credits for {granter.slots} slots"
        held = 0
        for entry in cluster.entries:
            worker = entry.core.placer.workers.get(agent.name)
            held += worker.credits if worker else 0
        if held != granter.granted:
            yield f"{agent.name} granted {granter.granted}, {held} are held"
        if granter.free < 0:
            yield f"{agent.name} granted {-granter.free} slots too many"
        waiting = sum(
            sum(e.core.placer.queued_by_service().values())
            for e in cluster.entries
        )
        if granter.free > 0 and waiting:
            yield f"{agent.name} has {granter.free} slots free as tasks wait"
        kept = granter.free - _grantable_on_demand(agent, cluster.world.now)
        if granter.free > 0 and kept:
            yield f"{agent.name} withholds {kept} free slots on demand"


def _grantable_on_demand(agent: Agent, now: float) -> int:
    """Count the free slots that the agent would grant if demand arose now.

    Works on a copy of the slot granter, with demand of one entry.
    """
    granter = copy.deepcopy(agent.core._granter)
    for address, link in agent.core._links.items():
        if link.welcomed:
            granter.set_demand(address, granter.slots + granter.granted)
            break
    return sum(grant.credits for grant in granter.turn(now))


@check
def nothing_is_left_over(cluster: Cluster) -> Iterator[str]:
    """Check that no job, attempt, session or message remains at the end."""
    for entry in cluster.entries:
        core = entry.core
        sizes = {
            "jobs that run": core.jobs.running,
            "attempts outstanding": core.outstanding(),
            "tasks queued": sum(core.placer.queued_by_service().values()),
            "sessions too many": len(core._sessions) - len(cluster.agents),
            "agents too many": len(core._agents) - len(cluster.agents),
            "waiters": len(entry.waiters),
        }
        for what, size in sizes.items():
            if size:
                yield f"{entry.name} has {size} {what}"
        yield from _unused_outboxes(entry.name, core._sessions.values())
    for agent in cluster.agents:
        core = agent.core
        sizes = {
            "calls": core.running,
            "links too many": len(core._links) - len(cluster.entries),
            "results unread": sum(
                len(link.results) for link in core._links.values()
            ),
            "attempts running": sum(
                len(link.running) for link in core._links.values()
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
                yield f"{name} has unsent {field} in an outbox"


@check
def timers_are_bounded(cluster: Cluster) -> Iterator[str]:
    """Check that cores clear timers that they no longer need."""
    for process in [*cluster.entries, *cluster.agents]:
        timers = process.core._timers
        bound = 8 + 4 * (len(cluster.agents) + len(cluster.clients))
        if len(timers) > bound:
            yield f"{process.name} has {len(timers)} timers"


@check
def no_core_spins(cluster: Cluster) -> Iterator[str]:
    """Check that no core runs turns without pause."""
    for name, turns in cluster.world.record.turns.items():
        if turns > MAX_TURNS:
            yield f"{name} took {turns} turns"


@check
def workers_come_back(cluster: Cluster) -> Iterator[str]:
    """Check that an agent accepts work again once its faults are over."""
    for agent in cluster.agents:
        if agent.core.leaving and agent.backend.alive:
            yield f"{agent.name} accepts no work, {ANNOUNCE_TTL_S} s lease"


@check
def placement_counts_nothing_twice(cluster: Cluster) -> Iterator[str]:
    """Check that all counts of the placement cores are zero at the end."""
    for entry in cluster.entries:
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


def record_if_unanswered(cluster: Cluster, client: Client) -> None:
    """Record a client that has no answer although no call for its job runs.

    The faults are over by then, so the entry should have answered the client
    instead of keeping it waiting until the deadline.
    """
    if client.crashed or client.answered_at is not None:
        return
    called = any(
        ref.job_id == client.job_id for a in cluster.agents for ref in a.calls
    )
    if not called and client.job_id:
        cluster.world.record.unanswered.append(
            f"{client.name} waits, but no call runs"
        )
