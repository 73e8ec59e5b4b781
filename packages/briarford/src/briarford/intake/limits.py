"""Limits on what a process holds for its clients."""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = ["CONNECTION_BYTES", "IntakeLimits", "Machine"]

MIB = 1024 * 1024
KIB = 1024
# Descriptors of a machine that are kept for files.
FILE_DESCRIPTORS = 200
# Part of the connections of clients whose requests may wait.
WAITING_SHARE = 0.75
# What an open connection costs without any content.
CONNECTION_BYTES = 10 * KIB

Share = Annotated[float, msgspec.Meta(gt=0.0, lt=1.0)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=3600.0)]
Bytes = Annotated[int, msgspec.Meta(ge=1024, le=1024 * MIB)]
Number = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class IntakeLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on connections and jobs; ``[intake]`` in the settings.

    :param memory_share: part of the machine's memory that all connections
        may hold together.
    :param jobs_memory_share: part of it that all open jobs may hold.
    :param connections_share: part of the machine's descriptors for sockets
        that connections of clients may have; the others are for agents,
        workers and the store.
    :param side_connections: largest number of connections to each other
        listener: health checks, metrics, reports of the worker.
    :param peer_connections: largest number of connections of entries to an
        agent.
    :param max_head_bytes: largest head of a request.
    :param max_fields: largest number of fields in a head.
    :param max_body_bytes: largest body of a client's request. Larger limits
        on heads and bodies in the operators' configuration go before these.
    :param max_report_bytes: largest body of a worker's report.
    :param max_spec_bytes: longest text of a job.
    :param max_pipelined: largest number of requests that a connection sends
        ahead of the answers.
    :param max_ahead_bytes: largest size of what it sends ahead of them.
    :param request_timeout_s: seconds within which a request has to arrive.
    :param answer_timeout_s: seconds within which a client has to read an
        answer.
    :param idle_timeout_s: seconds after which an idle connection is closed;
        longer than clients keep one, so that the server does not close it
        while a client sends a request.
    :param linger_s: seconds for which the rest of a refused request is read
        and dropped, so that its client can read the refusal.
    :param max_linger_bytes: largest size of that rest.
    :param max_repeats: largest number of requests that wait for one job.
    """

    memory_share: Share = 0.25
    jobs_memory_share: Share = 0.15
    connections_share: Share = 0.5
    side_connections: Number = 32
    peer_connections: Number = 1024
    max_head_bytes: Bytes = 32 * KIB
    max_fields: Number = 256
    max_body_bytes: Bytes = MIB
    max_report_bytes: Bytes = 4 * MIB
    max_spec_bytes: Bytes = 4 * KIB
    max_pipelined: Number = 16
    max_ahead_bytes: Bytes = 64 * KIB
    request_timeout_s: Seconds = 30.0
    answer_timeout_s: Seconds = 30.0
    idle_timeout_s: Seconds = 60.0
    linger_s: Seconds = 2.0
    max_linger_bytes: Bytes = 4 * MIB
    max_repeats: Number = 8


class Machine(msgspec.Struct, frozen=True):
    """What the machine of a process has.

    :param memory_mb: its memory in MiB.
    :param max_open_files: its descriptors.
    """

    memory_mb: float
    max_open_files: int

    def connection_bytes(self, limits: IntakeLimits) -> int:
        """Return the bytes that all connections may hold together."""
        return int(self.memory_mb * MIB * limits.memory_share)

    def job_bytes(self, limits: IntakeLimits) -> int:
        """Return the bytes that all open jobs may hold together."""
        return int(self.memory_mb * MIB * limits.jobs_memory_share)

    def waiting_requests(self, limits: IntakeLimits) -> int:
        """Return the largest number of requests that wait for an outcome.

        It leaves connections to those that get an answer at once.
        """
        return max(1, int(self.client_connections(limits) * WAITING_SHARE))

    def client_connections(self, limits: IntakeLimits) -> int:
        """Return the largest number of connections of clients.

        At least half of the bytes of all connections are left for content.
        """
        sockets = max(self.max_open_files - FILE_DESCRIPTORS, 2)
        by_memory = self.connection_bytes(limits) // (2 * CONNECTION_BYTES)
        by_descriptors = int(sockets * limits.connections_share)
        return max(1, min(by_memory, by_descriptors))
