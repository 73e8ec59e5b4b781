"""The placement core of an entry.

It holds the queued tasks and the state of the attached workers, and decides
which task starts on which worker. It does no input or output.
"""

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
from briarford.placement.queue import QueuedJob, TeamShare
from briarford.placement.state import WorkerShape, WorkerState
from briarford.placement.strategies import ChoiceInput, make_strategy
from briarford.sessions.messages import TaskStatus, WorkerInfo

__all__ = ["Placer"]

UNKNOWN_SERVICE_RETRY_S = 1.0
MS_PER_S = 1000.0


class Placer:
    """Queues tasks, and places them on workers whose slots it may use.

    :param entry: name of the entry, for refusals and quota reports.
    :param zone: availability zone of the entry.
    :param rng: source of random choices.
    :param strategy_name: the strategy that chooses workers; by default the
        one of ``placement``.
    :param placement: the parameters of placement in force.
    :param limits: the limits in force.
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
        self._probes: list[tuple[float, str]] = []  # heap: due at, worker
        self._quotas = QuotaDivider(entry)
        self._entry_count = 1
        self._throttle_changes: list[ThrottleChange] = []

    @property
    def workers(self) -> dict[str, WorkerState]:
        """The attached workers by name."""
        return self._workers

    @property
    def uses_credits(self) -> bool:
        """Whether tasks are only placed on credits or spare slots."""
        return self._strategy.uses_credits

    def configure(
        self, placement: PlacementConfig, limits: LimitConfig
    ) -> None:
        """Apply the parameters of a newly adopted preset."""
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
                share.max_running = self._local_quota(quota)

    def set_entry_count(self, count: int) -> None:
        """Set how many entries share the workers and the quotas."""
        self._entry_count = max(1, count)
        self.configure(self._cfg, self._limits)

    def admit(self, spec: JobSpec, now: float) -> Refused | None:
        """Check whether a job may be queued.

        :return: the refusal of a job that no worker can run, that exceeds
            the queue bound or that cannot end by its deadline; else None.
        """
        pool = self._pools.get(spec.service)
        if pool is None or not pool.worker_count:
            return Refused(
                RefusalReason.UNKNOWN_SERVICE,
                f"no worker provides service '{spec.service}' now",
                Step.ADMIT,
                self._entry,
                now + UNKNOWN_SERVICE_RETRY_S,
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
        """Add a worker, or update it from a new announcement."""
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
        """Remove a worker together with its credits."""
        worker = self._workers.pop(name, None)
        if worker is None:
            return
        pool = self._pools[worker.service]
        pool.remove_worker(worker)
        guard = self._guards[worker.service]
        for change in guard.forget_worker(name, pool.worker_count):
            self._apply_throttle_change(change)

    def set_leaving(self, name: str, leaving: bool) -> None:
        """Set whether a worker is leaving; if so, it gets no new task."""
        worker = self._workers.get(name)
        if worker is None or worker.leaving == leaving:
            return
        worker.leaving = leaving
        self._refresh_ready(worker)

    def add_credits(self, name: str, count: int) -> None:
        """Add credits that a worker's agent granted."""
        worker = self._workers.get(name)
        if worker is None:
            return
        pool = self._pools[worker.service]
        worker.credits += count
        pool.credits += count
        pool.groups[worker.shape].refresh_ready(worker)

    def set_spare(self, name: str, count: int) -> None:
        """Set how many ungranted slots a worker's agent reported."""
        worker = self._workers.get(name)
        if worker is None:
            return
        worker.spare = count
        pool = self._pools[worker.service]
        pool.groups[worker.shape].refresh_ready(worker)

    def return_credits(self, name: str, count: int) -> int:
        """Remove unused credits, at most ``count``; return how many."""
        worker = self._workers.get(name)
        if worker is None:
            return 0
        returned = min(count, worker.credits)
        worker.credits -= returned
        self._pools[worker.service].credits -= returned
        return returned

    def enqueue(self, tasks: Iterable[QueuedTask]) -> None:
        """Queue tasks, those of each job in the given order."""
        queued_jobs: dict[tuple[str, int], tuple[FitClass, QueuedJob]] = {}
        for task in tasks:
            pool = self._pool(task.service)
            class_ = pool.class_of(task.spec)
            key = (task.ref.job_id, id(class_))
            if key not in queued_jobs:
                queued_jobs[key] = (class_, self._make_queued_job(pool, task))
            queued_jobs[key][1].tasks.append(task)
        for class_, job in queued_jobs.values():
            pool = self._pools[job.tasks[0].service]
            self._set_rank(pool, job)
            pool.queue_job(class_, job)

    def drop_job(self, job_id: str) -> list[TaskRef]:
        """Remove a job's queued tasks and return their references."""
        dropped: list[TaskRef] = []
        for pool in self._pools.values():
            for class_, job in pool.jobs.pop(job_id, ()):
                dropped += [t.ref for t in class_.queue.remove_tasks(job)]
        return dropped

    def demand(self, service: str) -> int:
        """Return the number of queued tasks of a service."""
        pool = self._pools.get(service)
        return pool.queued if pool else 0

    def demand_for_worker(self, name: str, now: float) -> int:
        """Return the number of queued tasks to report to a worker's agent.

        Queued tasks are divided evenly among the workers that they fit. The
        worker's share of the tasks that are expected to start soon on slots
        of this entry is subtracted. A leaving or throttled worker has none.
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
        served = self._expected_slot_releases(pool, now) / pool.worker_count
        return max(0, math.ceil(waiting - served))

    def team_demand(self) -> dict[str, int]:
        """Count running and queued tasks by team, to report to entries."""
        demand: Counter[str] = Counter()
        for pool in self._pools.values():
            for share in pool.shares.values():
                demand[share.team] += share.queued + share.running
        return {team: n for team, n in demand.items() if n}

    def set_team_demand(
        self, entry: str, demand: Mapping[str, int], now: float
    ) -> None:
        """Divide the quotas by an entry's new report of its team demand.

        The reports of this entry are passed here too.
        """
        self._quotas.receive_report(entry, demand)
        self._divide_quotas(now)

    def forget_entry(self, entry: str, now: float) -> None:
        """Remove the report of an entry that has left for good."""
        self._quotas.remove_entry(entry)
        self._divide_quotas(now)

    def observe(
        self,
        worker: str,
        task: QueuedTask,
        status: TaskStatus,
        run_ms: float,
        now: float,
    ) -> None:
        """Record the end of an attempt at a task on a worker.

        The task no longer counts as running. Its status goes to the health
        guard, and the run time of a completed task to the estimates. A
        rejected start shows that the reported spare slots are outdated.

        :param run_ms: run time in milliseconds; only used if it completed.
        """
        pool = self._pool(task.service)
        state = self._workers.get(worker)
        if state is not None and state.service != task.service:
            state = None
        job_id = task.ref.job_id
        if status is TaskStatus.DONE:
            run_s = run_ms / MS_PER_S
            pool.run_times.observe(worker, task.team, job_id, run_s)
        pool.end(job_id, task.team, state)
        pool.last_progress_at = now
        if state is None:
            return
        if status is TaskStatus.NOT_STARTED:
            state.spare = 0
        self._update_health(pool, state, job_id, status, now)
        if status is TaskStatus.DONE:
            self._update_cost(pool, state)

    def place(self, now: float) -> list[Placed]:
        """Place all tasks that can start now, and use credits for them."""
        self._start_due_probes(now)
        placed: list[Placed] = []
        for pool in self._pools.values():
            if pool.queued:
                self._place_pool(pool, now, placed)
        return placed

    def choose_workers_to_notify(self, now: float) -> list[str]:
        """Choose the workers whose agents need a notice of queued tasks.

        Call it after :meth:`place`, and send each of them a batch, which
        carries :meth:`demand_for_worker`. A worker that gets a start in this
        turn counts as notified, as the demand is in the same batch.
        """
        names: list[str] = []
        for pool in self._pools.values():
            if pool.queued and self._strategy.uses_credits:
                names += self._choose_workers_in_pool(pool, now)
        return names

    def _expected_slot_releases(self, pool: ServicePool, now: float) -> float:
        """Estimate how many slots of this entry become free soon.

        Queued tasks can start there without a notice. The time considered is
        ``notice_after_ms``. If nothing has started or ended for as long, the
        running tasks are stuck, and none is expected to end.
        """
        notice_after_s = self._cfg.notice_after_ms / MS_PER_S
        if now > pool.last_progress_at + notice_after_s:
            return 0.0
        return pool.running / pool.run_times.mean_slot_s("") * notice_after_s

    def _choose_workers_in_pool(
        self, pool: ServicePool, now: float
    ) -> list[str]:
        """Choose the workers of one service to notify.

        One is needed for each ``waiting_per_notice`` queued tasks that are
        not expected to start soon, less those that were notified within
        ``notice_again_ms``. The workers on which this entry has the fewest
        running tasks and credits are chosen.
        """
        served_soon = self._expected_slot_releases(pool, now)
        needed = math.ceil(
            (pool.queued - served_soon) / self._cfg.waiting_per_notice
        )
        if needed <= 0:
            return []
        notice_interval_s = self._cfg.notice_again_ms / MS_PER_S
        notified = sum(
            w.notified_at + notice_interval_s > now
            for g in pool.groups.values()
            for w in g.members()
        )
        if notified >= min(needed, pool.worker_count):
            return []
        candidates = [
            w
            for g in pool.groups.values()
            for w in g.members()
            if w.accepts_tasks and w.notified_at + notice_interval_s <= now
        ]
        candidates.sort(key=lambda w: (w.running + w.credits, w.cost_class))
        chosen = candidates[: needed - notified]
        for worker in chosen:
            worker.notified_at = now
        return [w.name for w in chosen]

    def pop_throttle_changes(self) -> list[ThrottleChange]:
        """Return and clear the throttle changes since the last call."""
        changes, self._throttle_changes = self._throttle_changes, []
        return changes

    def expected_run_s(self, task: QueuedTask, worker: str) -> float:
        """Estimate the run time of a task on a worker, in seconds."""
        run_times = self._pool(task.service).run_times
        run_s = run_times.run_s(task.team, task.ref.job_id)
        return run_s * run_times.slowness(worker)

    def queued_by_service(self) -> Counter[str]:
        """Return the number of queued tasks of each service."""
        return Counter({s: p.queued for s, p in self._pools.items()})

    def _place_pool(
        self, pool: ServicePool, now: float, placed: list[Placed]
    ) -> None:
        """Place tasks of a service until no class can place another one."""
        waiting = [c for c in pool.classes.values() if c.queue.size]
        while waiting:
            class_ = waiting[0]
            if len(waiting) > 1:
                class_ = min(waiting, key=lambda c: c.queue.lowest_use(now))
            if not self._place_one(pool, class_, now, placed):
                waiting.remove(class_)

    def _place_one(
        self,
        pool: ServicePool,
        class_: FitClass,
        now: float,
        placed: list[Placed],
    ) -> bool:
        """Place one task of a class; return False if none can start."""
        if not self._has_candidate(class_):
            return False
        job = class_.queue.first(now)
        if job is None:
            return False
        worker = self._choose(pool, class_, job, len(job.tasks))
        if worker is None:
            return self._place_last_job(pool, class_, now, placed)
        self._start(pool, class_, job, worker, now, placed)
        return True

    def _has_candidate(self, class_: FitClass) -> bool:
        if not self._strategy.uses_credits:
            return any(len(g) for g in class_.groups)
        return any(g.fastest_ready() for g in class_.groups)

    def _place_last_job(
        self,
        pool: ServicePool,
        class_: FitClass,
        now: float,
        placed: list[Placed],
    ) -> bool:
        """Place a task from the end of the queue on a slot left empty.

        The first job waits for a faster slot. A job further back may end
        sooner by using this one, as more tasks are ahead of it.
        """
        job = class_.queue.last()
        if job is None:
            return False
        worker = self._choose(pool, class_, job, class_.queue.size)
        if worker is None:
            return False
        self._start(pool, class_, job, worker, now, placed)
        return True

    def _choose(
        self,
        pool: ServicePool,
        class_: FitClass,
        job: QueuedJob,
        tasks_ahead: int,
    ) -> WorkerState | None:
        run_s = pool.run_times.run_s(job.share.team, job.job_id)
        choice = ChoiceInput(
            class_.groups,
            run_s / pool.run_times.typical_run_s(),
            tasks_ahead,
            self._cfg.leave_slow_slots,
        )
        return self._strategy.choose(choice)

    def _start(
        self,
        pool: ServicePool,
        class_: FitClass,
        job: QueuedJob,
        worker: WorkerState,
        now: float,
        placed: list[Placed],
    ) -> None:
        """Move a task from the queue to a worker, and count it there."""
        task = class_.queue.pop_task(job)
        share = job.share
        run_s = pool.run_times.run_s(share.team, job.job_id)
        share.used += run_s / share.weight
        pool.start(job, worker)
        pool.last_progress_at = now
        worker.notified_at = now
        if not job.tasks:
            pool.remove_empty_job(job)
        placed.append(Placed(task, worker.name, self._strategy_name))

    def _pool(self, service: str) -> ServicePool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = ServicePool(service)
            self._guards[service] = HealthGuard(self._limits)
        return pool

    def _quota(self, team: str) -> TeamQuota:
        return self._cfg.quotas.get(team, self._cfg.default_quota)

    def _local_quota(self, quota: TeamQuota) -> int | None:
        """Return an equal part of a quota, used until reports arrive."""
        if not quota.max_running:
            return quota.max_running
        return max(1, quota.max_running // self._entry_count)

    def _team_share(self, pool: ServicePool, team: str) -> TeamShare:
        share = pool.shares.get(team)
        if share is None:
            quota = self._quota(team)
            share = TeamShare(
                team, weight=quota.share, max_running=self._local_quota(quota)
            )
            pool.shares[team] = share
        return share

    def _make_queued_job(
        self, pool: ServicePool, task: QueuedTask
    ) -> QueuedJob:
        return QueuedJob(
            job_id=task.ref.job_id,
            share=self._team_share(pool, task.team),
            deadline=task.deadline,
            queued_at=task.queued_at,
            tasks=deque(),
            run_s=pool.run_times.mean_slot_s(task.team),
        )

    def _set_rank(self, pool: ServicePool, job: QueuedJob) -> None:
        """Set a job's rank and the time from which it is urgent."""
        slots = max(1, pool.slots)
        work_s = len(job.tasks) * job.run_s / slots
        job.rank = work_s + self._cfg.aging_weight * job.queued_at
        left_s = (work_s + job.run_s) * self._cfg.urgent_margin
        job.latest_start = job.deadline - left_s

    def _load(self, pool: ServicePool, team: str) -> Load:
        """Return the load that a new job of a team meets.

        This entry can expect to use the slots that it holds now, as running
        tasks and credits, and at least an equal share of all slots.
        """
        share = self._team_share(pool, team)
        weights = sum(
            s.weight
            for s in pool.shares.values()
            if s.queued or s.team == team
        )
        queued_s = sum(s.queued_s for s in pool.shares.values())
        held = pool.running + pool.credits
        slots = max(held, pool.slots / self._entry_count, 1.0)
        return Load(
            slots=min(slots, max(pool.slots, 1)),
            run_s=pool.run_times.mean_slot_s(team),
            queued=pool.queued,
            queued_s=queued_s,
            team_queued=share.queued,
            team_queued_s=share.queued_s,
            team_fraction=share.weight / weights,
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
        """Set a worker's cost: a typical run plus the zone penalty."""
        run_times = pool.run_times
        seconds = run_times.typical_run_s() * run_times.slowness(worker.name)
        if worker.zone != self._zone:
            seconds += self._cfg.zone_penalty_ms / MS_PER_S
        pool.groups[worker.shape].set_cost(worker, seconds)

    def _refresh_ready(self, worker: WorkerState) -> None:
        group = self._pools[worker.service].groups[worker.shape]
        group.refresh_ready(worker)
        group.recount_slots()

    def _update_health(
        self,
        pool: ServicePool,
        worker: WorkerState,
        job_id: str,
        status: TaskStatus,
        now: float,
    ) -> None:
        """Pass the end of an attempt to the health guard of the service.

        If the attempt was a probe and neither completed nor failed, the guard
        schedules another one.
        """
        guard = self._guards[pool.service]
        change = None
        if status in (TaskStatus.DONE, TaskStatus.FAILED):
            failed = status is TaskStatus.FAILED
            change = guard.observe(
                worker.name, job_id, failed, pool.worker_count, now
            )
        elif worker.allowance == 0:
            change = guard.abandon_probe(worker.name, now)
        if change is not None:
            self._apply_throttle_change(change)

    def _apply_throttle_change(self, change: ThrottleChange) -> None:
        """Stop starts on a worker until its next probe, or allow them."""
        self._throttle_changes.append(change)
        worker = self._workers.get(change.worker)
        if worker is None:
            return
        worker.allowance = None
        if change.probe_at is not None:
            worker.allowance = 0
            heapq.heappush(self._probes, (change.probe_at, worker.name))
        self._refresh_ready(worker)

    def _start_due_probes(self, now: float) -> None:
        """Allow one start on each throttled worker whose probe is due."""
        while self._probes and self._probes[0][0] <= now:
            _, name = heapq.heappop(self._probes)
            worker = self._workers.get(name)
            if worker is None or worker.allowance is None:
                continue
            self._guards[worker.service].begin_probe(name)
            worker.allowance = 1
            self._refresh_ready(worker)
