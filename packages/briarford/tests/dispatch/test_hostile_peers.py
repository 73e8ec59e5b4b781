"""Fuzz tests: cores and decoders survive any message from a peer.

A peer may run another version or be broken. What it sends must not raise in
a core, hold its jobs for ever or exceed the worker's slots.
"""

from __future__ import annotations

import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from briarford.dispatch import AgentCore, EntryCore
from briarford.dispatch.messages import (
    AgentAttached,
    AgentBatchArrived,
    BackendAnnounced,
    EntriesChanged,
    EntryBatchArrived,
)
from briarford.jobs import JobSpec, TaskRef, TaskSpec
from briarford.messages import decode, encode
from briarford.placement import Placer
from briarford.sessions import (
    AgentBatch,
    EntryAddress,
    EntryBatch,
    Hello,
    StartTask,
    TaskReport,
    TaskResult,
    TaskStatus,
    Welcome,
    WorkerInfo,
)

FUZZ = settings(max_examples=150, deadline=None, derandomize=True)
COUNTS = st.integers(-3, 20)
NAMES = st.sampled_from(["", "a", "b"])
REFS = st.builds(
    TaskRef,
    st.sampled_from(["job", "other"]),
    st.integers(-2, 4),
    st.integers(-1, 2),
)
STATUSES = st.sampled_from(TaskStatus)
WORKERS = st.builds(
    WorkerInfo, st.sampled_from(["desk", "x"]), COUNTS, st.just(4.0), COUNTS
)
AGENT_BATCHES = st.builds(
    AgentBatch,
    seq=st.integers(1, 4),
    hello=st.none() | st.builds(Hello, NAMES, NAMES, COUNTS, NAMES),
    worker=st.none() | WORKERS,
    reports=st.lists(st.builds(TaskReport, REFS, STATUSES), max_size=3).map(
        tuple
    ),
    results=st.lists(
        st.builds(TaskResult, REFS, STATUSES, st.binary(max_size=3)),
        max_size=3,
    ).map(tuple),
    credits=COUNTS,
    recall=COUNTS,
    leaving=st.booleans(),
)
ENTRY_BATCHES = st.builds(
    EntryBatch,
    seq=st.integers(1, 4),
    welcome=st.none()
    | st.builds(Welcome, NAMES, NAMES, st.lists(REFS, max_size=2).map(tuple)),
    starts=st.lists(
        st.builds(StartTask, REFS, st.just(99.0), st.just(b"1")), max_size=3
    ).map(tuple),
    cancels=st.lists(REFS, max_size=2).map(tuple),
    acks=st.lists(REFS, max_size=2).map(tuple),
    returned=COUNTS,
    demand=COUNTS,
)


@FUZZ
@given(st.binary(max_size=60), st.sampled_from([AgentBatch, EntryBatch]))
def test_arbitrary_bytes_are_decoded_or_raise_a_decode_error(data, kind):
    try:
        message = decode(data, kind)
    except msgspec.MsgspecError:
        return
    assert isinstance(message, kind)


@FUZZ
@given(AGENT_BATCHES, st.integers(0, 200), st.binary(min_size=1, max_size=2))
def test_damaged_batches_are_decoded_or_raise_a_decode_error(
    batch, at, damage
):
    data = bytearray(encode(batch))
    data[at % len(data) :][: len(damage)] = damage
    data[at % len(data)] = damage[0]
    try:
        decode(bytes(data), AgentBatch)
    except msgspec.MsgspecError:
        return


@FUZZ
@given(st.lists(st.tuples(st.integers(1, 2), AGENT_BATCHES), max_size=8))
def test_entry_ends_its_job_despite_arbitrary_agent_batches(batches):
    rng = random.Random(0)
    core = EntryCore("e", "1", Placer("e", "z", rng), rng)
    for conn in (0, 1, 2):
        core.receive(AgentAttached(conn), 0.0)
    valid = AgentBatch(
        1, Hello("sound", "1", 1, "z"), WorkerInfo("desk", 2, 8.0, 8000)
    )
    core.receive(AgentBatchArrived(0, valid), 0.0)
    spec = JobSpec("job", "desk", "t", 50.0, (TaskSpec(b"1"),) * 4)
    core.submit(spec, 0.0)
    core.turn(0.0)
    for second, (conn, batch) in enumerate(batches):
        core.receive(AgentBatchArrived(conn, batch), second / 10)
        core.turn(second / 10)
    core.turn(99.0)
    assert core.jobs.running == 0


@FUZZ
@given(st.lists(ENTRY_BATCHES, max_size=8))
def test_agent_keeps_within_its_slots_despite_arbitrary_entry_batches(batches):
    core = AgentCore("a", "1", "z", random.Random(0))
    core.receive(BackendAnnounced(WorkerInfo("desk", 2, 8.0, 800), 99.0), 0.0)
    core.receive(EntriesChanged((EntryAddress("e", "e:1"),)), 0.0)
    core.turn(0.0)
    for second, batch in enumerate(batches):
        core.receive(EntryBatchArrived("e:1", 1, batch), second / 10)
        core.turn(second / 10)
        assert core.running <= 2
