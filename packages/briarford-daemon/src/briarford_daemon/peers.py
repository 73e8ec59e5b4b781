"""The service between entries, and the links of one entry to others.

Entries forward a request to the home of its job (the one entry that may start
its tasks), exchange their newest view and preset record, and transfer ended
jobs to a successor before a stop.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable
from typing import Any, Protocol, TypeVar

import msgspec

from briarford.dispatch.messages import Decision
from briarford.exceptions import BriarfordError
from briarford.homes import (
    ForwardTo,
    Member,
    RecordExchanger,
    Router,
    ServeAsHeir,
    ServeHere,
    TransferredJobTable,
    split_into_batches,
)
from briarford.homes.messages import (
    ExchangeReply,
    ExchangeRequest,
    ForwardKind,
    ForwardReply,
    ForwardRequest,
    TransferBatch,
    TransferredJob,
    TransferReply,
    from_wire,
    to_wire,
)
from briarford.jobs import JobSpec
from briarford.outcomes import (
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Step,
)
from briarford_daemon.calls import (
    CallChannel,
    CallMethod,
    CallRejectedError,
    serve_calls,
)
from briarford_daemon.clock import Clock
from briarford_daemon.frames import MakeHandler
from briarford_daemon.logs import log_decision

__all__ = [
    "PEERS_SERVICE",
    "JobHost",
    "PeerLink",
    "PeerService",
    "PeerUnreachableError",
    "Peers",
]

PEERS_SERVICE = "briarford.peers/1"
FORWARD = "forward"
EXCHANGE = "exchange"
TRANSFER = "transfer"

# During a call, a connection on which nothing arrived for PROBE_AFTER_S is
# probed; it is replaced if there is no answer within PROBE_TIMEOUT_S.
PROBE_AFTER_S = 0.8
PROBE_TIMEOUT_S = 0.8
RETRY_AFTER_S = 1.0
TRANSFER_TIMEOUT_S = 5.0
# Bound on how often a request is forwarded, as entries whose views differ
# could forward it to each other endlessly.
MAX_HOPS = 2
MAX_CONNECTIONS_PER_CALL = 10

_CALL_ERRORS = (CallRejectedError, msgspec.MsgspecError)
_CONNECTION_ERRORS = (OSError, TimeoutError)

Rep = TypeVar("Rep")


class PeerUnreachableError(BriarfordError):
    """A peer answers on no connection, or its answer is an error."""


class JobHost(Protocol):
    """The jobs whose home is this entry."""

    def has_job(self, job_id: str) -> bool:
        """Whether there is a record of the job, running or ended."""

    async def submit(
        self, spec: JobSpec, remember_until: float, wait_until: float
    ) -> Outcome | None:
        """Start or join a job; None if it still runs at ``wait_until``."""

    async def read(self, job_id: str, wait_until: float) -> Outcome | None:
        """Wait for the outcome of a recorded job; None if it still runs."""

    def cancel(self, job_id: str) -> None:
        """Cancel a recorded job; no effect if it has ended."""


class _Connection:
    """One connection to a peer.

    The answer to a call comes only when the job ends, so a late answer does
    not show that the connection is lost. While a call is open and nothing
    arrives, the connection is therefore probed with an exchange of records.

    :param address: where the peer serves entries.
    :param exchanger: makes the requests and reads the replies of exchanges.
    :param clock: the process's clock.
    """

    def __init__(
        self, address: str, exchanger: RecordExchanger, clock: Clock
    ) -> None:
        self._address = address
        self._exchanger = exchanger
        self._clock = clock
        self._channel = CallChannel(address, PEERS_SERVICE)
        self._last_received_at = 0.0
        self._open_calls = 0
        self._probe_task: asyncio.Task[None] | None = None
        self._broken = asyncio.Event()

    @property
    def has_answered(self) -> bool:
        """Whether the peer has answered on this connection."""
        return self._last_received_at > 0.0

    def close(self) -> None:
        """Close the connection; open calls raise an error."""
        self._broken.set()
        if self._probe_task is not None:
            self._probe_task.cancel()
        self._channel.close()

    async def exchange(self) -> None:
        """Exchange the view and the preset record with the peer.

        :raises TimeoutError: if there is no reply in ``PROBE_TIMEOUT_S``.
        """
        asked_at = self._clock.now()
        req = self._exchanger.make_request(self._address, asked_at)
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reply = await self._channel.call(EXCHANGE, req, ExchangeReply)
        self._last_received_at = self._clock.now()
        self._exchanger.receive_reply(reply, asked_at, self._last_received_at)

    async def call(self, method: str, req: Any, kind: type[Rep]) -> Rep:
        """Call the peer and wait for its reply while the connection works.

        :param method: name of the method.
        :param kind: type of the reply.
        :raises OSError: if the connection does not answer a
            probe, or ends without a reply.
        """
        self._open_calls += 1
        self._start_probing()
        call = asyncio.ensure_future(self._channel.call(method, req, kind))
        broken = asyncio.ensure_future(self._broken.wait())
        try:
            await asyncio.wait(
                (call, broken), return_when=asyncio.FIRST_COMPLETED
            )
            if not call.done():
                raise ConnectionAbortedError("the connection is silent")
            reply = call.result()
        finally:
            self._open_calls -= 1
            await _cancel_and_wait(call, broken)
        self._last_received_at = self._clock.now()
        return reply

    def _start_probing(self) -> None:
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = asyncio.create_task(self._probe_while_silent())

    async def _probe_while_silent(self) -> None:
        """Probe the connection whenever it is silent during a call.

        A probe that fails marks the connection as broken, which ends
        the calls on it.
        """
        while self._open_calls:
            wait = self._last_received_at + PROBE_AFTER_S - self._clock.now()
            if wait > 0:
                await asyncio.sleep(wait)
                continue
            try:
                await self.exchange()
            except (*_CONNECTION_ERRORS, *_CALL_ERRORS):
                self._broken.set()
                return


class PeerLink:
    """Calls from this entry to one other entry.

    There is one connection at a time. One that fails or answers no probe is
    replaced by a new one at the next attempt.

    :param address: where the peer serves entries.
    :param exchanger: makes the requests and reads the replies of exchanges.
    :param clock: the process's clock.
    """

    def __init__(
        self, address: str, exchanger: RecordExchanger, clock: Clock
    ) -> None:
        self._address = address
        self._exchanger = exchanger
        self._clock = clock
        self._conn: _Connection | None = None
        self.connections = 0

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._drop(self._conn)

    async def call(
        self, method: str, req: Any, kind: type[Rep], step: Step
    ) -> Rep:
        """Call the peer; repeat the call if its connection is lost.

        A connection that had answered before may have been lost alone, so
        the call is repeated on a new one. All methods may be repeated: a job
        that already runs is joined.

        :param method: name of the method.
        :param kind: type of the reply.
        :param step: step that the error names.
        :raises PeerUnreachableError: if the peer answers with an error or an
            undecodable reply, a new connection is lost before the peer has
            answered on it, or ``MAX_CONNECTIONS_PER_CALL`` ones are lost.
        """
        for _ in range(MAX_CONNECTIONS_PER_CALL):
            conn = self._connect()
            try:
                return await conn.call(method, req, kind)
            except _CALL_ERRORS as exc:
                raise self._unreachable(step, str(exc)) from exc
            except _CONNECTION_ERRORS as exc:
                self._drop(conn)
                if not conn.has_answered:
                    raise self._unreachable(step, str(exc)) from exc
        raise self._unreachable(step, "one connection after another fails")

    async def exchange(self) -> bool:
        """Exchange records with the peer.

        A failure on a connection that had answered before is followed by an
        attempt on a new one.

        :return: whether the peer has answered.
        """
        for _ in range(2):
            conn = self._connect()
            try:
                await conn.exchange()
            except (*_CONNECTION_ERRORS, *_CALL_ERRORS):
                self._drop(conn)
                if not conn.has_answered:
                    return False
            else:
                return True
        return False

    def _connect(self) -> _Connection:
        if self._conn is None:
            self.connections += 1
            self._conn = _Connection(
                self._address, self._exchanger, self._clock
            )
        return self._conn

    def _drop(self, conn: _Connection) -> None:
        conn.close()
        if self._conn is conn:
            self._conn = None

    def _unreachable(self, step: Step, cause: str) -> PeerUnreachableError:
        return PeerUnreachableError(
            f"entry at '{self._address}' does not answer: {cause}",
            step=step,
            peer=self._address,
        )


class Peers:
    """Serves requests about any job, and holds the links to other entries.

    A request about a job whose home is another entry is forwarded there.

    :param router: finds the home of an id.
    :param exchanger: makes and answers the requests of exchanges.
    :param transferred_jobs: ended jobs of entries that have stopped.
    :param jobs: the jobs of this entry.
    :param clock: the process's clock.
    """

    def __init__(
        self,
        router: Router,
        exchanger: RecordExchanger,
        transferred_jobs: TransferredJobTable,
        jobs: JobHost,
        clock: Clock,
    ) -> None:
        self._router = router
        self._exchanger = exchanger
        self._transferred_jobs = transferred_jobs
        self._jobs = jobs
        self._clock = clock
        self._links: dict[str, PeerLink] = {}

    # Requests of clients, over HTTP.

    async def submit(self, spec: JobSpec, wait_until: float) -> Outcome | None:
        """Start a job at its home, or join it there.

        :return: None if it still runs at ``wait_until`` (Unix seconds).
        """
        return await self._handle(
            ForwardRequest(ForwardKind.SUBMIT, spec.job_id, spec, wait_until)
        )

    async def read(self, job_id: str, wait_until: float) -> Outcome | None:
        """Read the outcome of a job at its home; None if it still runs."""
        return await self._handle(
            ForwardRequest(ForwardKind.READ, job_id, wait_until=wait_until)
        )

    async def cancel(self, job_id: str) -> Outcome | None:
        """Cancel a job at its home.

        :return: the outcome of the job: of the cancellation if it was running.
        """
        return await self._handle(ForwardRequest(ForwardKind.CANCEL, job_id))

    # Requests of other entries.

    async def serve_forward(self, req: ForwardRequest) -> ForwardReply:
        """Answer a request that another entry has forwarded."""
        outcome = await self._handle(req)
        return ForwardReply(None if outcome is None else to_wire(outcome))

    def serve_exchange(self, req: ExchangeRequest) -> ExchangeReply:
        """Adopt newer records of another entry and return those held here."""
        return self._exchanger.answer_request(req, self._clock.now())

    def serve_transfer(self, batch: TransferBatch) -> TransferReply:
        """Store ended jobs that a stopping entry transfers to this one."""
        return self._transferred_jobs.receive_batch(batch)

    # Links to other entries.

    def link(self, address: str) -> PeerLink:
        """Return the link to the entry at an address; make it if needed."""
        if address not in self._links:
            self._links[address] = PeerLink(
                address, self._exchanger, self._clock
            )
        return self._links[address]

    def retain_links(self, addresses: Collection[str]) -> None:
        """Close the links to all addresses but these.

        The state of the peers at the closed links is dropped as well, and so
        are transferred jobs that need not be remembered any longer.
        """
        self._exchanger.retain_peers(addresses)
        self._transferred_jobs.forget_expired(self._clock.now())
        for address in self._links.keys() - set(addresses):
            self._links.pop(address).close()

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

    async def transfer_jobs(
        self,
        successor: Member,
        home: str,
        incarnation: str,
        jobs: Iterable[TransferredJob],
    ) -> bool:
        """Transfer ended jobs of one incarnation to a successor.

        :param home: name of the entry whose jobs they are.
        :param incarnation: its incarnation.
        :return: whether all of them have arrived.
        """
        complete = False
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                for batch in split_into_batches(home, incarnation, jobs):
                    reply = await self.link(successor.address).call(
                        TRANSFER, batch, TransferReply, Step.FORWARD
                    )
                    complete = reply.complete
        except (PeerUnreachableError, TimeoutError):
            return False
        return complete

    async def _handle(self, req: ForwardRequest) -> Outcome | None:
        """Serve a request here, or forward it to the home of its job.

        A job of which there is a record here is served without routing.
        """
        if self._jobs.has_job(req.job_id):
            return await self._handle_known(req)
        route = self._router.route(req.job_id, self._clock.now())
        self._log_route(req, route)
        if isinstance(route, ForwardTo):
            return await self._forward(req, route.entry)
        if isinstance(route, ServeAsHeir):
            return self._answer_as_successor(req, route)
        if not isinstance(route, ServeHere):
            return route
        if req.kind is ForwardKind.SUBMIT and req.spec is not None:
            return await self._jobs.submit(
                req.spec, route.remember_until, req.wait_until
            )
        return Refused(
            RefusalReason.UNKNOWN_JOB,
            "no job was submitted under the id",
            Step.ANSWER_READ,
            self._router.me.name,
        )

    async def _handle_known(self, req: ForwardRequest) -> Outcome | None:
        if req.kind is ForwardKind.SUBMIT and req.spec is not None:
            # The submit joins the job; its record has its retention already.
            return await self._jobs.submit(req.spec, 0.0, req.wait_until)
        if req.kind is ForwardKind.CANCEL:
            self._jobs.cancel(req.job_id)
        return await self._jobs.read(req.job_id, req.wait_until)

    def _answer_as_successor(
        self, req: ForwardRequest, route: ServeAsHeir
    ) -> Outcome:
        digest = req.spec.digest() if req.spec is not None else None
        return self._transferred_jobs.answer(
            route.entry, route.incarnation, req.job_id, digest
        )

    async def _forward(
        self, req: ForwardRequest, entry: Member
    ) -> Outcome | None:
        if req.hops >= MAX_HOPS:
            return self._home_unreachable(
                entry, "the entries do not agree yet"
            )
        forwarded = ForwardRequest(
            req.kind, req.job_id, req.spec, req.wait_until, req.hops + 1
        )
        try:
            reply = await self.link(entry.address).call(
                FORWARD, forwarded, ForwardReply, Step.FORWARD
            )
        except PeerUnreachableError as exc:
            return self._home_unreachable(entry, exc.message)
        return None if reply.outcome is None else from_wire(reply.outcome)

    def _home_unreachable(self, entry: Member, detail: str) -> Failed:
        return Failed(
            FailureReason.HOME_UNREACHABLE,
            f"the home of the job does not answer: {detail}",
            Step.FORWARD,
            entry.name,
            retry_at=self._clock.now() + RETRY_AFTER_S,
        )

    def _log_route(self, req: ForwardRequest, route: object) -> None:
        fields: dict[str, Any] = {
            "job": req.job_id,
            "kind": str(req.kind),
            "hops": req.hops,
        }
        if isinstance(route, ForwardTo):
            fields["entry"] = route.entry.name
        # The class names of routes are part of the events' names.
        action = type(route).__name__
        reason = getattr(route, "reason", "home")
        log_decision(Decision(f"job-routed:{action}", str(reason), fields))


class PeerService:
    """The service that an entry offers to other entries.

    :param peers: answers the calls.

    ``observe``, if set, is called with each exchange and its reply.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self.observe: Callable[[object], None] | None = None

    def handler(self) -> MakeHandler:
        """Return what makes the handlers of connections."""
        methods = {
            FORWARD: CallMethod(ForwardRequest, self._peers.serve_forward),
            EXCHANGE: CallMethod(ExchangeRequest, self._exchange),
            TRANSFER: CallMethod(TransferBatch, self._transfer),
        }
        return serve_calls(methods)

    async def _exchange(self, req: ExchangeRequest) -> ExchangeReply:
        reply = self._peers.serve_exchange(req)
        if self.observe is not None:
            self.observe(req)
            self.observe(reply)
        return reply

    async def _transfer(self, batch: TransferBatch) -> TransferReply:
        return self._peers.serve_transfer(batch)


async def _cancel_and_wait(*futs: asyncio.Future[Any]) -> None:
    for fut in futs:
        fut.cancel()
    await asyncio.wait(futs)
    for fut in futs:
        if not fut.cancelled():
            fut.exception()
