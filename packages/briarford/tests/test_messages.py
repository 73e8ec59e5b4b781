"""Encoding of the session messages between entries and agents."""

from __future__ import annotations

import msgspec
import pytest

from briarford.jobs import TaskRef
from briarford.messages import decode, encode
from briarford.sessions import (
    AgentBatch,
    EntryAddress,
    EntryBatch,
    Hello,
    StartTask,
    TaskReport,
    TaskResult,
    TaskStatus,
    Welcome,
    WorkerInfo,
)

REF = TaskRef("job", 3, 1)


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(AgentBatch(1), id="heartbeat-of-agent"),
        pytest.param(EntryBatch(1), id="heartbeat-of-entry"),
        pytest.param(
            AgentBatch(
                1,
                Hello("a", "i", 2, "z"),
                WorkerInfo("s", 8, 32.0, 64000),
                (TaskReport(REF, TaskStatus.RUNNING),),
                (TaskResult(REF, TaskStatus.DONE, b"{}", "", 51.5),),
                8,
                1,
                True,
                7,
            ),
            id="full-batch-of-agent",
        ),
        pytest.param(
            EntryBatch(
                1,
                Welcome("e", "i", (REF,), 9.5),
                (StartTask(REF, 12.5, b"1"),),
                (REF,),
                (REF,),
                2,
                3,
                True,
                (EntryAddress("e", "10.0.0.1:1"),),
                b"p",
            ),
            id="full-batch-of-entry",
        ),
    ],
)
def test_message_is_unchanged_after_encoding_and_decoding(message):
    assert decode(encode(message), type(message)) == message


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x90", b"\x91\xa1x"])
def test_malformed_bytes_are_rejected(data):
    with pytest.raises(msgspec.MsgspecError):
        decode(data, AgentBatch)


def test_fields_of_a_newer_sender_are_ignored():
    newer = msgspec.msgpack.encode(["job", 1, 0, "new"])
    assert decode(newer, TaskRef) == TaskRef("job", 1, 0)
