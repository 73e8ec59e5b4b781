"""HTTP client of the key-value service.

The processes on the users' platform use the adapter's client instead, which
speaks the protocol of that platform.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import TypeVar

import aiohttp
import msgspec

from briarford.exceptions import StoreError
from briarford.store import (
    CallGuard,
    Deferred,
    GuardLimits,
    KeyListing,
    KeyValue,
)
from briarford_daemon.clock import Clock

__all__ = ["HttpStore"]

WATCH_GRACE_S = 0.5  # for the answer to a watch that ended without a change
MAX_CONNECTIONS = 16
# Answers with which the service has refused a call without applying it.
REFUSED_STATUSES = frozenset({400, 429})

T = TypeVar("T")


class _GrantedLease(msgspec.Struct):
    lease: str


class HttpStore:
    """Implements :class:`briarford.store.Store` over HTTP.

    Writes are sent as POST, which the HTTP library never repeats by itself: a
    repeated compare-and-swap would report its own first attempt as a conflict.

    :param address: host and port of the key-value service.
    :param rng: random numbers that spread the retries of the processes after
        an outage.
    :param limits: limits for the calls; the defaults if None.
    :param clock: clock on which deadlines are given.
    """

    def __init__(
        self,
        address: str,
        rng: random.Random | None = None,
        limits: GuardLimits | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or Clock()
        self._address = address
        self.guard = CallGuard(rng or random.Random(), limits)
        self._http: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._http is not None:
            await self._http.close()
            self._http = None

    async def get(self, key: str, deadline: float) -> KeyValue | None:
        """Read one key; None if it does not exist."""
        status, body = await self._call(
            "get", "GET", "/v1/value", {"key": key}, deadline
        )
        if status == 404:
            return None
        return self._decode("get", body, KeyValue)

    async def list(self, prefix: str, deadline: float) -> KeyListing:
        """Read all keys that start with ``prefix``."""
        _, body = await self._call(
            "list", "GET", "/v1/list", {"prefix": prefix}, deadline
        )
        return self._decode("list", body, KeyListing)

    async def swap(
        self,
        key: str,
        value: bytes | None,
        expected: int,
        deadline: float,
        lease: str = "",
    ) -> KeyValue | None:
        """Write a key if its version is as expected.

        :return: None if written, else the present key and value.
        """
        params = {"key": key, "expected": str(expected)}
        if lease:
            params["lease"] = lease
        if value is None:
            params["delete"] = "1"
        status, body = await self._call(
            "swap", "POST", "/v1/swap", params, deadline, value or b""
        )
        if status == 200:
            return None
        return self._decode("swap", body, KeyValue)

    async def grant_lease(self, ttl_s: float, deadline: float) -> str:
        """Create a lease that expires ``ttl_s`` seconds after a renewal."""
        params = {"ttl_s": str(ttl_s)}
        _, body = await self._call(
            "grant", "POST", "/v1/lease/grant", params, deadline
        )
        return self._decode("grant", body, _GrantedLease).lease

    async def renew_lease(self, lease: str, deadline: float) -> bool:
        """Renew a lease; False if it has expired."""
        status, _ = await self._call(
            "renew", "POST", "/v1/lease/renew", {"lease": lease}, deadline
        )
        return status != 404

    async def revoke_lease(self, lease: str, deadline: float) -> None:
        """End a lease and delete its keys."""
        await self._call(
            "revoke", "POST", "/v1/lease/revoke", {"lease": lease}, deadline
        )

    async def watch(
        self, prefix: str, after: int, deadline: float
    ) -> KeyListing | None:
        """Wait for a change under a prefix after a revision of the store.

        :return: the keys after the change; None if nothing has changed by the
            deadline.
        """
        wait_s = max(0.0, deadline - self._clock.now())
        params = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        status, body = await self._call(
            "watch", "GET", "/v1/watch", params, deadline + WATCH_GRACE_S
        )
        if status == 204:
            return None
        return self._decode("watch", body, KeyListing)

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        params: Mapping[str, str],
        deadline: float,
        body: bytes = b"",
    ) -> tuple[int, bytes]:
        """Make one call if the guard admits it, and report its result to it.

        :param kind: name of the call, for the guard and for errors.
        :return: status and body of the answer.
        :raises StoreError: if the call was not made, was refused, or has no
            usable answer.
        """
        now = self._clock.now()
        if deadline <= now:
            raise self._error(kind, "the deadline has passed")
        deferred = self.guard.admit(kind, now)
        if deferred is not None:
            raise self._error(kind, _describe_deferral(deferred, now))
        try:
            status, answer, retry_at = await self._send(
                method, path, params, deadline, body
            )
        except aiohttp.ClientConnectorError as exc:
            self.guard.failed(kind, self._clock.now())
            raise self._error(kind, str(exc)) from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            self.guard.failed(kind, self._clock.now())
            detail = str(exc) or "no answer by the deadline"
            raise self._error(kind, detail, maybe_applied=True) from exc
        if status < 500 and status not in REFUSED_STATUSES:
            self.guard.succeeded(kind)
            return status, answer
        if status != 400:
            self.guard.failed(kind, self._clock.now(), retry_at)
        detail = f"answered {status}: {answer[:200].decode(errors='replace')}"
        raise self._error(
            kind, detail, maybe_applied=status not in REFUSED_STATUSES
        )

    async def _send(
        self,
        method: str,
        path: str,
        params: Mapping[str, str],
        deadline: float,
        body: bytes,
    ) -> tuple[int, bytes, float]:
        """Send one request.

        :return: status and body of the answer, and the Unix seconds before
            which the service asked not to be called; 0 if it did not ask.
        """
        timeout = aiohttp.ClientTimeout(total=deadline - self._clock.now())
        async with self._session().request(
            method,
            f"http://{self._address}{path}",
            params=params,
            data=body or None,
            timeout=timeout,
        ) as response:
            answer = await response.read()
            wait_s = response.headers.get("retry-after", "0")
            retry_at = (
                self._clock.now() + float(wait_s) if wait_s != "0" else 0.0
            )
            return response.status, answer, retry_at

    def _session(self) -> aiohttp.ClientSession:
        if self._http is None:
            connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
            self._http = aiohttp.ClientSession(connector=connector)
        return self._http

    def _decode(self, kind: str, body: bytes, type_: type[T]) -> T:
        try:
            return msgspec.json.decode(body, type=type_)
        except msgspec.MsgspecError as exc:
            detail = f"the answer cannot be decoded: {exc}"
            raise self._error(kind, detail, maybe_applied=True) from exc

    def _error(
        self, kind: str, detail: str, maybe_applied: bool = False
    ) -> StoreError:
        """Return the error of a call; only a write may have been applied."""
        return StoreError(
            f"the key-value service did not serve '{kind}': {detail}",
            step=f"store-{kind}",
            peer=self._address,
            maybe_applied=maybe_applied and kind in WRITE_CALLS,
        )


WRITE_CALLS = frozenset({"swap", "grant", "renew", "revoke"})


def _describe_deferral(deferred: Deferred, now: float) -> str:
    wait_s = deferred.retry_at - now
    return f"not called ({deferred.reason}), next try in {wait_s:.2f} s"
