"""HTTP/1.1 server for callers, with h11 over trio sockets.

Each connection has its own task, which reads complete requests, passes them to
a handler and writes the responses. It keeps reading while a request runs, so
that the work is cancelled as soon as the caller disconnects. A draining server
closes each connection after its next response, or after the response to the
last request that has arrived on it; ``HttpServer.close_idle`` closes those
that are idle.
"""

import socket
import typing
from collections import abc

import h11
import trio

from plantainhook import (
    eventturns,
    forwardtypes,
    leaftransport,
    logs,
    routetable,
)

LOGGER: typing.Final = logs.part_logger("front")
RECEIVE_BYTES: typing.Final = 65_536
BACKLOG_COUNT: typing.Final = 1024
# A caller is disconnected if none of a response can be written for this time.
# The kernel takes more only when a third of its buffer is free.
WRITE_TIMEOUT_S: typing.Final = 15.0
STATUS_TOO_LARGE: typing.Final = 413
# A connection that is closed while bytes still arrive is reset, and the caller
# may lose the response. So the rest of a body is read for this time first.
LINGER_S: typing.Final = 0.2
ACCEPT_RETRY_S: typing.Final = 0.01
# The first request on a new connection is expected within this time.
NEW_CONNECTION_S: typing.Final = 0.5

# Takes method, target, headers, body, and when the request began to arrive.
Handler = abc.Callable[
    [bytes, bytes, forwardtypes.Headers, bytes, float],
    abc.Awaitable[forwardtypes.Response],
]
GetLimits = abc.Callable[[], routetable.ClientLimits]


class HttpServer:
    """Serve callers on a listening socket.

    ``get_limits`` is called for each request.
    """

    def __init__(self, handler: Handler, get_limits: GetLimits) -> None:
        self._handler = handler
        self._get_limits = get_limits
        self._draining = trio.Event()
        self._accept_scope = trio.CancelScope()
        self.connections: set[CallerConnection] = set()

    async def serve(self, address: str, nursery: trio.Nursery) -> None:
        """Accept connections until cancelled or ``stop_accepting``."""
        with listen(address) as listener:
            with self._accept_scope:
                while True:
                    await trio.lowlevel.wait_readable(listener)
                    if not self._accept_waiting(listener, nursery):
                        await trio.sleep(ACCEPT_RETRY_S)
            self._accept_waiting(listener, nursery)

    def stop_accepting(self) -> None:
        """Close the listener once the connections that wait are accepted.

        Pattern: a planned stop under load. A connection that waits to be
        accepted when its listener closes is reset, and the request on it is
        lost.
        """
        self._accept_scope.cancel()

    def _accept_waiting(
        self, listener: socket.socket, nursery: trio.Nursery
    ) -> bool:
        """Accept all connections that wait; return False after an error."""
        while True:
            try:
                accepted, _ = listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                LOGGER.warning("A connection could not be accepted: {}", error)
                return False
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = self._add_connection(
                leaftransport.SocketTransport(accepted)
            )
            nursery.start_soon(self._serve, connection)

    def drain(self) -> None:
        """Close each connection once what has arrived on it is answered."""
        self._draining.set()

    def is_draining(self) -> bool:
        """Return whether connections are closed after their response."""
        return self._draining.is_set()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in self.connections:
            connection.close_if_idle()

    def unanswered_count(self) -> int:
        """Return how many requests were read and are not fully answered."""
        return sum(connection.has_request for connection in self.connections)

    async def serve_transport(
        self, transport: leaftransport.SocketTransport
    ) -> None:
        """Serve one connection until it ends."""
        await self._serve(self._add_connection(transport))

    def _add_connection(
        self, transport: leaftransport.SocketTransport
    ) -> "CallerConnection":
        """Return a new connection, which counts as open from now on."""
        connection = CallerConnection(
            transport, self._handler, self._get_limits, self
        )
        self.connections.add(connection)
        return connection

    async def _serve(self, connection: "CallerConnection") -> None:
        try:
            await connection.serve()
        except (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
            h11.LocalProtocolError,
        ) as error:
            LOGGER.debug("The connection of a caller failed: {!r}", error)
        except Exception:
            # An unexpected error ends this connection and not the process.
            LOGGER.exception("The connection of a caller failed.")
        finally:
            self.connections.discard(connection)
            connection.close()


