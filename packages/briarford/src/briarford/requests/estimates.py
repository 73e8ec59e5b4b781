"""Corrects clients' estimates of work by what their runs have shown.

Under load the order of waiting, the choice of workers and the refusals rest on
how long a task will run, and clients only give a rough estimate. An estimate
far above the mean of its route is more often too high than too low. It is
therefore moved towards the mean, by a linear regression of the logarithm of
the work on that of the estimate, for each route. Where estimates are accurate
the regression shows that and leaves them as they are.
"""

from __future__ import annotations

import math

import msgspec
from msgspec.structs import replace

from briarford.requests.job import JobRequest

__all__ = ["EstimateModel", "RouteEstimates"]

# Older jobs count less: by half after 140 more.
FORGETTING_FACTOR = 0.995
# Before any run, estimates count as accurate, as if this many jobs whose
# estimates vary by PRIOR_VARIANCE (squared nats) had shown that.
PRIOR_JOBS = 8.0
PRIOR_VARIANCE = 0.2
# The time of shorter runs is mostly that of the network.
MIN_WORK_S = 0.002


class RouteEstimates(msgspec.Struct):
    """The regression of one route, over the logarithms of seconds.

    :param jobs: number of jobs, of which older ones count less.
    :param mean: mean of the estimates.
    :param mean_work: mean of the work.
    :param variance_sum: sum of the squared deviations of the estimates.
    :param covariance_sum: sum of the products of the deviations of estimate
        and work.
    """

    jobs: float = 0.0
    mean: float = 0.0
    mean_work: float = 0.0
    variance_sum: float = 0.0
    covariance_sum: float = 0.0

    @property
    def slope(self) -> float:
        """Share of an estimate's deviation from the mean that is real."""
        prior = PRIOR_JOBS * PRIOR_VARIANCE
        slope = (prior + self.covariance_sum) / (prior + self.variance_sum)
        return min(1.0, max(0.0, slope))

    def observe(self, estimate: float, work: float) -> None:
        """Add a job.

        :param estimate: logarithm of its estimate.
        :param work: logarithm of the work that its run has shown.
        """
        self.jobs = self.jobs * FORGETTING_FACTOR + 1.0
        deviation = estimate - self.mean
        self.mean += deviation / self.jobs
        self.mean_work += (work - self.mean_work) / self.jobs
        self.variance_sum = (
            self.variance_sum * FORGETTING_FACTOR
            + deviation * (estimate - self.mean)
        )
        self.covariance_sum = (
            self.covariance_sum * FORGETTING_FACTOR
            + deviation * (work - self.mean_work)
        )

    def correct(self, estimate: float) -> float:
        """Return the expected work, as a logarithm, for an estimate."""
        if not self.jobs:
            return estimate
        return self.mean + self.slope * (estimate - self.mean)


class EstimateModel:
    """The estimates of all routes at one entry."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[str, RouteEstimates] = {}

    def correct(self, request: JobRequest, route: str) -> JobRequest:
        """Return a request with the expected work of each step.

        :param request: the request with the estimates of its client.
        :param route: name of its route.
        """
        learnt = self._routes.get(route)
        if learnt is None:
            return request
        steps = tuple(
            replace(
                s, expected_s=math.exp(learnt.correct(math.log(s.expected_s)))
            )
            if s.expected_s >= MIN_WORK_S
            else s
            for s in request.steps
        )
        return replace(request, steps=steps)

    def observe(self, route: str, estimate_s: float, work_s: float) -> None:
        """Learn from a run that was done.

        :param route: name of the route of its job.
        :param estimate_s: the client's estimate.
        :param work_s: seconds that it would have taken on a worker of nominal
            speed.
        """
        if estimate_s < MIN_WORK_S or work_s < MIN_WORK_S:
            return
        learnt = self._routes.setdefault(route, RouteEstimates())
        learnt.observe(math.log(estimate_s), math.log(work_s))
