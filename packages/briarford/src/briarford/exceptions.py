"""The errors that the library raises."""

from __future__ import annotations

__all__ = ["BriarfordError", "SettingsError", "StoreError", "UnknownNameError"]


class BriarfordError(Exception):
    """The base of all errors of briarford.

    :param message: one sentence that says what to do.
    :param step: the step at which the error arose.
    :param peer: the process at which it arose.
    """

    exit_status = 1

    def __init__(
        self, message: str, *, step: str = "", peer: str = ""
    ) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer


class SettingsError(BriarfordError):
    """A settings file or a preset that cannot be used."""

    exit_status = 2


class StoreError(BriarfordError):
    """The key-value service gave no usable answer.

    :param maybe_applied: whether a write may have taken effect.
    """

    exit_status = 3

    def __init__(
        self,
        message: str,
        *,
        step: str = "",
        peer: str = "",
        maybe_applied: bool = False,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.maybe_applied = maybe_applied


class UnknownNameError(BriarfordError):
    """A name that no registry holds.

    :param kind: what was looked up.
    :param name: the name that was asked for.
    :param known: the names that there are.
    """

    exit_status = 2

    def __init__(self, kind: str, name: str, known: list[str]) -> None:
        allowed = ", ".join(sorted(known))
        super().__init__(f"unknown {kind} '{name}'; use one of {allowed}")
        self.kind = kind
        self.name = name
        self.known = known
