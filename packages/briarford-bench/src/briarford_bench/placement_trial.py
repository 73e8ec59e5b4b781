"""Simulate placement in virtual time, to compare strategies and settings.

Of the product, it drives only :class:`Placer` and :class:`SlotGranter`:
batches between them arrive after a fixed delay, and run times of tasks are
drawn at random. There are no sessions, lost messages or processes. Run
``python -m briarford_bench.placement_trial --help``.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from briarford.jobs import JobSpec, TaskRef, TaskSpec
from briarford.limits import LimitConfig
from briarford.placement import (
    PlacementConfig,
    Placer,
    QueuedTask,
    SlotGranter,
)
from briarford.sessions import TaskStatus, WorkerInfo

__all__ = ["Report", "Trial", "TrialConfig", "make_jobs", "run_trial"]

SERVICE = "lease-desk"
SLOTS_PER_WORKER = 8
WORKER_SLOWNESS = (0.6, 0.6, 0.8, 0.8, 1.0, 1.0, 1.0, 1.3, 1.3, 2.0, 3.0)
STRATEGIES = ("soonest-end", "most-credits", "random", "round-robin")
ZONE_COUNT = 4
SAME_ZONE_DELAY_S = 0.00025
OTHER_ZONE_DELAY_S = 0.0015
CLIENT_DELAY_S = 0.001
REJECTED_RETRY_DELAY_S = 0.01
LONG_TASK_SHARE = 0.003
MS_PER_S = 1000.0


@dataclass(slots=True, frozen=True)
class TrialConfig:
    """Settings of one trial.

    :param strategy: registered name of the placement strategy.
    :param load: offered work over the capacity of the fleet.
    :param entries: number of entries; each job goes to a random one.
    :param seconds: virtual seconds in which jobs arrive.
    :param seed: seed of the jobs and of random choices.
    :param slowness: for each worker, its run time over that of a worker of
        slowness 1.
    :param deadline_s: least seconds from the arrival of a job to its
        deadline.
    :param announce_all: whether an entry with new demand notifies all agents
        at once, instead of those that the placer chooses.
    :param placement: settings of placement.
    :param limits: settings of admission, retries, hedges and throttling.
    :param prefetch: credits that an agent grants for each slot beyond the
        first one, so that a task can wait at the agent for the slot.
    """

    strategy: str = "soonest-end"
    load: float = 0.7
    entries: int = 3
    seconds: float = 120.0
    seed: int = 1
    slowness: tuple[float, ...] = WORKER_SLOWNESS
    deadline_s: float = 10.0
    announce_all: bool = False
    placement: PlacementConfig = field(default_factory=PlacementConfig)
    limits: LimitConfig = field(default_factory=LimitConfig)
    prefetch: int = 0

    @property
    def capacity(self) -> float:
        """Seconds of work at slowness 1 that the fleet does in a second."""
        return sum(SLOTS_PER_WORKER / s for s in self.slowness)


@dataclass(slots=True)
class TrialJob:
    """A job with the run times of its tasks at slowness 1.

    :param spec: the job as the entry receives it.
    :param arrives_at: when the client sends it, virtual seconds.
    :param entry: number of the entry that receives it.
    :param run_s: run time of each task at slowness 1, in seconds.
    :param tasks_left: tasks without a result.
    :param started: whether a task was placed.
    :param ended_at: when it completed or expired; None before.
    :param slowest_s: longest run time of a task on its worker, in seconds.
    """

    spec: JobSpec
    arrives_at: float
    entry: int
    run_s: tuple[float, ...]
    tasks_left: int = 0
    started: bool = False
    ended_at: float | None = None
    slowest_s: float = 0.0

    def ideal_s(self, cfg: TrialConfig) -> float:
        """Return a lower bound of the job's latency on an idle fleet."""
        longest = max(self.run_s) * min(cfg.slowness)
        spread = sum(self.run_s) / cfg.capacity
        return max(longest, spread) + 2 * (CLIENT_DELAY_S + SAME_ZONE_DELAY_S)


@dataclass(slots=True)
class Batch:
    """A message between an entry and an agent.

    :param starts: to the agent: tasks to start.
    :param results: to the entry: tasks with status and run time in seconds.
    :param credits: to the entry: newly granted credits.
    :param recall: to the entry: unused credits that it is asked to return.
    :param returned: to the agent: credits that are returned.
    :param demand: to the agent: its worker's share of the queued tasks of the
        entry.
    :param spare: to the entry: ungranted slots for starts without a credit.
    """

    starts: list[QueuedTask] = field(default_factory=list)
    results: list[tuple[QueuedTask, TaskStatus, float]] = field(
        default_factory=list
    )
    credits: int = 0
    recall: int = 0
    returned: int = 0
    demand: int = 0
    spare: int = 0

    @property
    def useful(self) -> bool:
        """Whether it carries a start or a result.

        A batch without either is waste, except at the start of the trial.
        """
        return bool(self.starts or self.results)


