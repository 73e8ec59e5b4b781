"""A stand-in for the platform's store, on the real clock."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from web import SILENCE, Answer, HttpServer, Request

PAGE_ITEMS = 500
BUSY_STATUS = 503


class Store:
    """Keeps keys, leases and a history in memory.

    :attr:`fault` is empty; ``silent``: no call is answered; or ``busy``: each
    call is answered 503.
    """

    def __init__(self, host: str) -> None:
        self.fault = ""
        self._server = HttpServer(self._handle, host)
        self._revision = 100
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}  # ttl_s, end
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> str:
        """Listen; return the address."""
        self._task = asyncio.create_task(self._expire())
        return await self._server.start()

    async def stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
        await self._server.stop()

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write a key; ``value`` is base64 text."""
        self._revision += 1
        self._write({"key": key, "value": value, "lease": lease})
        self._notify()

    def keys(self, prefix: str) -> dict[str, str]:
        """Return the values of the keys with a prefix."""
        return {
            k: i["value"]
            for k, i in self._items.items()
            if k.startswith(prefix)
        }

    def _write(self, write: dict[str, Any]) -> None:
        key = write["key"]
        old = self._items.get(key)
        item = {
            "key": key,
            "value": write["value"],
            "revision": self._revision,
            "created": old["created"] if old else self._revision,
            "lease": write.get("lease", 0),
        }
        self._items[key] = item
        self._history.append(item)

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._history.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, end) in list(self._leases.items()):
                if time.monotonic() > end:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [k for k, i in self._items.items() if i["lease"] == lease]
        if keys:
            self._revision += 1
            for key in keys:
                self._remove(key)
            self._notify()

    async def _handle(self, request: Request) -> Answer:
        if self.fault == "silent":
            return SILENCE
        if self.fault == "busy":
            return Answer(BUSY_STATUS)
        name = request.path.removeprefix("/briarford/")
        head, _, tail = name.partition("/")
        match request.method, head:
            case "GET", "kv-key":
                item = self._items.get(request.query["key"])
                if item is None:
                    return Answer(404, {"as_of": self._revision})
                return Answer(200, {**item, "as_of": self._revision})
            case "GET", "kv-range":
                return self._range(request.query)
            case "GET", "kv-watch":
                return await self._watch(request.query)
            case "POST", "kv-txn":
                return self._txn(request.body)
            case "POST", "kv-lease":
                ttl_s = request.body["ttl_ms"] / 1000
                lease = 1000 + self._revision * 100 + len(self._leases)
                self._leases[lease] = ttl_s, time.monotonic() + ttl_s
                ttl_ms = request.body["ttl_ms"]
                return Answer(200, {"lease": lease, "ttl_ms": ttl_ms})
            case "POST", "kv-keep":
                known = self._leases.get(int(tail))
                if known is None:
                    return Answer(404)
                ttl_s = known[0]
                self._leases[int(tail)] = ttl_s, time.monotonic() + ttl_s
                return Answer(200, {"ttl_ms": int(ttl_s * 1000)})
            case "DELETE", "kv-lease-end":
                self._end_lease(int(tail))
                return Answer(200)
        return Answer(404)

    def _range(self, query: dict[str, str]) -> Answer:
        after = query.get("after", "")
        keys = sorted(
            k
            for k in self._items
            if k.startswith(query["prefix"]) and k > after
        )
        page = [self._items[k] for k in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        body = {"items": page, "has_more": more, "as_of": self._revision}
        return Answer(200, body)

    async def _watch(self, query: dict[str, str]) -> Answer:
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        while True:
            changed = self._changed
            events = [
                e
                for e in self._history
                if e["revision"] > after
                and e["key"].startswith(query["prefix"])
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                body = {"events": events, "as_of": self._revision}
                return Answer(200, body)
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _txn(self, body: dict[str, Any]) -> Answer:
        failed = False
        found = []
        for row in body.get("expect", []):
            item = self._items.get(row["key"])
            revision = item["revision"] if item else 0
            failed |= revision != row["revision"]
            found.append(item or {"key": row["key"], "revision": 0})
        if failed:
            return Answer(412, {"items": found})
        writes = body.get("writes", [])
        if any(w.get("lease", 0) not in {0, *self._leases} for w in writes):
            return Answer(404)
        if any(w["key"].startswith(("op/", "servers/")) for w in writes):
            return Answer(403)
        self._revision += 1
        for write in writes:
            self._write(write)
        for key in body.get("remove", []):
            self._remove(key)
        self._notify()
        return Answer(200, {"revision": self._revision})
