"""HTTP/1.1 server for callers, with h11 over trio sockets.

Each connection has its own task (``callerconnection``). A draining server
closes each connection after its next response, or after the response to the
last request that has arrived on it; ``HttpServer.close_idle`` closes those
that are idle.
"""

import contextlib
import socket
import typing

import h11
import trio

from plantainhook import (
    callerconnection,
    clientguard,
    leaftransport,
    logs,
)

LOGGER: typing.Final = logs.part_logger("front")
# The kernel's buffers for each direction of a connection. Without a limit they
# grow to several MB each, which a client can fill.
SOCKET_BUFFER_BYTES: typing.Final = 131_072
BACKLOG_COUNT: typing.Final = 1024
# A caller is disconnected if none of a response can be written for this time.
# The kernel takes more only when a third of its buffer is free.
WRITE_TIMEOUT_S: typing.Final = 15.0
ACCEPT_RETRY_S: typing.Final = 0.01
# Connections that are chosen to make room close in the next passes of the
# event loop, so few are accepted in one pass.
ACCEPTED_PER_PASS_COUNT: typing.Final = 64
NO_ROOM: typing.Final = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class HttpServer:
    """Serve callers on a listening socket.

    ``get_limits`` is called for each request. ``guard`` limits what clients
    hold; the servers of a process share it.
    """

    def __init__(
        self,
        handler: callerconnection.Handler,
        get_limits: callerconnection.GetLimits,
        guard: clientguard.ClientGuard | None = None,
    ) -> None:
        self._handler = handler
        self._get_limits = get_limits
        self._guard = guard or clientguard.build_guard()
        self._draining = trio.Event()
        self._accept_scope = trio.CancelScope()
        self.connections: set[callerconnection.CallerConnection] = set()

    async def serve(self, address: str, nursery: trio.Nursery) -> None:
        """Accept connections until cancelled or ``stop_accepting``."""
        with listen(address) as listener:
            with self._accept_scope:
                while True:
                    await trio.lowlevel.wait_readable(listener)
                    if not self._accept_waiting(
                        listener, nursery, ACCEPTED_PER_PASS_COUNT
                    ):
                        await trio.sleep(ACCEPT_RETRY_S)
            self._accept_waiting(listener, nursery, BACKLOG_COUNT)

    def stop_accepting(self) -> None:
        """Close the listener once the connections that wait are accepted.

        Pattern: a planned stop under load. A connection that waits to be
        accepted when its listener closes is reset, and the request on it is
        lost.
        """
        self._accept_scope.cancel()

    def _accept_waiting(
        self,
        listener: socket.socket,
        nursery: trio.Nursery,
        most_count: int,
    ) -> bool:
        """Accept connections that wait; return False after an error."""
        for _ in range(most_count):
            try:
                accepted, address = listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                self._guard.log(f"A connection could not be accepted: {error}")
                return False
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = self._add_connection(
                leaftransport.SocketTransport(accepted), address[0]
            )
            if connection is None:
                _turn_away(accepted)
            else:
                nursery.start_soon(self._serve, connection)
        return True

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
        connection = self._add_connection(transport, "")
        if connection is None:
            transport.close()
        else:
            await self._serve(connection)

    def _add_connection(
        self, transport: leaftransport.SocketTransport, address: str
    ) -> callerconnection.CallerConnection | None:
        """Return a new connection, which counts as open from now on.

        Return None if there is no room for it.
        """
        scope = trio.CancelScope()
        holding = self._guard.admit(address, scope.cancel)
        if holding is None:
            return None
        connection = callerconnection.CallerConnection(
            transport, self._connection_options(), holding, scope
        )
        self.connections.add(connection)
        return connection

    def _connection_options(self) -> callerconnection.ConnectionOptions:
        return callerconnection.ConnectionOptions(
            self._handler,
            self._get_limits,
            self.is_draining,
            self._guard,
            WRITE_TIMEOUT_S,
        )

    async def _serve(
        self, connection: callerconnection.CallerConnection
    ) -> None:
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


def _turn_away(accepted: socket.socket) -> None:
    """Close a connection for which there is no room; nothing has run."""
    with contextlib.suppress(OSError):
        accepted.send(NO_ROOM)
    accepted.close()


def listen(address: str) -> socket.socket:
    """Open a listening socket at an IP address and port.

    Raises OSError.
    """
    host, port = leaftransport.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit the sizes of the buffers.
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        opened.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    opened.bind((host, port))
    opened.listen(BACKLOG_COUNT)
    opened.setblocking(False)
    return opened