@dataclass(slots=True)
class Report:
    """Figures of one trial.

    :param cfg: settings of the trial.
    :param jobs: jobs that arrived.
    :param done: jobs that completed.
    :param refused: jobs that an entry did not admit.
    :param late: jobs that were not complete by their deadline.
    :param tasks_done: tasks that ran to the end.
    :param work_in_time_s: work of jobs that completed before the arrivals
        ended, in seconds at slowness 1.
    :param messages: messages between entries and agents.
    :param wasted: messages that served no answer, by kind.
    :param ratios: latency of each completed job over its lower bound.
    :param overheads: latency of each completed job over the run time of its
        slowest task and one round trip.
    """

    cfg: TrialConfig
    jobs: int = 0
    done: int = 0
    refused: int = 0
    late: int = 0
    tasks_done: int = 0
    work_in_time_s: float = 0.0
    messages: int = 0
    wasted: Counter[str] = field(default_factory=Counter)
    ratios: list[float] = field(default_factory=list)
    overheads: list[float] = field(default_factory=list)

    def quantile(self, values: list[float], fraction: float) -> float:
        """Return a quantile of the values; NaN if there are none."""
        if not values:
            return math.nan
        ordered = sorted(values)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]

    @property
    def wasted_per_task(self) -> float:
        """Number of wasted messages for each task that ran."""
        return sum(self.wasted.values()) / max(1, self.tasks_done)

    @property
    def goodput(self) -> float:
        """Share of the capacity that was used for answers in time."""
        return self.work_in_time_s / self.cfg.seconds / self.cfg.capacity

    def format_line(self) -> str:
        """Return the figures on one line."""
        return (
            f"{self.cfg.strategy:12} load {self.cfg.load:3.1f}"
            f" ratio p50 {self.quantile(self.ratios, 0.5):5.2f}"
            f" p99 {self.quantile(self.ratios, 0.99):6.2f}"
            f" own p50 {self.quantile(self.overheads, 0.5):5.2f}"
            f" p99 {self.quantile(self.overheads, 0.99):6.2f}"
            f" waste/task {self.wasted_per_task:6.3f}"
            f" goodput {self.goodput:5.3f}"
            f" jobs {self.jobs} done {self.done} refused {self.refused}"
            f" late {self.late} {dict(self.wasted)}"
        )


def make_jobs(cfg: TrialConfig) -> list[TrialJob]:
    """Draw the jobs of a trial; they do not depend on the strategy.

    Arrival times are scaled so that the offered work is exactly the load.
    """
    rng = random.Random(cfg.seed)
    offered_s = cfg.load * cfg.capacity * cfg.seconds
    run_times: list[tuple[float, ...]] = []
    drawn_s = 0.0
    while drawn_s < offered_s:
        run_times.append(_draw_run_times(rng))
        drawn_s += sum(run_times[-1])
    gaps = [rng.expovariate(1.0) for _ in run_times]
    scale = cfg.seconds / sum(gaps)
    times = itertools.accumulate(gap * scale for gap in gaps)
    return [
        _make_job(cfg, rng, number, now, run_s)
        for number, (now, run_s) in enumerate(
            zip(times, run_times, strict=True)
        )
    ]


def _draw_run_times(rng: random.Random) -> tuple[float, ...]:
    kind = rng.random()
    count = 1
    if kind > 0.5:
        count = rng.randint(2, 10)
    if kind > 0.9:
        count = rng.randint(10, 40)
    median_run_s = min(1.0, max(0.05, rng.lognormvariate(math.log(0.2), 0.7)))
    return tuple(_draw_run_time(rng, median_run_s) for _ in range(count))


def _draw_run_time(rng: random.Random, median_run_s: float) -> float:
    if rng.random() < LONG_TASK_SHARE:
        return rng.uniform(2.0, 5.0)
    return median_run_s * rng.lognormvariate(0.0, 0.2)


