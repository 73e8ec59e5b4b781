"""What an agent decides to have done, as its core returns it."""

from __future__ import annotations

from typing import Any

import msgspec

from briarford.runs.messages import AgentMessage

__all__ = [
    "AgentEffect",
    "AgentEvent",
    "PlaceOrder",
    "RaiseToken",
    "SendToEntry",
    "WithdrawRun",
]


class PlaceOrder(msgspec.Struct, frozen=True):
    """Order the worker to start a run.

    The caller passes the worker's answer to :meth:`RunAgent.order_answered`,
    and does not send the order unless :meth:`RunAgent.is_due` then.

    :param key: number of the run at this agent.
    :param task: name of the task.
    :param run: number of the run.
    :param payload: what the worker receives.
    :param answer_by: Unix time in seconds at which the order counts as
        unanswered; it is not sent later.
    """

    key: int
    task: str
    run: int
    payload: str
    answer_by: float


class WithdrawRun(msgspec.Struct, frozen=True):
    """Order the worker to stop a run, and repeat the order until it answers.

    The caller reports the answer to :meth:`RunAgent.stop_answered`.

    :param key: number of the run at this agent; 0 for a run that the agent
        did not order.
    :param task: name of the task.
    :param run: number of the run.
    """

    key: int
    task: str
    run: int


class SendToEntry(msgspec.Struct, frozen=True):
    """Send a message to an entry.

    :param link: number of the connection to send it on.
    :param message: the message.
    """

    link: int
    message: AgentMessage


class AgentEvent(msgspec.Struct, frozen=True):
    """Log a decision.

    :param action: name of the log event.
    :param fields: fields of the log line.
    """

    action: str
    fields: dict[str, Any]


class RaiseToken(msgspec.Struct, frozen=True):
    """Obtain a higher fencing token, and use it from then on.

    The worker has restarted and remembers neither withdrawn runs nor the
    token, so it would carry out a late order to its previous incarnation.
    """


AgentEffect = PlaceOrder | WithdrawRun | SendToEntry | AgentEvent | RaiseToken
