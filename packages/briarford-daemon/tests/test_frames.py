"""Connections of frames over loopback sockets, and their limits."""

from __future__ import annotations

import asyncio
import struct
from contextlib import asynccontextmanager

import msgspec
import pytest

from briarford_daemon import frames as frames_module
from briarford_daemon.calls import (
    CallChannel,
    CallMethod,
    CallRejectedError,
    serve_calls,
)
from briarford_daemon.frames import FrameServer, dial

LIMIT_S = 10.0


class Recorder:
    """Keeps the frames of a connection and how it ended."""

    def __init__(self, connection=None):
        self.connection = connection
        self.frames = []
        self.closed = asyncio.Event()
        self.arrived = asyncio.Event()
        self.cause = None

    def frame_received(self, data):
        if data == b"bad":
            raise msgspec.DecodeError("bad")
        self.frames.append(data)
        self.arrived.set()

    def connection_closed(self, exc):
        self.cause = exc
        self.closed.set()


@asynccontextmanager
async def serving():
    """Yield a server's address, its handlers, and an event for the first."""
    made = []
    accepted = asyncio.Event()

    def accept(connection):
        made.append(Recorder(connection))
        accepted.set()
        return made[-1]

    server = FrameServer({"svc": accept})
    port = await server.start("127.0.0.1", 0)
    try:
        async with asyncio.timeout(LIMIT_S):
            yield f"127.0.0.1:{port}", made, accepted
    finally:
        server.close()


async def wait_for_frames(recorder, count):
    while len(recorder.frames) < count:
        recorder.arrived.clear()
        await recorder.arrived.wait()


@pytest.mark.parametrize("size", [0, 1, 70_000, 1_000_000])
async def test_frames_arrive_whole_and_in_order(size):
    async with serving() as (address, made, accepted):
        near = await dial(address, "svc", Recorder)
        sent = [bytes([n]) * size for n in range(3)]
        for frame in sent:
            near.connection.send(frame)
        await accepted.wait()
        await wait_for_frames(made[0], 3)
        assert made[0].frames == sent
        made[0].connection.send(b"back")
        await wait_for_frames(near, 1)
        assert near.frames == [b"back"]


@pytest.mark.parametrize(
    "raw",
    [
        struct.pack("!I", frames_module.MAX_FRAME_BYTES + 1),
        struct.pack("!I", 5) + b"other",
        struct.pack("!I", 3) + b"svc" + struct.pack("!I", 3) + b"bad",
    ],
    ids=["too long", "unknown service", "not decoded"],
)
async def test_a_connection_that_breaks_the_protocol_is_ended(raw):
    async with serving() as (address, *_):
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw)
        with pytest.raises(ConnectionResetError):
            while await reader.read(1):
                pass
            raise ConnectionResetError
        writer.close()


async def test_a_connection_that_names_no_service_is_ended(monkeypatch):
    monkeypatch.setattr(frames_module, "HELLO_TIMEOUT_S", 0.05)
    async with serving() as (address, *_):
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
            raise ConnectionResetError
        writer.close()


async def test_a_peer_that_does_not_read_is_cut_off(monkeypatch):
    """Guards against memory that grows without bound behind a slow link."""
    monkeypatch.setattr(frames_module, "MAX_UNSENT_BYTES", 100_000)
    silent = asyncio.Event()

    async def swallow(reader, writer):
        writer.transport.pause_reading()
        await silent.wait()
        writer.close()

    server = await asyncio.start_server(swallow, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with asyncio.timeout(LIMIT_S):
        near = await dial(f"{host}:{port}", "svc", Recorder)
        while not near.closed.is_set():
            near.connection.send(bytes(100_000))
            await asyncio.sleep(0)
    assert "does not read" in str(near.cause)
    silent.set()
    server.close()


class Double(msgspec.Struct, array_like=True):
    value: int


@asynccontextmanager
async def calling():
    """Yield a channel to a service, and an event that lets calls end."""
    go_on = asyncio.Event()
    cancelled = asyncio.Event()

    async def double(req):
        return Double(2 * req.value)

    async def wait(req):
        try:
            await go_on.wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise
        return Double(req.value)

    async def fail(req):
        raise ValueError("no")

    methods = {
        name: CallMethod(Double, call)
        for name, call in (("double", double), ("wait", wait), ("fail", fail))
    }
    server = FrameServer({"calls": serve_calls(methods)})
    port = await server.start("127.0.0.1", 0)
    channel = CallChannel(f"127.0.0.1:{port}", "calls")
    try:
        async with asyncio.timeout(LIMIT_S):
            yield channel, go_on, cancelled, server
    finally:
        channel.close()
        server.close()


async def test_calls_overtake_each_other_on_one_connection():
    async with calling() as (channel, go_on, _, _server):
        slow = asyncio.create_task(channel.call("wait", Double(1), Double))
        reply = await channel.call("double", Double(4), Double)
        assert reply.value == 8
        assert not slow.done()
        go_on.set()
        assert (await slow).value == 1


@pytest.mark.parametrize("method", ["fail", "unknown"])
async def test_an_error_of_the_peer_is_raised_at_the_caller(method):
    async with calling() as (channel, *_):
        with pytest.raises(CallRejectedError):
            await channel.call(method, Double(1), Double)
        assert (await channel.call("double", Double(1), Double)).value == 2


async def test_a_cancelled_call_is_cancelled_at_the_peer():
    async with calling() as (channel, _, cancelled, _server):
        call = asyncio.create_task(channel.call("wait", Double(1), Double))
        await channel.call("double", Double(1), Double)
        call.cancel()
        await cancelled.wait()


@pytest.mark.parametrize("side", ["peer", "caller"])
async def test_open_calls_fail_when_the_connection_ends(side):
    async with calling() as (channel, _, _cancelled, server):
        call = asyncio.create_task(channel.call("wait", Double(1), Double))
        await channel.call("double", Double(1), Double)
        (server if side == "peer" else channel).close()
        with pytest.raises(OSError, match=r"."):
            await call
        with pytest.raises(OSError, match=r"."):
            await channel.call("double", Double(1), Double)


async def test_a_call_to_nobody_raises_an_os_error():
    server = FrameServer({})
    port = await server.start("127.0.0.1", 0)
    server.close()
    channel = CallChannel(f"127.0.0.1:{port}", "calls")
    with pytest.raises(OSError, match=r"."):
        await channel.call("double", Double(1), Double)
    channel.close()
