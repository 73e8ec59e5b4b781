"""Entries with skewed clocks, late writes and splits: one home per id."""

from __future__ import annotations

import math
from collections import defaultdict

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from briarford.homes import (
    ForwardTo,
    IdAllocator,
    Member,
    Router,
    ServeHere,
    ViewHolder,
)
from briarford.homes.lease import (
    CLOCK_SKEW_S,
    STORE_ABSENCE_S,
    VIEW_LEASE_S,
    ViewLease,
)
from briarford.membership.messages import EntryRecord
from briarford.outcomes import RefusalReason, Refused, Step

START = 1_800_000_000.0
NAMES = ("e1", "e2", "e3")
MAX_HOPS = 3
IDS_PER_SUBMIT = 6
names = st.sampled_from(NAMES)


def make_id(created_at, serial):
    ms = f"{round(created_at * 1000):012x}"
    return f"{ms[:8]}-{ms[8:]}-7000-8000-{serial:012x}"


class FakeStore:
    """Two keys with compare-and-swap; writes may land late."""

    def __init__(self):
        self.record = None
        self.entries = {}
        self.late = []
        self.calls = 0

    def swap(self, record):
        held = 0 if self.record is None else self.record.version
        if held + 1 == record.version:
            self.record = record


class Process:
    """One incarnation of an entry."""

    def __init__(self, name, incarnation, offset, make_holder):
        self.me = Member(name, incarnation, f"{name}:1")
        self.offset = offset
        self.holder = make_holder(self.me)
        self.router = Router(self.holder, IdAllocator(name, incarnation, b"k"))


class Cluster:
    """Entries, the store and what lies between, in virtual time."""

    def __init__(self, offsets, make_holder=ViewHolder):
        self.time = START
        self.store = FakeStore()
        self.offsets = dict(zip(NAMES, offsets, strict=True))
        self.make_holder = make_holder
        self.processes = {}
        self.cut = set()
        self.late_answers = []
        self.jobs = []
        self.runners = defaultdict(set)
        self.starts = 0

    def now(self, process):
        return self.time + process.offset

    def start(self, name):
        self.starts += 1
        process = Process(
            name, f"i{self.starts}", self.offsets[name], self.make_holder
        )
        self.processes[name] = process
        self.register(name)

    def crash(self, name):
        self.processes.pop(name, None)

    def register(self, name, leaving=False):
        process = self.processes.get(name)
        if process is not None and ("store", name) not in self.cut:
            self.store.entries[name] = EntryRecord(process.me, leaving)

    def lapse(self, name):
        self.store.entries.pop(name, None)

    def read(self, name, late=False):
        process = self.processes.get(name)
        if process is None or ("store", name) in self.cut:
            return
        self.store.calls += 1
        record, asked_at = self.store.record, self.now(process)
        if record is None:
            return
        answer = (process.holder.receive_store_record, (record, asked_at))
        self.late_answers.append(answer)
        if not late:
            self.deliver(-1)

    def ask(self, name, peer, late=False):
        process, other = self.processes.get(name), self.processes.get(peer)
        if not self.connected(name, peer) or name == peer:
            return
        if other.holder.record is not None:
            process.holder.adopt(other.holder.record)
        process.holder.clocks.receive_reading(
            peer, self.now(other), self.now(process), self.now(process)
        )
        words = (
            (peer, other.me.incarnation),
            other.holder.tag,
            other.holder.lease.store_confirmed_at,
            self.now(process),
        )
        self.late_answers.append((process.holder.receive_peer_tag, words))
        if not late:
            self.deliver(-1)

    def deliver(self, index):
        if self.late_answers:
            take, words = self.late_answers.pop(index % len(self.late_answers))
            take(*words)

    def write(self, name, late=False):
        process = self.processes.get(name)
        if process is None or ("store", name) in self.cut:
            return
        entries = tuple(self.store.entries.values())
        record = process.holder.plan_write(entries, self.now(process))
        if record is None:
            return
        self.store.calls += 1
        self.store.late.append(record)
        if not late:
            self.land(-1)

    def land(self, index):
        if self.store.late:
            self.store.swap(self.store.late.pop(index % len(self.store.late)))

    def connected(self, name, peer):
        return (
            name in self.processes
            and peer in self.processes
            and (name, peer) not in self.cut
            and (peer, name) not in self.cut
        )

    def submit(self, name, job_id):
        process = self.processes.get(name)
        if process is None:
            return None
        self.jobs.append(job_id)
        for _ in range(MAX_HOPS):
            route = process.router.route(job_id, self.now(process))
            if isinstance(route, ServeHere):
                return self.run(process, job_id)
            if not isinstance(route, ForwardTo):
                break
            target = self.processes.get(route.entry.name)
            if target is None or target.me != route.entry:
                return None
            if not self.connected(process.me.name, target.me.name):
                return None
            process = target
        if isinstance(route, Refused):
            assert not self.runners[job_id], "refused, but it had run"
        return route

    def run(self, process, job_id):
        self.runners[job_id].add(process.me)
        assert len(self.runners[job_id]) == 1, "two homes ran one job"
        return process.me

    def beat(self, seconds=1.0):
        """All that entries do in one period, without faults."""
        self.time += seconds
        for name in NAMES:
            self.read(name)
            self.write(name)
            for peer in NAMES:
                self.ask(name, peer)


