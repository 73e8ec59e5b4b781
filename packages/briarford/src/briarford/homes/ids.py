"""Job ids: minted ones that name their home, and client-chosen ones."""

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

__all__ = ["ClientId", "Home", "MintedId", "Minter", "parse_id"]

MAX_ID_LENGTH = 128
FIRST_SUBMIT_WINDOW_S = 120.0
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
_MINTED = re.compile(
    r"m1~(?P<entry>[A-Za-z0-9._-]{1,40})"
    r"~(?P<incarnation>[A-Za-z0-9._-]{1,32})"
    r"~(?P<expires_ms>[0-9a-f]{1,12})"
    r"~(?P<serial>[0-9a-f]{1,12})"
    r"~(?P<digest>[A-Za-z0-9_-]{16})",
    re.ASCII,
)


@dataclass(slots=True, frozen=True)
class MintedId:
    """An id that an entry made; it names its own home.

    :param entry: the entry that made it and alone may run the job.
    :param incarnation: the incarnation of that entry.
    :param expires_at: Unix seconds before which it must first be submitted.
    :param digest: the keyed digest as text; only its home can check it.
    """

    entry: str
    incarnation: str
    expires_at: float
    digest: str


@dataclass(slots=True, frozen=True)
class ClientId:
    """An id that a client chose: a UUIDv7 in its canonical text form.

    :param job_id: the text.
    :param created_at: Unix seconds at which the client made it.
    """

    job_id: str
    created_at: float


@dataclass(slots=True, frozen=True)
class Home:
    """The only process that may run a job.

    :param entry: the entry's name.
    :param incarnation: the incarnation of its process.
    :param remember_until: Unix seconds before which the home must not forget
        that the job was submitted.
    """

    entry: str
    incarnation: str
    remember_until: float


def parse_id(job_id: str) -> MintedId | ClientId | None:
    """Tell which kind of id this is, without proof that it was minted.

    :return: None if it is neither kind.
    """
    if len(job_id) > MAX_ID_LENGTH:
        return None
    match = _MINTED.fullmatch(job_id)
    if match is not None:
        return MintedId(
            match["entry"],
            match["incarnation"],
            int(match["expires_ms"], 16) / _MS_PER_S,
            match["digest"],
        )
    return _parse_uuid(job_id)


def _parse_uuid(job_id: str) -> ClientId | None:
    if len(job_id) != _UUID_LENGTH:
        return None
    try:
        parsed = uuid_utils.UUID(job_id)
    except ValueError:
        return None
    # One UUID has several spellings; each would be a job of its own.
    if str(parsed) != job_id or parsed.version != _UUID_VERSION:
        return None
    return ClientId(job_id, parsed.timestamp / _MS_PER_S)


class Minter:
    """Mints the ids of one entry and checks those that come back.

    An id passes only before it expires, and the home remembers a submitted
    job until past that time, so a forgotten job cannot run a second time.
    The latest time seen counts: a clock that is set back opens no id again.

    :param entry: the name of this entry.
    :param incarnation: differs each time the entry's process starts.
    :param secret: the key of the digest; a new one per incarnation will do.
    :raises SettingsError: if a name has characters that an id cannot hold,
        or the secret is empty or too long.
    """

    __slots__ = ("_entry", "_incarnation", "_latest", "_secret", "_serial")

    def __init__(self, entry: str, incarnation: str, secret: bytes) -> None:
        _require_name("entry name", entry, _ENTRY_NAME)
        _require_name("incarnation", incarnation, _INCARNATION)
        if not 0 < len(secret) <= _MAX_KEY_BYTES:
            raise SettingsError(
                f"the minting secret must have 1 to {_MAX_KEY_BYTES} bytes",
                step=Step.ALLOCATE_ID,
            )
        self._entry = entry
        self._incarnation = incarnation
        self._secret = secret
        self._serial = 0
        self._latest = 0.0

    def mint(self, now: float) -> str:
        """Make an id that no other call makes."""
        self._serial += 1
        expires_at = self._advance(now) + FIRST_SUBMIT_WINDOW_S
        head = _SEPARATOR.join(
            (
                _PREFIX,
                self._entry,
                self._incarnation,
                f"{int(expires_at * _MS_PER_S):x}",
                f"{self._serial:x}",
            )
        )
        return head + _SEPARATOR + self._digest(head)

    def check(self, job_id: str, now: float) -> Home | Failed | Refused:
        """Decide on the first submission of an id that is not remembered.

        :return: the home, which is another process if it differs from this
            one; a refusal if the id was not minted here or has just expired;
            a failure if it expired so long ago that a record of the job may
            have been dropped.
        """
        now = self._advance(now)
        parsed = parse_id(job_id)
        if not isinstance(parsed, MintedId):
            return self._refuse("the id is not a minted one")
        home = Home(
            parsed.entry,
            parsed.incarnation,
            parsed.expires_at + RECORD_GRACE_S,
        )
        if not self._is_own(home):
            return home
        head = job_id.rpartition(_SEPARATOR)[0]
        if not hmac.compare_digest(self._digest(head), parsed.digest):
            return self._refuse("the id was not minted by its home")
        if now < parsed.expires_at:
            return home
        return self._expired(home, now)

    def can_forget(self, home: Home, now: float) -> bool:
        """Whether the record of a finished job may be dropped."""
        return self._advance(now) >= home.remember_until

    def _is_own(self, home: Home) -> bool:
        own = (self._entry, self._incarnation)
        return (home.entry, home.incarnation) == own

    def _expired(self, home: Home, now: float) -> Failed | Refused:
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

    def _advance(self, now: float) -> float:
        self._latest = max(self._latest, now)
        return self._latest

    def _digest(self, head: str) -> str:
        digest = hashlib.blake2b(
            head.encode(), digest_size=_DIGEST_BYTES, key=self._secret
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
