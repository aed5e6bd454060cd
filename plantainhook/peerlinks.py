"""Links to other daemons over TCP or mutual TLS.

``TcpPeerTransport`` listens for peers and dials them. A link carries the
requests of the side that dialled it; many requests are in flight at once and
share writes. The dialling side sends the first ``HelloFrame``; the accepting
side sends nothing before a valid one of its own protocol version.
"""

import dataclasses
import random
import ssl
import typing
from collections import abc

import msgspec
import result
import trio

from plantainhook import (
    clock,
    errors,
    logs,
    peerframes,
    peerlink,
    peers,
    peertls,
    wire,
)

LOGGER: typing.Final = logs.part_logger("peers")
HELLO_TIMEOUT_S: typing.Final = 3.0
CONNECT_TIMEOUT_S: typing.Final = 3.0
SERVE_IDLE_S: typing.Final = 3 * peerlink.IDLE_CLOSE_S
SILENCE_S: typing.Final = 3.0
BACK_OFF_FIRST_S: typing.Final = 0.1
BACK_OFF_MAX_S: typing.Final = 5.0
CONCURRENT_PER_LINK_COUNT: typing.Final = 4096
QUEUE_LIMIT_FRAMES: typing.Final = 4

_LINK_ERRORS: typing.Final = (
    OSError,
    ssl.SSLError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


@dataclasses.dataclass(slots=True)
class _BackOff:
    """Count failures to connect and hold the time of the next try."""

    failure_count: int = 0
    retry_s: float = 0.0


class TcpPeerTransport:
    """Exchange requests with other daemons."""

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
        self._handlers = handlers
        self._limit_bytes = message_limit_bytes
        self._clock = time_source
        self._rng = rng
        self._tls = tls
        self._links: dict[str, peerlink.Link] = {}
        self._back_offs: dict[str, _BackOff] = {}

    async def run(
        self,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and keep links until cancelled; report the address.

        A port 0 in the hello's address is replaced by the port bound.
        Raises OSError where the address is in use.
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
            await trio.serve_listeners(self._accept, listeners)

    # Requests of this daemon

    async def request(
        self, peer_address: str, body: wire.AnyBody, timeout_s: float
    ) -> peers.Reply:
        """Return the reply to a request, or why there is none."""
        ran = errors.Ran.NO
        deadline_s = trio.current_time() + timeout_s
        link = self._links.get(peer_address)
        if link is None or not link.is_open():
            with trio.move_on_at(deadline_s):
                link = await self._open_link(peer_address)
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
        pending: peerlink.Pending,
        timeout_s: float,
    ) -> peers.Reply:
        """Wait for a reply; a timeout leaves the outcome open."""
        link.last_used_s = self._clock.now_s()
        try:
            with trio.move_on_after(timeout_s):
                await pending.done.wait()
        finally:
            link.forget(request_id)
        if pending.reply is not None:
            return peers.reply_or_error(body, link.address, pending.reply)
        lost = pending.done.is_set()
        detail = "connection lost" if lost else "no reply in time"
        self._close_if_silent(link)
        return peers.error_result(body, link.address, detail, pending.ran())

    def _close_if_silent(self, link: peerlink.Link) -> None:
        """Close a link that went silent.

        After a partition TCP may wait minutes before it sends again; a new
        connection works at once.
        """
        if self._clock.now_s() - link.last_received_s > SILENCE_S:
            link.scope.cancel()

    async def _open_link(self, address: str) -> peerlink.Link | None:
        link = self._links.get(address)
        if link is None:
            back_off = self._back_offs.get(address)
            if back_off and self._clock.now_s() < back_off.retry_s:
                return None
            limit_bytes = QUEUE_LIMIT_FRAMES * self._limit_bytes
            link = peerlink.Link(address, limit_bytes)
            link.last_used_s = link.last_received_s = self._clock.now_s()
            self._links[address] = link
            self._nursery.start_soon(self._run_link, link)
        await link.opened.wait()
        return None if link.is_closed else link

    async def _run_link(self, link: peerlink.Link) -> None:
        """Dial a peer and carry requests until the link ends."""
        try:
            with link.scope:
                stream = await self._dial(link.address)
                async with stream:
                    await self._carry(link, stream)
        except* _LINK_ERRORS as group:
            LOGGER.debug("{} is lost: {}", link.address, group.exceptions)
        except* trio.TooSlowError:
            LOGGER.debug("{} does not answer.", link.address)
        finally:
            if self._links.get(link.address) is link:
                del self._links[link.address]
            if not link.opened.is_set():
                self._set_back_off(link.address)
            link.close()

    async def _dial(self, address: str) -> trio.abc.Stream:
        host, port = split_address(address)
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream: trio.abc.Stream = await trio.open_tcp_stream(host, port)
            if self._tls is not None:
                context = self._tls.contexts.client
                secure = trio.SSLStream(stream, context, server_hostname=host)
                await secure.do_handshake()
                stream = secure
        return stream

    async def _carry(
        self, link: peerlink.Link, stream: trio.abc.Stream
    ) -> None:
        reader = self._reader(stream, link.address)
        await stream.send_all(wire.encode_frame(self.hello))
        with trio.fail_after(HELLO_TIMEOUT_S):
            greeting = await reader.next_frame()
        if not _is_welcome(greeting):
            LOGGER.warning("{} has no common protocol.", link.address)
            return
        self._back_offs.pop(link.address, None)
        link.opened.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.queue.write_all, stream)
            async for frame in _frames(reader, link.address):
                link.last_received_s = self._clock.now_s()
                link.on_reply(frame)
            nursery.cancel_scope.cancel()

    def _set_back_off(self, address: str) -> None:
        """Delay the next try; jitter keeps daemons from trying together."""
        back_off = self._back_offs.setdefault(address, _BackOff())
        pause_s = BACK_OFF_FIRST_S * 2.0 ** min(back_off.failure_count, 10)
        pause_s = min(BACK_OFF_MAX_S, pause_s) * self._rng.uniform(0.5, 1.0)
        back_off.failure_count += 1
        back_off.retry_s = self._clock.now_s() + pause_s

    async def _sweep_loop(self) -> None:
        """Close idle links and forget old failures."""
        while True:
            await trio.sleep(peerlink.IDLE_CLOSE_S / 4)
            now_s = self._clock.now_s()
            for link in list(self._links.values()):
                if link.is_idle(now_s):
                    link.scope.cancel()
            self._back_offs = {
                address: back_off
                for address, back_off in self._back_offs.items()
                if now_s - back_off.retry_s < peerlink.IDLE_CLOSE_S
            }

    # Requests of peers

    async def _accept(self, stream: trio.SocketStream) -> None:
        name = "unknown peer"
        try:
            secured: trio.abc.Stream = stream
            if self._tls is not None:
                context = self._tls.contexts.server
                secured = trio.SSLStream(stream, context, server_side=True)
            async with secured:
                reader = self._reader(secured, name)
                with trio.fail_after(HELLO_TIMEOUT_S):
                    greeting = await reader.next_frame()
                if isinstance(greeting, result.Ok) and _is_welcome(greeting):
                    await self._serve(secured, reader, greeting.ok_value)
        except* _LINK_ERRORS as group:
            LOGGER.debug("An accepted link is lost: {}", group.exceptions)
        except* trio.TooSlowError:
            LOGGER.debug("An accepted link sent no hello.")

    async def _serve(
        self,
        stream: trio.abc.Stream,
        reader: peerframes.FrameReader,
        sender: wire.AnyFrame,
    ) -> None:
        if not isinstance(sender, wire.HelloFrame):
            return
        await stream.send_all(wire.encode_frame(self.hello))
        limit_bytes = QUEUE_LIMIT_FRAMES * self._limit_bytes
        queue = peerframes.WriteQueue(limit_bytes)
        free = trio.Semaphore(CONCURRENT_PER_LINK_COUNT)
        async with trio.open_nursery() as nursery:
            idle = nursery.cancel_scope
            nursery.start_soon(queue.write_all, stream)
            idle.deadline = trio.current_time() + SERVE_IDLE_S
            async for frame in _frames(reader, sender.name):
                idle.deadline = trio.current_time() + SERVE_IDLE_S
                if isinstance(frame, wire.RequestFrame):
                    await _take_one(free)
                    nursery.start_soon(
                        self._answer, sender, frame, queue, free
                    )
            idle.cancel()

    async def _answer(
        self,
        sender: wire.HelloFrame,
        frame: wire.RequestFrame,
        queue: peerframes.WriteQueue,
        free: trio.Semaphore,
    ) -> None:
        try:
            reply = await self._handlers.handle(sender, frame.body)
        finally:
            free.release()
        if queue.put(wire.ReplyFrame(frame.request_id, reply)) is None:
            LOGGER.warning("A reply to {} is dropped.", sender.name)

    def _reader(
        self, stream: trio.abc.Stream, peer: str
    ) -> peerframes.FrameReader:
        return peerframes.FrameReader(stream, peer, self._limit_bytes)


