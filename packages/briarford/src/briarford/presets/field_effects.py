"""A table of the record's fields: what changing one does to work in progress.

Operators see these texts when they change a record, and the design page on
presets repeats the table.
"""

from __future__ import annotations

from dataclasses import dataclass

from briarford.presets.schema import Path, Record

__all__ = ["FIELD_EFFECTS", "FieldEffect", "diff_in_force", "find_effect"]

ANY_NAME = "*"
CONTINUES = "goes on"


@dataclass(slots=True, frozen=True)
class FieldEffect:
    """The effect of changing one field.

    :param path: path of the field; ``*`` stands for any preset, team or
        worker name.
    :param meaning: the field in a few words.
    :param queued: predicate that says what happens to queued work.
    :param running: predicate that says what happens to running work.
    """

    path: Path
    meaning: str
    queued: str
    running: str = CONTINUES

    @property
    def dotted(self) -> str:
        """The path with dots, as operators write it."""
        return ".".join(self.path)


def _field(field: str, meaning: str, queued: str) -> FieldEffect:
    """Describe a field of a preset, of whatever name the preset is."""
    path = ("presets", ANY_NAME, *field.split("."))
    return FieldEffect(path, meaning, queued)


_QUOTA = "waits until the team is below its slots"
_WEIGHT = "is ordered anew between teams"
_PLACED = "is placed by the new rule"
_ORDERED = "is ordered anew"
_GUARD = "is placed on workers that no guard holds back"
_STAYS = "stays queued; only new jobs are checked"
_NO_EFFECT = "is not affected"

FIELD_EFFECTS: tuple[FieldEffect, ...] = (
    FieldEffect(
        ("active",),
        "the preset in force",
        "follows the new preset, field by field",
    ),
    _field("summary", "what the preset is for", "not affected"),
    _field("default_quota.slots", "slots of a team not named", _QUOTA),
    _field("default_quota.weight", "weight of a team not named", _WEIGHT),
    _field("quotas.*.slots", "slots of a team", _QUOTA),
    _field("quotas.*.weight", "weight of a team", _WEIGHT),
    _field("placement.strategy", "how a worker is chosen", _PLACED),
    _field("placement.zone_penalty_ms", "pull of the own zone", _PLACED),
    _field("placement.leave_slow_slots", "may slots stay empty", _PLACED),
    _field("placement.aging_weight", "gain of waiting jobs", _ORDERED),
    _field("placement.urgent_margin", "when a job goes first", _ORDERED),
    _field("limits.queue_bound", "tasks waiting at one entry", _STAYS),
    _field("limits.admission", "which jobs are taken in", _STAYS),
    _field("limits.admission_factor", "margin on the estimate", _STAYS),
    _field("limits.retry_share", "retries per first try", _NO_EFFECT),
    _field("limits.guard_share", "workers that guards take out", _GUARD),
    FieldEffect(
        ("drains", ANY_NAME),
        "a worker without new work",
        "is placed on workers that are not drained",
    ),
)


def find_effect(path: Path) -> FieldEffect | None:
    """Return the effect of changing a field.

    :param path: path of the field, with the names of preset, team or worker.
    :return: None if the path leads to a group of fields.
    """
    for effect in FIELD_EFFECTS:
        if _matches(effect.path, path):
            return effect
    return None


def diff_in_force(
    before: Record, after: Record
) -> list[tuple[Path, str, str]]:
    """Return which fields in force differ between two records.

    Fields of presets that are not active are left out, as they affect no
    work.

    :return: path, old and new value as text; ``-`` where there is none.
    """
    old = _flatten_in_force(before)
    new = _flatten_in_force(after)
    return [
        (path, old.get(path, "-"), new.get(path, "-"))
        for path in sorted({*old, *new})
        if old.get(path) != new.get(path)
    ]


def _flatten_in_force(record: Record) -> dict[Path, str]:
    """Return the values in force as text: of the active preset and drains.

    Paths of the preset's fields leave out ``presets`` and its name, as in
    ``limits.queue_bound``.
    """
    preset = record.in_force
    fields: dict[Path, str] = {("active",): record.active}
    for group in ("default_quota", "placement", "limits"):
        part = getattr(preset, group)
        for name in part.__struct_fields__:
            fields[group, name] = str(getattr(part, name))
    for team, quota in preset.quotas.items():
        fields["quotas", team, "slots"] = str(quota.slots)
        fields["quotas", team, "weight"] = str(quota.weight)
    for worker, drain in record.drains.items():
        fields["drains", worker] = drain.why
    return fields


def _matches(pattern: Path, path: Path) -> bool:
    if len(pattern) != len(path):
        return False
    return all(p in (ANY_NAME, q) for p, q in zip(pattern, path, strict=True))
