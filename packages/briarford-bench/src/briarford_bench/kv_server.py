"""The key-value stand-in over HTTP; docs/design/store.md has the protocol."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import uvicorn
from blacksheep import Application, Content, Request, Response, Router

from briarford.store import KeyValue
from briarford_bench.kv_core import Faults, KvCore

__all__ = ["KvServer"]

HOLD_S = 3600.0
MAX_WATCH_S = 60.0
JSON = b"application/json"
SHUTDOWN_S = 1
BACKLOG = 1024
RETRY_AFTER_S = 1

Handler = Callable[[Request], Awaitable[Response]]

_encode = msgspec.json.Encoder().encode


class KvServer:
    """Serves a :class:`KvCore` on a loopback port.

    :param port: 0 takes a free port.
    :param core: the state; it outlives a stop, as the service's would.
    """

    def __init__(
        self, port: int = 0, core: KvCore | None = None, seed: int = 0
    ) -> None:
        self.core = core or KvCore(random.Random(seed))
        self._port = port
        self._server: uvicorn.Server | None = None
        self._serving: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        self._stopping = asyncio.Event()
        self._started = asyncio.Event()

    @property
    def address(self) -> str:
        """Host and port, as in ``127.0.0.1:7300``."""
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Listen and serve until :meth:`stop`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self._port))
        sock.listen(BACKLOG)
        self._port = sock.getsockname()[1]
        self._stopping.clear()
        self._started.clear()
        self.core.subscribe(self._wake)
        config = uvicorn.Config(
            self._make_app(),
            log_config=None,
            access_log=False,
            lifespan="on",
            timeout_graceful_shutdown=SHUTDOWN_S,
        )
        self._server = _EmbeddedServer(config)
        self._serving = asyncio.create_task(self._server.serve([sock]))
        await self._started.wait()

    async def stop(self) -> None:
        """Close the port; the state stays for a next :meth:`start`."""
        if self._server is None or self._serving is None:
            return
        self._stopping.set()
        self._wake()
        self._server.should_exit = True
        await self._serving
        self._server = None

    def set_faults(self, **faults: Any) -> None:
        """Put faults in force; those not named end."""
        self.core.set_faults(Faults(**faults), time.time())

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _make_app(self) -> Application:
        app = Application(router=Router())
        app.on_start(self._note_start)
        add = app.router.add
        add("GET", "/v1/value", self._guarded("get", self._get))
        add("GET", "/v1/list", self._guarded("list", self._list))
        add("POST", "/v1/swap", self._guarded("swap", self._swap))
        add("POST", "/v1/lease/grant", self._guarded("grant", self._grant))
        add("POST", "/v1/lease/renew", self._guarded("renew", self._renew))
        add("POST", "/v1/lease/revoke", self._guarded("revoke", self._revoke))
        add("GET", "/v1/watch", self._guarded("watch", self._watch))
        add("GET", "/v1/faults", _as_function(self._show_faults))
        add("PUT", "/v1/faults", _as_function(self._put_faults))
        add(
            "POST", "/v1/faults/lapse-leases", _as_function(self._lapse_leases)
        )
        add("GET", "/v1/calls", _as_function(self._show_calls))
        return app

    async def _note_start(self, app: Application) -> None:
        self._started.set()

    def _guarded(self, kind: str, handle: Handler) -> Handler:
        async def call(request: Request) -> Response:
            fate = self.core.decide_fate(kind, time.time())
            if fate.refusal:
                return _refuse(fate.refusal)
            if fate.delay_s:
                await self._pause(fate.delay_s)
            response = _refuse("silent")
            if fate.effect:
                response = await _answer(handle, request)
            if not fate.answer:
                await self._pause(HOLD_S)
            return response

        return call

    async def _pause(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._stopping.wait(), seconds)
        except TimeoutError:
            return

    async def _get(self, request: Request) -> Response:
        found = self.core.get(_param(request, "key"), time.time())
        if found is None:
            return Response(404)
        return _json(200, found)

    async def _list(self, request: Request) -> Response:
        return _json(200, self.core.list(_prefix(request), time.time()))

    async def _swap(self, request: Request) -> Response:
        value = await request.read() or b""
        reply = self.core.swap(
            _param(request, "key"),
            None if _param(request, "delete", "") else value,
            int(_param(request, "expected")),
            time.time(),
            _param(request, "lease", ""),
        )
        if reply.written:
            return _json(200, KeyValue(reply.found.key, b"", 0))
        return _json(409, reply.found)

    async def _grant(self, request: Request) -> Response:
        ttl_s = float(_param(request, "ttl_s"))
        return _json(200, {"lease": self.core.grant_lease(ttl_s, time.time())})

    async def _renew(self, request: Request) -> Response:
        renewed = self.core.renew_lease(_param(request, "lease"), time.time())
        return Response(204 if renewed else 404)

    async def _revoke(self, request: Request) -> Response:
        self.core.revoke_lease(_param(request, "lease"), time.time())
        return Response(204)

    async def _watch(self, request: Request) -> Response:
        prefix = _prefix(request)
        after = int(_param(request, "after"))
        wait_s = float(_param(request, "wait_ms")) / 1000
        until = time.time() + min(wait_s, MAX_WATCH_S)
        while not self._stopping.is_set():
            changed = self._changed
            now = time.time()
            listing = self.core.poll_watch(prefix, after, now)
            if self.core.faults.silent_watches:
                await self._pause(HOLD_S)
                break
            if listing is not None:
                return _json(200, listing)
            if now >= until:
                break
            wake_at = min(until, self.core.next_expiry() or until)
            await _wait_for(changed, wake_at - now)
        return Response(204)

    async def _show_faults(self, request: Request) -> Response:
        return _json(200, self.core.faults)

    async def _put_faults(self, request: Request) -> Response:
        body = await request.read() or b"{}"
        try:
            faults = msgspec.json.decode(body, type=Faults)
        except msgspec.MsgspecError as exc:
            return _json(400, {"error": str(exc)})
        self.core.set_faults(faults, time.time())
        return _json(200, faults)

    async def _lapse_leases(self, request: Request) -> Response:
        self.core.lapse_leases()
        return Response(204)

    async def _show_calls(self, request: Request) -> Response:
        return _json(200, dict(self.core.calls))


class _EmbeddedServer(uvicorn.Server):
    """A server that leaves the process's signal handlers alone."""

    def capture_signals(self) -> Any:
        return contextlib.nullcontext()


def _as_function(handle: Handler) -> Handler:
    async def call(request: Request) -> Response:
        return await handle(request)

    return call


async def _answer(handle: Handler, request: Request) -> Response:
    try:
        response = await handle(request)
    except ValueError as exc:
        return _json(400, {"error": str(exc)})
    return response


async def _wait_for(event: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), max(seconds, 0.0))
    except TimeoutError:
        return


def _param(request: Request, name: str, default: str | None = None) -> str:
    values = request.query.get(name)
    if values:
        return str(values[0])
    if default is None:
        raise ValueError(f"parameter '{name}' is missing")
    return default


def _prefix(request: Request) -> str:
    return _param(request, "prefix", "")


def _refuse(reason: str) -> Response:
    status = 429 if reason == "rate-limited" else 503
    response = _json(status, {"error": reason})
    response.add_header(b"retry-after", str(RETRY_AFTER_S).encode())
    return response


def _json(status: int, document: Any) -> Response:
    return Response(status, None, Content(JSON, _encode(document)))
