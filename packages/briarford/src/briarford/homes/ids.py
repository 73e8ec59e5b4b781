"""Job ids: allocated ones that name their home, and client-chosen ones.

An entry allocates ids on request. Such an id names the process that may run
the job and ends with a keyed digest, by which that process recognises it. A
client may choose an id itself: a UUIDv7, whose home follows from the view.
Messages to clients and the interface call an allocated id "minted".
"""

from __future__ import annotations

import base64
import hashlib
import hmac
import re
from dataclasses import dataclass

import uuid_utils

from briarford.exceptions import SettingsError
from briarford.outcomes import (
    Failed,
    FailureReason,
    RefusalReason,
    Refused,
    Step,
)

__all__ = ["AllocatedId", "ClientChosenId", "Home", "IdAllocator", "parse_id"]

MAX_ID_LENGTH = 128
# An id must first be submitted within this time after it was made.
FIRST_SUBMIT_WINDOW_S = 120.0
# The record of a job is kept this long after the window. Until then an id
# without a record was never submitted, so that it can be refused as expired;
# later its job may have run.
RECORD_GRACE_S = 60.0

_PREFIX = "m1"
_SEPARATOR = "~"
_DIGEST_BYTES = 12
_MAX_KEY_BYTES = 64
_MS_PER_S = 1000
_UUID_VERSION = 7
_UUID_LENGTH = 36

_ENTRY_NAME = re.compile(r"[A-Za-z0-9._-]{1,40}", re.ASCII)
_INCARNATION = re.compile(r"[A-Za-z0-9._-]{1,32}", re.ASCII)
_ALLOCATED = re.compile(
    r"m1~(?P<entry>[A-Za-z0-9._-]{1,40})"
    r"~(?P<incarnation>[A-Za-z0-9._-]{1,32})"
    r"~(?P<expires_ms>[0-9a-f]{1,12})"
    r"~(?P<serial>[0-9a-f]{1,12})"
    r"~(?P<digest>[A-Za-z0-9_-]{16})",
    re.ASCII,
)


@dataclass(slots=True, frozen=True)
class AllocatedId:
    """The parts of an id that an entry allocated.

    The process that allocated it is its home. Its digest has not been
    checked: only the home has the key.

    :param entry: the name of the entry that allocated it.
    :param incarnation: the incarnation of that entry's process.
    :param expires_at: Unix seconds before which it must first be submitted.
    :param digest: the keyed digest of the other parts, as text.
    """

    entry: str
    incarnation: str
    expires_at: float
    digest: str


@dataclass(slots=True, frozen=True)
class ClientChosenId:
    """An id that a client chose: a UUIDv7 in its canonical text form.

    :param job_id: the text.
    :param created_at: the time in the id, in Unix seconds by the client's
        clock.
    """

    job_id: str
    created_at: float


@dataclass(slots=True, frozen=True)
class Home:
    """The only process that may run a job.

    :param entry: the entry's name.
    :param incarnation: the incarnation of its process.
    :param remember_until: Unix seconds before which the home must keep the
        record that the job was submitted.
    """

    entry: str
    incarnation: str
    remember_until: float


def parse_id(job_id: str) -> AllocatedId | ClientChosenId | None:
    """Parse an id by its form, without a check of the digest.

    :return: None if it is neither an allocated nor a client-chosen id.
    """
    if len(job_id) > MAX_ID_LENGTH:
        return None
    match = _ALLOCATED.fullmatch(job_id)
    if match is not None:
        return AllocatedId(
            match["entry"],
            match["incarnation"],
            int(match["expires_ms"], 16) / _MS_PER_S,
            match["digest"],
        )
    return _parse_uuid(job_id)


def _parse_uuid(job_id: str) -> ClientChosenId | None:
    if len(job_id) != _UUID_LENGTH:
        return None
    try:
        parsed = uuid_utils.UUID(job_id)
    except ValueError:
        return None
    # Only the canonical spelling of a UUID is accepted: the id is compared
    # as text, so each spelling would be a job of its own.
    if str(parsed) != job_id or parsed.version != _UUID_VERSION:
        return None
    return ClientChosenId(job_id, parsed.timestamp / _MS_PER_S)


