"""Crowds of clients that do not behave, and what a process holds for them.

A kind is a function that returns what one client of the crowd sends, block by
block. It never reads. Once everything is sent it leaves its connection open,
or goes on with ``drip`` every now and then.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import resource
import socket
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from types import TracebackType

import msgspec

__all__ = ["KINDS", "Crowd", "Kind", "Meter", "raise_descriptor_limit"]

HOST = b"Host: h.example\r\n"
BLOCK = b"y" * 65_536
MIB = 1024 * 1024
DRIP_PERIOD_S = 0.1
SAMPLE_PERIOD_S = 0.05
# A client that cannot send on for so long waits for the process to read.
SEND_S = 8.0

Script = Callable[[int], Iterable[bytes]]


class Kind(msgspec.Struct, frozen=True):
    """A kind of crowd.

    :param script: returns what the client of a number sends.
    :param clients: size of the crowd.
    :param drip: what each client sends again and again afterwards.
    :param returns: whether a client whose connection has ended opens another.
    """

    script: Script
    clients: int
    drip: bytes = b""
    returns: bool = False


KINDS: dict[str, Kind] = {}


def kind(
    clients: int, drip: bytes = b"", returns: bool = False
) -> Callable[[Script], Script]:
    """Register a kind under the name of its function."""

    def register(script: Script) -> Script:
        name = script.__name__.replace("_", "-")
        KINDS[name] = Kind(script, clients, drip, returns)
        return script

    return register


def _head(method: bytes, path: bytes, *fields: bytes) -> bytes:
    lines = b"".join(field + b"\r\n" for field in fields)
    return method + b" " + path + b" HTTP/1.1\r\n" + HOST + lines


def _post(number: int, *fields: bytes) -> bytes:
    """Return the head of a submission, without its last empty line."""
    return _head(b"POST", b"/p/%016x" % (0xC0_0000 + number), *fields)


def _whole(number: int, body: bytes) -> bytes:
    length = b"Content-Length: %d" % len(body)
    return _post(number, length) + b"\r\n" + body


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


CHUNKED = b"Transfer-Encoding: chunked"


@kind(16)
def head_in_one_line(number: int) -> Iterator[bytes]:
    yield _post(number) + b"X: "
    yield from itertools.repeat(BLOCK, 64)


@kind(80)
def head_of_tiny_fields(number: int) -> Iterator[bytes]:
    yield _post(number) + b"".join(b"%x:\r\n" % n for n in range(12_000))


@kind(800)
def head_not_ended(number: int) -> Iterator[bytes]:
    yield _post(number) + b"X: " + b"y" * 60_000


@kind(16)
def target_without_end(number: int) -> Iterator[bytes]:
    yield b"POST /p/"
    yield from itertools.repeat(BLOCK, 64)


@kind(450, drip=b"\r\n")
def empty_lines_without_end(number: int) -> Iterator[bytes]:
    yield b"\r\n" * 4


@kind(16)
def large_chunks_stopped_short(number: int) -> Iterator[bytes]:
    yield _post(number, CHUNKED) + b"\r\n"
    yield from itertools.repeat(_chunk(BLOCK), 64)


@kind(100)
def many_bodies_stopped_short(number: int) -> Iterator[bytes]:
    yield _post(number, CHUNKED) + b"\r\n"
    yield from itertools.repeat(_chunk(BLOCK), 12)


@kind(40)
def chunks_of_one_byte(number: int) -> Iterator[bytes]:
    yield _post(number, CHUNKED) + b"\r\n"
    yield from itertools.repeat(_chunk(b"y") * 4096, 77)


@kind(16)
def body_announced_below_the_limit(number: int) -> Iterator[bytes]:
    yield _post(number, b"Content-Length: %d" % (15 * MIB)) + b"\r\n"
    yield from itertools.repeat(BLOCK, 64)


@kind(16)
def body_announced_far_over_the_limit(number: int) -> Iterator[bytes]:
    yield _post(number, b"Content-Length: %d" % (1024 * MIB)) + b"\r\n"
    yield from itertools.repeat(BLOCK, 320)


@kind(8)
def body_far_over_the_limit(number: int) -> Iterator[bytes]:
    yield _post(number, CHUNKED) + b"\r\n"
    yield from itertools.repeat(_chunk(BLOCK), 320)


@kind(8)
def whole_bodies_one_after_the_other(number: int) -> Iterator[bytes]:
    for index in range(4):
        length = b"Content-Length: %d" % (15 * MIB)
        yield _post(number * 4 + index, length) + b"\r\n"
        yield from itertools.repeat(BLOCK, 240)


@kind(16)
def trailer_in_one_line(number: int) -> Iterator[bytes]:
    yield _post(number, CHUNKED) + b"\r\n" + _chunk(b"{}") + b"0\r\nX: "
    yield from itertools.repeat(BLOCK, 64)


@kind(30)
def body_of_many_steps(number: int) -> Iterator[bytes]:
    yield _whole(number, b'{"steps":[' + b"{}," * 650_000 + b"{}]}")


@kind(100)
def answers_never_read(number: int) -> Iterator[bytes]:
    waiting = _head(b"GET", b"/p/") + b"\r\n"
    yield from itertools.repeat(waiting * 1000, 20)


@kind(300)
def many_answers_never_read(number: int) -> Iterator[bytes]:
    return answers_never_read(number)


@kind(40)
def requests_ahead_of_an_answer(number: int) -> Iterator[bytes]:
    """The first request waits for a worker that does not come."""
    yield _whole(number, _job(1, requirements="none"))
    body = b'{"spec":"' + b"y" * 400_000 + b'"}'
    for index in range(16):
        yield _whole(1000 + number * 16 + index, body)


@kind(60)
def jobs_that_wait(number: int) -> Iterator[bytes]:
    yield _whole(number, _job(5000, requirements="none"))


@kind(200)
def many_large_jobs_that_wait(number: int) -> Iterator[bytes]:
    yield _whole(number, _job(5000, requirements="none"))


@kind(30)
def jobs_of_long_names(number: int) -> Iterator[bytes]:
    body = _job(200, requirements="none")
    length = b"Content-Length: %d" % len(body)
    path = b"/p/" + b"%08x" % number * 1500
    yield _head(b"POST", path, length) + b"\r\n" + body


@kind(30)
def jobs_of_long_specs(number: int) -> Iterator[bytes]:
    yield _whole(number, _job(50, spec="y" * 1_500_000, requirements="none"))


@kind(450, drip=b"y")
def a_byte_now_and_then(number: int) -> Iterator[bytes]:
    yield _post(number) + b"X: y"


@kind(450, drip=b"y", returns=True)
def a_byte_now_and_then_for_ever(number: int) -> Iterator[bytes]:
    yield _post(number) + b"X: y"


@kind(450)
def body_announced_and_never_sent(number: int) -> Iterator[bytes]:
    yield _post(number, b"Content-Length: 9000") + b"\r\n"


@kind(450)
def connections_without_a_byte(number: int) -> Iterator[bytes]:
    return iter(())


@kind(450)
def jobs_that_wait_on_every_connection(number: int) -> Iterator[bytes]:
    yield _whole(number, _job(1, requirements="none"))


@kind(450)
def one_job_on_every_connection(number: int) -> Iterator[bytes]:
    yield _whole(1, _job(1, requirements="none"))


@kind(16)
def frame_stopped_short(number: int) -> Iterator[bytes]:
    """A frame of 15 MiB for the service that entries request."""
    yield _frame(b"briarford.runs/1") + (15 * MIB).to_bytes(4, "big")
    yield from itertools.repeat(BLOCK, 64)


@kind(16)
def frame_without_a_service(number: int) -> Iterator[bytes]:
    yield (15 * MIB).to_bytes(4, "big")
    yield from itertools.repeat(BLOCK, 64)


@kind(450, drip=b"y")
def frames_of_a_byte_now_and_then(number: int) -> Iterator[bytes]:
    yield _frame(b"briarford.runs/1") + (15 * MIB).to_bytes(4, "big")


@kind(16)
def reports_stopped_short(number: int) -> Iterator[bytes]:
    length = b"Content-Length: %d" % (4 * MIB)
    yield _head(b"PUT", b"/briarford/instances/i-9", length) + b"\r\n"
    yield from itertools.repeat(BLOCK, 63)


def _frame(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data


def _job(count: int, spec: str = "text", requirements: str = "") -> bytes:
    step = {"count": count, "cpu": 1, "estimated_ms": 9_000_000}
    step["requirements"] = requirements
    job = {"spec": spec, "best_effort": True, "steps": [step]}
    return json.dumps(job).encode()


def raise_descriptor_limit(count: int = 2048) -> None:
    """Let this process, which opens the connections, have so many."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


