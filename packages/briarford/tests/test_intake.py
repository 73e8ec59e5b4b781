"""Which connection gives way when those of a process hold too much."""

from __future__ import annotations

import pytest

from briarford.intake import IntakeBudget, IntakeLimits, Machine, Phase
from briarford.intake.limits import CONNECTION_BYTES

ROOM = 1000


class Connection:
    def __init__(self):
        self.gave_way = []

    def give_way(self, phase):
        self.gave_way.append(phase)


def fill(*phases, room=ROOM, connections=10):
    """Open a connection for each phase, one a second, with 100 bytes each."""
    budget = IntakeBudget((len(phases) + 1) * CONNECTION_BYTES + room)
    quota = budget.add_listener(connections)
    accounts = []
    for at, phase in enumerate(phases):
        account = quota.open(Connection(), float(at))
        quota.enter(account, phase, float(at))
        assert budget.hold(account, 100)
        accounts.append(account)
    return budget, quota, accounts


# What is open, and the connections in the order in which they give way.
ORDERS = {
    "the oldest of those that only cost": (
        [Phase.UNREAD, Phase.UNREAD, Phase.LINGERING],
        [2, 0, 1],
    ),
    "what was sent ahead before what is unfinished": (
        [Phase.UNFINISHED, Phase.AHEAD, Phase.UNFINISHED],
        [1, 0, 2],
    ),
    "idle ones last, and those served never": (
        [Phase.SERVED, Phase.IDLE, Phase.UNFINISHED],
        [2, 1],
    ),
}


@pytest.mark.parametrize(
    ("phases", "expected"), ORDERS.values(), ids=ORDERS.keys()
)
def test_connections_give_way_in_order(phases, expected):
    budget, quota, accounts = fill(*phases)
    newcomer = quota.open(Connection(), 10.0)
    quota.enter(newcomer, Phase.SERVED, 10.0)
    order = []
    # It is to hold ever more, until nobody gives way.
    for held in range(0, 4 * CONNECTION_BYTES, 50):
        if not budget.hold(newcomer, held):
            break
        for index, account in enumerate(accounts):
            if account.owner.gave_way and index not in order:
                order.append(index)
    assert order == expected
    assert budget.held <= budget.limit
    for index in expected:
        assert accounts[index].owner.gave_way == [phases[index]]


def test_a_connection_that_was_sent_ahead_to_stays_open():
    budget, _quota, (account,) = fill(Phase.AHEAD, room=150)
    assert not budget.hold(account, 2 * CONNECTION_BYTES)
    assert (account.is_open, account.phase) == (True, Phase.SERVED)
    assert account.held == budget.held == CONNECTION_BYTES


def test_a_connection_that_stalls_alone_gives_way_itself():
    budget, quota, (account,) = fill(Phase.UNFINISHED)
    assert not budget.hold(account, 3 * CONNECTION_BYTES)
    assert account.owner.gave_way == [Phase.UNFINISHED]
    assert (budget.held, quota.connections) == (0, 0)


def test_what_is_sent_byte_by_byte_makes_no_connection_younger():
    budget, quota, (first, second) = fill(Phase.UNFINISHED, Phase.UNFINISHED)
    quota.enter(first, Phase.UNFINISHED, 9.0)
    assert first.since == 0.0
    assert list(quota.expired(Phase.UNFINISHED, 0.0)) == []
    for account in quota.expired(Phase.UNFINISHED, 0.5):
        budget.end(account)
    assert (first.is_open, second.is_open) == (False, True)


@pytest.mark.parametrize(
    ("phases", "gives_way"),
    [
        ([Phase.IDLE, Phase.UNFINISHED], 0),
        ([Phase.UNFINISHED, Phase.IDLE], 0),
        ([Phase.IDLE, Phase.UNREAD], 1),
        ([Phase.SERVED, Phase.AHEAD], None),
    ],
    ids=["oldest", "unfinished", "unread first", "all are served"],
)
def test_a_new_connection_over_the_number_makes_one_give_way(
    phases, gives_way
):
    _budget, quota, accounts = fill(*phases, connections=2)
    opened = quota.open(Connection(), 10.0)
    assert (opened is not None) is (gives_way is not None)
    ended = [n for n, a in enumerate(accounts) if a.owner.gave_way]
    assert ended == ([] if gives_way is None else [gives_way])
    assert quota.connections == 2


def test_listeners_share_the_bytes_but_not_the_connections():
    budget, _clients, (stalled,) = fill(Phase.UNFINISHED, connections=1)
    checks = budget.add_listener(1)
    check = checks.open(Connection(), 5.0)
    assert check is not None and stalled.is_open
    checks.enter(check, Phase.SERVED, 5.0)
    assert budget.hold(check, ROOM)
    assert not stalled.is_open


@pytest.mark.parametrize(
    ("memory_mb", "files", "connections"),
    [(128, 3075, 1437), (160, 3075, 1437), (64, 400, 100), (32, 4096, 409)],
)
def test_limits_follow_from_the_machine(memory_mb, files, connections):
    machine, limits = Machine(memory_mb, files), IntakeLimits()
    assert machine.client_connections(limits) == connections
    room = machine.connection_bytes(limits)
    assert connections * CONNECTION_BYTES <= room / 2
    assert room + machine.job_bytes(limits) <= memory_mb * 2**20 * 0.4
    assert machine.waiting_requests(limits) == int(connections * 0.75)
