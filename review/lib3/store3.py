"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from http3 import Answer, Call

PAGE = 500


class Store:
    """Keys with revisions and leases, in memory; linearizable."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # end, ttl
        self.last_lease = 0
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as the operator or a transaction does."""
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._note(dict(item))
        return self.revision

    def put_json(self, key: str, value: Any) -> int:
        """Write a key with a JSON document."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def _note(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def expire(self) -> None:
        """Remove the keys of leases that have ended."""
        now = time.monotonic()
        for lease, (end, _) in list(self.leases.items()):
            if end <= now:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    async def run(self) -> None:
        """Expire leases until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            self.expire()

    async def handle(self, call: Call) -> Answer:
        """Answer one call."""
        self.expire()
        await asyncio.sleep(0.004)
        path = call.path.removeprefix("/briarford/")
        if path == "kv-key":
            item = self.items.get(call.query["key"])
            if item is None:
                return Answer(404)
            return Answer(200, {**item, "as_of": self.revision})
        if path == "kv-range":
            return self._range(call.query)
        if path == "kv-watch":
            return await self._watch(call.query)
        if path == "kv-txn":
            return self._txn(call.json())
        if path == "kv-lease":
            ttl_ms = call.json()["ttl_ms"]
            self.last_lease += 1
            end = time.monotonic() + ttl_ms / 1000
            self.leases[self.last_lease] = (end, ttl_ms / 1000)
            return Answer(200, {"lease": self.last_lease, "ttl_ms": ttl_ms})
        name, _, number = path.partition("/")
        lease = int(number)
        if lease not in self.leases:
            return Answer(404)
        if name == "kv-keep":
            _, ttl_s = self.leases[lease]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        else:
            self.end_lease(lease)
        return Answer(200)

    def _range(self, query: dict[str, str]) -> Answer:
        after = query.get("after", "")
        prefix = query["prefix"]
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        return Answer(
            200,
            {
                "items": [self.items[k] for k in keys[:PAGE]],
                "has_more": len(keys) > PAGE,
                "as_of": self.revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> Answer:
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                e
                for e in self.events
                if e["revision"] > after
                and e["key"].startswith(query["prefix"])
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return Answer(200, {"events": events, "as_of": self.revision})
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _txn(self, body: dict[str, Any]) -> Answer:
        found = []
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found.append(item or {"key": row["key"], "revision": 0})
        if found:
            return Answer(412, {"items": found})
        writes = body.get("writes", [])
        if any(w.get("lease", 0) not in {0, *self.leases} for w in writes):
            return Answer(404)
        for key in body.get("remove", []):
            self.remove(key)
        for write in writes:
            value = base64.b64decode(write["value"], validate=True)
            self.put(write["key"], value, write.get("lease", 0))
        return Answer(200, {"revision": self.revision})
