"""Read the requests of one connection with bounded memory and time.

A head is received in small steps, and a body with a stated length up to its
end, so that little of the next request is read. What is held is charged to
the account of the process. A request that can't be read in full is refused
by ``RefusedError``; it has not run.
"""

import typing

import h11
import trio

from plantainhook import (
    clientaccount,
    clientguard,
    fairturns,
    leaftransport,
    routetable,
)

HEAD_RECEIVE_BYTES: typing.Final = 4096
BODY_RECEIVE_BYTES: typing.Final = 32_768
# The unread bytes of a body without a stated length may belong to the next
# request, and stay in the parser for as long as this one runs.
CHUNKED_RECEIVE_BYTES: typing.Final = 16_384
TINY_RECEIVE_BYTES: typing.Final = 2048
BODY_PIECE_BYTES: typing.Final = 4096
# Memory that the parser takes for each header field beside its value.
FIELD_BYTES: typing.Final = 256
# What each connection is charged for covers a head up to this size.
COVERED_HEAD_BYTES: typing.Final = 8192
# A body has the idle timeout and the time that the largest body takes at this
# rate. Bytes that arrive don't renew it.
BODY_RATE_MIN_BYTES_PER_S: typing.Final = 16_384
STATUS_TIMEOUT: typing.Final = 408
STATUS_TOO_LARGE: typing.Final = 413
STATUS_UNAVAILABLE: typing.Final = 503


