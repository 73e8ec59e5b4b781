"""The placement core of an entry: queue, workers, credits, decisions."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Iterable, Mapping

from briarford.jobs.messages import JobSpec, TaskRef
from briarford.limits import (
    HealthGuard,
    LimitConfig,
    Load,
    QuotaDivider,
    ThrottleChange,
    check_deadline,
    check_queue,
)
from briarford.outcomes import RefusalReason, Refused, Step
from briarford.placement.config import PlacementConfig, TeamQuota
from briarford.placement.messages import Placed, QueuedTask
from briarford.placement.pool import FitClass, ServicePool
from briarford.placement.queue import JobEntry, TeamShare
from briarford.placement.state import WorkerShape, WorkerState
from briarford.placement.strategies import Choice, make_strategy
from briarford.sessions.messages import TaskStatus, WorkerInfo

__all__ = ["Placer"]

RETRY_AFTER_S = 1.0
MS_PER_S = 1000.0


class Placer:
    """Queues tasks and places them on workers that gave credits.

    :param entry: name of the entry, for refusals.
    :param zone: availability zone of the entry.
    :param rng: source of random choices.
    :param strategy_name: how a worker is chosen; the configured strategy if
        it is not given.
    :param placement: numbers of placement that are in force.
    :param limits: numbers of limits that are in force.
    """

    def __init__(
        self,
        entry: str,
        zone: str,
        rng: random.Random,
        strategy_name: str | None = None,
        *,
        placement: PlacementConfig | None = None,
        limits: LimitConfig | None = None,
    ) -> None:
        self._entry = entry
        self._zone = zone
        self._rng = rng
        self._cfg = placement or PlacementConfig()
        self._limits = limits or LimitConfig()
        self._strategy_name = strategy_name or self._cfg.strategy
        self._strategy = make_strategy(self._strategy_name, rng)
        self._workers: dict[str, WorkerState] = {}
        self._pools: dict[str, ServicePool] = {}
        self._guards: dict[str, HealthGuard] = {}
        self._probes: list[tuple[float, str]] = []
        self._quotas = QuotaDivider(entry)
        self._entries = 1
        self._verdicts: list[ThrottleChange] = []

    @property
    def workers(self) -> dict[str, WorkerState]:
        """The workers that are attached, by name."""
        return self._workers

    @property
    def uses_credits(self) -> bool:
        """Whether a task is only placed on a credit."""
        return self._strategy.uses_credits

    def configure(
        self, placement: PlacementConfig, limits: LimitConfig
    ) -> None:
        """Take in the numbers of another preset."""
        self._cfg = placement
        self._limits = limits
        if placement.strategy != self._strategy_name:
            self._strategy_name = placement.strategy
            self._strategy = make_strategy(placement.strategy, self._rng)
        for guard in self._guards.values():
            guard.cfg = limits
        for pool in self._pools.values():
            for share in pool.shares.values():
                quota = self._quota(share.team)
                share.weight = quota.share
                share.max_running = self._part_of(quota)

    def set_entry_count(self, count: int) -> None:
        """Take in how many entries share the workers and the quotas."""
        self._entries = max(1, count)
        self.configure(self._cfg, self._limits)

    def admit(self, spec: JobSpec, now: float) -> Refused | None:
        """Refuse a job that cannot run, before any of it is queued."""
        pool = self._pools.get(spec.service)
        if pool is None or not pool.worker_count:
            return Refused(
                RefusalReason.UNKNOWN_SERVICE,
                f"no worker provides service '{spec.service}' now",
                Step.ADMIT,
                self._entry,
                now + RETRY_AFTER_S,
            )
        if not pool.fits(spec.tasks):
            return Refused(
                RefusalReason.NO_WORKER_FITS,
                f"a task needs more than any worker of '{spec.service}' has",
                Step.ADMIT,
                self._entry,
            )
        load = self._load(pool, spec.team)
        return check_queue(
            spec, load, self._limits, self._entry, now
        ) or check_deadline(spec, load, self._limits, self._entry, now)

    def set_worker(self, name: str, zone: str, info: WorkerInfo) -> None:
        """Add a worker, or take in what it announced anew."""
        known = self._workers.pop(name, None)
        if known is not None:
            self._pools[known.service].remove_worker(known)
        pool = self._pool(info.service)
        worker = WorkerState(
            name=name,
            service=info.service,
            zone=zone,
            shape=WorkerShape.of(info),
            slots=info.slots,
            credits=known.credits if known else 0,
            running=known.running if known else 0,
            leaving=known.leaving if known else False,
            allowance=known.allowance if known else None,
        )
        self._workers[name] = worker
        pool.add_worker(worker)
        self._update_cost(pool, worker)

    def remove_worker(self, name: str) -> None:
        """Forget a worker and its credits."""
        worker = self._workers.pop(name, None)
        if worker is None:
            return
        pool = self._pools[worker.service]
        pool.remove_worker(worker)
        guard = self._guards[worker.service]
        for verdict in guard.forget(name, pool.worker_count):
            self._apply(verdict)

    def set_leaving(self, name: str, leaving: bool) -> None:
        """Mark whether a worker takes new work."""
        worker = self._workers.get(name)
        if worker is None or worker.leaving == leaving:
            return
        worker.leaving = leaving
        self._refresh(worker)

    def add_credits(self, name: str, count: int) -> None:
        """Take in credits that a worker granted."""
        worker = self._workers.get(name)
        if worker is None:
            return
        pool = self._pools[worker.service]
        worker.credits += count
        pool.credits += count
        pool.groups[worker.shape].refresh(worker)

    def set_spare(self, name: str, count: int) -> None:
        """Take in how many slots a worker keeps in hand for any entry."""
        worker = self._workers.get(name)
        if worker is None:
            return
        worker.spare = count
        pool = self._pools[worker.service]
        pool.groups[worker.shape].refresh(worker)

    def return_credits(self, name: str, count: int) -> int:
        """Give up to ``count`` unspent credits back; return how many."""
        worker = self._workers.get(name)
        if worker is None:
            return 0
        returned = min(count, worker.credits)
        worker.credits -= returned
        self._pools[worker.service].credits -= returned
        return returned

    def enqueue(self, tasks: Iterable[QueuedTask]) -> None:
        """Queue tasks, in order."""
        entries: dict[tuple[str, int], tuple[FitClass, JobEntry]] = {}
        for task in tasks:
            pool = self._pool(task.service)
            class_ = pool.class_of(task.spec)
            key = (task.ref.job_id, id(class_))
            if key not in entries:
                entries[key] = (class_, self._entry_of(pool, task))
            entries[key][1].tasks.append(task)
        for class_, job in entries.values():
            pool = self._pools[job.tasks[0].service]
            self._rank(pool, job)
            pool.queue_job(class_, job)

    def drop_job(self, job_id: str) -> list[TaskRef]:
        """Take a job's tasks out of the queue; return which."""
        dropped: list[TaskRef] = []
        for pool in self._pools.values():
            for class_, job in pool.jobs.pop(job_id, ()):
                dropped += [t.ref for t in class_.queue.drop(job)]
        return dropped

    def demand(self, service: str) -> int:
        """Count tasks that wait for a slot of this service."""
        pool = self._pools.get(service)
        return pool.queued if pool else 0

    def demand_for_worker(self, name: str, now: float) -> int:
        """Return a worker's part of the tasks that wait for a slot.

        It is none where the worker is leaving or throttled.
        """
        worker = self._workers.get(name)
        if worker is None or worker.leaving or worker.allowance is not None:
            return 0
        pool = self._pools[worker.service]
        group = pool.groups[worker.shape]
        waiting = sum(
            c.queue.size / sum(len(g) for g in c.groups)
            for c in pool.classes.values()
            if group in c.groups
        )
        served = self._served_soon(pool, now) / pool.worker_count
        return max(0, math.ceil(waiting - served))

    def team_demand(self) -> dict[str, int]:
        """Count running and waiting tasks by team, to report to entries."""
        demand: Counter[str] = Counter()
        for pool in self._pools.values():
            for share in pool.shares.values():
                demand[share.team] += share.queued + share.running
        return {team: n for team, n in demand.items() if n}

    def set_team_demand(
        self, entry: str, demand: Mapping[str, int], now: float
    ) -> None:
        """Take in the report of an entry, the own one too."""
        self._quotas.report(entry, demand)
        self._divide_quotas(now)

    def forget_entry(self, entry: str, now: float) -> None:
        """Drop the report of an entry that is gone for good."""
        self._quotas.forget(entry)
        self._divide_quotas(now)

    def observe(
        self,
        worker: str,
        task: QueuedTask,
        status: TaskStatus,
        run_ms: float,
        now: float,
    ) -> None:
        """Take in how an attempt ended; frees the entry's running slot."""
        pool = self._pool(task.service)
        state = self._workers.get(worker)
        if state is not None and state.service != task.service:
            state = None
        job_id = task.ref.job_id
        if status is TaskStatus.DONE:
            run_s = run_ms / MS_PER_S
            pool.speeds.observe(worker, task.team, job_id, run_s)
        pool.end(job_id, task.team, state)
        pool.moved_at = now
        if state is None:
            return
        if status is TaskStatus.NOT_STARTED:
            state.spare = 0
        self._judge(pool, state, job_id, status, now)
        if status is TaskStatus.DONE:
            self._update_cost(pool, state)

    def place(self, now: float) -> list[Placed]:
        """Place all tasks that can be placed now, spending credits."""
        self._allow_probes(now)
        placed: list[Placed] = []
        for pool in self._pools.values():
            if pool.queued:
                self._place_pool(pool, now, placed)
        return placed

    def choose_workers_to_notify(self, now: float) -> list[str]:
        """Return the workers to tell of waiting tasks now.

        Call it after :meth:`place`, and send each of them a batch. Workers
        that get a start in this turn are told by that batch.
        """
        names: list[str] = []
        for pool in self._pools.values():
            if pool.queued and self._strategy.uses_credits:
                names += self._tell(pool, now)
        return names

    def _served_soon(self, pool: ServicePool, now: float) -> float:
        """Expect how many waiting tasks get an own slot without notice.

        None if nothing has started or ended for as long: then what runs is
        stuck, and its slots do not become free at the usual rate.
        """
        notice_after_s = self._cfg.notice_after_ms / MS_PER_S
        if now > pool.moved_at + notice_after_s:
            return 0.0
        return pool.running / pool.speeds.slot_s("") * notice_after_s

    def _tell(self, pool: ServicePool, now: float) -> list[str]:
        soon = self._served_soon(pool, now)
        wanted = math.ceil((pool.queued - soon) / self._cfg.waiting_per_notice)
        if wanted <= 0:
            return []
        again_s = self._cfg.notice_again_ms / MS_PER_S
        told = sum(
            w.told_at + again_s > now
            for g in pool.groups.values()
            for w in g.members()
        )
        if told >= min(wanted, pool.worker_count):
            return []
        untold = [
            w
            for g in pool.groups.values()
            for w in g.members()
            if w.open and w.told_at + again_s <= now
        ]
        untold.sort(key=lambda w: (w.running + w.credits, w.cost_class))
        chosen = untold[: wanted - told]
        for worker in chosen:
            worker.told_at = now
        return [w.name for w in chosen]

    def pop_throttle_changes(self) -> list[ThrottleChange]:
        """Return the changes of workers' standing since the last call."""
        verdicts, self._verdicts = self._verdicts, []
        return verdicts

    def expected_run_s(self, task: QueuedTask, worker: str) -> float:
        """Expect how long a task takes on a worker, in seconds."""
        speeds = self._pool(task.service).speeds
        run_s = speeds.run_s(task.team, task.ref.job_id)
        return run_s * speeds.slowness(worker)

    def queued_by_service(self) -> Counter[str]:
        """Count queued tasks by service, for metrics."""
        return Counter({s: p.queued for s, p in self._pools.items()})

    def _place_pool(
        self, pool: ServicePool, now: float, placed: list[Placed]
    ) -> None:
        waiting = [c for c in pool.classes.values() if c.queue.size]
        while waiting:
            class_ = waiting[0]
            if len(waiting) > 1:
                class_ = min(waiting, key=lambda c: c.queue.least_used(now))
            if not self._place_one(pool, class_, now, placed):
                waiting.remove(class_)

    def _place_one(
        self,
        pool: ServicePool,
        class_: FitClass,
        now: float,
        placed: list[Placed],
    ) -> bool:
        if not self._has_room(class_):
            return False
        job = class_.queue.first(now)
        if job is None:
            return False
        worker = self._choose(pool, class_, job, len(job.tasks))
        if worker is None:
            return self._place_late(pool, class_, now, placed)
        self._start(pool, class_, job, worker, now, placed)
        return True

    def _has_room(self, class_: FitClass) -> bool:
        if not self._strategy.uses_credits:
            return any(len(g) for g in class_.groups)
        return any(g.fastest_ready() for g in class_.groups)

    def _place_late(
        self,
        pool: ServicePool,
        class_: FitClass,
        now: float,
        placed: list[Placed],
    ) -> bool:
        """Offer a slot that the first job leaves empty to a late one."""
        job = class_.queue.last()
        if job is None:
            return False
        worker = self._choose(pool, class_, job, class_.queue.size)
        if worker is None:
            return False
        self._start(pool, class_, job, worker, now, placed)
        return True

    def _choose(
        self, pool: ServicePool, class_: FitClass, job: JobEntry, ahead: int
    ) -> WorkerState | None:
        run_s = pool.speeds.run_s(job.share.team, job.job_id)
        choice = Choice(
            class_.groups,
            run_s / pool.speeds.usual_run_s(),
            ahead,
            self._cfg.leave_slow_slots,
        )
        return self._strategy.choose(choice)

    def _start(
        self,
        pool: ServicePool,
        class_: FitClass,
        job: JobEntry,
        worker: WorkerState,
        now: float,
        placed: list[Placed],
    ) -> None:
        task = class_.queue.take(job)
        share = job.share
        run_s = pool.speeds.run_s(share.team, job.job_id)
        share.used += run_s / share.weight
        pool.start(job, worker)
        pool.moved_at = now
        worker.told_at = now
        if not job.tasks:
            pool.forget_entry(job)
        placed.append(Placed(task, worker.name, self._strategy_name))

    def _pool(self, service: str) -> ServicePool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = ServicePool(service)
            self._guards[service] = HealthGuard(self._limits)
        return pool

    def _quota(self, team: str) -> TeamQuota:
        return self._cfg.quotas.get(team, self._cfg.default_quota)

    def _part_of(self, quota: TeamQuota) -> int | None:
        """Return this entry's even part of a quota, until reports differ."""
        if not quota.max_running:
            return quota.max_running
        return max(1, quota.max_running // self._entries)

    def _share(self, pool: ServicePool, team: str) -> TeamShare:
        share = pool.shares.get(team)
        if share is None:
            quota = self._quota(team)
            share = TeamShare(
                team, weight=quota.share, max_running=self._part_of(quota)
            )
            pool.shares[team] = share
        return share

    def _entry_of(self, pool: ServicePool, task: QueuedTask) -> JobEntry:
        return JobEntry(
            job_id=task.ref.job_id,
            share=self._share(pool, task.team),
            deadline=task.deadline,
            queued_at=task.queued_at,
            tasks=deque(),
            run_s=pool.speeds.slot_s(task.team),
        )

    def _rank(self, pool: ServicePool, job: JobEntry) -> None:
        slots = max(1, pool.slots)
        work_s = len(job.tasks) * job.run_s / slots
        job.rank = work_s + self._cfg.aging_weight * job.queued_at
        left_s = (work_s + job.run_s) * self._cfg.urgent_margin
        job.latest_start = job.deadline - left_s

    def _load(self, pool: ServicePool, team: str) -> Load:
        share = self._share(pool, team)
        weights = sum(
            s.weight
            for s in pool.shares.values()
            if s.queued or s.team == team
        )
        queued_s = sum(s.queued_s for s in pool.shares.values())
        held = pool.running + pool.credits
        slots = max(held, pool.slots / self._entries, 1.0)
        return Load(
            slots=min(slots, max(pool.slots, 1)),
            run_s=pool.speeds.slot_s(team),
            queued=pool.queued,
            queued_s=queued_s,
            team_queued=share.queued,
            team_queued_s=share.queued_s,
            team_part=share.weight / weights,
            team_slots=share.max_running,
        )

    def _divide_quotas(self, now: float) -> None:
        for pool in self._pools.values():
            for share in pool.shares.values():
                quota = self._quota(share.team).max_running
                if quota is not None:
                    allowed = self._quotas.allowed(share.team, quota, now)
                    share.max_running = allowed

    def _update_cost(self, pool: ServicePool, worker: WorkerState) -> None:
        speeds = pool.speeds
        seconds = speeds.usual_run_s() * speeds.slowness(worker.name)
        if worker.zone != self._zone:
            seconds += self._cfg.zone_penalty_ms / MS_PER_S
        pool.groups[worker.shape].set_cost(worker, seconds)

    def _refresh(self, worker: WorkerState) -> None:
        group = self._pools[worker.service].groups[worker.shape]
        group.refresh(worker)
        group.recount_slots()

    def _judge(
        self,
        pool: ServicePool,
        worker: WorkerState,
        job_id: str,
        status: TaskStatus,
        now: float,
    ) -> None:
        guard = self._guards[pool.service]
        verdict = None
        if status in (TaskStatus.DONE, TaskStatus.FAILED):
            failed = status is TaskStatus.FAILED
            verdict = guard.observe(
                worker.name, job_id, failed, pool.worker_count, now
            )
        elif worker.allowance == 0:
            verdict = guard.abandon_probe(worker.name, now)
        if verdict is not None:
            self._apply(verdict)

    def _apply(self, verdict: ThrottleChange) -> None:
        self._verdicts.append(verdict)
        worker = self._workers.get(verdict.worker)
        if worker is None:
            return
        worker.allowance = None
        if verdict.probe_at is not None:
            worker.allowance = 0
            heapq.heappush(self._probes, (verdict.probe_at, worker.name))
        self._refresh(worker)

    def _allow_probes(self, now: float) -> None:
        while self._probes and self._probes[0][0] <= now:
            _, name = heapq.heappop(self._probes)
            worker = self._workers.get(name)
            if worker is None or worker.allowance is None:
                continue
            self._guards[worker.service].begin_probe(name)
            worker.allowance = 1
            self._refresh(worker)
