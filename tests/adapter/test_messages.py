"""Decoding of the platform's messages, and encoding of the answers."""

from __future__ import annotations

import math

import msgspec
import pytest

from briarford.outcomes import (
    Completed,
    Failed,
    FailureReason,
    RefusalReason,
    Refused,
    Step,
)
from briarford.requests import JobRequest, StepSpec
from briarford.routes import ConfigurationHolder
from briarford.runs import Capacity
from briarford_platform.configuration import decode_configuration
from briarford_platform.jobs import (
    decode_deadline,
    decode_job,
    encode_outcome,
)
from briarford_platform.workers import decode_report

REPORT = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "z-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "sequence": 4,
    "born": 1700000000000,
}
NOW = 1700000100.0


def test_heartbeat_is_decoded():
    report = decode_report("i-1", msgspec.json.encode(REPORT), NOW)
    assert report.worker == "i-1"
    assert report.capacity == Capacity(16000, 32768, 0)
    assert report.born_ms == 1700000000000
    assert report.labels == ("a", "r1-3")
    assert not report.draining


@pytest.mark.parametrize(
    ("change", "leaves_at"),
    [
        ({"state": "draining", "remaining_ms": 2000}, NOW + 2.0),
        ({"state": "draining", "remaining_ms": 1250.5}, NOW + 1.2505),
        ({"state": "draining", "remaining_ms": 0}, NOW),
        ({"state": "draining", "remaining_ms": None}, 0.0),
        ({"state": "draining"}, 0.0),
        ({"state": "ready", "remaining_ms": 2000}, 0.0),
        ({"remaining_ms": 0}, 0.0),
    ],
    ids=str,
)
def test_the_remaining_time_of_a_draining_worker_becomes_a_deadline(
    change, leaves_at
):
    body = msgspec.json.encode({**REPORT, **change})
    report = decode_report("i-1", body, NOW)
    assert report.leaves_at == pytest.approx(leaves_at)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"capacity": None},
        {"service": 7},
        {"sequence": "x"},
        {"labels": [1]},
        {"address": None},
        {"state": "draining", "remaining_ms": -1},
        {"state": "draining", "remaining_ms": "2000"},
        {"state": "draining", "remaining_ms": 10**17},
        {"state": "draining", "remaining_ms": [2000]},
        {"state": "draining", "remaining_ms": True},
    ],
    ids=str,
)
def test_heartbeat_with_an_invalid_field_is_rejected(change):
    with pytest.raises(msgspec.DecodeError):
        decode_report("i-1", msgspec.json.encode({**REPORT, **change}), NOW)


@pytest.mark.parametrize("body", [b"", b"\xff\x00", b"[]", b"{}"])
def test_unreadable_heartbeats_are_rejected(body):
    with pytest.raises(msgspec.DecodeError):
        decode_report("i-1", body, NOW)


STEP = {"count": 4, "cpu": 500, "mem_mb": 256, "estimated_ms": 900}


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (
            {"spec": "t", "steps": [STEP], "best_effort": True},
            JobRequest("j", "t", (StepSpec(4, 500, 256, 0, 0.9),), True),
        ),
        (
            {
                "spec": "t",
                "steps": [
                    STEP,
                    {
                        **STEP,
                        "after": [0],
                        "affinity": "r1",
                        "requirements": "b",
                        "anti_affinity": 2,
                    },
                ],
            },
            JobRequest(
                "j",
                "t",
                (
                    StepSpec(4, 500, 256, 0, 0.9),
                    StepSpec(4, 500, 256, 0, 0.9, (0,), "b", "r1", 2),
                ),
                False,
            ),
        ),
        (
            {"steps": [{**STEP, "gang": True}], "repeat_count": 3},
            JobRequest(
                "j",
                "",
                (StepSpec(4, 500, 256, 0, 0.9),),
                False,
                ("repeat_count", "gang"),
            ),
        ),
    ],
    ids=["best effort", "two steps", "not available"],
)
def test_job_is_decoded(body, expected):
    assert decode_job("j", msgspec.json.encode(body)) == expected


