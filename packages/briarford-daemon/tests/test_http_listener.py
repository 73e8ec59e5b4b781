"""The HTTP server of the platform's processes, over loopback sockets."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import struct
import time
from contextlib import asynccontextmanager

import pytest

from briarford.intake import IntakeLimits, Machine, Phase, arrivals
from briarford_daemon import intake as intake_module
from briarford_daemon.early_sockets import listen_early
from briarford_daemon.http_listener import HttpListener, HttpReply
from briarford_daemon.intake import Intake
from briarford_daemon.submissions import boot_time

LIMIT_S = 10.0
SUBMISSIONS = frozenset({"POST"})
NONE = frozenset()
MACHINE = Machine(memory_mb=512, max_open_files=4096)


class Handler:
    """Echoes bodies; a request for ``/wait`` waits until ``go_on`` is set."""

    def __init__(self):
        self.go_on = asyncio.Event()
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.calls = []

    def __call__(self, call):
        self.calls.append(call)
        if call.path == "/fail":
            raise ValueError("broken handler")
        if call.path == "/wait":
            return self.wait(call)
        return HttpReply(200, call.body or b"{}", headers=(("X-A", "b"),))

    async def wait(self, call):
        self.started.set()
        try:
            await self.go_on.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return HttpReply(200, b"waited")


@asynccontextmanager
async def connected(machine=MACHINE, submissions=NONE, **limits):
    handler = Handler()
    intake = Intake(IntakeLimits(**limits), machine)
    listener = HttpListener(handler, intake=intake, submissions=submissions)
    await listener.start()
    host, port = listener.address.split(":")
    async with asyncio.timeout(LIMIT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            yield handler, listener, reader, writer
        finally:
            writer.close()
            await listener.stop()


def request(method="POST", path="/", body=b"", *headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    size = next(
        int(line.partition(":")[2])
        for line in head.split("\r\n")
        if line.lower().startswith("content-length")
    )
    return int(head.split()[1]), await reader.readexactly(size), head


@pytest.mark.parametrize(
    ("raw", "path", "body"),
    [
        (request(body=b"abc"), "/", b"abc"),
        (request("PUT", "/a/b?x=1", b"z" * 70_000), "/a/b", b"z" * 70_000),
        (
            request("POST", "/c", b"", "Transfer-Encoding: chunked")
            + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            "/c",
            b"abcde",
        ),
    ],
    ids=["plain", "large with query", "chunked"],
)
async def test_requests_are_read_whole(raw, path, body):
    async with connected() as (handler, _, reader, writer):
        for part in (raw[:10], raw[10:30], raw[30:]):
            writer.write(part)
            await asyncio.sleep(0.005)
        status, answer, head = await read_answer(reader)
        assert (status, answer) == (200, body)
        assert "X-A: b" in head
        assert handler.calls[0].path == path
        assert handler.calls[0].headers["host"] == "h.example"


async def test_pipelined_requests_are_answered_in_order():
    async with connected() as (handler, _, reader, writer):
        sent = [
            request(path="/wait"),
            *(request(body=b"%d" % n) for n in range(50)),
        ]
        writer.write(b"".join(sent))
        await handler.started.wait()
        handler.go_on.set()
        answers = [(await read_answer(reader))[1] for _ in sent]
        assert answers == [b"waited", *(b"%d" % n for n in range(50))]


async def test_requests_sent_ahead_do_not_hold_up_other_connections():
    async with connected() as (handler, listener, reader, writer):
        host, port = listener.address.split(":")
        other, other_writer = await asyncio.open_connection(host, int(port))
        writer.write(b"".join(request("GET", "/many") for _ in range(200)))
        other_writer.write(request("GET", "/one"))
        assert (await read_answer(other))[0] == 200
        assert [c.path for c in handler.calls].count("/many") < 20
        answers = [(await read_answer(reader))[0] for _ in range(200)]
        assert answers == [200] * 200
        other_writer.close()


async def test_a_request_is_cancelled_when_its_client_leaves():
    async with connected() as (handler, _, _reader, writer):
        writer.write(request(path="/wait"))
        await handler.started.wait()
        writer.close()
        await handler.cancelled.wait()


async def test_a_stop_answers_what_is_in_flight_and_closes_idle_connections():
    async with connected() as (handler, listener, reader, writer):
        host, port = listener.address.split(":")
        idle, idle_writer = await asyncio.open_connection(host, int(port))
        writer.write(request(path="/wait"))
        await handler.started.wait()
        stopping = asyncio.create_task(listener.stop())
        assert await idle.read() == b""
        handler.go_on.set()
        status, body, head = await read_answer(reader)
        assert (status, body) == (200, b"waited")
        assert "Connection: close" in head
        assert await reader.read() == b""
        await stopping
        idle_writer.close()


async def test_a_request_in_transmission_at_a_stop_is_answered():
    async with connected() as (_, listener, reader, writer):
        raw = request(body=b"abc")
        writer.write(raw[:20])
        await asyncio.sleep(0.02)
        stopping = asyncio.create_task(listener.stop())
        await asyncio.sleep(0.02)
        writer.write(raw[20:])
        assert (await read_answer(reader))[:2] == (200, b"abc")
        await stopping


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"not http\r\n\r\n", 400),
        (request("POST", "/", b"", "X: " + "y" * 70_000), 431),
        (
            request("POST", "/", b"", "Content-Length: 200000")
            + b"z" * 200_000,
            413,
        ),
        (request(path="/fail"), 500),
    ],
    ids=["unreadable", "large header", "large body", "handler fails"],
)
async def test_bad_requests_get_an_error(raw, status):
    async with connected(max_body_bytes=100_000) as (_, _, reader, writer):
        writer.write(raw)
        assert (await read_answer(reader))[0] == status


@pytest.mark.parametrize(
    ("sent", "timeouts", "answer"),
    [
        (b"", {"idle_timeout_s": 0.05}, b""),
        (request(body=b"abc")[:20], {"request_timeout_s": 0.05}, b"503"),
    ],
    ids=["nothing sent", "sent in part"],
)
async def test_an_idle_connection_is_closed(
    monkeypatch, sent, timeouts, answer
):
    monkeypatch.setattr(intake_module, "SWEEP_PERIOD_S", 0.02)
    async with connected(**timeouts) as (_, _, reader, writer):
        writer.write(sent)
        assert (await reader.read())[9:12] == answer


async def test_a_stop_cuts_what_is_not_answered_by_its_deadline():
    """A process that waits longer is killed by the platform."""
    async with connected() as (handler, listener, _, writer):
        writer.write(request(path="/wait"))
        await handler.started.wait()
        await listener.stop(within_s=0.01)
        await handler.cancelled.wait()


@pytest.mark.parametrize(
    ("linger", "skip_departed", "calls"),
    [
        (None, True, 5),
        (b"", True, 0),
        (struct.pack("ii", 1, 0), True, 0),
        (b"", False, 5),
    ],
    ids=["stays", "closed", "reset", "closed, a worker's report"],
)
async def test_a_client_that_left_before_the_start_is_not_served(
    linger, skip_departed, calls
):
    """Guards against a run for a client whose repeat is served elsewhere.

    The requests wait in a socket that listens before the server starts. What
    a worker reports counts although it has left.
    """
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = free.getsockname()
    listen_early([f"{address[0]}:{address[1]}"])
    clients = []
    for _ in range(5):
        client = socket.create_connection(address)
        client.sendall(request(body=b"x" * 5000))
        clients.append(client)
        if linger:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if linger is not None:
            client.close()
    handler = Handler()
    listener = HttpListener(
        handler, *address, submissions=SUBMISSIONS if skip_departed else NONE
    )
    await listener.start()
    await asyncio.sleep(0.2)
    await listener.stop()
    for client in clients:
        client.close()
    assert len(handler.calls) == calls


async def test_the_arrival_of_a_request_is_known_after_a_pause():
    """Guards against a client's time that starts when the entry wakes."""
    async with connected() as (handler, _, reader, writer):
        sock = writer.get_extra_info("socket")
        os.write(sock.fileno(), request())
        sent_at = boot_time()
        time.sleep(0.3)  # noqa: ASYNC251
        await read_answer(reader)
        assert abs(handler.calls[0].arrived_at - sent_at) < 0.15


