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
EXPIRY = FIRST_SUBMIT_WINDOW_S
FORGET = FIRST_SUBMIT_WINDOW_S + RECORD_GRACE_S


def make_minter(entry="e1", incarnation="i1", secret=b"k"):
    return IdAllocator(entry, incarnation, secret)


def test_minted_id_names_its_home_and_is_short_and_url_safe():
    minter = make_minter("e" * 40, "i" * 32)
    ids = [minter.allocate(NOW) for _ in range(1000)]
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
        pytest.param([EXPIRY - 1], Home, id="just-before-expiry"),
        pytest.param([EXPIRY], RefusalReason.ID_EXPIRED, id="at-expiry"),
        pytest.param([FORGET - 1], RefusalReason.ID_EXPIRED, id="remembered"),
        pytest.param([FORGET], Failed, id="record-may-be-dropped"),
        pytest.param([FORGET, 0.0], Failed, id="clock-set-back"),
        pytest.param([-3600.0], Home, id="clock-behind"),
    ],
)
def test_first_submission_by_time(times, expected):
    minter = make_minter()
    job_id = minter.allocate(NOW)
    for after in times:
        verdict = minter.check(job_id, NOW + after)
    if isinstance(verdict, Refused):
        assert verdict.reason is expected
        return
    assert isinstance(verdict, expected)


def test_record_outlives_the_time_in_which_the_id_passes():
    minter = make_minter()
    job_id = minter.allocate(NOW)
    home = minter.check(job_id, NOW)
    assert not minter.can_forget(home, NOW + FORGET - 1)
    assert minter.can_forget(home, NOW + FORGET)
    assert isinstance(minter.check(job_id, NOW), Failed)


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
def test_changed_id_is_refused(change):
    minter = make_minter()
    verdict = minter.check(change(minter.allocate(NOW)), NOW)
    assert isinstance(verdict, Refused)
    assert verdict.reason is RefusalReason.ID_INVALID


@pytest.mark.parametrize(
    ("entry", "incarnation"), [("e2", "i1"), ("e1", "i2")]
)
def test_id_of_another_home_is_not_refused(entry, incarnation):
    job_id = make_minter(entry, incarnation).allocate(NOW)
    for after in (0.0, FORGET):
        home = make_minter().check(job_id, NOW + after)
        assert (home.entry, home.incarnation) == (entry, incarnation)


def test_secret_of_another_incarnation_does_not_pass():
    job_id = make_minter(secret=b"other").allocate(NOW)
    assert isinstance(make_minter().check(job_id, NOW), Refused)


@pytest.mark.parametrize(
    ("entry", "incarnation", "secret"),
    [("e~", "i", b"k"), ("", "i", b"k"), ("e", "i/", b"k"), ("e", "i", b"")],
)
def test_unusable_names_are_rejected(entry, incarnation, secret):
    with pytest.raises(SettingsError):
        IdAllocator(entry, incarnation, secret)


CHOSEN = str(uuid_utils.uuid7(nanoseconds=1_800_000_000_250_000_000))


@pytest.mark.parametrize(
    ("job_id", "expected"),
    [
        pytest.param(
            CHOSEN, ClientChosenId(CHOSEN, NOW + 0.25), id="canonical"
        ),
        pytest.param(CHOSEN.upper(), None, id="upper-case"),
        pytest.param(CHOSEN.replace("-", ""), None, id="no-hyphens"),
        pytest.param("{" + CHOSEN + "}", None, id="braces"),
        pytest.param(str(uuid_utils.uuid4()), None, id="version-4"),
        pytest.param("job-1", None, id="free-text"),
        pytest.param("m1~e~i~0~1~" + "\u00e4" * 16, None, id="not-ascii"),
        pytest.param("x" * 100_000, None, id="very-long"),
    ],
)
def test_client_chosen_id(job_id, expected):
    assert parse_id(job_id) == expected