class NoTimeGate(ViewHolder):
    """Activates a change at once."""

    def _plan_activation(self, record, announced, now):
        made = super()._plan_activation(record, announced, now)
        *kept, last = made.epochs
        gate = max(now, kept[-1].effective_at + 0.001)
        last = type(last)(gate, last.members)
        return type(made)(made.version, (*kept, last), departed=made.departed)


class _Boundless(ViewLease):
    @property
    def known_until(self):
        return math.inf


class NoLease(ViewHolder):
    """Trusts its view for ever."""

    def __init__(self, me):
        super().__init__(me)
        self.lease = _Boundless(me)


class OneWrite(ViewHolder):
    """Changes members in one write, with the gate counted from its plan."""

    def _plan_change(self, record, entries, now):
        made = super()._plan_change(record, entries, now)
        if made is None or made.announced is None:
            return made
        gate = now + VIEW_LEASE_S + 2 * CLOCK_SKEW_S
        epoch = type(made.epochs[0])(gate, made.announced)
        return type(made)(
            made.version, (*made.epochs, epoch), departed=made.departed
        )


class OutsiderDoesNotWait(ViewHolder):
    """Takes over from members that it cannot see, as a member would."""

    def _bound_lease_of_members(self, record):
        return VIEW_LEASE_S


class NoClockCheck(ViewHolder):
    """Trusts its clock, whatever the others say."""

    def is_clock_trusted(self, now):
        return True


OFFSETS = (
    (0.0, 0.0, 0.0),
    (-0.5, 0.0, 0.5),
    (0.5, 0.5, -0.5),
    (0.0, 0.0, 100.0),
    (0.0, -100.0, 0.0),
)


class HomesMachine(RuleBasedStateMachine):
    """Any fault at any step."""

    make_holder = ViewHolder

    @initialize(offsets=st.sampled_from(OFFSETS))
    def begin(self, offsets):
        self.cluster = settled(self.make_holder, offsets)

    @rule(
        seconds=st.sampled_from(
            (0.2, 0.5, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 3700.0)
        )
    )
    def wait(self, seconds):
        self.cluster.time += seconds

    @rule(count=st.sampled_from((1, 1, 5, 15)))
    def work(self, count):
        for _ in range(count):
            self.cluster.beat()

    @rule(name=names)
    def start(self, name):
        self.cluster.start(name)

    @rule(name=names)
    def crash(self, name):
        self.cluster.crash(name)

    @rule(name=names)
    def lapse(self, name):
        self.cluster.lapse(name)

    @rule(name=names, leaving=st.booleans())
    def register(self, name, leaving):
        self.cluster.register(name, leaving)

    @rule(name=names, late=st.booleans())
    def read(self, name, late):
        self.cluster.read(name, late)

    @rule(name=names, late=st.booleans())
    def write(self, name, late):
        self.cluster.write(name, late)

    @rule(index=st.integers(0, 5))
    def land(self, index):
        self.cluster.land(index)

    @rule(name=names, peer=names, late=st.booleans())
    def ask(self, name, peer, late):
        self.cluster.ask(name, peer, late)

    @rule(index=st.integers(0, 5))
    def deliver(self, index):
        self.cluster.deliver(index)

    @rule(name=names, end=st.sampled_from(("store", *NAMES)))
    def cut(self, name, end):
        self.cluster.cut ^= {(end, name)}

    @rule(name=names)
    def isolate(self, name):
        isolate(self.cluster, name)

    @rule()
    def heal(self):
        self.cluster.cut.clear()

    @rule(
        ago=st.sampled_from((-9.0, -6.5, -5.0, -1.0, 0.0, 0.0, 4.0, 150.0)),
    )
    def submit_new(self, ago):
        cluster = self.cluster
        for _ in range(IDS_PER_SUBMIT):
            job_id = make_id(cluster.time - ago, len(cluster.jobs))
            for name in NAMES:
                cluster.submit(name, job_id)

    @rule(index=st.integers(0, 30))
    def submit_again(self, index):
        jobs = self.cluster.jobs
        if jobs:
            job_id = jobs[-1 - index % len(jobs)]
            for name in NAMES:
                self.cluster.submit(name, job_id)