def _make_job(
    cfg: TrialConfig,
    rng: random.Random,
    number: int,
    now: float,
    run_s: tuple[float, ...],
) -> TrialJob:
    spec = JobSpec(
        job_id=f"{number:08d}",
        service=SERVICE,
        team=rng.choice(("contracts", "installers")),
        deadline=now + max(cfg.deadline_s, 5 * max(run_s)),
        tasks=tuple(TaskSpec(b"{}", 1.0, 100) for _ in run_s),
    )
    entry = rng.randrange(cfg.entries)
    return TrialJob(spec, now, entry, run_s, tasks_left=len(run_s))


class Trial:
    """A simulation of entries, agents and the messages between them.

    :param cfg: its settings.
    """

    def __init__(self, cfg: TrialConfig) -> None:
        self.cfg = cfg
        self.report = Report(cfg)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now = 0.0
        self._jobs: dict[str, TrialJob] = {}
        self._placers = [self._make_placer(e) for e in range(cfg.entries)]
        self._granters = [self._make_granter() for _ in cfg.slowness]
        self._waiting_tasks: list[list[tuple[int, QueuedTask]]] = [
            [] for _ in cfg.slowness
        ]
        self._running = [0 for _ in cfg.slowness]
        self._notified: list[set[int]] = [set() for _ in range(cfg.entries)]

    def run(self) -> Report:
        """Process events until none is left, then return the figures."""
        for worker in range(len(self.cfg.slowness)):
            self._send_agent_batches(worker, {})
        for job in make_jobs(self.cfg):
            self._schedule(
                job.arrives_at + CLIENT_DELAY_S, partial(self._submit_job, job)
            )
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.report

    def _make_placer(self, entry: int) -> Placer:
        cfg = self.cfg
        placer = Placer(
            f"entry-{entry}",
            f"zone-{entry % ZONE_COUNT}",
            random.Random(cfg.seed * 1000 + entry),
            cfg.strategy,
            placement=cfg.placement,
            limits=cfg.limits,
        )
        placer.set_entry_count(cfg.entries)
        info = WorkerInfo(SERVICE, SLOTS_PER_WORKER, 32.0, 64_000)
        for worker in range(len(cfg.slowness)):
            placer.set_worker(f"{worker}", f"zone-{worker % ZONE_COUNT}", info)
        return placer

    def _make_granter(self) -> SlotGranter:
        granter = SlotGranter(self.cfg.placement)
        for entry in range(self.cfg.entries):
            granter.attach(f"{entry}")
        granter.set_slots(SLOTS_PER_WORKER * (1 + self.cfg.prefetch))
        return granter

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), action))

    # Entry side.

    def _submit_job(self, job: TrialJob) -> None:
        """Admit or refuse a job at its entry and queue its tasks."""
        self.report.jobs += 1
        placer = self._placers[job.entry]
        if placer.admit(job.spec, self._now) is not None:
            self.report.refused += 1
            return
        self._jobs[job.spec.job_id] = job
        placer.enqueue(
            QueuedTask(
                TaskRef(job.spec.job_id, index),
                task,
                SERVICE,
                job.spec.team,
                job.spec.deadline,
                self._now,
            )
            for index, task in enumerate(job.spec.tasks)
        )
        self._schedule(job.spec.deadline, partial(self._expire_job, job))
        self._place_and_send(job.entry, {})

    def _expire_job(self, job: TrialJob) -> None:
        """Drop a job that is not complete by its deadline."""
        if job.tasks_left and job.ended_at is None:
            self._placers[job.entry].drop_job(job.spec.job_id)
            job.ended_at = self._now
            self.report.late += 1

    def _receive_agent_batch(
        self, entry: int, worker: int, batch: Batch
    ) -> None:
        """Process results and credits that an agent sent to an entry.

        A rejected task is queued again: at once if the strategy uses credits,
        else after a delay.
        """
        placer = self._placers[entry]
        for task, status, run_s in batch.results:
            run_ms = run_s * MS_PER_S
            placer.observe(f"{worker}", task, status, run_ms, self._now)
            if status is TaskStatus.DONE:
                self._record_result(task, run_s)
            else:
                if self._jobs[task.ref.job_id].ended_at is not None:
                    continue
                if placer.uses_credits:
                    placer.enqueue([task])
                    continue
                retried = replace(
                    task, ref=TaskRef(task.ref.job_id, task.ref.index)
                )
                self._schedule(
                    self._now + REJECTED_RETRY_DELAY_S,
                    partial(self._retry, entry, retried),
                )
        placer.add_credits(f"{worker}", batch.credits)
        placer.set_spare(f"{worker}", batch.spare)
        batches: dict[int, Batch] = {}
        if batch.recall:
            returned = placer.return_credits(f"{worker}", batch.recall)
            if returned:
                batches[worker] = Batch(returned=returned)
        self._place_and_send(entry, batches)

    def _retry(self, entry: int, task: QueuedTask) -> None:
        if self._jobs[task.ref.job_id].ended_at is None:
            self._placers[entry].enqueue([task])
            self._place_and_send(entry, {})

    def _place_and_send(self, entry: int, batches: dict[int, Batch]) -> None:
        """Place queued tasks of an entry and send its batches to agents.

        :param batches: batches to send anyway, by worker.
        """
        placer = self._placers[entry]
        for placed in placer.place(self._now):
            self._jobs[placed.task.ref.job_id].started = True
            batch = batches.setdefault(int(placed.worker), Batch())
            batch.starts.append(placed.task)
        for worker in self._choose_workers_to_notify(entry):
            batches.setdefault(worker, Batch())
        for worker, batch in batches.items():
            batch.demand = placer.demand_for_worker(f"{worker}", self._now)
            self._send(
                entry,
                worker,
                batch,
                partial(self._receive_entry_batch, entry, worker, batch),
            )

    def _choose_workers_to_notify(self, entry: int) -> list[int]:
        """Return the workers that are to learn the demand of an entry."""
        placer = self._placers[entry]
        if not placer.uses_credits:
            return []
        if not self.cfg.announce_all:
            return [int(w) for w in placer.choose_workers_to_notify(self._now)]
        if not placer.demand(SERVICE):
            self._notified[entry].clear()
            return []
        not_notified = (
            set(range(len(self.cfg.slowness))) - self._notified[entry]
        )
        self._notified[entry] |= not_notified
        return sorted(not_notified)

    def _record_result(self, task: QueuedTask, run_s: float) -> None:
        """Count the result of a task; complete its job if it is the last."""
        job = self._jobs[task.ref.job_id]
        self.report.tasks_done += 1
        if job.ended_at is not None:
            self.report.wasted["finished-job"] += 1
            return
        job.tasks_left -= 1
        job.slowest_s = max(job.slowest_s, run_s)
        if job.tasks_left:
            return
        job.ended_at = self._now + CLIENT_DELAY_S
        latency_s = job.ended_at - job.arrives_at
        run_and_round_trip_s = job.slowest_s + 2 * (
            CLIENT_DELAY_S + SAME_ZONE_DELAY_S
        )
        self.report.done += 1
        if self._now <= self.cfg.seconds:
            self.report.work_in_time_s += sum(job.run_s)
        self.report.ratios.append(latency_s / job.ideal_s(self.cfg))
        self.report.overheads.append(latency_s / run_and_round_trip_s)

    # Agent side.

    def _receive_entry_batch(
        self, entry: int, worker: int, batch: Batch
    ) -> None:
        """Process starts, demand and credits that an entry sent to an agent.

        A start that is not accepted is rejected; the two messages of it count
        as waste.
        """
        granter = self._granters[worker]
        granter.set_demand(f"{entry}", batch.demand)
        granter.reclaim_credits(f"{entry}", batch.returned)
        batches: dict[int, Batch] = {}
        for task in batch.starts:
            if self._accept_start(entry, worker):
                self._waiting_tasks[worker].append((entry, task))
                continue
            self.report.wasted["bounce"] += 2
            result = (task, TaskStatus.NOT_STARTED, 0.0)
            batches.setdefault(entry, Batch()).results.append(result)
        self._start_waiting_tasks(worker)
        self._send_agent_batches(worker, batches)

    def _accept_start(self, entry: int, worker: int) -> bool:
        """Return whether an agent accepts a start.

        With credits, the granter decides; without, a slot must be free.
        """
        if self._placers[entry].uses_credits:
            return self._granters[worker].try_start(f"{entry}")
        return (
            self._running[worker] + len(self._waiting_tasks[worker])
            < SLOTS_PER_WORKER
        )

    def _start_waiting_tasks(self, worker: int) -> None:
        while (
            self._waiting_tasks[worker]
            and self._running[worker] < SLOTS_PER_WORKER
        ):
            entry, task = self._waiting_tasks[worker].pop(0)
            self._running[worker] += 1
            base_run_s = self._jobs[task.ref.job_id].run_s[task.ref.index]
            run_s = base_run_s * self.cfg.slowness[worker]
            self._schedule(
                self._now + run_s,
                partial(self._end_task, worker, entry, task, run_s),
            )

    def _end_task(
        self, worker: int, entry: int, task: QueuedTask, run_s: float
    ) -> None:
        self._running[worker] -= 1
        self._granters[worker].release_slot(f"{entry}")
        self._start_waiting_tasks(worker)
        result = (task, TaskStatus.DONE, run_s)
        self._send_agent_batches(worker, {entry: Batch(results=[result])})

    def _send_agent_batches(
        self, worker: int, batches: dict[int, Batch]
    ) -> None:
        """Grant and recall credits of an agent and send its batches.

        :param batches: batches to send anyway, by entry.
        """
        granter = self._granters[worker]
        if self._placers[0].uses_credits:
            for grant in granter.turn(self._now):
                batch = batches.setdefault(int(grant.entry), Batch())
                batch.credits += grant.credits
                batch.recall += grant.recall
            turn_at = granter.next_turn_at()
            if turn_at is not None and turn_at > self._now:
                self._schedule(
                    turn_at, partial(self._send_agent_batches, worker, {})
                )
        for entry, batch in batches.items():
            batch.spare = granter.spare
            self._send(
                entry,
                worker,
                batch,
                partial(self._receive_agent_batch, entry, worker, batch),
            )

    def _send(
        self, entry: int, worker: int, batch: Batch, action: Callable[[], None]
    ) -> None:
        self.report.messages += 1
        if not batch.useful and self._now > 0:
            kind = "demand"
            if batch.credits:
                kind = "grant"
            if batch.recall:
                kind = "recall"
            if batch.returned:
                kind = "return"
            self.report.wasted[kind] += 1
        is_same_zone = entry % ZONE_COUNT == worker % ZONE_COUNT
        delay_s = SAME_ZONE_DELAY_S if is_same_zone else OTHER_ZONE_DELAY_S
        self._schedule(self._now + delay_s, action)


