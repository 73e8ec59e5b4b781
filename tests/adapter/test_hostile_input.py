"""Inputs that no well-behaved peer sends, at every decoder of the adapter.

One malformed message may cost its sender an answer. It must not raise anything
that the caller of the decoder does not expect, as that would end a background
task or a connection that others share.
"""

from __future__ import annotations

import contextlib
import copy
import json
import math
import os
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarford.exceptions import SettingsError
from briarford.messages import decode, decode_json, encode
from briarford.requests import DialAgent, Dispatcher
from briarford.routes import Route
from briarford.runs import (
    AgentAddress,
    AgentBatch,
    Attach,
    Attached,
    EntryBatch,
    ListingFailure,
    RunAgent,
    RunListing,
    StartRun,
    WorkerReport,
)
from briarford.runs.effects import PlaceOrder, SendToEntry
from briarford.store import KeyListing, KeyValue
from briarford_daemon.addresses import split_address
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.fleet.entry import FleetEntry
from briarford_daemon.fleet.metrics import FleetMetrics
from briarford_daemon.fleet.registry import AgentDirectory, AgentRecord
from briarford_daemon.fleet.settings import FleetSettings, load_fleet_settings
from briarford_daemon.http_client import HttpAnswer, _encode_request
from briarford_daemon.http_connection import RequestLimits
from briarford_platform.configuration import OperatorConfiguration
from briarford_platform.jobs import (
    MAX_SPEC_BYTES,
    MAX_STEPS,
    MAX_TASKS,
    decode_job,
)
from briarford_platform.store import _Events, _Item, _key_value, _Range
from briarford_platform.workers import WorkerClient, decode_report

# A long run by hand: FUZZ_EXAMPLES=20000 .venv/bin/python -m pytest ...
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "150"))
DEPTH = 100_000
DEEP = b"[" * DEPTH + b"]" * DEPTH
ROUTE = Route("r", "h", "/r/", "desk", 0, 3, 1.6, 0.06)
NOW = 1000.0

REPORT = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 8000, "mem_mb": 100, "gpu": 0},
    "labels": ["a", "r1"],
    "clock_ms": 5,
    "sequence": 1,
    "born": 3,
}
NOTICE = {**REPORT, "state": "draining", "remaining_ms": 2000}
JOB = {
    "spec": "s",
    "best_effort": True,
    "steps": [
        {"count": 2, "cpu": 500, "mem_mb": 8, "estimated_ms": 90},
        {"count": 1, "cpu": 500, "after": [0]},
    ],
}
CONFIG = {
    "version": 3,
    "services": [{"name": "desk"}],
    "routes": [{"name": "r", "host": "h", "prefix": "/r/", "service": "desk"}],
}
LISTS = {
    "clock_ms": 1,
    "born": 3,
    "running": [["j.0.0.0", 1, "", 40, 3]],
    "ended": [[1, "j.0.0.1", 1, "done", ""]],
}
WORKER = decode_report("w", json.dumps(REPORT).encode(), NOW)
RECORD = {
    "address": "10.0.0.1:80",
    "worker": msgspec.to_builtins(WORKER),
    "slowness": 1.2,
    "incarnation": "i",
}
ITEM = {"key": "agents/a", "value": "e30=", "revision": 3}
RANGE = {"items": [ITEM], "as_of": 9, "has_more": False}
EVENTS = {"events": [ITEM], "as_of": 9}

_ODD = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(min_value=2**62, max_value=2**80),
    st.floats(allow_nan=True, allow_infinity=True),
    st.text(max_size=8),
    st.just([]),
    st.just({}),
    st.just([[None]]),
    st.just("\ud800"),
    st.just("x" * 5000),
)


@st.composite
def damaged(draw, sample) -> bytes:
    """Return the JSON of a message with some damage to a field or a byte."""
    document = json.loads(json.dumps(sample))
    for _ in range(draw(st.integers(0, 3))):
        _damage(draw, document)
    data = json.dumps(document).encode()
    cut = draw(st.one_of(st.none(), st.integers(0, len(data))))
    data = data[:cut]
    if data and draw(st.booleans()):
        at = draw(st.integers(0, len(data) - 1))
        byte = draw(st.binary(min_size=1, max_size=3))
        data = data[:at] + byte + data[at + 1 :]
    return data


def _damage(draw, document) -> None:
    """Replace or remove a random field at a random depth."""
    spot = document
    while True:
        keys = list(spot) if isinstance(spot, dict) else list(range(len(spot)))
        if not keys:
            return
        key = draw(st.sampled_from(keys))
        if isinstance(spot[key], dict | list) and draw(st.booleans()):
            spot = spot[key]
            continue
        if isinstance(spot, dict) and draw(st.booleans()):
            del spot[key]
        else:
            spot[key] = copy.deepcopy(draw(_ODD))
        return