async def test_a_connection_whose_end_was_lost_is_probed():
    """Guards against a job that goes on for a client that was reset."""
    async with connected() as (handler, listener, _, writer):
        writer.write(request(path="/wait"))
        await handler.started.wait()
        (connection,) = listener._connections
        sock = connection._transport.get_extra_info("socket")
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            assert sock.getsockopt(socket.IPPROTO_TCP, option) == 1


# What a client sends on a silent connection, whether it closes it at once,
# and which requests are served.
POST = request("POST", "/post", b"abc")
HELD = {
    "closes": ([POST], True, []),
    "stays": ([POST], False, ["/post"]),
    "sends two and closes": ([POST * 2], True, []),
    "sends more than are read ahead and closes": ([POST * 40], True, []),
    "sends two in turn and closes": ([POST, POST], True, []),
    "sends it in part and closes": ([POST[:20], POST[20:]], True, []),
    "cancels and closes": ([request("DELETE", "/del")], True, ["/del"]),
    "cancels, submits and closes": (
        [request("DELETE", "/del") + POST],
        True,
        ["/del"],
    ),
    "reads and closes": ([request("GET", "/get")], True, ["/get"]),
}


@pytest.fixture
def short_silence(monkeypatch):
    monkeypatch.setattr(arrivals, "SILENCE_S", 0.1)
    monkeypatch.setattr(arrivals, "SETTLE_S", 0.2)