def run_trial(cfg: TrialConfig) -> Report:
    """Run one trial and return its figures."""
    return Trial(cfg).run()


def _parse_arguments() -> argparse.Namespace:
    default = PlacementConfig()
    parser = argparse.ArgumentParser(description=__doc__)
    add = parser.add_argument
    add("--strategies", nargs="+", default=list(STRATEGIES))
    add("--loads", nargs="+", type=float, default=[0.7])
    add("--seeds", nargs="+", type=int, default=[1])
    add("--seconds", type=float, default=30.0)
    add("--entries", type=int, default=3)
    add("--deadline-s", type=float, default=10.0)
    add("--prefetch", type=int, default=0)
    add("--aging-weight", type=float, default=default.aging_weight)
    add("--recall-after-ms", type=float, default=default.recall_after_ms)
    add("--idle-credits", type=int, default=default.idle_credits)
    add("--spare-untold", type=int, default=default.spare_untold)
    add("--per-notice", type=int, default=default.waiting_per_notice)
    add("--notice-after-ms", type=float, default=default.notice_after_ms)
    add("--notice-again-ms", type=float, default=default.notice_again_ms)
    add("--keep-in-hand", action="store_true")
    add("--announce-all", action="store_true")
    add("--use-slow-slots", action="store_true")
    add("--admit-all", action="store_true")
    add("--alike", action="store_true")
    return parser.parse_args()


def main() -> None:
    """Print one line per strategy, load and seed."""
    args = _parse_arguments()
    placement = PlacementConfig(
        leave_slow_slots=not args.use_slow_slots,
        aging_weight=args.aging_weight,
        recall_after_ms=args.recall_after_ms,
        keep_in_hand=args.keep_in_hand,
        idle_credits=args.idle_credits,
        spare_untold=args.spare_untold,
        waiting_per_notice=args.per_notice,
        notice_after_ms=args.notice_after_ms,
        notice_again_ms=args.notice_again_ms,
    )
    for strategy, load, seed in itertools.product(
        args.strategies, args.loads, args.seeds
    ):
        cfg = TrialConfig(
            strategy=strategy,
            load=load,
            seed=seed,
            seconds=args.seconds,
            entries=args.entries,
            slowness=(1.0,) * len(WORKER_SLOWNESS)
            if args.alike
            else WORKER_SLOWNESS,
            deadline_s=args.deadline_s,
            announce_all=args.announce_all,
            placement=placement,
            limits=LimitConfig(refuse_unreachable=not args.admit_all),
            prefetch=args.prefetch,
        )
        print(f"seed {seed} {run_trial(cfg).format_line()}", flush=True)


if __name__ == "__main__":
    main()