def submit_job(data: bytes) -> None:
    """Decode a job, and have an entry take it in if it is one."""
    req = decode_job("5c0e", data)
    core = Dispatcher("e", "i")
    core.submit(req, ROUTE, 1000.0)
    core.turn(1000.0)


def use_worker(report: WorkerReport) -> None:
    """Use each field of a heartbeat wherever the processes use it."""
    core = RunAgent("a", "i")
    core.has_token = True
    core.attach(1, Attach("e", "i", 1, NOW), NOW)
    core.worker_reported(report, NOW)
    core.listing_received(RunListing(report.born_ms, (), ()), NOW, NOW)
    core.handle(1, StartRun(1, "j.0.0.0", 1, "p", 1, 0, 0, 0.1), NOW)
    for effect in core.turn(NOW):
        if isinstance(effect, SendToEntry):
            batch = AgentBatch((effect.message,))
            assert decode(encode(batch), AgentBatch) == batch
    client = WorkerClient(BootClock())
    body = {"deadline_ms": client._lease_end_ms(report, 1.0)}
    headers = {"Expected-Instance": report.worker}
    split_address(report.address)
    _encode_request(
        report.address, "POST", "/", msgspec.json.encode(body), headers
    )
    record = AgentRecord("10.0.0.1:1", report, core.recorded_slowness, "i")
    stored = msgspec.json.encode(record)
    assert decode_json(stored, AgentRecord) == record
    later = RunAgent("a", "i2")
    later.restore_worker(report, record.slowness, NOW)
    assert set(later.state(NOW)) >= {"worker_slowness"}


def report_worker(data: bytes) -> None:
    """Decode a heartbeat, and use it if it is one."""
    use_worker(decode_report("w", data, NOW))


def use_configuration(data: bytes) -> None:
    cfg = OperatorConfiguration().decode(data)
    assert cfg is None or cfg.version is not None


def list_agents(*items: KeyValue) -> dict[str, AgentAddress]:
    """Return the agents that an entry knows after a listing."""
    listings = []
    directory = AgentDirectory(mock.Mock(), BootClock(), listings.append)
    directory.listed(KeyListing(1, items))
    return listings[-1]


def read_record(data: bytes) -> None:
    item = msgspec.convert(ITEM, _Item)
    item.value = data
    for address in list_agents(_key_value(item)).values():
        assert isinstance(address, AgentAddress)
        split_address(address.address)
        core = Dispatcher("e", "i")
        core.agents_listed({"a": address}, NOW)
        assert any(isinstance(e, DialAgent) for e in core.turn(NOW))
    with contextlib.suppress(msgspec.DecodeError):
        record = decode_json(data, AgentRecord)
        if record.worker is not None:
            use_worker(record.worker)
        RunAgent("a", "i").restore_worker(WORKER, record.slowness, NOW)


def read_page(data: bytes) -> None:
    for item in msgspec.json.decode(data, type=_Range).items:
        _key_value(item)


def read_events(data: bytes) -> None:
    for event in msgspec.json.decode(data, type=_Events).events:
        _key_value(event)


DECODERS = {
    "job": (submit_job, JOB),
    "heartbeat": (report_worker, REPORT),
    "notice": (report_worker, NOTICE),
    "configuration": (use_configuration, CONFIG),
    "record of an agent": (read_record, RECORD),
    "page of the store": (read_page, RANGE),
    "events of the store": (read_events, EVENTS),
}


@pytest.mark.parametrize("name", DECODERS)
def test_damaged_json_is_refused_or_read(name):
    """Guards against errors other than the one that the caller expects."""
    use, sample = DECODERS[name]

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(damaged(sample))
    def check(data: bytes) -> None:
        with contextlib.suppress(msgspec.DecodeError):
            use(data)

    check()


@pytest.mark.parametrize("name", ["job", "heartbeat", "configuration"])
@pytest.mark.parametrize(
    "data",
    [DEEP, b'{"steps":' + DEEP + b"}", b'{"x":' + DEEP + b"}", b"\xff\xfe"],
    ids=["deep", "deep in a field", "deep in an unknown field", "no UTF-8"],
)
def test_deep_nesting_is_refused(name, data):
    use, _ = DECODERS[name]
    with contextlib.suppress(msgspec.DecodeError):
        use(data)


@pytest.mark.parametrize(
    "change",
    [
        {"count": -1},
        {"count": MAX_TASKS + 1},
        {"count": 10**30},
        {"cpu": -1},
        {"mem_mb": -5},
        {"estimated_ms": -1.0},
        {"after": [0]},
        {"after": [7]},
        {"after": [-1]},
        {"anti_affinity": -2},
    ],
    ids=str,
)
def test_a_job_that_no_worker_could_run_is_refused(change):
    """Guards against tasks without end, without need or before themselves."""
    body = {**JOB, "steps": [{**JOB["steps"][0], **change}]}
    with pytest.raises(msgspec.DecodeError):
        decode_job("5c0e", json.dumps(body).encode())


