"""The errors that the library raises."""

from __future__ import annotations

__all__ = ["BriarfordError", "SettingsError", "StoreError", "UnknownNameError"]


class BriarfordError(Exception):
    """The base class of the errors that briarford raises.

    ``exit_status`` is the exit status of a command that ends with the error.

    :param message: one sentence that says what failed and what to do.
    :param step: the step of processing at which the error occurred.
    :param peer: name or address of the process at which it occurred.
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
    """A settings file or a preset is not valid."""

    exit_status = 2


class StoreError(BriarfordError):
    """A call to the key-value service failed or got no usable answer.

    :param maybe_applied: whether a write may have taken effect, as it is when
        the request was sent and no answer came.
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
    """A name is not in the registry in which it was looked up.

    :param kind: kind of the registered objects, such as a placement strategy.
    :param name: the name that was looked up.
    :param known: the registered names.
    """

    exit_status = 2

    def __init__(self, kind: str, name: str, known: list[str]) -> None:
        allowed = ", ".join(sorted(known))
        super().__init__(f"unknown {kind} '{name}'; use one of {allowed}")
        self.kind = kind
        self.name = name
        self.known = known