def run_machine(make_holder, examples, phases):
    class Machine(HomesMachine):
        pass

    Machine.make_holder = staticmethod(make_holder)
    run_state_machine_as_test(
        Machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=50,
            derandomize=True,
            deadline=None,
            phases=phases,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_no_fault_gives_a_job_two_homes_or_a_false_refusal():
    run_machine(ViewHolder, 150, (Phase.generate,))


@pytest.mark.parametrize("fault", [NoTimeGate, NoLease, NoClockCheck])
def test_machine_finds_a_planted_fault(fault):
    with pytest.raises(AssertionError, match="two homes"):
        run_machine(fault, 400, (Phase.generate,))


def test_machine_finds_a_refusal_without_proof(monkeypatch):
    def refuse(router, record, client_id, now):
        return Refused(RefusalReason.VIEW_UNCONFIRMED, "", Step.SUBMIT, "")

    monkeypatch.setattr(Router, "_route_unconfirmed", refuse)
    with pytest.raises(AssertionError, match="refused, but it had run"):
        run_machine(ViewHolder, 400, (Phase.generate,))


# What each way to choose homes does under each fault. The scenario brings the
# fault about; then one batch of new ids is submitted at every entry.


def settled(make_holder, offsets=(0.0, 0.0, 0.0)):
    cluster = Cluster(offsets, make_holder)
    for name in NAMES:
        cluster.start(name)
        cluster.beat()
    for _ in range(15):
        cluster.beat()
    return cluster


def submit_batch(cluster, ago=0.0, count=30):
    served = 0
    for _ in range(count):
        job_id = make_id(cluster.time - ago, len(cluster.jobs))
        owners = [cluster.submit(name, job_id) for name in NAMES]
        served += any(isinstance(owner, Member) for owner in owners)
    return served / count


def quiet(cluster):
    return submit_batch(cluster)


def store_down(cluster):
    cluster.cut |= {("store", name) for name in NAMES}
    for _ in range(60):
        cluster.beat()
    return submit_batch(cluster)


def store_down_for_one(cluster):
    cluster.cut |= {("store", "e1")}
    for _ in range(60):
        cluster.beat()
    return submit_batch(cluster)


def all_lost(cluster):
    """Nothing new has a home until the absence of the store is over."""
    for name in NAMES:
        cluster.crash(name)
        cluster.lapse(name)
    cluster.start("e1")
    for _ in range(10):
        cluster.beat()
    assert submit_batch(cluster) == 0.0
    cluster.time += STORE_ABSENCE_S
    for _ in range(10):
        cluster.beat()
    return submit_batch(cluster)


def isolate(cluster, name):
    cluster.cut |= {(name, peer) for peer in NAMES} | {("store", name)}
    cluster.lapse(name)


def split_entry(cluster, seconds=40):
    isolate(cluster, "e3")
    for _ in range(seconds):
        cluster.beat()
    return submit_batch(cluster)


def split_entry_just_now(cluster):
    return split_entry(cluster, seconds=int(VIEW_LEASE_S + CLOCK_SKEW_S))


def write_lands_late(cluster):
    cluster.register("e3", leaving=True)
    cluster.write("e1", late=True)
    cluster.cut |= {(a, b) for a in NAMES for b in NAMES}
    for _ in range(30):
        cluster.time += 1
        cluster.read("e3")
    cluster.land(0)
    cluster.read("e1")
    cluster.write("e1")
    cluster.read("e1")
    return submit_batch(cluster)


def all_members_cut_off_together(cluster):
    for name in ("e1", "e2", "e3"):
        cluster.cut.add(("store", name))
    old = dict(cluster.processes)
    for _ in range(5):
        cluster.beat()
    for name in NAMES:
        cluster.lapse(name)
    # A fourth process, under a name that a lost one had, sees nobody.
    cluster.crash("e3")
    cluster.cut.discard(("store", "e3"))
    cluster.cut |= {("e1", "e3"), ("e2", "e3")}
    cluster.start("e3")
    for _ in range(20):
        cluster.time += 1
        for name in ("e1", "e2"):
            peer = "e2" if name == "e1" else "e1"
            cluster.ask(name, peer)
            lost = cluster.processes[name].holder
            words = ("e3", old["e3"].me.incarnation), lost.tag
            lost.receive_peer_tag(*words, -math.inf, cluster.time)
        cluster.read("e3")
        cluster.write("e3")
    return submit_batch(cluster)


def clock_ahead(cluster):
    return split_entry(cluster)


def clock_behind(cluster):
    isolate(cluster, "e1")
    for _ in range(5):
        cluster.time += 1
        cluster.read("e3")
        cluster.write("e3")
        cluster.read("e2")
    return submit_batch(cluster)


CLOCKS = {clock_ahead: (0.0, 0.0, 100.0), clock_behind: (0.0, 0.0, -100.0)}


@pytest.mark.parametrize(
    ("scenario", "served", "caught"),
    [
        pytest.param(clock_ahead, 0.5, (NoClockCheck,), id="clock-ahead"),
        pytest.param(clock_behind, 0.5, (NoClockCheck,), id="clock-behind"),
        pytest.param(all_lost, 1.0, (), id="all-lost-one-new"),
        pytest.param(quiet, 1.0, (), id="quiet"),
        pytest.param(store_down, 1.0, (), id="store-down"),
        pytest.param(store_down_for_one, 1.0, (), id="store-down-for-one"),
        pytest.param(split_entry, 0.5, (NoLease,), id="entry-split-off"),
        pytest.param(
            split_entry_just_now, 0.5, (NoTimeGate,), id="entry-just-split"
        ),
        pytest.param(write_lands_late, 0.5, (OneWrite,), id="late-write"),
        pytest.param(
            all_members_cut_off_together,
            0.5,
            (OutsiderDoesNotWait, NoTimeGate),
            id="members-cut-off-together",
        ),
    ],
)
def test_fault_table(scenario, served, caught):
    offsets = CLOCKS.get(scenario, (0.0, 0.0, 0.0))
    assert scenario(settled(ViewHolder, offsets)) >= served
    for fault in caught:
        with pytest.raises(AssertionError, match="two homes"):
            scenario(settled(fault, offsets))


class ClaimPerSubmit:
    """The simpler way: each submit claims its id in the store."""

    def __init__(self, store, up=True):
        self.store = store
        self.up = up

    def submit(self, job_id, name):
        self.store.calls += 1
        if not self.up:
            return None
        return self.store.entries.setdefault(f"jobs/{job_id}", name)


@pytest.mark.parametrize(("up", "served"), [(True, 500), (False, 0)])
def test_a_claim_per_submit_loads_the_store_and_stops_with_it(up, served):
    cluster = settled(ViewHolder)
    if not up:
        cluster.cut |= {("store", name) for name in NAMES}
    cluster.store.calls = 0
    for _ in range(20):
        cluster.beat()
        assert submit_batch(cluster, count=25) == 1.0
    assert cluster.store.calls <= 20 * len(NAMES)

    claims = ClaimPerSubmit(FakeStore(), up)
    owners = [claims.submit(job_id, "e1") for job_id in cluster.jobs[::3]]
    assert claims.store.calls == 20 * 25
    assert sum(owner is not None for owner in owners) == served