class CallerConnection:
    """Serve the requests of one connection, one after the other.

    ``has_request`` states whether a request was read and not answered yet.
    """

    has_request: bool

    def __init__(
        self,
        transport: leaftransport.SocketTransport,
        handler: Handler,
        get_limits: GetLimits,
        server: HttpServer,
    ) -> None:
        self._transport = transport
        self._handler = handler
        self._get_limits = get_limits
        self._limits = get_limits()
        self._server = server
        self._http = h11.Connection(h11.SERVER, self._limits.head_bytes)
        self.has_request = False
        self._idle_scope: trio.CancelScope | None = None
        self._opened_s = trio.current_time()
        self._has_served = False
        self._arrived_s = self._opened_s

    def close(self) -> None:
        """Close the connection at once."""
        self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection if no byte of a request has arrived.

        A new connection stays open for some time, because its first request
        is on the way.
        """
        is_new = trio.current_time() < self._opened_s + NEW_CONNECTION_S
        if self._idle_scope is None or (is_new and not self._has_served):
            return
        if not self._transport.is_readable():
            self._idle_scope.cancel()

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        while True:
            try:
                request = await self._read_head()
                if request is None:
                    return
                body = await self._read_body(request)
            except h11.RemoteProtocolError as error:
                await self._refuse(error.error_status_hint)
                return
            if body is None:
                await self._refuse(STATUS_TOO_LARGE)
                return
            self._has_served = True
            self.has_request = True
            response = await self._run_handler(request, body)
            if response is None:
                return
            stays_open = await self._write(response)
            if not stays_open:
                return
            self._http.start_next_cycle()
            self._update_limits()

    def _update_limits(self) -> None:
        """Apply the limits that are in force now.

        The limit of the head belongs to the parser, so a new one takes over.
        """
        limits = self._get_limits()
        if limits.head_bytes != self._limits.head_bytes:
            unread, _ = self._http.trailing_data
            self._http = h11.Connection(h11.SERVER, limits.head_bytes)
            if unread:
                self._http.receive_data(unread)
        self._limits = limits

    async def _read_head(self) -> h11.Request | None:
        """Return the head of the next request, or None if none comes."""
        event = self._http.next_event()
        has_bytes = bool(self._http.trailing_data[0])
        if (
            event is h11.NEED_DATA
            and not has_bytes
            and not await self._wait_idle()
        ):
            return None
        self._arrived_s = trio.current_time()
        with trio.move_on_after(self._limits.head_timeout_s):
            while event is h11.NEED_DATA:
                await self._receive()
                event = self._http.next_event()
            return event if isinstance(event, h11.Request) else None
        return None

    async def _wait_idle(self) -> bool:
        """Wait for the first byte of a request; return False if none comes."""
        with trio.move_on_after(self._limits.idle_timeout_s) as scope:
            self._idle_scope = scope
            try:
                await self._transport.wait_readable()
            finally:
                self._idle_scope = None
        # The configuration may have changed while the connection was idle.
        self._update_limits()
        return not scope.cancelled_caught

    async def _read_body(self, request: h11.Request) -> bytes | None:
        """Return the body, or None if it is too large."""
        if self._http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._http.send(proceed))
        # One buffer, because a body may arrive in chunks of one byte each.
        body = bytearray()
        turns = eventturns.EventTurns()
        while True:
            event = self._http.next_event()
            await turns.count()
            if event is h11.NEED_DATA:
                with trio.fail_after(self._limits.idle_timeout_s):
                    await self._receive()
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    return None
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise h11.RemoteProtocolError("the body is not complete")

    async def _run_handler(
        self, request: h11.Request, body: bytes
    ) -> forwardtypes.Response | None:
        """Run a request; return None if the caller disconnected first."""
        responses: list[forwardtypes.Response] = []
        async with trio.open_nursery() as nursery:

            async def run() -> None:
                responses.append(
                    await self._handler(
                        request.method,
                        request.target,
                        list(request.headers),
                        body,
                        self._arrived_s,
                    )
                )
                nursery.cancel_scope.cancel()

            nursery.start_soon(run)
            if await self._wait_for_disconnect():
                nursery.cancel_scope.cancel()
        return responses[0] if responses else None

    async def _wait_for_disconnect(self) -> bool:
        """Wait until the caller disconnects; return False if it sends data.

        Such data are the start of the next request.
        """
        try:
            data = await self._transport.receive_some(RECEIVE_BYTES)
        except (OSError, trio.BrokenResourceError):
            return True
        self._http.receive_data(data)
        return not data

    async def _write(self, response: forwardtypes.Response) -> bool:
        """Write a response; return whether the connection stays open."""
        headers = [
            *response.headers,
            (b"content-length", b"%d" % len(response.body)),
        ]
        if self._server.is_draining() and not self._has_next_bytes():
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._http.send(head) or b""
        data += self._http.send(h11.Data(data=response.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._send(data)
        self.has_request = False
        if self._http.our_state is h11.DONE is self._http.their_state:
            return True
        await self._linger()
        return False

    def _has_next_bytes(self) -> bool:
        """Return whether bytes of a further request have arrived.

        Pattern: a caller sends requests without waiting for the answers. Its
        further requests are lost if the connection is closed after the first.
        """
        return (
            bool(self._http.trailing_data[0]) or self._transport.is_readable()
        )

    async def _linger(self) -> None:
        """Read the bytes that still arrive, so that closing sends no reset."""
        self._transport.send_eof()
        with trio.move_on_after(LINGER_S):
            while await self._transport.receive_some(RECEIVE_BYTES):
                pass

    async def _refuse(self, status: int) -> None:
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._write(forwardtypes.Response(status, [], b""))

    async def _receive(self) -> None:
        data = await self._transport.receive_some(RECEIVE_BYTES)
        self._http.receive_data(data)

    async def _send(self, data: bytes | None) -> None:
        rest = data or b""
        while rest:
            with trio.fail_after(WRITE_TIMEOUT_S):
                sent_count = await self._transport.send_some(rest)
            rest = rest[sent_count:]


def listen(address: str) -> socket.socket:
    """Open a listening socket at an IP address and port.

    Raises OSError.
    """
    host, port = leaftransport.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    opened.bind((host, port))
    opened.listen(BACKLOG_COUNT)
    opened.setblocking(False)
    return opened
