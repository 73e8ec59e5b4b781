"""Collects what one side of a session sends with its next batch."""

from __future__ import annotations

from dataclasses import dataclass, field

from briarford.jobs.messages import TaskRef
from briarford.sessions.messages import (
    AgentBatch,
    EntryAddress,
    EntryBatch,
    Hello,
    StartTask,
    TaskReport,
    TaskResult,
    Welcome,
    WorkerInfo,
)

__all__ = ["AgentOutbox", "EntryOutbox"]


@dataclass(slots=True)
class EntryOutbox:
    """Collects the contents of an :class:`EntryBatch`.

    :param urgent: whether the batch is sent in this loop turn;
        acknowledgements alone wait for the next batch or heartbeat.
    """

    welcome: Welcome | None = None
    starts: list[StartTask] = field(default_factory=list)
    cancels: list[TaskRef] = field(default_factory=list)
    acks: list[TaskRef] = field(default_factory=list)
    returned: int = 0
    entries: tuple[EntryAddress, ...] = ()
    preset: bytes = b""
    urgent: bool = False

    def build(
        self, seq: int, demand: int, stopping: bool, received_seq: int
    ) -> EntryBatch:
        """Build the batch; the caller replaces the outbox afterwards.

        :param seq: number of the batch in its session.
        :param demand: number of tasks that wait for a slot.
        :param stopping: whether the entry is about to stop.
        :param received_seq: number of the last batch received.
        """
        return EntryBatch(
            seq=seq,
            welcome=self.welcome,
            starts=tuple(self.starts),
            cancels=tuple(self.cancels),
            acks=tuple(self.acks),
            returned=self.returned,
            demand=demand,
            stopping=stopping,
            entries=self.entries,
            preset=self.preset,
            received_seq=received_seq,
        )


@dataclass(slots=True)
class AgentOutbox:
    """Collects the contents of an :class:`AgentBatch`.

    :param urgent: whether the batch is sent in this loop turn.
    """

    hello: Hello | None = None
    worker: WorkerInfo | None = None
    reports: list[TaskReport] = field(default_factory=list)
    results: list[TaskResult] = field(default_factory=list)
    credits: int = 0
    recall: int = 0
    urgent: bool = False

    def build(
        self, seq: int, leaving: bool, preset_version: int
    ) -> AgentBatch:
        """Build the batch; the caller replaces the outbox afterwards.

        :param seq: number of the batch in its session.
        :param leaving: whether the backend server accepts no new work.
        :param preset_version: version of the preset record in force.
        """
        return AgentBatch(
            seq=seq,
            hello=self.hello,
            worker=self.worker,
            reports=tuple(self.reports),
            results=tuple(self.results),
            credits=self.credits,
            recall=self.recall,
            leaving=leaving,
            preset_version=preset_version,
        )
