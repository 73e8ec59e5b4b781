"""The capacity of one worker: what runs hold of it and what is offered.

Answers the load at which tasks wait at several entries for the same worker:
freed capacity is offered to the entry with the most urgent task and held for
it while the offer travels, so that two entries do not race for it.
"""

from __future__ import annotations

from briarford.runs.worker import Capacity

__all__ = ["OFFER_TTL_S", "CapacityTracker"]

# A round trip between zones takes 3 ms; the rest is for a busy entry.
OFFER_TTL_S = 0.05


class CapacityTracker:
    """Counts what is taken of a worker's capacity.

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
        """Count a run in."""
        self.used_cpu += need.cpu
        self.used_memory += need.memory_mb
        self.used_gpu += need.gpu

    def release(self, need: Capacity) -> None:
        """Count a run out."""
        self.used_cpu -= need.cpu
        self.used_memory -= need.memory_mb
        self.used_gpu -= need.gpu

    def free_cpu(self, now: float) -> int:
        """Return the processors that no run and no offer holds."""
        self._expire(now)
        offered = sum(cpu for cpu, _ in self._offers.values())
        return max(0, self.total.cpu - self.used_cpu - offered)

    @property
    def spare_cpu(self) -> int:
        """Processors that no run holds, offered or not."""
        return max(0, self.total.cpu - self.used_cpu)

    @property
    def free_memory(self) -> int:
        """Memory that no run holds."""
        return max(0, self.total.memory_mb - self.used_memory)

    @property
    def free_gpu(self) -> int:
        """Accelerators that no run holds."""
        return max(0, self.total.gpu - self.used_gpu)

    def fits(self, need: Capacity, entry: str, now: float) -> bool:
        """Whether an entry may start a run of this size."""
        free = self.free_cpu(now) + self._offered_to(entry)
        return (
            need.cpu <= free
            and need.memory_mb <= self.free_memory
            and need.gpu <= self.free_gpu
        )

    def offer(self, entry: str, cpu: int, now: float) -> None:
        """Reserve processors for an entry."""
        self._offers[entry] = (cpu, now + OFFER_TTL_S)

    def has_offer(self, entry: str) -> bool:
        """Whether something is reserved for an entry."""
        return entry in self._offers

    def settle_offer(self, entry: str) -> None:
        """End the reservation of an entry: it was used or declined."""
        self._offers.pop(entry, None)

    def next_expiry(self) -> float | None:
        """Return when the next offer expires."""
        if not self._offers:
            return None
        return min(until for _, until in self._offers.values())

    def _offered_to(self, entry: str) -> int:
        return self._offers.get(entry, (0, 0.0))[0]

    def _expire(self, now: float) -> None:
        for entry, (_, until) in list(self._offers.items()):
            if until <= now:
                del self._offers[entry]
