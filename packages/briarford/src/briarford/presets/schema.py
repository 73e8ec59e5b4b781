"""The one record that holds everything operators change."""

from __future__ import annotations

import enum
from typing import Annotated, Any, TypeAlias

import msgspec
from msgspec import Meta

__all__ = [
    "FORMAT",
    "Admission",
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


class Admission(enum.StrEnum):
    """Which jobs an entry takes in."""

    DEADLINE = "deadline"
    BOUND = "bound"


class Quota(msgspec.Struct, frozen=True):
    """What one team may use.

    :param slots: tasks that the team runs at the same time, at all workers;
        None for no limit.
    :param weight: its part of the free slots when teams compete.
    """

    slots: Annotated[int, Meta(ge=0, le=1_000_000)] | None
    weight: Annotated[float, Meta(gt=0.0, le=1000.0)] = 1.0


class Placement(msgspec.Struct, frozen=True):
    """How entries choose a worker for a task.

    :param strategy: name of a registered placement strategy.
    :param zone_penalty_ms: how much sooner a worker of another availability
        zone must end a task to be preferred.
    :param leave_slow_slots: whether a slow slot stays empty when waiting for
        a fast one ends the job sooner.
    :param aging_weight: how fast a waiting job gains on shorter ones.
    :param urgent_margin: a job goes first once its deadline is closer than
        this many times its remaining time.
    """

    strategy: Annotated[str, Meta(min_length=1, max_length=64)]
    zone_penalty_ms: Annotated[float, Meta(ge=0.0, le=10_000.0)] = 3.0
    leave_slow_slots: bool = True
    aging_weight: Annotated[float, Meta(ge=0.0, le=100.0)] = 0.03
    urgent_margin: Annotated[float, Meta(ge=0.0, le=100.0)] = 2.0


class Limits(msgspec.Struct, frozen=True):
    """Bounds on queues, on extra starts and on what guards may do.

    :param queue_bound: tasks that may wait at one entry.
    :param admission: whether the estimate has to meet the deadline.
    :param admission_factor: times the estimate that must fit before the
        deadline.
    :param retry_share: retries as a share of first tries.
    :param guard_share: largest share of a service's workers that guards
        may take out.
    """

    queue_bound: Annotated[int, Meta(ge=1, le=10_000_000)] = 10_000
    admission: Admission = Admission.DEADLINE
    admission_factor: Annotated[float, Meta(ge=0.1, le=10.0)] = 2.0
    retry_share: Share = 0.1
    guard_share: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.3


class Preset(msgspec.Struct, frozen=True):
    """One way for the whole system to behave.

    :param summary: what it is for, in a sentence.
    :param default_quota: the quota of a team that ``quotas`` does not name.
    :param quotas: the quota of each team.
    """

    summary: Sentence
    default_quota: Quota
    placement: Placement
    limits: Limits
    quotas: dict[Name, Quota] = {}


class Drain(msgspec.Struct, frozen=True):
    """A worker that is to get no new work.

    :param since: Unix seconds.
    """

    who: Person
    why: Reason
    since: float


class Edit(msgspec.Struct, frozen=True, omit_defaults=True):
    """One field as it was and as it is to be.

    :param path: the names that lead to the field.
    :param old: the value before; unset if there was none.
    :param new: the value after; unset if the field goes.
    """

    path: Path
    old: Any = msgspec.UNSET
    new: Any = msgspec.UNSET

    @property
    def dotted(self) -> str:
        """The path as operators write it."""
        return ".".join(self.path)


class Change(msgspec.Struct, frozen=True):
    """One accepted change.

    :param change_id: names the change, so that a repeat has no effect.
    :param version: version of the record that it made.
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

    :param format: form of the record; a tool edits no form newer than its
        own, as it would drop what it does not know.
    :param version: rises by one with each change.
    :param active: name of the preset that is in force.
    :param drains: workers that get no new work, whatever the preset.
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
        """Return a change of the history by its id."""
        for change in self.history:
            if change.change_id == change_id:
                return change
        return None
