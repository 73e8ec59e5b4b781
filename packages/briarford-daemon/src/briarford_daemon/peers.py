"""The gRPC service between entries, and the links of one entry to others."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable
from typing import Any, Protocol, TypeVar

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

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
from briarford_daemon.clock import Clock
from briarford_daemon.logs import log_decision
from briarford_daemon.settings import split_address
from briarford_daemon.wire import MsgpackCodec

__all__ = [
    "JobHost",
    "PeerLink",
    "PeerService",
    "PeerUnreachableError",
    "Peers",
]

FORWARD_PATH = "/briarford.Peers/Forward"
EXCHANGE_PATH = "/briarford.Peers/Exchange"
HAND_OVER_PATH = "/briarford.Peers/HandOver"

PROBE_AFTER_S = 0.8
PROBE_TIMEOUT_S = 0.8
RETRY_AFTER_S = 1.0
HAND_OVER_TIMEOUT_S = 5.0
MAX_HOPS = 2
MAX_CONNECTIONS_PER_CALL = 10

_UNUSABLE = (GRPCError, msgspec.MsgspecError)
_LOST = (OSError, StreamTerminatedError, TimeoutError)

Rep = TypeVar("Rep")


class PeerUnreachableError(BriarfordError):
    """A peer that answers on no connection, or refuses to answer."""


class JobHost(Protocol):
    """The jobs of this entry."""

    def knows(self, job_id: str) -> bool:
        """Whether the job is remembered here."""

    async def submit(
        self, spec: JobSpec, remember_until: float, wait_until: float
    ) -> Outcome | None:
        """Run a job or join it; None if it runs still at ``wait_until``."""

    async def read(self, job_id: str, wait_until: float) -> Outcome | None:
        """Wait for the outcome of a known job; None if it runs still."""

    def cancel(self, job_id: str) -> None:
        """Cancel a known job."""


class _Connection:
    """One connection to a peer.

    While a call is open, silence is probed with an exchange. A job may run
    for long, so it is not the call that tells whether the connection works.
    """

    def __init__(
        self, address: str, exchanger: RecordExchanger, clock: Clock
    ) -> None:
        self._address = address
        self._exchanger = exchanger
        self._clock = clock
        host, port = split_address(address)
        self._channel = Channel(host, port, codec=MsgpackCodec())
        self._heard_at = 0.0
        self._open_calls = 0
        self._watch: asyncio.Task[None] | None = None
        self._broken = asyncio.Event()

    @property
    def proven(self) -> bool:
        """Whether the peer has answered on this connection."""
        return self._heard_at > 0.0

    def close(self) -> None:
        """Close the connection; open calls end."""
        self._broken.set()
        if self._watch is not None:
            self._watch.cancel()
        self._channel.close()

    async def exchange(self) -> None:
        """Exchange records with the peer."""
        asked_at = self._clock.now()
        method: UnaryUnaryMethod[ExchangeRequest, ExchangeReply] = (
            UnaryUnaryMethod(
                self._channel, EXCHANGE_PATH, ExchangeRequest, ExchangeReply
            )
        )
        req = self._exchanger.make_request(self._address, asked_at)
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reply = await method(req)
        self._heard_at = self._clock.now()
        if reply is not None:
            self._exchanger.receive_reply(reply, asked_at, self._heard_at)

    async def call(self, path: str, req: Any, kind: type[Rep]) -> Rep:
        """Call the peer, for as long as the connection works.

        :raises StreamTerminatedError: if it does not.
        """
        method: UnaryUnaryMethod[Any, Rep] = UnaryUnaryMethod(
            self._channel, path, type(req), kind
        )
        self._open_calls += 1
        self._start_watch()
        call = asyncio.ensure_future(method(req))
        broken = asyncio.ensure_future(self._broken.wait())
        try:
            await asyncio.wait(
                (call, broken), return_when=asyncio.FIRST_COMPLETED
            )
            if not call.done():
                raise StreamTerminatedError("the connection is silent")
            reply = call.result()
        finally:
            self._open_calls -= 1
            await _abandon(call, broken)
        if reply is None:
            raise StreamTerminatedError("the peer gave no answer")
        self._heard_at = self._clock.now()
        return reply

    def _start_watch(self) -> None:
        if self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._watch_silence())

    async def _watch_silence(self) -> None:
        while self._open_calls:
            wait = self._heard_at + PROBE_AFTER_S - self._clock.now()
            if wait > 0:
                await asyncio.sleep(wait)
                continue
            try:
                await self.exchange()
            except (*_LOST, *_UNUSABLE):
                self._broken.set()
                return


class PeerLink:
    """One entry's way to another; a silent connection is replaced.

    :param address: where the peer serves entries.
    :param exchanger: this entry's side of the exchange.
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
        self, path: str, req: Any, kind: type[Rep], step: Step
    ) -> Rep:
        """Call the peer; repeat the call if its connection goes silent.

        :raises PeerUnreachableError: if a new connection does not work.
        """
        for _ in range(MAX_CONNECTIONS_PER_CALL):
            conn = self._connect()
            try:
                return await conn.call(path, req, kind)
            except _UNUSABLE as exc:
                raise self._unreachable(step, str(exc)) from exc
            except _LOST as exc:
                self._drop(conn)
                if not conn.proven:
                    raise self._unreachable(step, str(exc)) from exc
        raise self._unreachable(step, "one connection after another fails")

    async def exchange(self) -> bool:
        """Exchange records; False if the peer does not answer."""
        for _ in range(2):
            conn = self._connect()
            try:
                await conn.exchange()
            except (*_LOST, *_UNUSABLE):
                self._drop(conn)
                if not conn.proven:
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
    """Serves jobs wherever their home is, and keeps in touch with entries.

    :param router: finds the home of an id.
    :param exchanger: this entry's side of the exchange.
    :param inheritance: ended jobs of entries that have stopped.
    :param jobs: the jobs of this entry.
    :param clock: the process's clock.
    """

    def __init__(
        self,
        router: Router,
        exchanger: RecordExchanger,
        inheritance: TransferredJobTable,
        jobs: JobHost,
        clock: Clock,
    ) -> None:
        self._router = router
        self._exchanger = exchanger
        self._inheritance = inheritance
        self._jobs = jobs
        self._clock = clock
        self._links: dict[str, PeerLink] = {}

    # For the HTTP side.

    async def submit(self, spec: JobSpec, wait_until: float) -> Outcome | None:
        """Run a job at its home, or join it there.

        :return: None if it runs still at ``wait_until`` (Unix seconds).
        """
        return await self._serve(
            ForwardRequest(ForwardKind.SUBMIT, spec.job_id, spec, wait_until)
        )

    async def read(self, job_id: str, wait_until: float) -> Outcome | None:
        """Read the outcome of a job; None if it runs still."""
        return await self._serve(
            ForwardRequest(ForwardKind.READ, job_id, wait_until=wait_until)
        )

    async def cancel(self, job_id: str) -> Outcome | None:
        """Cancel a job at its home; None if it was running."""
        return await self._serve(ForwardRequest(ForwardKind.CANCEL, job_id))

    # For other entries.

    async def serve_forward(self, req: ForwardRequest) -> ForwardReply:
        """Answer a request that another entry passed on."""
        outcome = await self._serve(req)
        return ForwardReply(None if outcome is None else to_wire(outcome))

    def serve_exchange(self, req: ExchangeRequest) -> ExchangeReply:
        """Exchange records with another entry."""
        return self._exchanger.answer_request(req, self._clock.now())

    def serve_hand_over(self, batch: TransferBatch) -> TransferReply:
        """Take ended jobs of an entry that stops."""
        return self._inheritance.receive_batch(batch)

    # For the shell of the entry.

    def link(self, address: str) -> PeerLink:
        """Return the link to an entry."""
        if address not in self._links:
            self._links[address] = PeerLink(
                address, self._exchanger, self._clock
            )
        return self._links[address]

    def keep(self, addresses: Collection[str]) -> None:
        """Close the links to other addresses, and drop what is too old."""
        self._exchanger.retain_peers(addresses)
        self._inheritance.forget_expired(self._clock.now())
        for address in self._links.keys() - set(addresses):
            self._links.pop(address).close()

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

    async def hand_over(
        self,
        heir: Member,
        home: str,
        incarnation: str,
        jobs: Iterable[TransferredJob],
    ) -> bool:
        """Hand ended jobs to an heir.

        :return: whether the heir has them all.
        """
        complete = False
        try:
            async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
                for batch in split_into_batches(home, incarnation, jobs):
                    reply = await self.link(heir.address).call(
                        HAND_OVER_PATH, batch, TransferReply, Step.FORWARD
                    )
                    complete = reply.complete
        except (PeerUnreachableError, TimeoutError):
            return False
        return complete

    async def _serve(self, req: ForwardRequest) -> Outcome | None:
        if self._jobs.knows(req.job_id):
            return await self._serve_known(req)
        route = self._router.route(req.job_id, self._clock.now())
        self._log(req, route)
        if isinstance(route, ForwardTo):
            return await self._forward(req, route.entry)
        if isinstance(route, ServeAsHeir):
            return self._serve_as_heir(req, route)
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

    async def _serve_known(self, req: ForwardRequest) -> Outcome | None:
        if req.kind is ForwardKind.SUBMIT and req.spec is not None:
            return await self._jobs.submit(req.spec, 0.0, req.wait_until)
        if req.kind is ForwardKind.CANCEL:
            self._jobs.cancel(req.job_id)
        return await self._jobs.read(req.job_id, req.wait_until)

    def _serve_as_heir(
        self, req: ForwardRequest, route: ServeAsHeir
    ) -> Outcome:
        digest = req.spec.digest() if req.spec is not None else None
        return self._inheritance.answer(
            route.entry, route.incarnation, req.job_id, digest
        )

    async def _forward(
        self, req: ForwardRequest, entry: Member
    ) -> Outcome | None:
        if req.hops >= MAX_HOPS:
            return self._no_answer(entry, "the entries do not agree yet")
        passed = ForwardRequest(
            req.kind, req.job_id, req.spec, req.wait_until, req.hops + 1
        )
        try:
            reply = await self.link(entry.address).call(
                FORWARD_PATH, passed, ForwardReply, Step.FORWARD
            )
        except PeerUnreachableError as exc:
            return self._no_answer(entry, exc.message)
        return None if reply.outcome is None else from_wire(reply.outcome)

    def _no_answer(self, entry: Member, detail: str) -> Failed:
        return Failed(
            FailureReason.HOME_UNREACHABLE,
            f"the home of the job does not answer: {detail}",
            Step.FORWARD,
            entry.name,
            retry_at=self._clock.now() + RETRY_AFTER_S,
        )

    def _log(self, req: ForwardRequest, route: object) -> None:
        fields: dict[str, Any] = {
            "job": req.job_id,
            "kind": str(req.kind),
            "hops": req.hops,
        }
        if isinstance(route, ForwardTo):
            fields["entry"] = route.entry.name
        action = type(route).__name__
        reason = getattr(route, "reason", "home")
        log_decision(Decision(f"job-routed:{action}", str(reason), fields))