class IdAllocator:
    """Allocates the ids of one entry and checks those that are submitted.

    An id is accepted for a first submission only before it expires, and the
    home keeps the record of a submitted job for longer than that. A job
    whose record was dropped therefore cannot run a second time. Time never
    goes back here: the latest time seen counts, so that an expired id is not
    accepted again after the clock was set back.

    :param entry: the name of this entry.
    :param incarnation: differs each time the entry's process starts.
    :param secret: the key of the digest. It may change with each
        incarnation, as only the process that allocated an id checks it.
    :raises SettingsError: if a name has characters that an id cannot hold,
        or the secret is empty or too long.
    """

    __slots__ = (
        "_entry",
        "_incarnation",
        "_latest_time",
        "_secret",
        "_serial",
    )

    def __init__(self, entry: str, incarnation: str, secret: bytes) -> None:
        _require_name("entry name", entry, _ENTRY_NAME)
        _require_name("incarnation", incarnation, _INCARNATION)
        if not 0 < len(secret) <= _MAX_KEY_BYTES:
            raise SettingsError(
                f"the secret of job ids must have 1 to {_MAX_KEY_BYTES} bytes",
                step=Step.ALLOCATE_ID,
            )
        self._entry = entry
        self._incarnation = incarnation
        self._secret = secret
        self._serial = 0
        self._latest_time = 0.0

    def allocate(self, now: float) -> str:
        """Allocate an id that no other call returns, here or elsewhere."""
        self._serial += 1
        expires_at = self._advance_clock(now) + FIRST_SUBMIT_WINDOW_S
        signed_part = _SEPARATOR.join(
            (
                _PREFIX,
                self._entry,
                self._incarnation,
                f"{int(expires_at * _MS_PER_S):x}",
                f"{self._serial:x}",
            )
        )
        return signed_part + _SEPARATOR + self._digest(signed_part)

    def check(self, job_id: str, now: float) -> Home | Failed | Refused:
        """Decide whether a job with this id may be submitted here.

        The caller has found no record of the job.

        :return: the home of the id, which may be another process. A refusal
            if this is no allocated id. If this process is the home: also a
            refusal if the digest is wrong or the id has expired; a failure
            if it expired so long ago that the record of the job may have
            been dropped, so that the job may have run.
        """
        now = self._advance_clock(now)
        parsed = parse_id(job_id)
        if not isinstance(parsed, AllocatedId):
            return self._refuse("the id is not a minted one")
        home = Home(
            parsed.entry,
            parsed.incarnation,
            parsed.expires_at + RECORD_GRACE_S,
        )
        if not self._is_this_process(home):
            return home
        signed_part = job_id.rpartition(_SEPARATOR)[0]
        if not hmac.compare_digest(self._digest(signed_part), parsed.digest):
            return self._refuse("the id was not minted by its home")
        if now < parsed.expires_at:
            return home
        return self._reject_expired(home, now)

    def can_forget(self, home: Home, now: float) -> bool:
        """Whether the record of an ended job may be dropped."""
        return self._advance_clock(now) >= home.remember_until

    def _is_this_process(self, home: Home) -> bool:
        own = (self._entry, self._incarnation)
        return (home.entry, home.incarnation) == own

    def _reject_expired(self, home: Home, now: float) -> Failed | Refused:
        """Return the outcome for an expired id that has no record.

        While a record would still be kept, the id was never submitted and is
        refused. Later its job may have run, so that it counts as failed.
        """
        if now < home.remember_until:
            return self._refuse(
                "the id expired before its first submission; mint another",
                RefusalReason.ID_EXPIRED,
            )
        return Failed(
            FailureReason.ANSWER_DROPPED,
            "the id expired and the record of its job is no longer kept",
            Step.SUBMIT,
            self._entry,
        )

    def _advance_clock(self, now: float) -> float:
        """Return the latest time seen, also if the clock was set back."""
        self._latest_time = max(self._latest_time, now)
        return self._latest_time

    def _digest(self, signed_part: str) -> str:
        digest = hashlib.blake2b(
            signed_part.encode(), digest_size=_DIGEST_BYTES, key=self._secret
        ).digest()
        return base64.urlsafe_b64encode(digest).decode()

    def _refuse(
        self, detail: str, reason: RefusalReason = RefusalReason.ID_INVALID
    ) -> Refused:
        return Refused(reason, detail, Step.SUBMIT, self._entry)


def _require_name(kind: str, name: str, allowed: re.Pattern[str]) -> None:
    if allowed.fullmatch(name) is None:
        raise SettingsError(
            f"the {kind} '{name}' must match '{allowed.pattern}'",
            step=Step.ALLOCATE_ID,
        )
