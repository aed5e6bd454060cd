"""Serve one connection of a caller over HTTP/1.1, with h11.

It passes complete requests to a handler, one after the other, and writes the
responses. While a request runs, the connection is watched, so that the work
is cancelled as soon as the caller disconnects.
"""

import dataclasses
import typing
from collections import abc

import h11
import trio

from plantainhook import (
    clientaccount,
    clientguard,
    forwardtypes,
    leaftransport,
    requestreader,
    routetable,
)

# A connection that is closed while bytes still arrive is reset, and the caller
# may lose the response. So the rest of a body is read for this time first.
LINGER_S: typing.Final = 0.2
# A shorter body is written together with its head.
JOINED_BODY_BYTES: typing.Final = 16_384
LINGER_RECEIVE_BYTES: typing.Final = 16_384
# A refusal that the caller doesn't take in this time is dropped.
REFUSAL_TIMEOUT_S: typing.Final = 0.2
# The same, if the connection is closed to make room for others.
SHED_REFUSAL_TIMEOUT_S: typing.Final = 0.02
REFUSAL_RETRY_S: typing.Final = 1
# The first request on a new connection is expected within this time.
NEW_CONNECTION_S: typing.Final = 0.5

# Takes method, target, headers, body, and when the request began to arrive.
Handler = abc.Callable[
    [bytes, bytes, forwardtypes.Headers, bytes, float],
    abc.Awaitable[forwardtypes.Response],
]
GetLimits = abc.Callable[[], routetable.ClientLimits]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionOptions:
    """Define what the connections of one server share."""

    handler: Handler
    get_limits: GetLimits
    is_draining: abc.Callable[[], bool]
    guard: clientguard.ClientGuard
    write_timeout_s: float