@pytest.mark.usefixtures("short_silence")
@pytest.mark.parametrize(
    ("parts", "closes", "served"), HELD.values(), ids=HELD.keys()
)
async def test_a_held_submission_is_served_unless_its_client_has_left(
    caplog, parts, closes, served
):
    """Guards against a run beside the repeat of a request that was held."""
    caplog.set_level(logging.INFO, "briarford.http")
    async with connected(submissions=SUBMISSIONS) as (handler, _, reader, w):
        await asyncio.sleep(0.15)
        for part in parts:
            w.write(part)
            await asyncio.sleep(0.005)
        if closes:
            w.close()
            await asyncio.sleep(0.5)
        else:
            assert (await read_answer(reader))[0] == 200
        assert [c.path for c in handler.calls] == served
        events = {r.msg for r in caplog.records if r.job == "post"}
        submitted = any(b"POST" in part for part in parts)
        delayed = "submission-dropped" if closes else "submission-delayed"
        assert events == ({delayed} if submitted else set())


@pytest.mark.usefixtures("short_silence")
@pytest.mark.parametrize("in_use", ["this connection", "another connection"])
async def test_a_submission_beside_others_is_served_at_once(in_use):
    """Guards against a delay for each caller on a calm day."""
    async with connected(submissions=SUBMISSIONS) as (handler, listener, r, w):
        host, port = listener.address.split(":")
        streams = await asyncio.open_connection(host, int(port))
        reader, writer = (r, w) if in_use == "this connection" else streams
        for _ in range(10):
            writer.write(POST)
            await read_answer(reader)
            await asyncio.sleep(0.02)
        w.write(POST)
        await read_answer(r)
        streams[1].close()
        delayed = [c for c in listener._connections if c._delay is not None]
        assert len(handler.calls) == 11
        assert not delayed


@pytest.mark.usefixtures("short_silence")
@pytest.mark.parametrize(
    ("sent", "phase"),
    [(POST, Phase.SERVED), (POST * 2, Phase.UNFINISHED)],
    ids=["one", "one ahead"],
)
async def test_a_submission_that_waits_gives_no_way(sent, phase):
    """Guards against a refusal of an ordinary caller beside a crowd."""
    async with connected(submissions=SUBMISSIONS) as (_, listener, reader, w):
        await asyncio.sleep(0.15)
        w.write(sent)
        (connection,) = listener._connections
        await asyncio.sleep(0.05)
        assert connection._delay is not None
        assert connection._account.phase is phase
        assert (await read_answer(reader))[0] == 200


@pytest.mark.parametrize(
    ("linger", "served"),
    [(None, ["/post"]), (b"", []), (struct.pack("ii", 1, 0), [])],
    ids=["stays", "closed", "reset"],
)
async def test_a_submission_is_not_served_if_its_connection_has_ended(
    linger, served
):
    """Guards against a run for a client whose repeat is served elsewhere.

    The request and the end of its connection arrive while the process is busy.
    """
    async with connected(submissions=SUBMISSIONS) as (handler, listener, *_):
        host, port = listener.address.split(":")
        client = socket.create_connection((host, int(port)))
        await asyncio.sleep(0.05)
        client.sendall(POST)
        if linger:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if linger is not None:
            client.close()
        time.sleep(0.05)  # noqa: ASYNC251
        await asyncio.sleep(0.1)
        client.close()
        assert [c.path for c in handler.calls] == served


async def test_the_arrival_of_a_request_is_known_after_a_suspension():
    """Guards against a client's time that stands still with the machine."""
    async with connected(submissions=SUBMISSIONS) as (handler, listener, r, w):
        (connection,) = listener._connections
        watch = connection._watch
        watch.boot_now = lambda: boot_time() + 5.0
        sent_at = boot_time()
        w.write(POST)
        await read_answer(r)
        assert handler.calls[0].arrived_at == pytest.approx(sent_at, abs=1.0)
