"""Single decisions to admit or refuse a job."""

from __future__ import annotations

import pytest

from briarford.outcomes import RefusalReason
from briarford.requests.admission import Admission
from briarford.requests.agents import AgentView
from briarford.requests.job import make_job
from briarford.requests.waiting import WaitingTasks
from briarford.runs import WorkerStatus
from fleet.world import ROUTE, request

NOW = 1000.0
CPU_MILLIS = 32000


def agent_view(spare_cpu: int, slowness: float = 1.0) -> AgentView:
    status = WorkerStatus(
        "w",
        "desk",
        "a",
        (),
        True,
        CPU_MILLIS,
        spare_cpu,
        65536,
        0,
        slowness,
        0,
        spare_cpu,
    )
    return AgentView("a", "a:1", link=1, attached=True, status=status)


def make_admission(drain_core_s: float, waiting: int) -> Admission:
    """Return the admission of an entry whose workers are long attached.

    :param drain_core_s: work started in the last second, in core-seconds.
    :param waiting: number of more urgent jobs that wait; each has two tasks
        and 2.5 core-seconds of work.
    """
    tasks = WaitingTasks()
    for n in range(waiting):
        for task in make_job(request(f"w{n}"), ROUTE, NOW - 0.05).tasks:
            tasks.add(task)
    admission = Admission("e", tasks)
    admission.record_process_start(NOW - 60.0)
    for n in range(30):
        admission.check(
            request("j"), ROUTE, [agent_view(CPU_MILLIS)], NOW - 15.0 + n / 2
        )
    admission.record_start(drain_core_s * 1000, NOW - 0.5)
    return admission


@pytest.mark.parametrize(
    ("spare_cpu", "drain_core_s", "waiting", "refused"),
    [
        pytest.param(CPU_MILLIS, 1.0, 9, False, id="capacity is free"),
        pytest.param(0, 50.0, 1, False, id="short queue"),
        pytest.param(0, 5.0, 9, True, id="long queue"),
        pytest.param(0, 1.0, 0, False, id="few requests so far, no queue"),
    ],
)
def test_jobs_are_refused_by_the_length_of_the_queue(
    spare_cpu, drain_core_s, waiting, refused
):
    """Guards against refusals while nothing is queued.

    An entry with little traffic starts little work per second; that alone
    must not be read as a lack of capacity.
    """
    admission = make_admission(drain_core_s, waiting)
    found = admission.check(
        request("new", count=8), ROUTE, [agent_view(spare_cpu)], NOW
    )
    assert (found is not None) is refused
    if found is not None:
        assert found.reason is RefusalReason.DEADLINE_UNREACHABLE
        assert found.retry_at is not None
        assert found.retry_at > NOW


@pytest.mark.parametrize(
    ("work_s", "slownesses", "refused"),
    [
        (0.6, [1.0], False),
        (0.7, [1.0], True),
        (1.1, [1.2, 0.55], False),
        (1.3, [1.2, 0.55], True),
        (0.6, [1.2], True),
    ],
)
def test_a_stopping_entry_admits_jobs_that_end_in_time(
    work_s, slownesses, refused
):
    """Guards against a stopping entry that admits a job it cannot end.

    And against one that refuses a job which its fastest worker would end.
    """
    admission = make_admission(10.0, 0)
    admission.stop_by = NOW + 1.0
    views = [agent_view(CPU_MILLIS, s) for s in slownesses]
    req = request("s", work_s=work_s)
    found = admission.check(req, ROUTE, views, NOW)
    assert (found is not None) is refused
    if found is not None:
        assert found.reason is RefusalReason.STOPPING


def test_tasks_of_a_stopping_entry_start_in_time_for_its_end():
    """Guards against a slow worker chosen by the objective alone."""
    req = request("s", work_s=0.6)
    for stop_by in (None, NOW + 9.0, NOW + 0.8):
        tasks = make_job(req, ROUTE, NOW, stop_by).tasks
        end_by = min(NOW + 1.6 * 0.6 + 0.06, stop_by or NOW + 9.0)
        assert {round(t.start_by, 6) for t in tasks} == {
            round(end_by - 0.6, 6)
        }
