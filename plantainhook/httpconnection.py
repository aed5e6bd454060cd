"""HTTP/1.1 client for one connection, with h11 over a transport.

It is used for leafs and for the platform's store. One request is in flight at
a time. Every failure is an ``errors.LeafError``, whose ``ran`` is NO only if
that is certain: the connection was refused or no byte of the request was
written. After a failure that leaves the stream in an unknown state,
``HttpConnection.is_reusable`` returns False and the connection must be closed.
"""

import dataclasses
import enum
import math
import typing
from collections import abc

import h11
import result
import trio

from plantainhook import errors, eventturns, leaftransport, steps

RECEIVE_BYTES: typing.Final = 65_536
REPLY_LIMIT_BYTES: typing.Final = 4_194_304
HEAD_LIMIT_BYTES: typing.Final = 16_384
# Each chunk of a body counts towards the size limit like so many bytes more:
# the work that a body takes depends on the number of its chunks.
CHUNK_COST_BYTES: typing.Final = 256
# A peer closes an idle connection at the timeout that it announces. A request
# sent this long before still arrives in time, also from another data centre.
IDLE_MARGIN_S: typing.Final = 0.5
KEEP_ALIVE_HEADER: typing.Final = b"keep-alive"
TIMEOUT_FIELD: typing.Final = b"timeout="
# A longer announced timeout is ignored; it may not even be a valid number.
TIMEOUT_DIGITS_MAX_COUNT: typing.Final = 9
# The highest status that HTTP defines a class for.
STATUS_MAX: typing.Final = 599
# A peer that sends more interim replies than this never ends its reply.
INTERIM_REPLIES_MAX_COUNT: typing.Final = 8

T = typing.TypeVar("T")
# The error has this type for all peers, also for the platform's store.
LeafResult = result.Result[T, errors.LeafError]
Failure = errors.LeafFailureKind
Headers = typing.Sequence[tuple[bytes, bytes]]
TextHeaders = typing.Sequence[tuple[str, str]]


class Phase(enum.Enum):
    """Name the phases of an exchange on a connection."""

    IDLE = "idle"
    SENDING = "sending"
    WAITING = "waiting"
    BROKEN = "broken"