@pytest.mark.parametrize(
    ("outcome", "status", "body", "retry_after_s"),
    [
        (Completed(()), 200, b'{"state":"completed"}', 0),
        (
            Failed(FailureReason.TASK_FAILED, "d", Step.RUNNING, "p"),
            200,
            b'{"state":"failed"}',
            0,
        ),
        (
            Failed(
                FailureReason.HOME_LOST, "d", Step.RUNNING, "p", retry_at=102.1
            ),
            502,
            b'{"error":"d"}',
            3,
        ),
        (
            Failed(
                FailureReason.DEADLINE_PASSED,
                "d",
                Step.RUNNING,
                "p",
                retry_at=102.1,
            ),
            504,
            b'{"error":"d"}',
            3,
        ),
        (
            Refused(RefusalReason.STOPPING, "d", Step.ADMIT, "p", 101.2),
            503,
            b'{"error":"d"}',
            2,
        ),
        (
            Refused(RefusalReason.UNSUPPORTED, "d", Step.ADMIT, "p"),
            503,
            b'{"error":"d"}',
            0,
        ),
    ],
    ids=[
        "completed",
        "failed",
        "to be repeated",
        "not awaited",
        "stopping",
        "unsupported",
    ],
)
def test_outcome_is_encoded(outcome, status, body, retry_after_s):
    reply = encode_outcome(outcome, 100.0)
    assert reply is not None
    assert (reply.status, reply.body) == (status, body)
    assert reply.retry_after_s == retry_after_s


@pytest.mark.parametrize(
    ("text", "wait_s"),
    [
        ("1500", 1.5),
        ("999999999", 999_999.999),
        ("", math.inf),
        ("0", math.inf),
        ("-5", math.inf),
        ("1.5", math.inf),
        ("soon", math.inf),
        ("9" * 5000, math.inf),
    ],
)
def test_the_deadline_of_a_client_is_decoded(text, wait_s):
    headers = {"deadline-ms": text} if text else {}
    assert decode_deadline(headers, NOW) == NOW + wait_s


def test_a_client_that_has_left_gets_no_answer():
    failed = Failed(FailureReason.CANCELLED, "d", Step.RUNNING, "p")
    assert encode_outcome(failed, 100.0) is None


CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "h.example",
            "prefix": "/a/",
            "kind": "unsafe",
            "timeout_ms": 1500,
            "target_latency_ms": 60,
            "priority": 1,
            "service": "s",
            "max_attempts": 3,
            "stretch": 1.6,
        },
        {
            "name": "r-2",
            "host": "h.example",
            "prefix": "/a/b/",
            "service": "s",
        },
    ],
    "services": [{"name": "s", "health_check_path": "/health"}],
    "limits": {},
}


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h.example", "/a/5c0e", "r-1"),
        ("h.example", "/a/b/5c0e", "r-2"),
        ("h.example", "/c/5c0e", None),
        ("x.example", "/a/5c0e", None),
    ],
)
def test_configuration_routes_by_longest_prefix(host, path, name):
    holder = ConfigurationHolder()
    holder.adopt_if_newer(
        decode_configuration(msgspec.json.encode(CONFIG)), 1.0
    )
    route = holder.find(host, path)
    assert (route.name if route else None) == name


@pytest.mark.parametrize(
    ("version", "adopted"), [(6, False), (7, False), (9, True)]
)
def test_configuration_never_goes_back(version, adopted):
    holder = ConfigurationHolder()
    holder.adopt_if_newer(
        decode_configuration(msgspec.json.encode(CONFIG)), 1.0
    )
    newer = {**CONFIG, "version": version}
    cfg = decode_configuration(msgspec.json.encode(newer))
    assert holder.adopt_if_newer(cfg, 2.0) is adopted