def test_a_job_of_many_dependent_steps_is_taken_in():
    """Each step after all earlier ones has 2 to the 400th chains."""
    steps = [
        {"count": 1, "cpu": 1, "estimated_ms": 1, "after": list(range(n))}
        for n in range(400)
    ]
    req = decode_job("5c0e", json.dumps({**JOB, "steps": steps}).encode())
    core = Dispatcher("e", "i")
    with mock.patch.object(core._admission, "check", lambda *args: None):
        assert core.submit(req, ROUTE, 1000.0) is None
    starts = [t.start_by for t in core._jobs["5c0e"].tasks]
    assert starts == sorted(starts)
    assert math.isclose(starts[-1] - starts[0], 0.399)


def test_too_many_steps_are_refused():
    steps = [{"count": 0}] * (MAX_STEPS + 1)
    with pytest.raises(msgspec.DecodeError):
        decode_job("5c0e", json.dumps({**JOB, "steps": steps}).encode())


@pytest.mark.parametrize("worker", ["w\r\nX: y", "w\u0142", "w\x00"], ids=repr)
def test_a_worker_id_that_no_header_can_carry_is_refused(worker):
    """Calls to the worker carry its id in a header."""
    with pytest.raises(msgspec.DecodeError):
        decode_report(worker, json.dumps(REPORT).encode(), NOW)


BAD_ADDRESSES = [
    *("", "x", "x:", "x:99999", "x:y", "x:80", "\u00e9:80", ":80"),
    *("10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:\u00b2", "10.0.0.1:-1"),
    *("10.0.0.1:80\n", "10.0.0.1\r\nX: y:80", "10.0.0.256:80", "1.2.3:80"),
    *("a" * 300 + ":80", "10.0.0.1:" + "9" * 5000, "[::1%lo]:80", "[::1]:0"),
]


@pytest.mark.parametrize("address", BAD_ADDRESSES, ids=lambda a: repr(a[:20]))
def test_an_address_that_cannot_be_dialed_is_refused(address):
    """Guards against tasks that end with a dial, and against look-ups."""
    body = json.dumps({**REPORT, "address": address}).encode()
    with pytest.raises(msgspec.DecodeError):
        decode_report("w", body, NOW)
    record = json.dumps({**RECORD, "address": address}).encode()
    assert not list_agents(KeyValue("agents/a", record, 1))


@pytest.mark.parametrize("address", ["10.0.0.1:1", "[fd00::1]:65535"])
def test_an_address_of_either_family_is_read(address):
    body = json.dumps({**REPORT, "address": address}).encode()
    assert decode_report("w", body, NOW).address == address


@pytest.mark.parametrize(
    "change",
    [{n: v} for n in ("born", "sequence", "clock_ms") for v in (-1, 2**64)],
    ids=str,
)
def test_a_number_that_cannot_be_sent_on_is_refused(change):
    """Guards against records and frames that cannot be encoded."""
    with pytest.raises(msgspec.DecodeError):
        decode_report("w", json.dumps({**REPORT, **change}).encode(), NOW)


def test_an_agent_with_an_odd_worker_in_its_record_is_still_listed():
    """An agent of an earlier build may have stored a stray heartbeat."""
    worker = {**RECORD["worker"], "born_ms": 2**70}
    record = json.dumps({**RECORD, "worker": worker}).encode()
    found = list_agents(KeyValue("agents/a", record, 1))
    assert found == {"a": AgentAddress("10.0.0.1:80", "", "i")}


ORDER = PlaceOrder(1, "j.0.0.0", 1, "p", 9e12)


def call_worker(answer: HttpAnswer, call):
    """Call a worker that gives a certain answer."""
    client = WorkerClient(BootClock())
    report = decode_report("w", json.dumps(REPORT).encode(), NOW)

    async def respond(*args, **kwargs):
        return answer

    client._http.call = respond
    return call(client, report)


def list_runs(client, report):
    return client.list_runs(report, 0, 1, 0.0, 1.0)


def start_run(client, report):
    return client.start_run(report, ORDER, 1, 1.0, lambda: True)


