"""Measures how soon all processes adopt a change of the preset record.

Changes are written to the key-value stand-in one after the other, with and
without faults of it; each case prints a row of a Markdown table.

Run as ``python -m briarford_bench.kv_propagation CHANGES [CASE ...]``.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from briarford.presets import (
    PRESET_KEY,
    Edit,
    Record,
    apply_change,
    encode_record,
    make_default_record,
)
from briarford_bench.backend_core import BackendProfile
from briarford_bench.stack import Stack
from briarford_daemon.store_client import HttpStore

__all__ = ["Case", "CaseResult", "measure_case"]

ENTRIES = 3
WORKERS = 11
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
POLL_PERIOD_S = 0.001
ADOPTION_TIMEOUT_S = 20.0
NOT_ADOPTED_S = float("inf")
SETTLE_S = 2.0
CALL_TIMEOUT_S = 30.0


@dataclass(slots=True, frozen=True)
class Case:
    """One fault of the key-value service under which changes are made.

    :param name: name of the case, as printed and as given on the command
        line.
    :param faults: faults of the stand-in while processes adopt a change.
    :param clear_after_s: seconds from the change to the end of the faults; 0
        if they last until all processes have adopted it or the time-out.
    :param before: whether the faults already begin before the change.
    """

    name: str
    faults: dict[str, Any] = field(default_factory=dict)
    clear_after_s: float = 0.0
    before: bool = False


@dataclass(slots=True)
class CaseResult:
    """Measurements of one case.

    :param entry_s: for each change and entry, seconds from the change until
        the entry had adopted it; infinite if it did not in time.
    :param agent_s: the same for each change and agent.
    :param calls: number of calls to the key-value service, by kind.
    :param elapsed_s: seconds during which the calls were counted.
    """

    entry_s: list[float] = field(default_factory=list)
    agent_s: list[float] = field(default_factory=list)
    calls: Counter[str] = field(default_factory=Counter)
    elapsed_s: float = 0.0


CASES = (
    Case("no fault"),
    Case("watches silent", {"silent_watches": True}),
    Case("every call 0.5 s slower", {"delay_s": 0.5}, before=True),
    Case("down for 3 s after the change", {"down": True}, 3.0),
    Case("down for 10 s after the change", {"down": True}, 10.0),
    Case("silent for 10 s after the change", {"silent": True}, 10.0),
)


async def measure_case(case: Case, changes: int, seed: int) -> CaseResult:
    """Make changes one after the other and time their adoption.

    :param changes: number of changes.
    :param seed: seed of the stand-ins and of the pauses between changes.
    """
    rng = random.Random(seed)
    profiles = [BackendProfile(service="lease-desk") for _ in range(WORKERS)]
    stack = Stack(ENTRIES, profiles, ZONES, seed)
    await stack.start()
    store = HttpStore(stack.store.address)
    try:
        return await _measure(stack, store, case, changes, rng)
    finally:
        await store.close()
        await stack.stop()


async def _measure(
    stack: Stack,
    store: HttpStore,
    case: Case,
    changes: int,
    rng: random.Random,
) -> CaseResult:
    record = make_default_record()
    found = await store.get(PRESET_KEY, time.time() + CALL_TIMEOUT_S)
    key_version = found.version if found else 0
    if found is None:
        await _write(store, record, 0)
        key_version = 1
    await _wait_until_adopted(stack, record.version, time.monotonic())
    result = CaseResult()
    started_at = time.monotonic()
    stack.store.core.calls.clear()
    for number in range(changes):
        if case.before:
            stack.store.set_faults(**case.faults)
            await asyncio.sleep(SETTLE_S)
        await asyncio.sleep(rng.uniform(0.0, SETTLE_S))
        record = _make_change(record, number)
        await _write(store, record, key_version + number)
        written_at = time.monotonic()
        stack.store.set_faults(**case.faults)
        clear_task = asyncio.create_task(
            _clear_faults_after(stack, case.clear_after_s)
        )
        entry_s, agent_s = await _wait_until_adopted(
            stack, record.version, written_at
        )
        await clear_task
        result.entry_s += entry_s
        result.agent_s += agent_s
        stack.store.set_faults()
    result.elapsed_s = time.monotonic() - started_at
    result.calls = Counter(stack.store.core.calls)
    return result


async def _clear_faults_after(stack: Stack, after_s: float) -> None:
    if after_s:
        await asyncio.sleep(after_s)
        stack.store.set_faults()


def _make_change(record: Record, number: int) -> Record:
    name = "peak" if record.active != "peak" else "ordinary"
    return apply_change(
        record,
        (Edit(("active",), record.active, name),),
        change_id=f"change-{number}",
        who="bench",
        why="measure how soon it is in force",
        when=time.time(),
    )


async def _write(store: HttpStore, record: Record, expected: int) -> None:
    found = await store.swap(
        PRESET_KEY,
        encode_record(record),
        expected,
        time.time() + CALL_TIMEOUT_S,
    )
    if found is not None:
        raise RuntimeError(
            f"preset record not written: the store has version {found.version}"
        )


async def _wait_until_adopted(
    stack: Stack, version: int, changed_at: float
) -> tuple[list[float], list[float]]:
    """Wait until each process has adopted a version, or the time-out.

    :param changed_at: monotonic seconds of the change.
    :return: seconds from the change to the adoption by each entry and by
        each agent; infinite for a process that has not adopted it.
    """
    entries = [e.daemon.core for e in stack.entries]
    agents = [w.agent.daemon.core for w in stack.workers]
    waiting: list[Any] = [*entries, *agents]
    adopted_after_s = dict.fromkeys(map(id, waiting), NOT_ADOPTED_S)
    now = time.monotonic()
    while waiting and now < changed_at + ADOPTION_TIMEOUT_S:
        now = time.monotonic()
        for core in [c for c in waiting if c.preset_version >= version]:
            adopted_after_s[id(core)] = now - changed_at
            waiting.remove(core)
        await asyncio.sleep(POLL_PERIOD_S)
    return [adopted_after_s[id(c)] for c in entries], [
        adopted_after_s[id(c)] for c in agents
    ]


def _format_row(case: Case, result: CaseResult) -> str:
    calls = sum(result.calls.values()) / result.elapsed_s / ENTRIES
    kinds = ", ".join(f"{k} {n}" for k, n in sorted(result.calls.items()))
    return (
        f"| {case.name} | {_format_delays(result.entry_s)} "
        f"| {_format_delays(result.agent_s)} | {calls:.2f} "
        f"| {kinds} in {result.elapsed_s:.0f} s |"
    )


def _format_delays(seconds: list[float]) -> str:
    adopted = [s for s in seconds if s != NOT_ADOPTED_S]
    if len(adopted) < len(seconds):
        return f"{len(adopted)} of {len(seconds)} in {ADOPTION_TIMEOUT_S:g} s"
    median = statistics.median(adopted) * 1000
    return f"{median:.0f} / {max(adopted) * 1000:.0f}"


async def _main(changes: int, names: list[str]) -> None:
    print(
        "| fault | entries, median / max ms | agents, median / max ms "
        "| store calls per s and entry | calls |"
    )
    print("|---|---|---|---|---|")
    for seed, case in enumerate(CASES):
        if names and case.name not in names:
            continue
        result = await measure_case(case, changes, seed)
        print(_format_row(case, result), flush=True)


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1]), sys.argv[2:]))
