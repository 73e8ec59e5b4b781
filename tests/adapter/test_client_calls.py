"""When the time of a client is over, as an entry counts it."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

import pytest

from briarford.intake import IntakeLimits, Machine
from briarford.outcomes import Completed
from briarford.routes import Route
from briarford_daemon.fleet.clock import BootClock
from briarford_daemon.http_listener import HttpListener
from briarford_daemon.intake import Intake
from briarford_daemon.submissions import ConnectionSubmissions
from briarford_platform.client_calls import SUBMISSIONS, handle_client_calls

DEADLINE_S = 1.5
ROUTE = Route("r", "h.example", "/p/", "desk", 1, 3, 1.6, 0.06)
BODY = b'{"spec":"x","steps":[{"count":1,"cpu":1}],"best_effort":true}'
REQUEST = (
    b"POST /p/j HTTP/1.1\r\nHost: h.example\r\n"
    b"Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s"
    % (DEADLINE_S * 1000, len(BODY), BODY)
)


class Entry:
    """Notes the deadlines of submitted jobs, which complete at once."""

    def __init__(self):
        self.clock = BootClock()
        self.stopping = False
        self.routes = SimpleNamespace(current=ROUTE, find=lambda *_: ROUTE)
        self.deadlines = []

    async def submit(self, request, route, deadline):
        self.deadlines.append(deadline)
        return Completed(())


@pytest.mark.parametrize("suspended_s", [0.0, 5.0])
async def test_the_time_of_a_client_goes_on_in_a_suspension(
    monkeypatch, suspended_s
):
    """Guards against a run for a client whose repeat is served elsewhere.

    The machine is suspended after its request has been read and before it is
    served.
    """
    passed_s = 0.0
    read_clock = time.clock_gettime
    complete = ConnectionSubmissions.completed

    def read_shifted(clock):
        shift_s = passed_s if clock == time.CLOCK_BOOTTIME else 0.0
        return read_clock(clock) + shift_s

    def suspend_after(*args):
        nonlocal passed_s
        result = complete(*args)
        passed_s = suspended_s
        return result

    monkeypatch.setattr(time, "clock_gettime", read_shifted)
    monkeypatch.setattr(ConnectionSubmissions, "completed", suspend_after)
    entry = Entry()
    listener = HttpListener(
        handle_client_calls(entry, 4096),
        intake=Intake(IntakeLimits(), Machine(512, 4096)),
        submissions=SUBMISSIONS,
    )
    await listener.start()
    host, port = listener.address.split(":")
    async with asyncio.timeout(10):
        reader, writer = await asyncio.open_connection(host, int(port))
        sent_at = entry.clock.now()
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        writer.close()
    await listener.stop()
    assert entry.deadlines == [pytest.approx(sent_at + DEADLINE_S, abs=1.0)]
