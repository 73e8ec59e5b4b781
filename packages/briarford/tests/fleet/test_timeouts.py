"""The timeout of orders to a worker."""

from __future__ import annotations

import pytest

from briarford.runs.timeouts import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    AnswerTimeout,
)
from fleet.load import play


@pytest.mark.parametrize(
    ("answers", "low", "high"),
    [
        ([], MAX_TIMEOUT_S, MAX_TIMEOUT_S),
        ([0.002] * 3, MAX_TIMEOUT_S, MAX_TIMEOUT_S),
        ([0.002] * 20, MIN_TIMEOUT_S, MIN_TIMEOUT_S),
        ([0.03] * 20, MIN_TIMEOUT_S, 0.06),
        ([0.01, 0.05] * 20, 0.06, MAX_TIMEOUT_S),
        ([0.5] * 20, MAX_TIMEOUT_S, MAX_TIMEOUT_S),
        ([0.002] * 20 + [None] * 5, MAX_TIMEOUT_S, MAX_TIMEOUT_S),
        ([0.002] * 20 + [None] * 5 + [0.002], MIN_TIMEOUT_S, MIN_TIMEOUT_S),
    ],
    ids=[
        "none yet",
        "a few",
        "fast",
        "steadily slow",
        "uneven",
        "very slow",
        "unanswered",
        "answered again",
    ],
)
def test_the_timeout_follows_the_answers(answers, low, high):
    timeout = AnswerTimeout()
    for answer_s in answers:
        if answer_s is None:
            timeout.expired()
        else:
            timeout.observe(answer_s)
    assert low <= timeout.seconds <= high


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_short_tasks_survive_an_order_left_unanswered(seed):
    """Guards against jobs that are late because of one unanswered order.

    One order in twenty is left unanswered, which meets a third of the jobs
    with eight tasks. The users ask for 0.87 of the worth on days with
    trouble; prices take about a tenth of it.
    """
    tallies, world = play(
        1.0, seconds=4.0, seed=seed, fleet="measured", unanswered=0.05
    )
    assert tallies["check"].share >= 0.87
    assert not world.overlaps()