class Crowd:
    """The clients of one kind; its context ends with all connections.

    :param address: of the listener.
    :param kind: what they send, and how many there are.
    :param at_most: how many there are at most.
    """

    def __init__(
        self, address: str, kind: Kind, at_most: int = 10_000
    ) -> None:
        host, port = address.split(":")
        self._address = (host, int(port))
        self._kind = kind
        self._sent = [
            asyncio.Event() for _ in range(min(kind.clients, at_most))
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Crowd:
        self._tasks = [
            asyncio.create_task(self._run(number))
            for number in range(len(self._sent))
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def settled(self) -> None:
        """Wait until each client has sent all, or is not read any more."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SEND_S):
                for sent in self._sent:
                    await sent.wait()

    async def _run(self, number: int) -> None:
        try:
            while True:
                with contextlib.suppress(OSError):
                    await self._send(number)
                self._sent[number].set()
                if not self._kind.returns:
                    return
                await asyncio.sleep(DRIP_PERIOD_S)
        finally:
            self._sent[number].set()

    async def _send(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, self._address)
            for block in self._kind.script(number):
                await loop.sock_sendall(sock, block)
                await asyncio.sleep(0)
            self._sent[number].set()
            while True:
                await asyncio.sleep(DRIP_PERIOD_S)
                if self._kind.drip:
                    await loop.sock_sendall(sock, self._kind.drip)


class Meter:
    """Samples what a process holds; its context ends the sampling.

    ``peak_mb`` is its largest resident memory with the bytes that its sockets
    have received and it has not read, ``peak_descriptors`` the largest number
    of its open descriptors.
    """

    def __init__(self, pid: int, addresses: Iterable[str]) -> None:
        self._folder = Path(f"/proc/{pid}")
        self._ports = {int(a.rpartition(":")[2]) for a in addresses}
        self._task: asyncio.Task[None] | None = None
        self._peak_unread = 0
        self._peak_memory = 0
        self.peak_descriptors = 0

    async def __aenter__(self) -> Meter:
        self._task = asyncio.create_task(self._sample())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()

    @property
    def peak_mb(self) -> float:
        """Peak memory in MiB; the sum of two peaks, which is no less."""
        self._read_memory()
        return (self._peak_memory + self._peak_unread) / MIB

    def _read_memory(self) -> None:
        """Read the peak that the kernel keeps, while the process is there."""
        with contextlib.suppress(OSError):
            for line in (self._folder / "status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    self._peak_memory = int(line.split()[1]) * 1024

    def descriptors(self) -> int:
        """Return the number of open descriptors now."""
        return len(os.listdir(self._folder / "fd"))

    async def _sample(self) -> None:
        while True:
            self._read_memory()
            with contextlib.suppress(OSError):
                self.peak_descriptors = max(
                    self.peak_descriptors, self.descriptors()
                )
            self._peak_unread = max(self._peak_unread, self._unread())
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def _unread(self) -> int:
        """Return the received bytes that accepted connections hold unread."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            port = int(local.rpartition(":")[2], 16)
            if port in self._ports and state != "0A":  # listening
                total += int(queues.partition(":")[2], 16)
        return total