class PeerService:
    """The gRPC service that an entry offers to other entries.

    :param peers: answers the calls.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods by path, as grpclib wants them."""
        return {
            FORWARD_PATH: Handler(
                self._forward,
                Cardinality.UNARY_UNARY,
                ForwardRequest,
                ForwardReply,
            ),
            EXCHANGE_PATH: Handler(
                self._exchange,
                Cardinality.UNARY_UNARY,
                ExchangeRequest,
                ExchangeReply,
            ),
            HAND_OVER_PATH: Handler(
                self._hand_over,
                Cardinality.UNARY_UNARY,
                TransferBatch,
                TransferReply,
            ),
        }

    async def _forward(
        self, stream: Stream[ForwardRequest, ForwardReply]
    ) -> None:
        req = await stream.recv_message()
        if req is not None:
            await stream.send_message(await self._peers.serve_forward(req))

    async def _exchange(
        self, stream: Stream[ExchangeRequest, ExchangeReply]
    ) -> None:
        req = await stream.recv_message()
        if req is not None:
            await stream.send_message(self._peers.serve_exchange(req))

    async def _hand_over(
        self, stream: Stream[TransferBatch, TransferReply]
    ) -> None:
        batch = await stream.recv_message()
        if batch is not None:
            await stream.send_message(self._peers.serve_hand_over(batch))


async def _abandon(*futs: asyncio.Future[Any]) -> None:
    for fut in futs:
        fut.cancel()
    await asyncio.wait(futs)
    for fut in futs:
        if not fut.cancelled():
            fut.exception()
