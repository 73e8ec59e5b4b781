"""A stand-in for the platform's key-value service, without I/O.

Time is an argument, so that tests can run it in virtual time. Faults are
state of the core: it decides what happens to a call, and a shell carries it
out.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from briarford.store import KeyListing, KeyValue

__all__ = ["CallDecision", "Faults", "KvCore", "SwapReply"]

MAX_VALUE_BYTES = 1_000_000
CHANGE_LOG_LENGTH = 10_000


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults that are in force.

    :param down: every call is answered at once with an error, no effect.
    :param silent: no call is answered or takes effect.
    :param delay_s: every call takes this much longer.
    :param lost_answers: as many of the next writes take effect and are not
        answered.
    :param lost_share: share of writes that take effect and are not answered.
    :param calls_per_s: calls above this rate are refused; 0 for no limit.
    :param silent_watches: watches are not answered.
    :param stale_reads: reads show the state at the time this was set.
    """

    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    lost_share: float = 0.0
    calls_per_s: float = 0.0
    silent_watches: bool = False
    stale_reads: bool = False


@dataclass(slots=True, frozen=True)
class CallDecision:
    """What is to become of one call.

    :param effect: whether the call is carried out.
    :param answer: whether its caller hears of it.
    :param refusal: why it is refused, empty if it is not.
    :param delay_s: seconds by which its effect and answer are delayed.
    """

    effect: bool = True
    answer: bool = True
    refusal: str = ""
    delay_s: float = 0.0


@dataclass(slots=True, frozen=True)
class SwapReply:
    """The answer to a compare-and-swap.

    :param written: whether the value was written.
    :param found: what is there now, version 0 if there is no key.
    """

    written: bool
    found: KeyValue


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


