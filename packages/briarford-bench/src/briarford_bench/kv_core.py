"""A stand-in for the platform's key-value service, without I/O.

Time is an argument, so that tests can run it in virtual time. The faults are
part of its state: the core decides what happens to each call, and the server
around it (:mod:`briarford_bench.kv_server`) drops, delays or answers the call
accordingly.
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

    :param down: every call is answered at once with an error and has no
        effect.
    :param silent: no call is answered, and none has an effect.
    :param delay_s: seconds by which every call is delayed.
    :param lost_answers: number of next writes that take effect but are not
        answered.
    :param lost_share: share of writes that take effect but are not answered,
        0 to 1.
    :param calls_per_s: calls above this rate are refused; 0 for no limit.
    :param silent_watches: watches are not answered.
    :param stale_reads: reads return the state at the time this was set.
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
    """What the server does with one call under the current faults.

    :param effect: whether the call is carried out.
    :param answer: whether its caller gets an answer.
    :param refusal: reason to refuse the call; empty if it is not refused.
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
    :param found: the key as it is now; version 0 if it does not exist.
    """

    written: bool
    found: KeyValue


@dataclass(slots=True)
class _Lease:
    """A lease and the keys that are deleted when it expires."""

    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


class KvCore:
    """A store of versioned keys with leases, watches and injected faults.

    :param rng: draws the writes whose answer is lost if ``lost_share`` is
        set.
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
        """Call a function after each change of a key or of the faults.

        It replaces an earlier subscriber.
        """
        self._on_change = on_change

    def _notify(self) -> None:
        if self._on_change is not None:
            self._on_change()

    def set_faults(self, faults: Faults, now: float) -> None:
        """Replace the faults in force."""
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
        """Count a call and decide what the server does with it.

        :param kind: name of the call, such as ``swap``.
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
        """Apply the rate limit, a token bucket that holds one second of calls.

        :return: whether the call is within the limit.
        """
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
        """Decide whether a write takes effect but is not answered."""
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return True
        return self._rng.random() < self.faults.lost_share

    def get(self, key: str, now: float) -> KeyValue | None:
        """Return one key; None if it does not exist."""
        self.expire(now)
        items = self._items if self._stale_items is None else self._stale_items
        return items.get(key)

    def list(self, prefix: str, now: float) -> KeyListing:
        """Return all keys with a prefix."""
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
        """Write or delete a key if it has the expected version.

        :param value: the new value; None deletes the key.
        :param expected: version that the key must have; 0 if it must not
            exist.
        :param lease: lease that deletes the key when it expires; empty for
            none.
        :raises ValueError: if the value is too large or the lease has
            expired.
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
        """Attach a key to a lease in place of its previous one, if any."""
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
        """Return the id of a new lease, which expires unless it is renewed."""
        self.expire(now)
        self._leases_granted += 1
        lease = f"lease-{self._leases_granted}"
        self._leases[lease] = _Lease(ttl_s, now + ttl_s)
        return lease

    def renew_lease(self, lease: str, now: float) -> bool:
        """Extend a lease by its duration; False if it has expired."""
        self.expire(now)
        if lease not in self._leases:
            return False
        self._leases[lease].expires_at = now + self._leases[lease].ttl_s
        return True

    def revoke_lease(self, lease: str, now: float) -> None:
        """Remove a lease and delete its keys."""
        self.expire(now)
        self._remove_lease(lease)

    def lapse_leases(self) -> None:
        """Expire every lease, as if its holder had been paused too long."""
        for lease in list(self._leases):
            self._remove_lease(lease)

    def expire(self, now: float) -> None:
        """Remove the leases that were not renewed in time, with their keys."""
        for lease in [
            k for k, v in self._leases.items() if v.expires_at <= now
        ]:
            self._remove_lease(lease)

    def next_expiry(self) -> float | None:
        """Return when the next lease expires; None if there is no lease."""
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
        """Return the keys with a prefix if one changed after a revision.

        None if none changed. It counts as a change if the log of changes no
        longer reaches back to the revision, or if the store has not reached
        it (the caller has seen another store).
        """
        self.expire(now)
        if not self._has_changed(prefix, after):
            return None
        return _list_prefix(self._items, prefix, self.revision)

    def _has_changed(self, prefix: str, after: int) -> bool:
        """Whether an item under a prefix may have changed after a revision.

        True as well if the change log does not reach back to that revision, or
        if the revision is not one of this store.
        """
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
