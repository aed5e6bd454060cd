"""Links to other daemons over TCP or mutual TLS.

``TcpPeerTransport`` connects to peers; ``peerserver`` serves those that
connect. A link is used for
the requests of the side that connected. Many requests can be in flight at the
same time, and frames that wait together are written together. The connecting
side sends the first ``HelloFrame``; the accepting side sends nothing before it
has received a valid one with its own protocol version.
"""

import dataclasses
import random
import typing

import msgspec
import trio

from plantainhook import (
    clientguard,
    clock,
    errors,
    logs,
    peerframes,
    peerlink,
    peers,
    peerserver,
    peertls,
    wire,
)

LOGGER: typing.Final = logs.part_logger("peers")
CONNECT_TIMEOUT_S: typing.Final = 3.0
SILENT_CLOSE_S: typing.Final = 3.0
BACKOFF_MIN_S: typing.Final = 0.1
BACKOFF_MAX_S: typing.Final = 5.0


@dataclasses.dataclass(slots=True)
class _Backoff:
    """Track failures to connect; ``retry_s`` is the time of the next try."""

    failure_count: int = 0
    retry_s: float = 0.0


class TcpPeerTransport:
    """Exchange requests with other daemons; a ``peers.PeerTransport``.

    ``tls`` is None for links without TLS. ``guard`` limits what connections
    to the peer port hold; it may be replaced before ``run``.
    """

    guard: clientguard.ClientGuard

    def __init__(
        self,
        hello: wire.HelloFrame,
        handlers: peers.Handlers,
        message_limit_bytes: int,
        time_source: clock.Clock,
        rng: random.Random,
        tls: peertls.TlsReloader | None = None,
    ) -> None:
        self.hello = hello
        self._limit_bytes = message_limit_bytes
        self._clock = time_source
        self._rng = rng
        self._tls = tls
        self._links: dict[tuple[str, int], peerlink.Link] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._handlers = handlers
        self.guard = clientguard.build_guard()

    async def run(
        self,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and maintain links until cancelled.

        The address is reported through ``task_status``. If the port in the
        hello's address is 0, the port that was bound replaces it. Raises
        OSError if the address is in use.
        """
        host, port = split_address(self.hello.peer_address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        bound = listeners[0].socket.getsockname()[1]
        self.hello = _with_address(self.hello, join_address(host, bound))
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._sweep_loop)
            if self._tls is not None:
                nursery.start_soon(self._tls.run)
            task_status.started(self.hello.peer_address)
            await trio.serve_listeners(self._build_server().accept, listeners)

    def _build_server(self) -> peerserver.PeerServer:
        return peerserver.PeerServer(
            lambda: self.hello,
            self._handlers,
            self._limit_bytes,
            self.guard,
            self._tls,
        )

    # Requests of this daemon

    async def request(
        self,
        peer_address: str,
        body: wire.AnyBody,
        timeout_s: float,
        lane: int = 0,
    ) -> peers.Reply:
        """Send a request; return the reply, or the error if there is none.

        The timeout includes opening a link. Each lane has its own link.
        """
        ran = errors.Ran.NO
        deadline_s = trio.current_time() + timeout_s
        link = self._links.get((peer_address, lane))
        if link is None or not link.is_open():
            with trio.move_on_at(deadline_s):
                link = await self._open_link(peer_address, lane)
        if link is None or not link.is_open():
            return peers.error_result(body, peer_address, "no connection", ran)
        submitted = link.submit(body)
        if submitted is None:
            detail = "the write queue is full"
            return peers.error_result(body, peer_address, detail, ran)
        left_s = max(0.0, deadline_s - trio.current_time())
        return await self._wait(link, body, *submitted, left_s)

    async def _wait(
        self,
        link: peerlink.Link,
        body: wire.AnyBody,
        request_id: int,
        pending: peerlink.PendingRequest,
        timeout_s: float,
    ) -> peers.Reply:
        """Wait for a reply; after a timeout the peer may still handle it."""
        link.last_used_s = self._clock.now_s()
        try:
            with trio.move_on_after(timeout_s):
                await pending.done.wait()
        finally:
            link.drop(request_id)
        if pending.reply is not None:
            return peers.reply_or_error(body, link.address, pending.reply)
        lost = pending.done.is_set()
        detail = "connection lost" if lost else "no reply in time"
        self._close_if_silent(link)
        return peers.error_result(body, link.address, detail, pending.ran())

    def _close_if_silent(self, link: peerlink.Link) -> None:
        """Close a link on which nothing was received recently.

        After a network partition TCP may wait for minutes before it sends
        again, whereas a new connection works at once.
        """
        if self._clock.now_s() - link.last_received_s > SILENT_CLOSE_S:
            link.scope.cancel()

    async def _open_link(
        self, address: str, lane: int
    ) -> peerlink.Link | None:
        link = self._links.get((address, lane))
        if link is None:
            backoff = self._backoffs.get(address)
            if backoff and self._clock.now_s() < backoff.retry_s:
                return None
            limit_bytes = peerserver.QUEUE_LIMIT_FRAMES * self._limit_bytes
            link = peerlink.Link(address, limit_bytes)
            link.last_used_s = link.last_received_s = self._clock.now_s()
            self._links[address, lane] = link
            self._nursery.start_soon(self._run_link, link, lane)
        await link.opened.wait()
        return None if link.is_closed else link

    async def _run_link(self, link: peerlink.Link, lane: int) -> None:
        """Connect to a peer and exchange frames until the link ends."""
        try:
            with link.scope:
                stream = await self._connect(link.address)
                async with stream:
                    await self._exchange_frames(link, stream)
        except* peerserver.LINK_ERRORS as group:
            LOGGER.debug(
                "The link to {} is lost: {}", link.address, group.exceptions
            )
        except* trio.TooSlowError:
            LOGGER.debug(
                "Connecting to {} timed out: it does not answer.",
                link.address,
            )
        except* Exception as group:
            # An unexpected error, for example an invalid address in a member
            # entry, ends this link and not the process.
            LOGGER.warning(
                "The link to {} failed: {}", link.address, group.exceptions
            )
        finally:
            if self._links.get((link.address, lane)) is link:
                del self._links[link.address, lane]
            if not link.opened.is_set():
                self._set_backoff(link.address)
            link.close()

    async def _connect(self, address: str) -> trio.abc.Stream:
        host, port = split_address(address)
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream: trio.abc.Stream = await trio.open_tcp_stream(host, port)
            if self._tls is not None:
                context = self._tls.contexts.client
                tls_stream = trio.SSLStream(
                    stream, context, server_hostname=host
                )
                await tls_stream.do_handshake()
                stream = tls_stream
        return stream

    async def _exchange_frames(
        self, link: peerlink.Link, stream: trio.abc.Stream
    ) -> None:
        reader = self._build_reader(stream, link.address)
        await stream.send_all(wire.encode_frame(self.hello))
        with trio.fail_after(peerserver.HELLO_TIMEOUT_S):
            first_frame = await reader.next_frame()
        if not peerserver.is_valid_hello(first_frame):
            LOGGER.warning(
                "{} did not answer with a hello of this protocol version.",
                link.address,
            )
            return
        self._backoffs.pop(link.address, None)
        link.opened.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.queue.write_all, stream)
            async for frame in peerserver.read_frames(reader, link.address):
                link.last_received_s = self._clock.now_s()
                link.on_reply(frame)
            nursery.cancel_scope.cancel()

    def _set_backoff(self, address: str) -> None:
        """Delay the next try.

        Jitter keeps several daemons from trying at the same time.
        """
        backoff = self._backoffs.setdefault(address, _Backoff())
        pause_s = BACKOFF_MIN_S * 2.0 ** min(backoff.failure_count, 10)
        pause_s = min(BACKOFF_MAX_S, pause_s) * self._rng.uniform(0.5, 1.0)
        backoff.failure_count += 1
        backoff.retry_s = self._clock.now_s() + pause_s

    async def _sweep_loop(self) -> None:
        """Close idle links and remove old failures."""
        while True:
            await trio.sleep(peerlink.IDLE_CLOSE_S / 4)
            now_s = self._clock.now_s()
            for link in list(self._links.values()):
                if link.is_idle(now_s):
                    link.scope.cancel()
            self._backoffs = {
                address: backoff
                for address, backoff in self._backoffs.items()
                if now_s - backoff.retry_s < peerlink.IDLE_CLOSE_S
            }

    def _build_reader(
        self, stream: trio.abc.Stream, peer: str
    ) -> peerframes.FrameReader:
        return peerframes.FrameReader(stream, peer, self._limit_bytes)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port`` or ``[host]:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def join_address(host: str, port: int) -> str:
    """Return ``host:port``, with brackets around an IPv6 host."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _with_address(hello: wire.HelloFrame, address: str) -> wire.HelloFrame:
    return msgspec.structs.replace(hello, peer_address=address)