@pytest.mark.parametrize(
    "rows",
    [
        {"running": [["j", "many", "", 1]]},
        {"running": [["j"]]},
        {"running": [[]]},
        {"running": [["j", 1e400, "", 1]]},
        {"running": [["j", 2**64, "", 1]]},
        {"running": [["j", 1e300, "", 1]]},
        {"running": [["j", -1, "", 1]]},
        {"ended": [[2**70, "j", 1, "done"]]},
        {"clock_ms": 2**70},
        {"born": 2**70},
        {"ended": [["one", "j", 1, "done"]]},
        {"ended": [[1]]},
        {"running": 5},
        {"born": "x"},
    ],
    ids=str,
)
async def test_an_unreadable_listing_counts_as_unanswered(rows):
    """A run whose row is skipped would count as ended and run again."""
    body = json.dumps({**LISTS, **rows}).encode()
    listing = await call_worker(HttpAnswer(200, body), list_runs)
    assert listing is ListingFailure.UNANSWERED


@pytest.mark.parametrize("call", [list_runs, start_run])
@pytest.mark.parametrize("status", [200, 409, 421, 429, 500, 503])
async def test_damaged_answers_of_a_worker_raise_nothing(call, status):
    bodies = []

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(damaged(LISTS))
    def collect(data: bytes) -> None:
        bodies.append(data)

    collect()
    for body in [*bodies, DEEP, b"\xff"]:
        result = await call_worker(HttpAnswer(status, body), call)
        if call is list_runs:
            assert isinstance(result, RunListing | ListingFailure)


@pytest.mark.parametrize("kind", [EntryBatch, AgentBatch])
def test_damaged_frames_are_refused_or_read(kind):
    sample = encode(AgentBatch((Attached("a", "i", (1, 2), 5.0),)))

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(
        st.binary(max_size=40),
        st.integers(0, len(sample)),
        st.integers(0, 255),
    )
    def check(noise: bytes, at: int, byte: int) -> None:
        changed = sample[:at] + bytes([byte]) + sample[at + 1 :]
        for data in (noise, changed, sample[:at] + noise):
            with contextlib.suppress(msgspec.DecodeError):
                decode(data, kind)

    check()
    with pytest.raises(msgspec.DecodeError):
        decode(b"\x91" * DEPTH + b"\xc0", kind)


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(st.binary(max_size=60))
def test_damaged_settings_are_named(tmp_path_factory, noise):
    path = tmp_path_factory.mktemp("settings") / "local.toml"
    path.write_bytes(b'name = "a"\n' + noise)
    with pytest.raises(SettingsError):
        load_fleet_settings(path)


def test_deeply_nested_settings_are_named(tmp_path):
    path = tmp_path / "local.toml"
    path.write_bytes(b"x = " + DEEP)
    with pytest.raises(SettingsError):
        load_fleet_settings(path)


@pytest.mark.parametrize(
    ("spec", "accepted"),
    [
        ("x" * 4000, True),
        ("{" * 4000, True),
        ("\u00e9" * 2000, True),
        ("x" * (MAX_SPEC_BYTES + 1), False),
        ("\u00e9" * 2100, False),
    ],
    ids=["largest", "braces", "largest in UTF-8", "long", "long in UTF-8"],
)
def test_the_text_of_a_job_has_a_limit(spec, accepted):
    """It goes along with each task, so its size counts many times."""
    body = json.dumps({**JOB, "spec": spec}).encode()
    refused = pytest.raises(msgspec.DecodeError, match="text has over")
    with contextlib.nullcontext() if accepted else refused:
        decode_job("5c0e", body)


def test_bodies_of_many_objects_are_not_decoded():
    """Decoded they would take fifty times their bytes."""
    body = b'{"steps":[' + b"{}," * 9000 + b"{}]}"
    with pytest.raises(msgspec.DecodeError, match="too many objects"):
        decode_job("5c0e", body)


@pytest.mark.parametrize(
    ("limits", "head", "body"),
    [
        (None, 32_768, 1_048_576),
        (
            {"max_header_bytes": 16384, "max_body_bytes": 262_144},
            32_768,
            2**20,
        ),
        ({"max_header_bytes": 65_536}, 65_536, 2**20),
        ({"max_body_bytes": 2**22, "idle_timeout_ms": 5}, 32_768, 2**22),
        ({"max_body_bytes": "many"}, 32_768, 2**20),
        ([], 32_768, 2**20),
    ],
)
def test_operators_raise_the_limits_of_requests(limits, head, body):
    extra = {} if limits is None else {"limits": limits}
    value = json.dumps({**CONFIG, **extra}).encode()
    cfg = FleetSettings(
        name="e", zone="z", ip="127.0.0.1", rpc_port=0, store="", http=""
    )
    found = RequestLimits(cfg.intake.max_head_bytes, cfg.intake.max_body_bytes)
    source = OperatorConfiguration()
    metrics = FleetMetrics("e", {})
    entry = FleetEntry(cfg, None, source, metrics, limits=found)
    entry._on_configuration_read(KeyValue("op/config", value, 1))
    assert (found.max_head_bytes, found.max_body_bytes) == (head, body)
