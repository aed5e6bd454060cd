"""Byte streams over TCP, to leafs and other HTTP peers.

``Transport`` is the interface between ``httpconnection`` and the network.
``SocketTransport`` implements it over a socket, and tests implement it in
memory. ``send_some`` returns after the first write, so that the client knows
whether any byte of a request has been written.
"""

import select
import socket
import typing
from collections import abc

import trio

# A peer that vanished without closing the connection is detected after about
# 5 s on an idle connection, and after 3 s if sent bytes are not acknowledged.
KEEPALIVE_IDLE_S: typing.Final = 3
# On a connection that waits for news, after about 3 s.
WATCH_KEEPALIVE_IDLE_S: typing.Final = 1
KEEPALIVE_INTERVAL_S: typing.Final = 1
KEEPALIVE_PROBES_COUNT: typing.Final = 2
UNACKNOWLEDGED_LIMIT_MS: typing.Final = 3000
TCP_OPTIONS: typing.Final = (
    (socket.TCP_NODELAY, 1),
    (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPCNT, KEEPALIVE_PROBES_COUNT),
    (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
)


class Transport(typing.Protocol):
    """Interface of a byte stream to one peer.

    Methods that fail raise OSError or trio.BrokenResourceError.
    """

    async def send_some(self, data: bytes) -> int:
        """Write at least one byte and return how many were written."""

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return received bytes, or ``b""`` at the end of the stream."""

    def is_readable(self) -> bool:
        """Return whether bytes, an end of stream or an error can be read."""

    def send_eof(self) -> None:
        """Close the sending side; receiving is still possible."""

    def close(self) -> None:
        """Close both sides at once; a second call does nothing."""


Connector = abc.Callable[[str], abc.Awaitable[Transport]]


class SocketTransport:
    """Send and receive bytes over a connected stream socket.

    It uses the non-blocking socket directly, to save passes through the
    scheduler: a write to a socket with buffer space needs none. A read waits
    first, because it follows a request whose reply cannot be there yet.
    """

    def __init__(self, connected: socket.socket) -> None:
        connected.setblocking(False)
        self._socket = connected
        self._poller = select.poll()
        self._poller.register(connected, select.POLLIN)

    async def send_some(self, data: bytes | memoryview) -> int:
        """Write at least one byte and return how many were written."""
        await trio.lowlevel.checkpoint_if_cancelled()
        while True:
            try:
                return self._socket.send(data)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._socket)

    def send_now(self, data: bytes) -> int:
        """Write what the socket takes at once; return how many bytes.

        Raises OSError.
        """
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return received bytes, or ``b""`` at the end of the stream."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                return self._socket.recv(max_bytes)
            except BlockingIOError:
                continue

    async def wait_readable(self) -> None:
        """Wait until bytes, an end of stream or an error can be read."""
        await trio.lowlevel.wait_readable(self._socket)

    def is_readable(self) -> bool:
        """Return whether bytes, an end of stream or an error can be read."""
        return bool(self._poller.poll(0))

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer closed its sending side or both sides.

        Bytes that it sent before that may still be unread.
        """
        poller = select.poll()
        poller.register(self._socket, select.POLLRDHUP)
        return bool(poller.poll(0))

    def send_eof(self) -> None:
        """Close the sending side; receiving is still possible."""
        self._socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close both sides at once; a second call does nothing."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port`` or ``[IPv6 host]:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def connect(
    address: str, keepalive_idle_s: int = KEEPALIVE_IDLE_S
) -> SocketTransport:
    """Open a TCP connection to an IP address and port.

    Raises OSError.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    new_socket = socket.socket(family, socket.SOCK_STREAM)
    try:
        new_socket.setblocking(False)
        new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            *TCP_OPTIONS,
            (socket.TCP_KEEPIDLE, keepalive_idle_s),
        ):
            new_socket.setsockopt(socket.IPPROTO_TCP, option, value)
        await trio.socket.from_stdlib_socket(new_socket).connect((host, port))
    except BaseException:
        new_socket.close()
        raise
    return SocketTransport(new_socket)


async def connect_for_watches(address: str) -> SocketTransport:
    """Open a TCP connection whose loss is detected sooner.

    Raises OSError.
    """
    return await connect(address, WATCH_KEEPALIVE_IDLE_S)
