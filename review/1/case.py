"""An order to stop a run is lost with its connection and not repeated."""

from __future__ import annotations

import asyncio
from pathlib import Path

from stand_ins import (
    LinkProxy,
    Work,
    read_message,
    reset,
    send_request,
    wait_for_any,
)
from system import (
    CLIENT,
    PREFIX,
    System,
    job_body,
    new_id,
    overlaps,
    run_case,
    step,
)

RESEND_S = 1.3  # retransmit_ms
WORK_S = 1.8  # of swap-approval
RESET_AFTER_S = 0.2


async def case(system: System, trouble: bool) -> list[str]:
    """Reset two connections of an entry; its client sends the job again."""
    proxies: list[LinkProxy] = []
    addresses: dict[str, str] = {}

    async def make_proxies() -> None:
        for agent in system.agents:
            target = f"{agent.ip}:{agent.rpc_port}"
            proxy = LinkProxy(target)
            await proxy.start(agent.ip)
            proxies.append(proxy)
            addresses[target] = proxy.address

    await system.start(
        2, 4, addresses={0: addresses}, agents_made=make_proxies
    )
    first, second = system.entries
    record = system.record
    job = new_id()
    system.work[job] = Work(3000, WORK_S)
    body = job_body([step(1, cpu=3000, estimated_ms=int(WORK_S * 1000))])
    for worker in system.workers:
        worker.has_started.clear()
    record.add(f"client sends {job} to {first.name}")
    reader, writer = await send_request(
        first.address, "POST", PREFIX + job, body, CLIENT
    )
    await wait_for_any([w.has_started for w in system.workers])
    await asyncio.sleep(RESET_AFTER_S)
    running = [n for n, w in enumerate(system.workers) if w.runs]
    record.add(f"it runs on {[system.workers[n].name for n in running]}")
    if trouble:
        reset(writer)
        count = sum(proxies[n].reset_all() for n in running)
        record.add(
            f"reset at {first.name}: the connection of the client and"
            f" {count} of {len(proxies)} to agents"
        )
        await asyncio.sleep(RESEND_S)
        record.add(f"client sends {job} again, it reaches {second.name}")
        reader, writer = await send_request(
            second.address, "POST", PREFIX + job, body, CLIENT
        )
    async with asyncio.timeout(20):
        status, _, data = await read_message(reader)
    record.add(f"client gets {status} {data.decode()}")
    writer.close()
    await asyncio.sleep(1.0)
    return overlaps(system.workers, job)


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