@dataclasses.dataclass(slots=True)
class RawReply:
    """Represent an HTTP reply; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None if it is absent.

        ``name`` is in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class HttpConnection:
    """Exchange requests and replies on one connection.

    ``peer`` names the other side. ``last_used_s`` is the time of the last
    complete exchange. After an idle time of ``idle_limit_s`` the connection is
    stale; None means no limit. ``on_late_reply`` is called with the reply to
    a request that was abandoned, if it still arrives.
    """

    peer: str
    address: str
    phase: Phase
    last_used_s: float
    idle_limit_s: float | None
    reply_limit_bytes: int = REPLY_LIMIT_BYTES
    on_late_reply: abc.Callable[[RawReply], None] | None = None

    def __init__(
        self, transport: leaftransport.Transport, peer: str, address: str
    ) -> None:
        self.peer = peer
        self.address = address
        self.phase = Phase.IDLE
        self.last_used_s = trio.current_time()
        self.idle_limit_s = None
        self._transport = transport
        self._http = h11.Connection(h11.CLIENT, HEAD_LIMIT_BYTES)
        self._written_bytes = 0
        self._eof = False

    def is_reusable(self) -> bool:
        """Return whether another request can be sent."""
        return self.phase is Phase.IDLE

    def is_stale(self) -> bool:
        """Return whether an idle connection must not be used any more.

        It is stale if the peer has closed it or soon will, at the timeout
        that it announced. Received bytes make it stale too, because they
        belong to no request.
        """
        if self.idle_limit_s is not None:
            idle_s = trio.current_time() - self.last_used_s
            if idle_s > self.idle_limit_s:
                return True
        return self._transport.is_readable()

    def close(self) -> None:
        """Close the connection at once."""
        self.phase = Phase.BROKEN
        self._transport.close()

    async def close_gracefully(self, timeout_s: float) -> None:
        """Close, and wait until the peer has closed its side too."""
        self.phase = Phase.BROKEN
        if timeout_s > 0:
            with trio.move_on_after(timeout_s):
                try:
                    self._transport.send_eof()
                    while await self._transport.receive_some(RECEIVE_BYTES):
                        pass
                except (OSError, trio.BrokenResourceError):
                    pass
        self._transport.close()

    async def exchange(
        self, head: h11.Request, body: bytes, deadline_s: float
    ) -> LeafResult[RawReply]:
        """Send a request and return the reply, whatever its status is.

        ``deadline_s`` is on the trio clock; it may be infinite if the calling
        task is cancelled at the deadline.
        """
        if deadline_s == math.inf:
            return await self._exchange(head, body)
        with trio.CancelScope(deadline=deadline_s):
            return await self._exchange(head, body)
        detail = "the deadline passed before the reply"
        return result.Err(self._error(Failure.TIMEOUT, detail))

    async def _exchange(
        self, head: h11.Request, body: bytes
    ) -> LeafResult[RawReply]:
        try:
            await self._send(head, body)
            return result.Ok(await self.finish_reply())
        except errors.LeafError as error:
            self.phase = Phase.BROKEN
            return result.Err(error)

    async def finish_reply(self) -> RawReply:
        """Read the reply of the request in flight.

        Raises LeafError.
        """
        reply = RawReply(0, (), b"")
        # One buffer, because a body may arrive in chunks of one byte each.
        body = bytearray()
        cost_bytes = 0
        interim_count = 0
        turns = eventturns.EventTurns()
        while True:
            event = await self._next_event()
            await turns.count()
            if isinstance(event, h11.Response):
                reply.status = self._check_status(event.status_code)
                reply.headers = event.headers
            elif isinstance(event, h11.InformationalResponse):
                interim_count += 1
                if interim_count > INTERIM_REPLIES_MAX_COUNT:
                    detail = "the peer sends interim replies without end"
                    raise self._error(Failure.MALFORMED, detail)
            elif isinstance(event, h11.Data):
                body += event.data
                cost_bytes += len(event.data)
                if event.chunk_start:
                    cost_bytes += CHUNK_COST_BYTES
                self._check_cost(cost_bytes)
            elif isinstance(event, h11.EndOfMessage):
                reply.body = bytes(body)
                self._end_exchange(reply)
                if self.on_late_reply is not None:
                    self.on_late_reply(reply)
                    self.on_late_reply = None
                return reply
            elif isinstance(event, h11.ConnectionClosed):
                raise self._closed_error()

    def ran(self) -> errors.Ran:
        """Return whether the request in flight may have run.

        It certainly has not if none of its bytes were written.
        """
        return errors.Ran.MAYBE if self._written_bytes else errors.Ran.NO

    async def _send(self, head: h11.Request, body: bytes) -> None:
        self._written_bytes = 0
        self.phase = Phase.SENDING
        data = self._http.send(head) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            while self._written_bytes < len(data):
                rest = data[self._written_bytes :]
                self._written_bytes += await self._transport.send_some(rest)
        except (OSError, trio.BrokenResourceError) as error:
            raise self._error(Failure.CONNECTION_LOST, str(error)) from error
        self.phase = Phase.WAITING

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                if self._eof:
                    raise self._closed_error() from error
                raise self._protocol_error(error) from error
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
            elif isinstance(event, h11.Event):
                return event
            else:
                raise self._error(
                    Failure.MALFORMED, "the reply is not complete"
                )

    async def _receive(self) -> bytes:
        """Return received bytes; none at the end of the stream.

        The end of the stream also ends a reply without a length.
        """
        try:
            data = await self._transport.receive_some(RECEIVE_BYTES)
        except (OSError, trio.BrokenResourceError) as error:
            raise self._error(Failure.CONNECTION_LOST, str(error)) from error
        self._eof = not data
        return data

    def _end_exchange(self, reply: RawReply) -> None:
        if (
            self._http.our_state is h11.DONE is self._http.their_state
            and not self._http.trailing_data[0]
            and not self._eof
        ):
            self._http.start_next_cycle()
            self.phase = Phase.IDLE
            self.last_used_s = trio.current_time()
            self._record_idle_limit(reply)
        else:
            self.phase = Phase.BROKEN

    def _record_idle_limit(self, reply: RawReply) -> None:
        """Record the idle timeout that the reply announces."""
        announced = reply.header(KEEP_ALIVE_HEADER)
        if announced is None:
            return
        for field in announced.replace(b" ", b"").lower().split(b","):
            digits = field.removeprefix(TIMEOUT_FIELD)
            if (
                field.startswith(TIMEOUT_FIELD)
                and digits.isdigit()
                and len(digits) <= TIMEOUT_DIGITS_MAX_COUNT
            ):
                self.idle_limit_s = int(digits) - IDLE_MARGIN_S

    def _check_status(self, status: int) -> int:
        if status > STATUS_MAX:
            detail = f"the status {status} is invalid"
            raise self._error(Failure.MALFORMED, detail)
        return status

    def _check_cost(self, cost_bytes: int) -> None:
        limit_bytes = self.reply_limit_bytes
        if cost_bytes > limit_bytes:
            detail = (
                f"the reply is larger than {limit_bytes} bytes, with "
                f"{CHUNK_COST_BYTES} for each chunk"
            )
            raise self._error(Failure.MALFORMED, detail)

    def _closed_error(self) -> errors.LeafError:
        detail = "the peer closed the connection before its reply ended"
        return self._error(Failure.CONNECTION_LOST, detail)

    def _protocol_error(
        self, error: h11.RemoteProtocolError
    ) -> errors.LeafError:
        return self._error(Failure.MALFORMED, str(error))

    def _error(
        self,
        kind: errors.LeafFailureKind,
        detail: str,
        ran: errors.Ran | None = None,
    ) -> errors.LeafError:
        """Build an error whose step follows from the phase."""
        sending = self.phase is Phase.SENDING
        step = steps.Step.QUERY_SEND if sending else steps.Step.QUERY_WAIT
        return errors.LeafError(
            step, self.address, detail, kind, ran or self.ran()
        )
