"""Ids of jobs: how entries allocate and check them, and how they parse."""

from __future__ import annotations

import re

import pytest
import uuid_utils

from briarford.exceptions import SettingsError
from briarford.homes import (
    AllocatedId,
    ClientChosenId,
    Home,
    IdAllocator,
    parse_id,
)
from briarford.homes.ids import (
    FIRST_SUBMIT_WINDOW_S,
    MAX_ID_LENGTH,
    RECORD_GRACE_S,
)
from briarford.outcomes import Failed, RefusalReason, Refused

NOW = 1_800_000_000.0
EXPIRY_S = FIRST_SUBMIT_WINDOW_S
FORGET_AFTER_S = FIRST_SUBMIT_WINDOW_S + RECORD_GRACE_S


def make_allocator(entry="e1", incarnation="i1", secret=b"k"):
    return IdAllocator(entry, incarnation, secret)


def test_allocated_ids_are_unique_short_url_safe_and_name_their_home():
    allocator = make_allocator("e" * 40, "i" * 32)
    ids = [allocator.allocate(NOW) for _ in range(1000)]
    assert len(set(ids)) == len(ids)
    assert all(re.fullmatch(r"[A-Za-z0-9._~-]+", i) for i in ids)
    assert max(map(len, ids)) <= MAX_ID_LENGTH
    parsed = parse_id(ids[0])
    assert isinstance(parsed, AllocatedId)
    assert (parsed.entry, parsed.incarnation) == ("e" * 40, "i" * 32)
    assert parsed.expires_at == NOW + FIRST_SUBMIT_WINDOW_S


@pytest.mark.parametrize(
    ("times", "expected"),
    [
        pytest.param([0.0], Home, id="at-once"),
        pytest.param([EXPIRY_S - 1], Home, id="just-before-expiry"),
        pytest.param([EXPIRY_S], RefusalReason.ID_EXPIRED, id="at-expiry"),
        pytest.param(
            [FORGET_AFTER_S - 1], RefusalReason.ID_EXPIRED, id="remembered"
        ),
        pytest.param([FORGET_AFTER_S], Failed, id="record-may-be-dropped"),
        pytest.param([FORGET_AFTER_S, 0.0], Failed, id="clock-set-back"),
        pytest.param([-3600.0], Home, id="clock-behind"),
    ],
)
def test_id_is_accepted_only_before_it_expires(times, expected):
    """An id accepted after its record was dropped would run its job again.

    A clock that is set back must not make it acceptable again.
    """
    allocator = make_allocator()
    job_id = allocator.allocate(NOW)
    for after in times:
        checked = allocator.check(job_id, NOW + after)
    if isinstance(checked, Refused):
        assert checked.reason is expected
        return
    assert isinstance(checked, expected)


def test_record_is_kept_until_after_the_id_has_expired():
    """A record dropped too early would let a resubmit run the job again."""
    allocator = make_allocator()
    job_id = allocator.allocate(NOW)
    home = allocator.check(job_id, NOW)
    assert not allocator.can_forget(home, NOW + FORGET_AFTER_S - 1)
    assert allocator.can_forget(home, NOW + FORGET_AFTER_S)
    assert isinstance(allocator.check(job_id, NOW), Failed)


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(lambda i: i[:-1] + "-", id="digest"),
        pytest.param(lambda i: i.replace("~1~", "~2~"), id="serial"),
        pytest.param(lambda i: re.sub(r"i1~.", "i1~f", i), id="expiry"),
        pytest.param(lambda i: i + "x", id="longer"),
        pytest.param(lambda i: i + "\n", id="newline"),
        pytest.param(lambda i: i.upper(), id="upper-case"),
        pytest.param(lambda i: "", id="empty"),
    ],
)
def test_altered_id_is_refused(change):
    """A client could otherwise extend the expiry of an id or make up ids."""
    allocator = make_allocator()
    checked = allocator.check(change(allocator.allocate(NOW)), NOW)
    assert isinstance(checked, Refused)
    assert checked.reason is RefusalReason.ID_INVALID


@pytest.mark.parametrize(
    ("entry", "incarnation"), [("e2", "i1"), ("e1", "i2")]
)
def test_id_of_another_process_is_left_to_its_home(entry, incarnation):
    """Only the home of an expired id knows whether the job was submitted."""
    job_id = make_allocator(entry, incarnation).allocate(NOW)
    for after in (0.0, FORGET_AFTER_S):
        home = make_allocator().check(job_id, NOW + after)
        assert (home.entry, home.incarnation) == (entry, incarnation)


def test_id_with_a_digest_by_another_secret_is_refused():
    job_id = make_allocator(secret=b"other").allocate(NOW)
    assert isinstance(make_allocator().check(job_id, NOW), Refused)


@pytest.mark.parametrize(
    ("entry", "incarnation", "secret"),
    [("e~", "i", b"k"), ("", "i", b"k"), ("e", "i/", b"k"), ("e", "i", b"")],
)
def test_names_and_secrets_that_ids_cannot_hold_are_rejected(
    entry, incarnation, secret
):
    with pytest.raises(SettingsError):
        IdAllocator(entry, incarnation, secret)


CLIENT_CHOSEN = str(uuid_utils.uuid7(nanoseconds=1_800_000_000_250_000_000))


@pytest.mark.parametrize(
    ("job_id", "expected"),
    [
        pytest.param(
            CLIENT_CHOSEN,
            ClientChosenId(CLIENT_CHOSEN, NOW + 0.25),
            id="canonical",
        ),
        pytest.param(CLIENT_CHOSEN.upper(), None, id="upper-case"),
        pytest.param(CLIENT_CHOSEN.replace("-", ""), None, id="no-hyphens"),
        pytest.param("{" + CLIENT_CHOSEN + "}", None, id="braces"),
        pytest.param(str(uuid_utils.uuid4()), None, id="version-4"),
        pytest.param("job-1", None, id="free-text"),
        pytest.param("m1~e~i~0~1~" + "\u00e4" * 16, None, id="not-ascii"),
        pytest.param("x" * 100_000, None, id="very-long"),
    ],
)
def test_only_canonical_uuid7_is_a_client_chosen_id(job_id, expected):
    """Each accepted spelling of one UUID would be a job of its own."""
    assert parse_id(job_id) == expected
