"""Tracks the capacity of one worker that runs use or that is offered.

When tasks wait at several entries for the same worker, freed capacity is
offered to the entry with the most urgent task. It stays reserved while the
offer and the answer travel, so that two entries do not race for it.
"""

from __future__ import annotations

from briarford.runs.worker import Capacity

__all__ = ["OFFER_TTL_S", "CapacityTracker"]

# A round trip between availability zones takes 3 ms; the rest is for an entry
# that is busy when the offer arrives.
OFFER_TTL_S = 0.05


class CapacityTracker:
    """Counts the used and the offered capacity of a worker.

    :param total: capacity of the worker.
    """

    __slots__ = ("_offers", "total", "used_cpu", "used_gpu", "used_memory")

    def __init__(self, total: Capacity) -> None:
        self.total = total
        self.used_cpu = 0
        self.used_memory = 0
        self.used_gpu = 0
        self._offers: dict[str, tuple[int, float]] = {}

    def allocate(self, need: Capacity) -> None:
        """Add what a run uses."""
        self.used_cpu += need.cpu
        self.used_memory += need.memory_mb
        self.used_gpu += need.gpu

    def release(self, need: Capacity) -> None:
        """Subtract what an ended run has used."""
        self.used_cpu -= need.cpu
        self.used_memory -= need.memory_mb
        self.used_gpu -= need.gpu

    def free_cpu(self, now: float) -> int:
        """Return the thousandths of processors neither used nor offered."""
        free = self.total.cpu - self.used_cpu
        if self._offers:
            self._expire(now)
            free -= sum(cpu for cpu, _ in self._offers.values())
        return max(0, free)

    @property
    def spare_cpu(self) -> int:
        """Thousandths of processors that no run uses, offered or not."""
        return max(0, self.total.cpu - self.used_cpu)

    @property
    def free_memory(self) -> int:
        """Megabytes of memory that no run uses."""
        return max(0, self.total.memory_mb - self.used_memory)

    @property
    def free_gpu(self) -> int:
        """Accelerators that no run uses."""
        return max(0, self.total.gpu - self.used_gpu)

    def fits(self, need: Capacity, entry: str, now: float) -> bool:
        """Whether a run of an entry fits, given what is offered to others.

        Offers may exceed a capacity that has shrunk since; nobody may use
        more than is left.
        """
        self._expire(now)
        offered = sum(
            cpu for e, (cpu, _) in self._offers.items() if e != entry
        )
        return (
            need.cpu <= self.total.cpu - self.used_cpu - offered
            and need.memory_mb <= self.free_memory
            and need.gpu <= self.free_gpu
        )

    def offer(self, entry: str, cpu: int, now: float) -> None:
        """Reserve processors for an entry until the offer expires.

        :param cpu: thousandths of a processor.
        """
        self._offers[entry] = (cpu, now + OFFER_TTL_S)

    def has_offer(self, entry: str) -> bool:
        """Whether an entry has an open offer."""
        return entry in self._offers

    def close_offer(self, entry: str) -> None:
        """Close the offer of an entry, which was used or is void."""
        self._offers.pop(entry, None)

    def close_offers(self) -> None:
        """Close all offers, as the worker leaves."""
        self._offers.clear()

    def next_expiry(self) -> float | None:
        """Return when the next offer expires, or None without offers."""
        if not self._offers:
            return None
        return min(until for _, until in self._offers.values())

    def _expire(self, now: float) -> None:
        for entry, (_, until) in list(self._offers.items()):
            if until <= now:
                del self._offers[entry]
