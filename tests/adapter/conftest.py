"""Fixtures that serve the stand-ins on loopback ports."""

from __future__ import annotations

import pytest
from aiohttp import web

from stand_in import StoreStandIn, WorkerStandIn


async def _serve(app: web.Application) -> tuple[web.AppRunner, str]:
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"


@pytest.fixture
async def store_server():
    stand_in = StoreStandIn()
    runner, address = await _serve(stand_in.app())
    yield stand_in, address
    await runner.cleanup()


@pytest.fixture
async def worker_server():
    stand_in = WorkerStandIn()
    runner, address = await _serve(stand_in.app())
    yield stand_in, address
    await runner.cleanup()