async def _take_one(free: trio.Semaphore) -> None:
    """Take a place, without giving way to other tasks if one is free."""
    try:
        free.acquire_nowait()
    except trio.WouldBlock:
        await free.acquire()


def _is_welcome(
    greeting: result.Result[wire.AnyFrame, errors.MessageError] | None,
) -> bool:
    """Return whether a first frame is a hello of the same version."""
    if not isinstance(greeting, result.Ok):
        return False
    frame = greeting.ok_value
    return (
        isinstance(frame, wire.HelloFrame)
        and frame.version == wire.PROTOCOL_VERSION
    )


async def _frames(
    reader: peerframes.FrameReader, peer: str
) -> abc.AsyncIterator[wire.AnyFrame]:
    """Return frames until the stream ends or a frame is malformed."""
    while (frame := await reader.next_frame()) is not None:
        if isinstance(frame, result.Err):
            LOGGER.warning("{} sent a bad frame: {}", peer, frame.err_value)
            return
        yield frame.ok_value


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port`` or ``[host]:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def join_address(host: str, port: int) -> str:
    """Return ``host:port``, with brackets around an IPv6 host."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _with_address(hello: wire.HelloFrame, address: str) -> wire.HelloFrame:
    return msgspec.structs.replace(hello, peer_address=address)