class RefusedError(Exception):
    """Report that a request is refused while it is read.

    The request has not run and never will.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class RequestReader:
    """Read the requests of one connection, one after the other.

    ``http`` is the parser, ``arrived_s`` when the request began to arrive.
    """

    http: h11.Connection
    arrived_s: float

    def __init__(
        self,
        transport: leaftransport.SocketTransport,
        limits: routetable.ClientLimits,
        guard: clientguard.ClientGuard,
        holding: clientaccount.Holding,
    ) -> None:
        self._transport = transport
        self._limits = limits
        self._guard = guard
        self._holding = holding
        self.http = h11.Connection(h11.SERVER, limits.head_bytes)
        self.arrived_s = trio.current_time()
        self._head_bytes = 0

    def update_limits(self, limits: routetable.ClientLimits) -> None:
        """Apply the limits that are in force now.

        The limit of the head belongs to the parser, so a new one takes over.
        """
        if limits.head_bytes != self._limits.head_bytes:
            unread, _ = self.http.trailing_data
            self.http = h11.Connection(h11.SERVER, limits.head_bytes)
            if unread:
                self.http.receive_data(unread)
        self._limits = limits

    def ahead_bytes(self) -> int:
        """Return how many bytes were read and not parsed."""
        return len(self.http.trailing_data[0])

    async def read_head(self) -> h11.Request | None:
        """Return the head of a request that has begun to arrive.

        Return None if it doesn't arrive in time or the stream ends. Raises
        h11.RemoteProtocolError and OSError.
        """
        self.arrived_s = trio.current_time()
        self._holding.enter(clientaccount.Phase.READING, self.arrived_s)
        self._head_bytes = 0
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            event = await self._complete_head()
        if not isinstance(event, h11.Request):
            return None
        head_bytes = self._head_bytes + FIELD_BYTES * len(event.headers)
        if head_bytes > COVERED_HEAD_BYTES:
            self._charge(clientaccount.Kind.HEAD, head_bytes)
        return event

    async def _complete_head(self) -> typing.Any:
        """Receive until the parser has an event; return None if too slow."""
        event: typing.Any = h11.NEED_DATA
        pieces = fairturns.Pieces()
        with trio.move_on_after(self._limits.head_timeout_s):
            while event is h11.NEED_DATA:
                self._head_bytes += await self._receive(
                    HEAD_RECEIVE_BYTES, pieces
                )
                event = self.http.next_event()
                if self._head_bytes > COVERED_HEAD_BYTES:
                    self._charge(clientaccount.Kind.HEAD, self._head_bytes)
            return event
        return None

    async def read_body(self, request: h11.Request) -> bytes:
        """Return the body of a request.

        Raises RefusedError, h11.RemoteProtocolError and OSError.
        """
        stated_bytes = _stated_bytes(request)
        if (stated_bytes or 0) > self._limits.body_bytes:
            raise RefusedError(STATUS_TOO_LARGE)
        body = _BodyBuffer()
        try:
            await self._fill_body(body, stated_bytes)
            return body.join()
        finally:
            # An exception may keep this frame until the next collection.
            body.clear()

    async def _fill_body(
        self, body: "_BodyBuffer", stated_bytes: int | None
    ) -> None:
        pieces = fairturns.Pieces()
        deadline_s = self._body_deadline_s()
        event_count = 0
        while True:
            event = self.http.next_event()
            event_count += 1
            if event is h11.NEED_DATA:
                await self._receive_body(
                    body.size_bytes, stated_bytes, deadline_s, pieces
                )
            elif isinstance(event, h11.Data):
                body.add(event.data)
                pieces.add(len(event.data))
                if body.size_bytes > self._limits.body_bytes:
                    raise RefusedError(STATUS_TOO_LARGE)
            elif isinstance(event, h11.EndOfMessage):
                self._charge(clientaccount.Kind.BODY, body.size_bytes)
                return
            else:
                raise h11.RemoteProtocolError("the body is not complete")
            if event_count % fairturns.EVENTS_PER_TURN_COUNT == 0:
                await self._end_turn(pieces)

    def _body_deadline_s(self) -> float:
        """Return by when the body must have arrived."""
        return (
            trio.current_time()
            + self._limits.idle_timeout_s
            + self._limits.body_bytes / BODY_RATE_MIN_BYTES_PER_S
        )

    async def _receive_body(
        self,
        body_bytes: int,
        stated_bytes: int | None,
        deadline_s: float,
        pieces: fairturns.Pieces,
    ) -> None:
        if stated_bytes is not None:
            most_bytes = min(BODY_RECEIVE_BYTES, stated_bytes - body_bytes)
        elif pieces.are_tiny():
            most_bytes = TINY_RECEIVE_BYTES
        else:
            most_bytes = CHUNKED_RECEIVE_BYTES
        idle_s = trio.current_time() + self._limits.idle_timeout_s
        with trio.move_on_at(min(idle_s, deadline_s)) as scope:
            count = await self._receive(most_bytes, pieces)
        if scope.cancelled_caught:
            raise RefusedError(STATUS_TIMEOUT)
        self._charge(clientaccount.Kind.BODY, body_bytes + count)

    async def _receive(self, most_bytes: int, pieces: fairturns.Pieces) -> int:
        """Receive once and return how many bytes."""
        if pieces.are_tiny():
            # What arrives during the wait is received at once.
            await self._transport.wait_readable()
            await self._wait_for_turn()
        data = await self._transport.receive_some(most_bytes)
        pieces.add(len(data))
        self.http.receive_data(data)
        return len(data)

    async def _end_turn(self, pieces: fairturns.Pieces) -> None:
        """Let other tasks run; those that send tiny pieces take turns."""
        if pieces.are_tiny():
            await self._wait_for_turn()
        else:
            await trio.lowlevel.checkpoint()

    async def _wait_for_turn(self) -> None:
        """Wait for a turn; raise an error if the caller disconnected.

        Parsing what a crowd has sent before it left could take minutes.
        """
        await self._guard.turns.wait()
        if self._transport.is_closed_by_peer():
            raise trio.BrokenResourceError("the caller disconnected")

    async def wait_for_disconnect(self) -> bool:
        """Wait until the caller disconnects; return False if it sends data.

        Such data are the start of the next request. Nothing is read if enough
        was read before.
        """
        ahead_bytes = self.ahead_bytes()
        if self._guard.account.pause(ahead_bytes):
            return False
        try:
            data = await self._transport.receive_some(
                clientaccount.LOOK_AHEAD_BYTES - ahead_bytes
            )
        except (OSError, trio.BrokenResourceError):
            return True
        self.http.receive_data(data)
        self._guard.charge(
            self._holding, clientaccount.Kind.AHEAD, ahead_bytes + len(data)
        )
        return not data

    def _charge(self, kind: clientaccount.Kind, held_bytes: int) -> None:
        """Charge bytes; raise RefusedError if there is no room for them."""
        self._guard.charge(self._holding, kind, held_bytes)
        if self._holding.is_shed:
            raise RefusedError(STATUS_UNAVAILABLE)


def _stated_bytes(request: h11.Request) -> int | None:
    """Return the length of a body that a head states, if any."""
    length = None
    for name, value in request.headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            length = int(value)
    return length


class _BodyBuffer:
    """Collect a body in pieces of similar size.

    One growing buffer for each of hundreds of bodies fragments the heap, which
    then takes more than twice what is held. Short pieces are joined, because a
    body may arrive in chunks of one byte each.
    """

    __slots__ = ("_pieces", "_tail", "size_bytes")

    def __init__(self) -> None:
        self.size_bytes = 0
        self._pieces: list[bytes | bytearray] = []
        self._tail = bytearray()

    def add(self, data: bytes) -> None:
        """Add bytes at the end."""
        self.size_bytes += len(data)
        if len(data) >= BODY_PIECE_BYTES and not self._tail:
            self._pieces.append(data)
            return
        self._tail += data
        if len(self._tail) >= BODY_PIECE_BYTES:
            self._pieces.append(self._tail)
            self._tail = bytearray()

    def join(self) -> bytes:
        """Return the body."""
        return b"".join([*self._pieces, self._tail])

    def clear(self) -> None:
        """Free the pieces."""
        self._pieces.clear()
        self._tail = bytearray()
