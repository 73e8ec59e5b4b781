"""The dispatcher of an entry: from the submission of a job to its outcome."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet
from typing import Any

from briarford.capabilities import Capability, count_builds
from briarford.evacuations import Evacuations
from briarford.outcomes import (
    Completed,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Step,
)
from briarford.requests.admission import Admission
from briarford.requests.agents import AgentView, Dispatch
from briarford.requests.attachments import (
    AGENT_LOST_S,
    LEASE_EXPIRY_S,
    Attachments,
)
from briarford.requests.cancels import (
    MAX_ASKED,
    MAX_KNOWN,
    CancelBudget,
    RecentCancels,
)
from briarford.requests.crashes import CrashCounts
from briarford.requests.demand import (
    MAX_SUSPECTS_TRIED,
    MAX_TASKS_TRIED,
    DemandReporter,
)
from briarford.requests.effects import (
    CancelConfirmed,
    EntryEffect,
    EntryEvent,
    JobEnded,
)
from briarford.requests.estimates import EstimateModel
from briarford.requests.job import (
    Job,
    JobRequest,
    Task,
    TaskPhase,
    job_of,
    longest_chain_s,
    make_job,
    task_names,
)
from briarford.requests.job_memory import (
    JobMemory,
    job_bytes,
    largest_unstarted,
    oldest_unstarted,
)
from briarford.requests.placing import (
    choose_agent,
    may_run_at,
    utilisation,
)
from briarford.requests.ranking import JobRank
from briarford.requests.tallies import PriorityTallies
from briarford.requests.waiting import WaitingTasks
from briarford.routes import Route
from briarford.runs import (
    AgentAddress,
    AgentHeartbeat,
    AgentMessage,
    Attached,
    CancelJob,
    CapacityOffer,
    EntryHeartbeat,
    JobCancelled,
    RunEnd,
    RunEnded,
    StartRun,
    StopRun,
    UnreportedFailure,
    WorkerLoss,
    WorkerStatus,
)
from briarford.runs.agent import HEARTBEAT_PERIOD_S
from briarford.runs.cancels import MAX_JOB_ID_LENGTH

__all__ = ["Dispatcher"]

# No run is ordered from an agent for this long after it could not carry out an
# order, as it accepted none or its worker did not answer.
BACKOFF_S = 0.3
# Shorter than the agent reserves the offered capacity (``OFFER_TTL_S``), as an
# order has to arrive while it is still reserved.
OFFER_USE_S = 0.04
# A turn is due five times a second, so a longer pause means that the process
# was frozen. Messages and disconnects that arrived in the pause are handled
# for CATCH_UP_S before any run is ordered.
PAUSE_THRESHOLD_S = 0.6
CATCH_UP_S = 0.15
# If the machine was suspended, the end of a client's connection arrives when
# TCP sends it again: up to as long again as the pause, and this more.
RETRANSMISSION_S = 0.3
FULL_RETRY_S = 1.0  # jobs end or are given up within a second
KEEP_OUTCOME_S = 10.0  # clients repeat an answered request within seconds
DEADLINE_DETAIL = "the deadline of its client has passed"


class Dispatcher:
    """Makes the decisions of one entry, without sockets and clocks.

    Calls pass the current Unix time in seconds as ``now``. The effects that
    they cause are kept until the next :meth:`turn`, which also places waiting
    tasks, and returns all effects for the process to perform.

    :param name: of the entry.
    :param incarnation: of this process.
    :param zone: of the entry; its workers are preferred among equal ones.
    :param max_job_bytes: what all open jobs may hold; 0 for any number.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        zone: str = "",
        max_job_bytes: int = 0,
    ) -> None:
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.counts: Counter[str] = Counter()
        self.by_priority = PriorityTallies()
        self._effects: list[EntryEffect] = []
        self.evacuations = Evacuations(self._log, self.counts)
        self._agents = Attachments(
            name, incarnation, self._emit, self.evacuations.zones
        )
        self._jobs: dict[str, Job] = {}
        self._memory = JobMemory(max_job_bytes)
        self._answered: dict[str, tuple[float, Outcome]] = {}
        self._waiting = WaitingTasks()
        self._admission = Admission(name, self._waiting)
        self._estimates = EstimateModel()
        self._crashes = CrashCounts()
        # Number of runs per task name that may not have ended.
        self._unended_runs: Counter[str] = Counter()
        self._demand = DemandReporter(
            self._agents, self._waiting, self._unended_runs
        )
        self._cancel_budget = CancelBudget()
        # Which the other entries were asked for and none has confirmed.
        self._asked_cancels = RecentCancels(MAX_ASKED)
        # Of jobs that clients cancelled by way of another entry. A request
        # that was held up may bring such a job later.
        self._known_cancels = RecentCancels(MAX_KNOWN)
        self._last_dispatch = 0
        self._last_job = 0
        self._next_heartbeat_at = 0.0
        self._last_turn_at = 0.0
        self._place_not_before = 0.0

    # -- requests -----------------------------------------------------------

    def submit(
        self,
        request: JobRequest,
        route: Route,
        now: float,
        deadline: float = math.inf,
    ) -> Outcome | None:
        """Admit or refuse a job.

        A repeat of a job that is still open joins it. A repeat of one that
        completed or failed within the last ``KEEP_OUTCOME_S`` gets the same
        outcome. Refused and cancelled jobs are not kept, so a repeat of one
        of these is a new job. A job that was cancelled by way of another
        entry within ``KEEP_CANCEL_S`` is not run.

        :param request: the job.
        :param route: the route that its host and path select.
        :param now: Unix time in seconds.
        :param deadline: when its client stops waiting, in Unix seconds. The
            job ends then: its client may repeat it at another entry, although
            nothing shows here that it has left.
        :return: its outcome if that is known at once; None if a
            :class:`JobEnded` effect will report it.
        """
        answered = self._answered.get(request.job)
        if answered is not None:
            return answered[1]
        open_job = self._jobs.get(request.job)
        if open_job is not None:
            open_job.deadline = max(open_job.deadline, deadline)
            open_job.place_not_before = -math.inf  # this client is here
            return None
        if self._known_cancels.has(request.job, now):
            return self._cancelled_before(request.job)
        if deadline <= now:
            return self._refuse_past_deadline(request.job, now)
        exhausted = self._find_exhausted(request)
        if exhausted:
            self._log("repeat-exhausted", job=request.job, task=exhausted)
            return self._given_up(exhausted)
        if not self._make_memory(request, now):
            return self._refuse_full(request.job, now)
        usable = self._usable(route.service, now)
        estimates_s = tuple(s.expected_s for s in request.steps)
        request = self._estimates.correct(request, route.name)
        rank = self._admission.rank(request, route)
        refused = self._admission.check(request, route, usable, now, rank)
        self.by_priority.arrived(rank, admitted=refused is None)
        if refused is not None:
            self._log_refusal(request, rank, refused, usable, now)
            return refused
        job = make_job(request, route, now, self._admission.stop_by)
        job.estimates_s, job.rank = estimates_s, rank
        self._last_job += 1
        job.number, job.deadline = self._last_job, deadline
        for task in job.tasks if self._crashes else ():
            task.suspect = self._crashes.is_suspect(task.name)
        self._jobs[request.job] = job
        self._memory.add(job)
        self.counts["accepted"] += 1
        self._log(
            "accepted",
            job=request.job,
            route=route.name,
            tasks=len(job.tasks),
            objective_ms=round((job.objective_at - now) * 1000),
            expected_ms=round(longest_chain_s(request.steps) * 1000),
            stretch=route.stretch,
            waiting=len(self._waiting),
            priority=rank.priority,
            worth=round(rank.worth, 2),
            deadline_ms=_ms_until(deadline, now),
        )
        self._release_steps(job)
        if not job.done:
            return None
        self._end_job(job, Completed(()), now)
        return Completed(())

    def make_room(self, job_id: str, now: float) -> Outcome | None:
        """Let one more request wait, of which there are too many.

        The job that waits longest is given up if it has had no run.

        :param job_id: job of the request.
        :return: the answer to the request if it cannot wait.
        """
        if job_id in self._jobs:
            return self.refuse_repeat(job_id, now)
        if job_id in self._answered:
            return None
        oldest = oldest_unstarted(self._jobs.values())
        if oldest is None:
            return self._refuse_full(job_id, now)
        self._give_up(oldest, now)
        return None

    def _make_memory(self, request: JobRequest, now: float) -> bool:
        """Make room for a job in memory.

        Jobs that have had no run and hold more are given up, the largest
        first. Equal ones stay: to end a job costs more than to refuse one.

        :return: False if there is no room.
        """
        while not self._memory.has_room(request):
            job = largest_unstarted(self._jobs.values())
            if job is None or job_bytes(job.request) <= job_bytes(request):
                return False
            self._give_up(job, now)
        return True

    def _give_up(self, job: Job, now: float) -> None:
        """Refuse an open job that has had no run."""
        self.counts["given-up-for-room"] += 1
        refused = self._admission.refuse(
            RefusalReason.QUEUE_FULL,
            "given up for later jobs",
            now + FULL_RETRY_S,
        )
        self._end_job(job, refused, now, keep_outcome=False)

    def refuse_repeat(self, job_id: str, now: float) -> Failed:
        """Return the answer to a repeat of a job for which too many wait."""
        self.counts["repeat-refused"] += 1
        return Failed(
            FailureReason.HOME_UNREACHABLE,
            "too many requests wait for this job",
            Step.SUBMIT,
            self.name,
            retry_at=now + FULL_RETRY_S,
        )

    def _refuse_full(self, job_id: str, now: float) -> Refused:
        """Refuse a job for which there is no room in memory."""
        self.counts[f"refused-{RefusalReason.QUEUE_FULL.value}"] += 1
        self._log("refused", job=job_id, reason=RefusalReason.QUEUE_FULL.value)
        return self._admission.refuse(
            RefusalReason.QUEUE_FULL,
            "too many jobs are open",
            now + FULL_RETRY_S,
        )

    def _cancelled_before(self, job_id: str) -> Failed:
        """Return the answer to a request that its cancel has overtaken."""
        self.counts["cancelled-before"] += 1
        self._log("cancelled-before", job=job_id)
        return Failed(
            FailureReason.CANCELLED,
            "the job was cancelled before its request arrived",
            Step.SUBMIT,
            self.name,
        )

    def cancel(self, job_id: str, now: float) -> bool:
        """Cancel a job and stop its runs.

        Its client has disconnected or has asked for it.

        :return: False if the job is not open.
        """
        job = self._jobs.get(job_id)
        if job is None:
            return False
        failed = Failed(
            FailureReason.CANCELLED,
            "the client has left",
            Step.RUNNING,
            self.name,
            may_have_run=job.started,
        )
        self._end_job(job, failed, now, keep_outcome=False)
        return True

    def number_of(self, job_id: str) -> int:
        """Return the number of an open job's admission; 0 if none is open."""
        job = self._jobs.get(job_id)
        return job.number if job is not None else 0

    def forward_cancel(self, job_id: str, now: float) -> bool:
        """Ask the other entries, by way of the agents, to cancel a job.

        Agents that attach later are asked, too. A :class:`CancelConfirmed`
        effect follows if another entry has the job.

        :return: False if it is not asked, as this entry has answered the job
            or too many cancels are passed on.
        """
        if job_id in self._answered or len(job_id) > MAX_JOB_ID_LENGTH:
            return False
        if not self._cancel_budget.take(now):
            self._log("cancel-not-forwarded", job=job_id)
            return False
        self._asked_cancels.keep(job_id, now)
        self._known_cancels.keep(job_id, now)
        views = [
            v
            for v in self._agents.linked()
            if v.attached and Capability.RELAYS_CANCELS in v.capabilities
        ]
        self._log("cancel-forwarded", job=job_id, agents=len(views))
        for view in views:
            self._agents.send(view, CancelJob(job_id))
        return True

    def waiting_jobs(self, route: str) -> int:
        """Return how many jobs of a route wait for the start of any task."""
        return sum(
            j.route.name == route and not j.started
            for j in self._jobs.values()
        )

    def stop_by(self, deadline: float) -> None:
        """Refuse from now on jobs that may not end by a deadline.

        :param deadline: Unix time in seconds at which the process stops.
        """
        self._admission.stop_by = deadline

    def end_open_jobs(self, now: float) -> None:
        """Give all open jobs an outcome, as the process stops.

        A job that has started may be repeated at another entry once its runs
        have ended, which takes as long as that of a lost entry.

        :param now: Unix time in seconds.
        """
        for job in list(self._jobs.values()):
            outcome: Outcome = self._admission.refuse_stopping(now)
            if job.started:
                outcome = Failed(
                    FailureReason.HOME_LOST,
                    "the entry stops before the job has ended",
                    Step.RUNNING,
                    self.name,
                    retry_at=now + AGENT_LOST_S,
                )
            self._end_job(job, outcome, now, keep_outcome=False)

    @property
    def open_jobs(self) -> int:
        """Number of jobs that were admitted and have no outcome yet."""
        return len(self._jobs)

    def _release_steps(self, job: Job) -> None:
        """Queue the tasks of each step whose preceding steps are done."""
        for task in job.tasks:
            if task.phase is not TaskPhase.BLOCKED:
                continue
            if all(job.step_done(n) for n in task.spec.after):
                task.phase = TaskPhase.WAITING
                self._waiting.add(task)

    # -- agents -------------------------------------------------------------

    def agents_listed(
        self, directory: Mapping[str, AgentAddress], now: float
    ) -> None:
        """Update the known agents from a read of the registry.

        :param directory: all registered agents by name.
        :param now: Unix time in seconds.
        """
        self._agents.update_directory(directory, now)

    def link_up(self, agent: str, link: int, now: float) -> None:
        """Attach to an agent on a connection that has been opened.

        :param agent: name of the agent.
        :param link: number of the connection.
        :param now: Unix time in seconds.
        """
        self._agents.link_up(agent, link, now)

    def link_down(self, agent: str, link: int | None, now: float) -> None:
        """Record that a connection ended or could not be opened.

        :param agent: name of the agent.
        :param link: number of the connection that ended; None if none could
            be opened.
        :param now: Unix time in seconds.
        """
        self._agents.link_down(agent, link, now)

    def handle(self, link: int, msg: AgentMessage, now: float) -> None:
        """Handle a message of an agent.

        Messages on a connection that is no longer in use are ignored.
        """
        view = self._agents.by_link(link)
        if view is None:
            return
        view.last_received_at = now
        match msg:
            case Attached():
                self._handle_attached(view, msg, now)
            case WorkerStatus():
                view.update_status(msg)
                if msg.accepting:
                    view.mark_unowned_ended(now)
                    self._worker_seen(view, msg.incarnation)
            case AgentHeartbeat():
                view.heartbeat_sent_at = msg.sent_at
                self.evacuations.merge(msg.evacuations, now)
                for loss in msg.losses:
                    self._learn_loss(view, loss, now)
            case CapacityOffer():
                # The offered capacity has to be used, or declined by a
                # report of the demand in the next turn.
                self._demand.offer_received()
                view.offered_cpu = msg.cpu
                view.offered_until = now + OFFER_USE_S
            case RunEnded():
                self._handle_run_ended(view, msg, now)
            case UnreportedFailure():
                dispatch = view.pop_unowned(msg.task, msg.run)
                if dispatch is not None:
                    self._finish_run(view, dispatch, RunEnd.FAILED, now)
            case CancelJob():
                self._known_cancels.keep(msg.job, now)
                if self.cancel(msg.job, now):
                    self._log("cancel-received", job=msg.job, agent=view.name)
                    self._agents.send(view, JobCancelled(msg.job))
            case JobCancelled():
                self._asked_cancels.remove(msg.job)
                self._emit(CancelConfirmed(msg.job))

    def _handle_attached(
        self, view: AgentView, msg: Attached, now: float
    ) -> None:
        """Handle the answer to an attachment.

        If another process of the agent answers, the runs of the previous one
        end at the latest when their lease expires. Otherwise orders that the
        agent does not list will not be carried out, and count as lost.
        """
        if msg.agent != view.name:
            self._agents.reject(view, msg.agent, now)
            return
        view.attached = True
        view.capabilities = frozenset(msg.capabilities)
        if view.build != msg.build:
            view.build = msg.build
            self._log("agent-build", agent=view.name, build=msg.build)
        view.heartbeat_sent_at = msg.sent_at
        self._send_heartbeat(view)
        if Capability.RELAYS_CANCELS in view.capabilities:
            for job_id in self._asked_cancels.jobs(now):
                self._agents.send(view, CancelJob(job_id))
        if msg.incarnation != view.incarnation:
            if view.incarnation:
                self._log("agent-restarted", agent=view.name)
            view.incarnation = msg.incarnation
            view.last_ended_number = 0
            view.status = None
            view.disown_all(now + LEASE_EXPIRY_S)
            return
        held = set(msg.dispatches)
        for number in [n for n in view.dispatches if n not in held]:
            dispatch = view.remove(number)
            if dispatch is not None:
                self._finish_run(view, dispatch, RunEnd.LOST, now)

    def _handle_run_ended(
        self, view: AgentView, msg: RunEnded, now: float
    ) -> None:
        """Handle the report of an ended run, unless it is a repeat."""
        if msg.number <= view.last_ended_number:
            return
        view.last_ended_number = msg.number
        dispatch = view.remove(msg.dispatch)
        if dispatch is None:
            return
        if msg.how is RunEnd.DONE:
            self._learn_work(view, dispatch.task, msg.ran_s)
        self._finish_run(view, dispatch, msg.how, now)

    def _learn_loss(
        self, view: AgentView, loss: WorkerLoss, now: float
    ) -> None:
        """Learn from an agent which tasks ran on a worker that was lost."""
        self._crashes.learn(view.name, loss, now)
        self.counts[f"worker-{loss.state.value}"] += 1
        own = self._open_tasks({*loss.tasks, *loss.unconfirmed})
        self._log(
            "worker-loss-learnt",
            agent=view.name,
            incarnation=loss.incarnation,
            state=loss.state.value,
            tasks=len(loss.tasks),
            unconfirmed=len(loss.unconfirmed),
            own=len(own),
        )
        for task in own:
            task.suspect = self._crashes.is_suspect(task.name)
            waits = task.phase is TaskPhase.WAITING and not task.job.ended
            if waits and self._crashes.is_exhausted(task.name):
                self._end_job(task.job, self._given_up(task.name), now)

    def _lost_with_agent(
        self, view: AgentView, dispatch: Dispatch, now: float
    ) -> None:
        """Put a task under suspicion unless its worker has been seen since."""
        if view.worker_seen and view.worker_seen == dispatch.incarnation:
            return
        task = dispatch.task
        incarnation = dispatch.incarnation or f"run {dispatch.run}"
        self._crashes.lost_with_agent(task.name, view.name, incarnation, now)
        task.suspect = True

    def _worker_seen(self, view: AgentView, incarnation: str) -> None:
        """Record that a worker takes runs, so that it has not crashed.

        Its agent may have died with what it knew of the worker's runs.
        """
        if view.worker_seen == incarnation:
            return
        view.worker_seen = incarnation
        self._crashes.replaced(view.name, incarnation)
        names = self._crashes.survived(view.name, incarnation)
        for task in self._open_tasks(set(names)):
            task.suspect = self._crashes.is_suspect(task.name)

    def _open_tasks(self, names: AbstractSet[str]) -> list[Task]:
        """Return the tasks of these names that belong to open jobs."""
        jobs = [self._jobs.get(j) for j in {job_of(n) for n in names}]
        return [t for j in jobs if j for t in j.tasks if t.name in names]

    def _find_exhausted(self, request: JobRequest) -> str:
        """Return a task of a job that is not to be started; empty if none.

        The job may have run at another entry, which has died.
        """
        if not self._crashes:
            return ""
        names = task_names(request)
        return next((n for n in names if self._crashes.is_exhausted(n)), "")

    def _given_up(self, task: str) -> Failed:
        """Return the outcome of a job with a task that crashes its workers."""
        detail = (
            f"workers were lost under each start of task {task};"
            f" {self._crashes.crashes(task)} of them have crashed"
        )
        self.counts["given-up-after-crashes"] += 1
        return Failed(
            FailureReason.TASK_FAILED, detail, Step.RUNNING, self.name
        )

    def _learn_work(self, view: AgentView, task: Task, ran_s: float) -> None:
        """Learn from the first run of a job how accurate its estimate was.

        The tasks of a job share the error of one estimate.
        """
        job, status = task.job, view.status
        if job.observed or status is None:
            return
        job.observed = True
        self._estimates.observe(
            job.route.name,
            job.estimates_s[task.step],
            ran_s / status.slowness,
        )

    def _finish_run(
        self, view: AgentView, dispatch: Dispatch, how: RunEnd, now: float
    ) -> None:
        """Record that a run has certainly ended, and decide what follows.

        If the run is not the latest one of its task, or the job has ended,
        nothing follows. A task that is not done is queued again until it has
        failed as often as its route allows.

        :param view: the agent that was ordered to run it.
        :param dispatch: the order.
        :param how: how the run ended.
        :param now: Unix time in seconds.
        """
        task = dispatch.task
        self._unended_runs[task.name] -= 1
        if not self._unended_runs[task.name]:
            del self._unended_runs[task.name]
        self.counts[f"run-{how.value}"] += 1
        if task.dispatch != dispatch.number or task.job.ended:
            return
        task.agent = ""
        task.phase = TaskPhase.WAITING
        if how is RunEnd.DONE:
            self._task_done(task, now)
            return
        self._log(
            "run-not-done",
            task=task.name,
            agent=view.name,
            how=how.value,
            crashes=self._crashes.crashes(task.name),
        )
        if self._crashes.is_exhausted(task.name):
            self._end_job(task.job, self._given_up(task.name), now)
            return
        if how is RunEnd.NO_ROOM:
            self._admission.revert_start(task.spec.work)
        lost_with_worker = how is RunEnd.LOST and task.suspect
        if how in _ENDS_THAT_AVOID_AGENT or lost_with_worker:
            task.failed_agents.add(view.name)
        if how in _ENDS_WITH_BACKOFF:
            view.backoff_until = now + BACKOFF_S
        if how in _ENDS_COUNTED_AS_FAILURE:
            task.failures += 1
            if task.failures >= task.job.route.max_attempts:
                self._task_failed(task, view, now)
                return
        self._waiting.add(task)

    def _task_done(self, task: Task, now: float) -> None:
        """Complete the job, or queue steps that waited for the task's step."""
        job = task.job
        job.mark_done(task)
        if job.done:
            self._end_job(job, Completed(()), now)
        elif job.step_done(task.step):
            self._release_steps(job)

    def _task_failed(self, task: Task, view: AgentView, now: float) -> None:
        """End the job of a task that has used up its attempts."""
        detail = f"task {task.name} failed {task.failures} times"
        failed = Failed(
            FailureReason.TASK_FAILED, detail, Step.RUNNING, view.name
        )
        self._end_job(task.job, failed, now)

    def _end_job(
        self, job: Job, outcome: Outcome, now: float, keep_outcome: bool = True
    ) -> None:
        """Set the outcome of a job, and stop all that is left of its tasks.

        :param job: the job.
        :param outcome: its outcome.
        :param now: Unix time in seconds.
        :param keep_outcome: whether a repeat of the job gets this outcome;
            otherwise a repeat is a new job.
        """
        job.ended = True
        job_id = job.request.job
        del self._jobs[job_id]
        self._memory.remove(job)
        for task in job.tasks:
            if task.phase is TaskPhase.WAITING:
                if task in self._waiting:
                    self._waiting.remove(task)
            elif task.phase is TaskPhase.PLACED:
                self._stop_run(task)
        if keep_outcome and job.tasks:
            self._answered[job_id] = (now + KEEP_OUTCOME_S, outcome)
        self.by_priority.ended(job, outcome, now)
        kind = type(outcome).__name__.lower()
        self.counts[kind] += 1
        self._log(
            "job-ended",
            job=job_id,
            route=job.route.name,
            outcome=kind,
            took_ms=round((now - job.accepted_at) * 1000),
            objective_ms=round((job.objective_at - job.accepted_at) * 1000),
            reason=_reason(outcome),
        )
        self._effects.append(JobEnded(job_id, job.number, outcome))

    def _stop_run(self, task: Task) -> None:
        """Ask the agent of a placed task to stop its run."""
        view = self._agents.get(task.agent)
        if view is None or task.dispatch not in view.dispatches:
            return
        self._log(
            "stop-requested",
            task=task.name,
            run=task.last_run,
            agent=view.name,
            connected=view.link is not None,
        )
        self._agents.send(view, StopRun(task.dispatch))

    # -- turns --------------------------------------------------------------

    def needs_turn(self, now: float) -> bool:
        """Whether a turn has anything to do after the latest inputs."""
        return (
            bool(self._effects)
            or bool(self._waiting)
            or self._demand.must_report
            or now >= self._next_heartbeat_at
            or self._agents.needs_review(now)
        )

    def turn(self, now: float) -> list[EntryEffect]:
        """Make the decisions that are due, and return all effects.

        Runs of lost agents are ended, waiting tasks are placed, and the
        remaining demand is reported to agents; five times a second
        heartbeats are sent and expired jobs are refused.
        """
        self._detect_pause(now)
        for view, dispatch in self._agents.review(now):
            self._lost_with_agent(view, dispatch, now)
            self._finish_run(view, dispatch, RunEnd.LOST, now)
        if now >= self._place_not_before:
            self._place_waiting(now)
        self._demand.report(now, self._admission.is_scarce(now))
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + HEARTBEAT_PERIOD_S
            self._refuse_expired(now)
            self._end_past_deadline(now)
            self._send_heartbeats(now)
        effects, self._effects = self._effects, []
        return effects

    def next_deadline(self) -> float | None:
        """Return the latest time at which the next turn is due."""
        return self._next_heartbeat_at

    def _detect_pause(self, now: float) -> None:
        """Delay placements if the process was frozen since its last turn."""
        self._admission.record_process_start(now)
        paused_s = now - self._last_turn_at
        if self._last_turn_at and paused_s > PAUSE_THRESHOLD_S:
            self._log("paused", paused_ms=round(paused_s * 1000))
            self._place_not_before = now + CATCH_UP_S
            for job in self._jobs.values():
                if math.isinf(job.deadline):
                    job.place_not_before = now + paused_s + RETRANSMISSION_S
        self._last_turn_at = now

    def _place_waiting(self, now: float) -> None:
        """Place waiting tasks by urgency.

        Each task that has to wait raises the target of connections of its
        service; after ``MAX_TASKS_TRIED`` such tasks the turn places no more.
        """
        if not self._waiting:
            return
        services: dict[str, tuple[list[AgentView], float]] = {}
        tried = suspects = 0
        placed = []
        scarce = self._admission.is_scarce(now)
        for task in self._waiting.in_order(now, scarce):
            if tried >= MAX_TASKS_TRIED:
                break
            if self._unended_runs[task.name]:
                continue  # an earlier run of the task may still be going on
            if now < task.job.place_not_before or now >= task.job.deadline:
                continue
            if task.suspect and suspects >= MAX_SUSPECTS_TRIED:
                continue
            service = task.job.route.service
            if service not in services:
                views = self._usable(service, now)
                services[service] = views, utilisation(views)
            views, held_share = services[service]
            view = choose_agent(task, views, held_share, now, self.zone)
            if view is None:
                tried += 1
                suspects += task.suspect
                is_eligible = any(may_run_at(task, v, now) for v in views)
                self._agents.raise_target(service, not is_eligible, now)
            else:
                self._place(task, view, now)
                placed.append(task)
        for task in placed:
            self._waiting.remove(task)
        for job in {id(t.job): t.job for t in placed}.values():
            self._waiting.job_begun(job)

    def _place(self, task: Task, view: AgentView, now: float) -> None:
        """Order a run of a task from an agent.

        Run numbers follow the clock in milliseconds, so that they rise even
        if the job is repeated at another entry.
        """
        self._last_dispatch += 1
        step = task.spec
        task.phase = TaskPhase.PLACED
        task.agent = view.name
        task.dispatch = self._last_dispatch
        task.last_run = max(task.last_run + 1, int(now * 1000))
        dispatch = Dispatch(
            task,
            task.dispatch,
            task.last_run,
            step.cpu,
            step.memory_mb,
            step.gpu,
            now,
            view.status.incarnation if view.status is not None else "",
        )
        view.add(dispatch)
        view.offered_cpu = max(0, view.offered_cpu - step.cpu)
        self._unended_runs[task.name] += 1
        self._admission.record_start(task.spec.work, now)
        if not task.job.started:
            self.by_priority.begun(task.job, now)
        task.job.started = True
        status = view.status
        zone = status.zone if status else ""
        self.counts["placed-in-own-zone"] += bool(zone) and zone == self.zone
        self._log(
            "placed",
            task=task.name,
            run=task.last_run,
            agent=view.name,
            slack_ms=round((task.start_by - now) * 1000),
            slowness=status.slowness if status else None,
            zone=zone,
            free_cpu=view.free_cpu(now),
            suspect=task.suspect,
        )
        req = task.job.request
        same_payload = view.last_job == req.job
        view.last_job = req.job
        order = StartRun(
            task.dispatch,
            task.name,
            task.last_run,
            "" if same_payload else req.payload,
            step.cpu,
            step.memory_mb,
            step.gpu,
            task.job.estimates_s[task.step],
            same_payload,
            view.heartbeat_sent_at,
            round((task.start_by - now) * 1000),
            round((task.useful_by - now) * 1000),
            task.suspect,
            step.required_label,
        )
        self._agents.send(view, order)

    def _usable(self, service: str, now: float) -> list[AgentView]:
        return [v for v in self._agents.of_service(service) if v.usable(now)]

    def _refuse_expired(self, now: float) -> None:
        """Refuse jobs that have not started and would end after expiry."""
        late = {
            task.job.request.job: task.job
            for task in self._waiting.late(now)
            if not task.job.started and _ends_after_expiry(task, now)
        }
        for job in late.values():
            refused = self._admission.refuse_waiting(job, now)
            self._log(
                "given-up",
                job=job.request.job,
                route=job.route.name,
                waited_ms=round((now - job.accepted_at) * 1000),
                **self._admission.describe(job.rank, refused, now),
            )
            self._end_job(job, refused, now, keep_outcome=False)

    def _end_past_deadline(self, now: float) -> None:
        """End jobs whose clients wait no longer.

        A client whose departure was not noticed may repeat its request at
        another entry. What is not stopped then would run twice.
        """
        for job in list(self._jobs.values()):
            if now < job.deadline:
                continue
            outcome: Outcome = self._past_deadline(now)
            if job.started:
                outcome = Failed(
                    FailureReason.DEADLINE_PASSED,
                    DEADLINE_DETAIL,
                    Step.RUNNING,
                    self.name,
                    retry_at=now + AGENT_LOST_S,
                )
            self.counts["ended-at-deadline"] += 1
            self._end_job(job, outcome, now, keep_outcome=False)

    def _refuse_past_deadline(self, job_id: str, now: float) -> Refused:
        """Refuse a request that was read after its client's time."""
        reason = RefusalReason.DEADLINE_PASSED.value
        self.counts[f"refused-{reason}"] += 1
        self._log("refused", job=job_id, reason=reason)
        return self._past_deadline(now)

    def _past_deadline(self, now: float) -> Refused:
        return self._admission.refuse(
            RefusalReason.DEADLINE_PASSED, DEADLINE_DETAIL, now + FULL_RETRY_S
        )

    def _send_heartbeats(self, now: float) -> None:
        """Send a heartbeat to each agent, and drop outcomes kept long enough.

        A heartbeat echoes the agent's latest one, which keeps the runs of
        the session going, and acknowledges reports of ended runs.
        """
        for view in self._agents.linked():
            if view.attached:
                self._send_heartbeat(view)
        self._crashes.drop_old(now)
        for job_id, (until, _) in list(self._answered.items()):
            if until <= now:
                del self._answered[job_id]

    def _send_heartbeat(self, view: AgentView) -> None:
        heartbeat = EntryHeartbeat(
            view.heartbeat_sent_at,
            view.last_ended_number,
            self.evacuations.news_for(view),
        )
        self._agents.send(view, heartbeat)

    # -- helpers ------------------------------------------------------------

    @property
    def can_place(self) -> bool:
        """Whether the entry is attached to any agent."""
        return any(v.attached for v in self._agents.linked())

    def state(self, now: float) -> dict[str, float]:
        """Return the state metrics of the entry, by kind."""
        views = list(self._agents)
        return {
            "jobs_open": len(self._jobs),
            "jobs_bytes": self._memory.held,
            "tasks_waiting": len(self._waiting),
            "tasks_placed": sum(len(v.dispatches) for v in views),
            "agents_known": len(self._agents),
            "agents_attached": sum(v.attached for v in views),
            "agents_usable": sum(v.usable(now) for v in views),
            **count_builds(v.build for v in views if v.attached),
        }

    def _emit(self, effect: EntryEffect) -> None:
        self._effects.append(effect)

    def _log_refusal(
        self,
        request: JobRequest,
        rank: JobRank,
        refused: Refused,
        usable: Sequence[AgentView],
        now: float,
    ) -> None:
        self.counts[f"refused-{refused.reason.value}"] += 1
        self._log(
            "refused",
            job=request.job,
            route=rank.route,
            reason=refused.reason.value,
            **self._admission.describe(rank, refused, now),
            waiting=len(self._waiting),
            waiting_core_s=round(self._waiting.work / 1000, 1),
            drain_cores=round(
                self._admission.started_work_per_s(now) / 1000, 1
            ),
            spare_cores=round(sum(v.spare_cpu for v in usable) / 1000, 1),
        )

    def _log(self, action: str, **fields: Any) -> None:
        self._effects.append(EntryEvent(action, fields))


def _reason(outcome: Outcome) -> str:
    """Return why a job did not complete; empty if it did."""
    match outcome:
        case Refused() | Failed():
            return f"{outcome.reason.value}: {outcome.detail}"
        case _:
            return ""


def _ms_until(at: float, now: float) -> int:
    """Return the milliseconds until a time; 0 for an infinite one."""
    return 0 if math.isinf(at) else max(1, math.ceil((at - now) * 1000))


def _ends_after_expiry(task: Task, now: float) -> bool:
    """Whether a task that starts now ends when its job is of no use."""
    return now + task.spec.expected_s > task.job.expires_at


_ENDS_THAT_AVOID_AGENT = frozenset(
    {RunEnd.FAILED, RunEnd.STALLED, RunEnd.REJECTED}
)
_ENDS_COUNTED_AS_FAILURE = frozenset({RunEnd.FAILED, RunEnd.REJECTED})
_ENDS_WITH_BACKOFF = frozenset({RunEnd.UNAVAILABLE, RunEnd.UNANSWERED})
