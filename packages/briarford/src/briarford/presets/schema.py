"""The structure of the record that operators change, with its ranges.

The record is stored as JSON under the names of these fields.
"""

from __future__ import annotations

import enum
from typing import Annotated, Any, TypeAlias

import msgspec
from msgspec import Meta

__all__ = [
    "FORMAT",
    "AdmissionMode",
    "Change",
    "Drain",
    "Edit",
    "Limits",
    "Name",
    "Path",
    "Placement",
    "Preset",
    "Quota",
    "Record",
    "WorkerName",
]

FORMAT = 1

Name: TypeAlias = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
WorkerName: TypeAlias = Annotated[
    str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,62}$")
]
Sentence: TypeAlias = Annotated[str, Meta(max_length=300)]
Reason: TypeAlias = Annotated[str, Meta(min_length=1, max_length=300)]
Person: TypeAlias = Annotated[str, Meta(min_length=1, max_length=64)]
ChangeId: TypeAlias = Annotated[str, Meta(min_length=1, max_length=64)]
Share: TypeAlias = Annotated[float, Meta(ge=0.0, le=1.0)]
Path: TypeAlias = tuple[str, ...]


class AdmissionMode(enum.StrEnum):
    """Which jobs an entry accepts.

    ``DEADLINE`` refuses a job whose estimated time does not fit before its
    deadline. ``BOUND`` makes no estimate. Both apply the queue bound.
    """

    DEADLINE = "deadline"
    BOUND = "bound"


class Quota(msgspec.Struct, frozen=True):
    """The share of the slots that one team may use.

    :param slots: largest number of tasks that the team runs at the same time,
        summed over all workers; None for no limit.
    :param weight: the team's share of the free slots, relative to the weights
        of the teams that compete for them.
    """

    slots: Annotated[int, Meta(ge=0, le=1_000_000)] | None
    weight: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0


class Placement(msgspec.Struct, frozen=True):
    """How entries choose a worker for a task and order waiting jobs.

    :param strategy: name of a registered placement strategy.
    :param zone_penalty_ms: how much sooner (milliseconds) a worker of another
        availability zone must end a task to be preferred.
    :param leave_slow_slots: whether a slow slot may stay empty when waiting
        for a fast one ends the job sooner.
    :param aging_weight: seconds of remaining work that each second of earlier
        arrival makes up for in the order of jobs; 0 orders them by remaining
        work alone.
    :param urgent_margin: a job goes first once the time to its deadline is
        less than this many times its estimated remaining time.
    """

    strategy: Annotated[str, Meta(min_length=1, max_length=64)]
    zone_penalty_ms: Annotated[float, Meta(ge=0.0, le=10_000.0)] = 3.0
    leave_slow_slots: bool = True
    aging_weight: Annotated[float, Meta(ge=0.0, le=100.0)] = 0.03
    urgent_margin: Annotated[float, Meta(ge=0.0, le=100.0)] = 2.0


class Limits(msgspec.Struct, frozen=True):
    """Bounds on queues, on retries and on how many workers guards may block.

    :param queue_bound: bound on the tasks of one service that wait at one
        entry.
    :param admission: whether a job's estimated time must fit before its
        deadline.
    :param admission_factor: safety factor on the waiting time in that
        estimate.
    :param retry_share: bound on retries, as a share of first attempts.
    :param guard_share: largest share of a service's workers that guards may
        withhold new work from.
    """

    queue_bound: Annotated[int, Meta(ge=1, le=10_000_000)] = 10_000
    admission: AdmissionMode = AdmissionMode.DEADLINE
    admission_factor: Annotated[float, Meta(ge=0.1, le=10.0)] = 2.0
    retry_share: Share = 0.1
    guard_share: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.3


class Preset(msgspec.Struct, frozen=True):
    """A named set of quotas, placement settings and limits.

    :param summary: a sentence that says when to use it.
    :param default_quota: the quota of a team that ``quotas`` does not name.
    :param quotas: quotas by team name.
    """

    summary: Sentence
    default_quota: Quota
    placement: Placement
    limits: Limits
    quotas: dict[Name, Quota] = {}


class Drain(msgspec.Struct, frozen=True):
    """Why an operator has excluded a worker from new work.

    :param who: the operator.
    :param why: the reason, for other operators.
    :param since: Unix seconds.
    """

    who: Person
    why: Reason
    since: float


class Edit(msgspec.Struct, frozen=True, omit_defaults=True):
    """A change of one field or group of fields.

    :param path: the keys that lead to the field from the top of the record.
    :param old: the value before; ``msgspec.UNSET`` if there was none.
    :param new: the value after; ``msgspec.UNSET`` to remove the field.
    """

    path: Path
    old: Any = msgspec.UNSET
    new: Any = msgspec.UNSET

    @property
    def dotted(self) -> str:
        """The path with dots, as operators write it."""
        return ".".join(self.path)


class Change(msgspec.Struct, frozen=True):
    """An accepted change, as the history keeps it.

    :param change_id: identifies the change, so that a repeat of it has no
        effect.
    :param version: version of the record that resulted from it.
    :param who: the operator.
    :param why: the reason, for other operators.
    :param when: Unix seconds.
    """

    change_id: ChangeId
    version: int
    who: Person
    why: Reason
    when: float
    edits: tuple[Edit, ...]


class Record(msgspec.Struct, frozen=True):
    """All presets, which of them is in force, and the last changes.

    :param format: version of the record's structure. A tool does not edit a
        record of a newer format than its own, as it would drop the fields
        that it does not know.
    :param version: number of the record; each change raises it by one.
    :param active: name of the preset that is in force.
    :param presets: all presets by name.
    :param drains: drained workers by name; they get no new work whichever
        preset is in force.
    :param history: the last changes, oldest first.
    """

    format: Annotated[int, Meta(ge=1)]
    version: Annotated[int, Meta(ge=1)]
    active: Name
    presets: dict[Name, Preset]
    drains: dict[WorkerName, Drain] = {}
    history: tuple[Change, ...] = ()

    @property
    def in_force(self) -> Preset:
        """The preset that is in force."""
        return self.presets[self.active]

    def quota(self, team: str) -> Quota:
        """Return the quota that is in force for a team."""
        preset = self.in_force
        return preset.quotas.get(team, preset.default_quota)

    def find_change(self, change_id: str) -> Change | None:
        """Return a change of the history by its id; None if it has none."""
        for change in self.history:
            if change.change_id == change_id:
                return change
        return None
