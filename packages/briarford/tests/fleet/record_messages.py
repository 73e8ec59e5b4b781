"""Writes the messages of this build as a build of another time gets them.

The frames between entries and agents, and the record of an agent in the
store, each with values in all fields. The files of the builds in service are
kept beside the tests, which read them with the code of today:

    PYTHONPATH=packages/briarford/tests python -m fleet.record_messages NAME
"""

from __future__ import annotations

import base64
import json
import sys
from pathlib import Path
from typing import Any

import msgspec

from briarford.evacuations import KnownEvacuations, ZoneState
from briarford.messages import encode
from briarford.runs import (
    AgentBatch,
    AgentHeartbeat,
    Attach,
    Attached,
    Capacity,
    CapacityOffer,
    Demand,
    EntryBatch,
    EntryHeartbeat,
    LossState,
    RunEnd,
    RunEnded,
    StartRun,
    StopRun,
    UnreportedFailure,
    WorkerLoss,
    WorkerReport,
    WorkerStatus,
)
from briarford_daemon.fleet.registry import AgentRecord

FOLDER = Path(__file__).parent / "data"

KNOWN = KnownEvacuations(7, (ZoneState("z", 5, True),))
ENTRY_MESSAGES = [
    Attach("e", "i1", 3, 41.5, 12),
    StartRun(
        5, "j.0.0.1", 9, "p", 3100, 64, 1, 0.4, False, 41.5, 120, 900, True
    ),
    StartRun(6, "j.0.0.2", 9, "", 3100, 64, 1, 0.4, True, 41.5),
    StopRun(5),
    Demand(3100, 0.25, True),
    EntryHeartbeat(41.5, 12, KNOWN),
]
AGENT_MESSAGES = [
    Attached("a", "i2", (5, 6), 42.5),
    WorkerStatus(
        "w", "s", "z", ("r1",), True, 8000, 100, 64, 1, 1.2, 6, 200, "j", 99
    ),
    AgentHeartbeat(
        42.5, KNOWN, (WorkerLoss("w/99", LossState.CRASHED, ("j.0.0.1",)),)
    ),
    *(RunEnded(n, n, how, 0.4) for n, how in enumerate(RunEnd)),
    UnreportedFailure("j.0.0.1", 9),
    CapacityOffer(3100),
]
WORKER = WorkerReport(
    "w", 99, "s", "10.0.0.1:1", "z", Capacity(8000, 64, 1), ("r1",), True, 7, 8
)
RECORD = AgentRecord("10.0.0.2:1", WORKER, 1.2, "i2")


def plain(messages: list[Any]) -> list[dict[str, Any]]:
    """Return the kinds and the fields of messages as JSON has them."""
    return [
        {
            "kind": type(message).__name__,
            **json.loads(msgspec.json.encode(msgspec.structs.asdict(message))),
        }
        for message in messages
    ]


def record() -> dict[str, Any]:
    """Return what this build sends and stores, with what it means."""
    return {
        "entry": base64.b64encode(
            encode(EntryBatch(tuple(ENTRY_MESSAGES)))
        ).decode(),
        "entry_fields": plain(ENTRY_MESSAGES),
        "agent": base64.b64encode(
            encode(AgentBatch(tuple(AGENT_MESSAGES)))
        ).decode(),
        "agent_fields": plain(AGENT_MESSAGES),
        "record": msgspec.json.encode(RECORD).decode(),
    }


if __name__ == "__main__":
    FOLDER.mkdir(exist_ok=True)
    target = FOLDER / f"messages-{sys.argv[1]}.json"
    target.write_text(json.dumps(record(), indent=1) + "\n")
