"""The key-value stand-in over HTTP.

docs/design/store.md has the protocol. The ``/v1/faults`` routes inject faults
and ``/v1/calls`` counts the calls; the real service has neither.
"""

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

UNANSWERED_HOLD_S = 3600.0
MAX_WATCH_S = 60.0
JSON_TYPE = b"application/json"
SHUTDOWN_TIMEOUT_S = 1
LISTEN_BACKLOG = 1024
RETRY_AFTER_S = 1

Handler = Callable[[Request], Awaitable[Response]]

_encode = msgspec.json.Encoder().encode


class KvServer:
    """Serves a :class:`KvCore` on a loopback port.

    :param port: port to listen on; 0 for any free one.
    :param core: the state; it is kept over :meth:`stop` and :meth:`start`,
        as the service keeps its own over a restart.
    :param seed: seed of the core, if none is given.
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
        """Listen; return once the application has started."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self._port))
        sock.listen(LISTEN_BACKLOG)
        self._port = sock.getsockname()[1]
        self._stopping.clear()
        self._started.clear()
        self.core.subscribe(self._wake_watches)
        config = uvicorn.Config(
            self._make_app(),
            log_config=None,
            access_log=False,
            lifespan="on",
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
        )
        self._server = _EmbeddedServer(config)
        self._serving = asyncio.create_task(self._server.serve([sock]))
        await self._started.wait()

    async def stop(self) -> None:
        """Stop listening; the state is kept for the next :meth:`start`."""
        if self._server is None or self._serving is None:
            return
        self._stopping.set()
        self._wake_watches()
        self._server.should_exit = True
        await self._serving
        self._server = None

    def set_faults(self, **faults: Any) -> None:
        """Replace the faults in force; a fault that is not named ends."""
        self.core.set_faults(Faults(**faults), time.time())

    def _wake_watches(self) -> None:
        """Let all waiting watches look at the store again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _make_app(self) -> Application:
        app = Application(router=Router())
        app.on_start(self._on_app_started)
        add_route = app.router.add
        add_route("GET", "/v1/value", self._apply_faults("get", self._get))
        add_route("GET", "/v1/list", self._apply_faults("list", self._list))
        add_route("POST", "/v1/swap", self._apply_faults("swap", self._swap))
        add_route(
            "POST", "/v1/lease/grant", self._apply_faults("grant", self._grant)
        )
        add_route(
            "POST", "/v1/lease/renew", self._apply_faults("renew", self._renew)
        )
        add_route(
            "POST",
            "/v1/lease/revoke",
            self._apply_faults("revoke", self._revoke),
        )
        add_route("GET", "/v1/watch", self._apply_faults("watch", self._watch))
        add_route("GET", "/v1/faults", _wrap_method(self._show_faults))
        add_route("PUT", "/v1/faults", _wrap_method(self._put_faults))
        add_route(
            "POST", "/v1/faults/lapse-leases", _wrap_method(self._lapse_leases)
        )
        add_route("GET", "/v1/calls", _wrap_method(self._show_calls))
        return app

    async def _on_app_started(self, app: Application) -> None:
        self._started.set()

    def _apply_faults(self, kind: str, handle: Handler) -> Handler:
        """Return a handler that refuses, delays or drops calls under faults.

        An unanswered call is held for an hour, or until the server stops, so
        that its caller waits for its own time-out.
        """

        async def call(request: Request) -> Response:
            decision = self.core.decide_call(kind, time.time())
            if decision.refusal:
                return _make_refusal(decision.refusal)
            if decision.delay_s:
                await self._sleep_unless_stopping(decision.delay_s)
            response = _make_refusal("silent")
            if decision.effect:
                response = await _call_handler(handle, request)
            if not decision.answer:
                await self._sleep_unless_stopping(UNANSWERED_HOLD_S)
            return response

        return call

    async def _sleep_unless_stopping(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._stopping.wait(), seconds)
        except TimeoutError:
            return

    async def _get(self, request: Request) -> Response:
        found = self.core.get(_get_parameter(request, "key"), time.time())
        if found is None:
            return Response(404)
        return _make_json_response(200, found)

    async def _list(self, request: Request) -> Response:
        return _make_json_response(
            200, self.core.list(_get_prefix(request), time.time())
        )

    async def _swap(self, request: Request) -> Response:
        value = await request.read() or b""
        reply = self.core.swap(
            _get_parameter(request, "key"),
            None if _get_parameter(request, "delete", "") else value,
            int(_get_parameter(request, "expected")),
            time.time(),
            _get_parameter(request, "lease", ""),
        )
        if reply.written:
            return _make_json_response(200, KeyValue(reply.found.key, b"", 0))
        return _make_json_response(409, reply.found)

    async def _grant(self, request: Request) -> Response:
        ttl_s = float(_get_parameter(request, "ttl_s"))
        return _make_json_response(
            200, {"lease": self.core.grant_lease(ttl_s, time.time())}
        )

    async def _renew(self, request: Request) -> Response:
        renewed = self.core.renew_lease(
            _get_parameter(request, "lease"), time.time()
        )
        return Response(204 if renewed else 404)

    async def _revoke(self, request: Request) -> Response:
        self.core.revoke_lease(_get_parameter(request, "lease"), time.time())
        return Response(204)

    async def _watch(self, request: Request) -> Response:
        prefix = _get_prefix(request)
        after = int(_get_parameter(request, "after"))
        wait_s = float(_get_parameter(request, "wait_ms")) / 1000
        answer_by = time.time() + min(wait_s, MAX_WATCH_S)
        while not self._stopping.is_set():
            changed = self._changed
            now = time.time()
            listing = self.core.poll_watch(prefix, after, now)
            if self.core.faults.silent_watches:
                await self._sleep_unless_stopping(UNANSWERED_HOLD_S)
                break
            if listing is not None:
                return _make_json_response(200, listing)
            if now >= answer_by:
                break
            next_check_at = min(
                answer_by, self.core.next_expiry() or answer_by
            )
            await _wait_for_event(changed, next_check_at - now)
        return Response(204)

    async def _show_faults(self, request: Request) -> Response:
        return _make_json_response(200, self.core.faults)

    async def _put_faults(self, request: Request) -> Response:
        body = await request.read() or b"{}"
        try:
            faults = msgspec.json.decode(body, type=Faults)
        except msgspec.MsgspecError as exc:
            return _make_json_response(400, {"error": str(exc)})
        self.core.set_faults(faults, time.time())
        return _make_json_response(200, faults)

    async def _lapse_leases(self, request: Request) -> Response:
        self.core.lapse_leases()
        return Response(204)

    async def _show_calls(self, request: Request) -> Response:
        return _make_json_response(200, dict(self.core.calls))


class _EmbeddedServer(uvicorn.Server):
    """A server that does not replace the signal handlers of the process."""

    def capture_signals(self) -> Any:
        return contextlib.nullcontext()


def _wrap_method(handle: Handler) -> Handler:
    """Return a function that calls a method, to register as a route."""

    async def call(request: Request) -> Response:
        return await handle(request)

    return call


async def _call_handler(handle: Handler, request: Request) -> Response:
    """Call a handler; answer 400 if the request is not acceptable."""
    try:
        response = await handle(request)
    except ValueError as exc:
        return _make_json_response(400, {"error": str(exc)})
    return response


async def _wait_for_event(event: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), max(seconds, 0.0))
    except TimeoutError:
        return


def _get_parameter(
    request: Request, name: str, default: str | None = None
) -> str:
    values = request.query.get(name)
    if values:
        return str(values[0])
    if default is None:
        raise ValueError(f"parameter '{name}' is missing")
    return default


def _get_prefix(request: Request) -> str:
    return _get_parameter(request, "prefix", "")


def _make_refusal(reason: str) -> Response:
    status = 429 if reason == "rate-limited" else 503
    response = _make_json_response(status, {"error": reason})
    response.add_header(b"retry-after", str(RETRY_AFTER_S).encode())
    return response


def _make_json_response(status: int, document: Any) -> Response:
    return Response(status, None, Content(JSON_TYPE, _encode(document)))