class CallerConnection:
    """Serve the requests of one connection, one after the other.

    ``has_request`` states whether a request was read and not answered yet.
    """

    has_request: bool

    def __init__(
        self,
        transport: leaftransport.SocketTransport,
        options: ConnectionOptions,
        holding: clientaccount.Holding,
        scope: trio.CancelScope,
    ) -> None:
        self._transport = transport
        self._options = options
        self._guard = options.guard
        self._holding = holding
        self._scope = scope
        self._limits = options.get_limits()
        self._reader = requestreader.RequestReader(
            transport, self._limits, self._guard, holding
        )
        self.has_request = False
        self._idle_scope: trio.CancelScope | None = None
        self._opened_s = trio.current_time()

    def close(self) -> None:
        """Close the connection at once."""
        self._guard.release(self._holding)
        self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection if no byte of a request has arrived.

        A new connection stays open for some time, because its first request
        is on the way.
        """
        is_new = trio.current_time() < self._opened_s + NEW_CONNECTION_S
        if self._idle_scope is None or (
            is_new and not self._holding.has_served
        ):
            return
        if not self._transport.is_readable():
            self._idle_scope.cancel()

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        with self._scope:
            while await self._serve_request():
                pass
        if (
            self._holding.is_shed
            and self._holding.phase is clientaccount.Phase.READING
        ):
            await self._refuse_for_others()

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        received = await self._receive_request()
        if isinstance(received, int):
            # If the connection makes room for others, ``serve`` refuses.
            if not self._holding.is_shed:
                await self._refuse(received)
            return False
        if received is None:
            return False
        request, body = received
        # There is no checkpoint between the last check for room and this, so
        # a request whose connection must make room never runs.
        self._holding.has_served = True
        self.has_request = True
        self._holding.enter(clientaccount.Phase.RUNNING, trio.current_time())
        response = await self._run_handler(request, body)
        if response is None:
            return False
        parts = self._encode(response)
        # If the write is cancelled, its traceback may keep this frame.
        del response, request, received, body
        if not await self._write(parts):
            return False
        self._reader.http.start_next_cycle()
        self._update_limits()
        return True

    async def _receive_request(
        self,
    ) -> tuple[h11.Request, bytes] | int | None:
        """Return a request and its body, or the status that refuses it.

        Return None if no request comes. The status is returned rather than
        raised, so that no traceback keeps the bytes while it is written.
        """
        try:
            if not await self._wait_for_request():
                return None
            request = await self._reader.read_head()
            if request is None:
                return None
            return request, await self._read_body(request)
        except h11.RemoteProtocolError as error:
            return error.error_status_hint
        except requestreader.RefusedError as error:
            return error.status

    def _update_limits(self) -> None:
        """Apply the limits that are in force now."""
        self._limits = self._options.get_limits()
        self._reader.update_limits(self._limits)

    async def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return False if none comes."""
        now_s = trio.current_time()
        if self._reader.ahead_bytes():
            self._holding.enter(clientaccount.Phase.READING, now_s)
            # Further requests that a caller sends without waiting for the
            # answers take turns, so that other callers' requests go first.
            await self._guard.turns.wait()
            return True
        self._holding.enter(clientaccount.Phase.IDLE, now_s)
        with trio.move_on_after(self._limits.idle_timeout_s) as scope:
            self._idle_scope = scope
            try:
                await self._transport.wait_readable()
            finally:
                self._idle_scope = None
        # The configuration may have changed while the connection was idle.
        self._update_limits()
        return not scope.cancelled_caught

    async def _read_body(self, request: h11.Request) -> bytes:
        if self._reader.http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            data = self._reader.http.send(proceed) or b""
            await self._send(memoryview(data))
        return await self._reader.read_body(request)

    async def _run_handler(
        self, request: h11.Request, body: bytes
    ) -> forwardtypes.Response | None:
        """Run a request; return None if the caller disconnected first."""
        responses: list[forwardtypes.Response] = []
        async with trio.open_nursery() as nursery:

            async def run() -> None:
                responses.append(
                    await self._options.handler(
                        request.method,
                        request.target,
                        list(request.headers),
                        body,
                        self._reader.arrived_s,
                    )
                )
                nursery.cancel_scope.cancel()

            nursery.start_soon(run)
            if await self._reader.wait_for_disconnect():
                nursery.cancel_scope.cancel()
        # Cancelling the nursery leaves a traceback that keeps this list.
        return responses.pop() if responses else None

    async def _write(self, parts: list[bytes]) -> bool:
        """Write a response; return whether the connection stays open."""
        http = self._reader.http
        self._release_request()
        while parts:
            sent_count = self._transport.send_now(parts[0])
            if sent_count < len(parts[0]):
                await self._write_rest(parts, sent_count)
                break
            del parts[0]
        self.has_request = False
        if http.our_state is h11.DONE is http.their_state:
            return True
        self._holding.enter(clientaccount.Phase.WRITING, trio.current_time())
        await self._linger()
        return False

    async def _write_rest(self, parts: list[bytes], sent_count: int) -> None:
        """Write what the socket did not take at once."""
        self._holding.enter(clientaccount.Phase.WRITING, trio.current_time())
        kind = clientaccount.Kind.RESPONSE
        self._guard.charge(self._holding, kind, sum(map(len, parts)))
        try:
            while parts:
                await self._send(memoryview(parts[0])[sent_count:])
                sent_count = 0
                del parts[0]
        finally:
            parts.clear()
        self._guard.charge(self._holding, kind, 0)

    def _encode(self, response: forwardtypes.Response) -> list[bytes]:
        """Return the bytes of a response; a long body is not copied."""
        http = self._reader.http
        headers = [
            *response.headers,
            (b"content-length", b"%d" % len(response.body)),
        ]
        if self._options.is_draining() and not self._has_next_bytes():
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = http.send(head) or b""
        body = h11.Data(data=response.body)
        parts = http.send_with_data_passthrough(body) or []
        parts.append(http.send(h11.EndOfMessage()) or b"")
        if len(response.body) <= JOINED_BODY_BYTES:
            return [data + b"".join(parts)]
        return [part for part in (data, *parts) if part]

    def _release_request(self) -> None:
        """Release what the request held; it is answered."""
        if self._holding.held_bytes == clientaccount.CONNECTION_BYTES:
            return
        charge = self._guard.account.charge
        ahead_bytes = self._reader.ahead_bytes()
        charge(self._holding, clientaccount.Kind.HEAD, 0)
        charge(self._holding, clientaccount.Kind.BODY, 0)
        charge(self._holding, clientaccount.Kind.AHEAD, ahead_bytes)

    def _has_next_bytes(self) -> bool:
        """Return whether bytes of a further request have arrived.

        Pattern: a caller sends requests without waiting for the answers. Its
        further requests are lost if the connection is closed after the first.
        """
        return self._reader.ahead_bytes() > 0 or self._transport.is_readable()

    async def _linger(self) -> None:
        """Read the bytes that still arrive, so that closing sends no reset."""
        self._transport.send_eof()
        with trio.move_on_after(LINGER_S):
            while await self._transport.receive_some(LINGER_RECEIVE_BYTES):
                # Bytes that arrive without end don't keep other tasks waiting.
                await self._guard.turns.wait()

    async def _refuse(self, status: int) -> None:
        """Refuse a request that has not run; drop what can't be written."""
        self._guard.count(str(status))
        self._release_request()
        if self._reader.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = []
        if status == requestreader.STATUS_UNAVAILABLE:
            headers.append((b"retry-after", b"%d" % REFUSAL_RETRY_S))
        with trio.move_on_after(REFUSAL_TIMEOUT_S + LINGER_S):
            response = forwardtypes.Response(status, headers, b"")
            await self._write(self._encode(response))

    async def _refuse_for_others(self) -> None:
        """Refuse the request that is read, as others need its room."""
        with trio.move_on_after(SHED_REFUSAL_TIMEOUT_S):
            await self._refuse(requestreader.STATUS_UNAVAILABLE)

    async def _send(self, rest: memoryview) -> None:
        try:
            while rest:
                with trio.fail_after(self._options.write_timeout_s):
                    sent_count = await self._transport.send_some(rest)
                rest = rest[sent_count:]
        finally:
            rest.release()