class KvCore:
    """Keys with versions, leases, watches and faults.

    :param rng: decides which calls a fault of a share hits.
    """

    __slots__ = (
        "_call_tokens",
        "_call_tokens_at",
        "_changes",
        "_items",
        "_lease_by_key",
        "_leases",
        "_leases_granted",
        "_on_change",
        "_rng",
        "_stale_items",
        "_stale_revision",
        "calls",
        "faults",
        "revision",
    )

    def __init__(self, rng: random.Random) -> None:
        self.revision = 0
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._rng = rng
        self._on_change: Callable[[], None] | None = None
        self._items: dict[str, KeyValue] = {}
        self._leases: dict[str, _Lease] = {}
        self._lease_by_key: dict[str, str] = {}
        self._leases_granted = 0
        self._changes: deque[tuple[int, str]] = deque(maxlen=CHANGE_LOG_LENGTH)
        self._stale_items: dict[str, KeyValue] | None = None
        self._stale_revision = 0
        self._call_tokens = 0.0
        self._call_tokens_at = 0.0

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call back at each change, in place of an earlier subscriber."""
        self._on_change = on_change

    def _notify(self) -> None:
        if self._on_change is not None:
            self._on_change()

    def set_faults(self, faults: Faults, now: float) -> None:
        """Put faults in force in place of the ones before."""
        if faults.stale_reads and not self.faults.stale_reads:
            self._stale_items = dict(self._items)
            self._stale_revision = self.revision
        if not faults.stale_reads:
            self._stale_items = None
        self.faults = faults
        self._call_tokens = faults.calls_per_s
        self._call_tokens_at = now
        self._notify()

    def decide_call(self, kind: str, now: float) -> CallDecision:
        """Count a call and decide what becomes of it.

        :param kind: name of the call, as in ``swap``.
        """
        self.calls[kind] += 1
        faults = self.faults
        if faults.silent or (kind == "watch" and faults.silent_watches):
            return CallDecision(effect=False, answer=False)
        if faults.down:
            return CallDecision(effect=False, refusal="down")
        if not self._take_call_token(now):
            return CallDecision(effect=False, refusal="rate-limited")
        if kind == "swap" and self._draw_lost_answer():
            return CallDecision(answer=False, delay_s=faults.delay_s)
        return CallDecision(delay_s=faults.delay_s)

    def _take_call_token(self, now: float) -> bool:
        rate = self.faults.calls_per_s
        if not rate:
            return True
        refilled = (now - self._call_tokens_at) * rate
        self._call_tokens = min(rate, self._call_tokens + refilled)
        self._call_tokens_at = now
        if self._call_tokens < 1.0:
            return False
        self._call_tokens -= 1.0
        return True

    def _draw_lost_answer(self) -> bool:
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return True
        return self._rng.random() < self.faults.lost_share

    def get(self, key: str, now: float) -> KeyValue | None:
        """Read one key."""
        self.expire(now)
        items = self._items if self._stale_items is None else self._stale_items
        return items.get(key)

    def list(self, prefix: str, now: float) -> KeyListing:
        """Read all keys under a prefix."""
        self.expire(now)
        if self._stale_items is not None:
            return _list_prefix(
                self._stale_items, prefix, self._stale_revision
            )
        return _list_prefix(self._items, prefix, self.revision)

    def swap(
        self,
        key: str,
        value: bytes | None,
        expected: int,
        now: float,
        lease: str = "",
    ) -> SwapReply:
        """Write or delete a key if its version is as expected.

        :param value: the new value; None deletes the key.
        :param expected: version that must be there; 0 if no key must be.
        :raises ValueError: if the value is too large or the lease is gone.
        """
        self.expire(now)
        found = self._items.get(key, KeyValue(key, b"", 0))
        if found.version != expected:
            return SwapReply(False, found)
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {len(value)} bytes is too large")
        if lease and lease not in self._leases:
            raise ValueError(f"lease '{lease}' has lapsed")
        if value is None:
            self._delete(key)
            return SwapReply(True, KeyValue(key, b"", 0))
        written = KeyValue(key, value, expected + 1)
        self._items[key] = written
        self._attach_lease(key, lease)
        self._log_change(key)
        return SwapReply(True, written)

    def _attach_lease(self, key: str, lease: str) -> None:
        previous = self._lease_by_key.pop(key, "")
        if previous in self._leases:
            self._leases[previous].keys.discard(key)
        if lease:
            self._lease_by_key[key] = lease
            self._leases[lease].keys.add(key)

    def _delete(self, key: str) -> None:
        self._attach_lease(key, "")
        if self._items.pop(key, None) is not None:
            self._log_change(key)

    def _log_change(self, key: str) -> None:
        self.revision += 1
        self._changes.append((self.revision, key))
        self._notify()

    def grant_lease(self, ttl_s: float, now: float) -> str:
        """Make a lease that lapses unless it is renewed."""
        self.expire(now)
        self._leases_granted += 1
        lease = f"lease-{self._leases_granted}"
        self._leases[lease] = _Lease(ttl_s, now + ttl_s)
        return lease

    def renew_lease(self, lease: str, now: float) -> bool:
        """Renew a lease; False if it has lapsed."""
        self.expire(now)
        if lease not in self._leases:
            return False
        self._leases[lease].expires_at = now + self._leases[lease].ttl_s
        return True

    def revoke_lease(self, lease: str, now: float) -> None:
        """End a lease and delete its keys."""
        self.expire(now)
        self._remove_lease(lease)

    def lapse_leases(self) -> None:
        """Let every lease lapse, as if its holder had been paused."""
        for lease in list(self._leases):
            self._remove_lease(lease)

    def expire(self, now: float) -> None:
        """End the leases that were not renewed in time."""
        for lease in [
            k for k, v in self._leases.items() if v.expires_at <= now
        ]:
            self._remove_lease(lease)

    def next_expiry(self) -> float | None:
        """Return when the next lease lapses; None without leases."""
        return min((v.expires_at for v in self._leases.values()), default=None)

    def _remove_lease(self, lease: str) -> None:
        if lease not in self._leases:
            return
        for key in sorted(self._leases[lease].keys):
            self._delete(key)
        del self._leases[lease]

    def poll_watch(
        self, prefix: str, after: int, now: float
    ) -> KeyListing | None:
        """Return the listing if a key under a prefix changed after a revision.

        A revision that is too old for the log of changes, or that this
        store has not reached, counts as a change.
        """
        self.expire(now)
        if not self._has_changed(prefix, after):
            return None
        return _list_prefix(self._items, prefix, self.revision)

    def _has_changed(self, prefix: str, after: int) -> bool:
        if after > self.revision:
            return True
        if self._changes and after < self._changes[0][0] - 1:
            return True
        for revision, key in reversed(self._changes):
            if revision <= after:
                return False
            if key.startswith(prefix):
                return True
        return False


def _list_prefix(
    items: dict[str, KeyValue], prefix: str, revision: int
) -> KeyListing:
    selected = [items[key] for key in sorted(items) if key.startswith(prefix)]
    return KeyListing(revision, tuple(selected))
