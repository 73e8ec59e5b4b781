"""Invalid requests are refused and name the header or field at fault.

The fuzz tests send arbitrary headers, bytes and JSON documents: each must be
read or refused with :class:`RequestError`, as any other exception would be
answered without a problem document.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarford_daemon.exceptions import RequestError
from briarford_daemon.requests import (
    JobBody,
    SingleBody,
    read_body,
    read_deadline,
    read_job,
    read_team,
)

NOW = 1000.0
FUZZ = settings(max_examples=150, deadline=None, derandomize=True)


class Headers:
    """Headers of a request, with the lookup of the HTTP server's class."""

    def __init__(self, headers: dict[str, bytes]) -> None:
        self._headers = {k.lower().encode(): v for k, v in headers.items()}

    def get_first(self, name: bytes) -> bytes | None:
        return self._headers.get(name.lower())


class FakeRequest:
    """A request whose body arrives in two chunks."""

    def __init__(self, body: bytes = b"", **headers: bytes) -> None:
        self.headers = Headers(
            {k.replace("_", "-"): v for k, v in headers.items()}
        )
        self._body = body

    async def stream(self) -> AsyncIterator[bytes]:
        half = len(self._body) // 2
        yield self._body[:half]
        yield self._body[half:]


@pytest.mark.parametrize(
    ("body", "kind", "named"),
    [
        pytest.param(b"", JobBody, "body", id="empty"),
        pytest.param(b"[]", JobBody, "object", id="no-object"),
        pytest.param(
            b'{"tasks": [{"payload": 1}]}', JobBody, "service", id="missing"
        ),
        pytest.param(
            b'{"service": "x", "tasks": []}', JobBody, "tasks", id="no-tasks"
        ),
        pytest.param(
            b'{"service": "UP", "tasks": [{"payload": 1}]}',
            JobBody,
            "service",
            id="bad-service",
        ),
        pytest.param(
            b'{"service": "x", "tasks": [{"payload": 1, "cores": 2}]}',
            JobBody,
            "cores",
            id="unknown-field",
        ),
        pytest.param(
            b'{"service": "x", "tasks": [{"payload": 1, "memory_mb": -1}]}',
            JobBody,
            "memory_mb",
            id="negative",
        ),
        pytest.param(
            b'{"payload": 1, "idempotent": "yes"}',
            SingleBody,
            "idempotent",
            id="wrong-type",
        ),
        pytest.param(b"[" * 100_000, JobBody, "body", id="deep"),
    ],
)
async def test_invalid_body_is_refused_and_the_error_names_the_field(
    body, kind, named
):
    with pytest.raises(RequestError, match=named):
        await read_body(FakeRequest(body), kind)


@pytest.mark.parametrize("length", [b"9" * 20, b"9" * 5000])
async def test_content_length_over_the_limit_is_refused(length):
    with pytest.raises(RequestError, match="bytes"):
        await read_body(FakeRequest(b"{}", content_length=length), JobBody)


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param({"briarford_timeout": v}, id=f"timeout-{v.decode()}")
        for v in (b"x", b"", b"NaN", b"1e999", b"-1", b"0", b"4000", b'"1"')
    ]
    + [pytest.param({"briarford_deadline": b"999"}, id="past-deadline")],
)
def test_invalid_deadline_or_timeout_is_refused(headers):
    with pytest.raises(RequestError, match=r"deadline|Timeout"):
        read_deadline(FakeRequest(**headers), NOW)


@FUZZ
@given(st.binary(max_size=20), st.binary(max_size=12))
def test_arbitrary_header_is_read_or_refused(team, number):
    req = FakeRequest(briarford_team=team, briarford_timeout=number)
    for read in (read_team, lambda r: read_deadline(r, NOW)):
        try:
            read(req)
        except RequestError as exc:
            assert exc.message


@FUZZ
@given(st.binary(max_size=80), st.sampled_from([JobBody, SingleBody]))
async def test_arbitrary_bytes_are_read_or_refused(body, kind):
    try:
        await read_body(FakeRequest(body), kind)
    except RequestError as exc:
        assert exc.message.startswith("the body")


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["service", "tasks", "payload", "memory_mb"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@FUZZ
@given(JSON)
async def test_arbitrary_json_document_is_read_or_refused(document):
    body = msgspec.json.encode(document)
    try:
        read = await read_body(FakeRequest(body), JobBody)
    except RequestError as exc:
        assert exc.message
        return
    spec = read_job("id", read, "team", NOW + 1.0)
    assert len(spec.tasks) == len(read.tasks)
