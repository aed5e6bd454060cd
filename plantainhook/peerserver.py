"""Serve the requests of daemons that connect to the peer port.

A connection is used for the requests of the side that connected. Nothing is
sent before a valid hello with the own protocol version was received.
``peeradmission`` bounds what the connections hold.
"""

import ssl
import typing
from collections import abc

import result
import trio

from plantainhook import (
    clientguard,
    clock,
    errors,
    eventturns,
    logs,
    peeradmission,
    peerframes,
    peerlink,
    peers,
    peertls,
    wire,
)

LOGGER: typing.Final = logs.part_logger("peers")
HELLO_TIMEOUT_S: typing.Final = 3.0
# Longer than the idle time after which the connecting side closes a link.
SERVED_IDLE_CLOSE_S: typing.Final = 3 * peerlink.IDLE_CLOSE_S
CONCURRENT_PER_LINK_COUNT: typing.Final = 4096
# A write queue holds at most as many bytes as this number of frames of maximum
# size.
QUEUE_LIMIT_FRAMES: typing.Final = 4
# No request of a peer is read while it leaves so many bytes of replies.
UNSENT_PAUSE_BYTES: typing.Final = 262_144
LOG_LINES_PER_S: typing.Final = 2.0

LINK_ERRORS: typing.Final = (
    OSError,
    ssl.SSLError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class PeerServer:
    """Serve the peers that connect to this daemon.

    ``tls`` is None for links without TLS.
    """

    def __init__(
        self,
        get_hello: abc.Callable[[], wire.HelloFrame],
        handlers: peers.Handlers,
        limit_bytes: int,
        guard: clientguard.ClientGuard,
        tls: peertls.TlsReloader | None,
    ) -> None:
        self._get_hello = get_hello
        self._handlers = handlers
        self._limit_bytes = limit_bytes
        self._admission = peeradmission.PeerAdmission(guard)
        self._tls = tls
        # Anyone who reaches the port can cause these lines.
        self._log = logs.DecisionLog(
            LOGGER, clock.TrioClock(), LOG_LINES_PER_S
        )

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        try:
            address = stream.socket.getpeername()[0]
        except OSError:
            address = ""
        connection = self._admission.admit(address)
        if connection is None:
            await trio.aclose_forcefully(stream)
            return
        try:
            with connection.scope:
                await self._greet(stream, connection)
            if connection.scope.cancelled_caught:
                await trio.aclose_forcefully(stream)
        except* LINK_ERRORS as group:
            LOGGER.debug("An accepted link was lost: {}", group.exceptions)
        except* trio.TooSlowError:
            LOGGER.debug("No hello was received in time on an accepted link.")
        except* Exception as group:
            self._log.log(f"An accepted link failed: {group.exceptions}")
        finally:
            self._admission.release(connection)

    async def _greet(
        self,
        stream: trio.SocketStream,
        connection: peeradmission.PeerConnection,
    ) -> None:
        """Wait for the hello of a peer, then serve its requests."""
        opened: trio.abc.Stream = stream
        if self._tls is not None:
            context = self._tls.contexts.server
            opened = trio.SSLStream(stream, context, server_side=True)
        async with opened:
            reader = peerframes.FrameReader(
                opened,
                "unknown peer",
                min(self._limit_bytes, peeradmission.HELLO_LIMIT_BYTES),
                connection.set_partial,
            )
            with trio.fail_after(HELLO_TIMEOUT_S):
                first_frame = await reader.next_frame()
            if isinstance(first_frame, result.Ok) and is_valid_hello(
                first_frame
            ):
                self._admission.greeted(connection)
                reader.set_limit(self._limit_bytes)
                await self._serve(
                    opened, reader, first_frame.ok_value, connection
                )

    async def _serve(
        self,
        stream: trio.abc.Stream,
        reader: peerframes.FrameReader,
        sender: wire.AnyFrame,
        connection: peeradmission.PeerConnection,
    ) -> None:
        if not isinstance(sender, wire.HelloFrame):
            return
        await stream.send_all(wire.encode_frame(self._get_hello()))
        limit_bytes = QUEUE_LIMIT_FRAMES * self._limit_bytes
        queue = peerframes.WriteQueue(limit_bytes, connection.set_unsent)
        slots = trio.Semaphore(CONCURRENT_PER_LINK_COUNT)
        # One read may contain thousands of requests, and each needs a task.
        turns = eventturns.EventTurns()
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(queue.write_all, stream)
            scope.deadline = trio.current_time() + SERVED_IDLE_CLOSE_S
            async for frame in read_frames(reader, sender.name, self._log.log):
                scope.deadline = trio.current_time() + SERVED_IDLE_CLOSE_S
                if isinstance(frame, wire.RequestFrame):
                    await queue.wait_below(UNSENT_PAUSE_BYTES)
                    await turns.count()
                    await _acquire_slot(slots)
                    nursery.start_soon(
                        self._answer, sender, frame, queue, slots
                    )
            scope.cancel()

    async def _answer(
        self,
        sender: wire.HelloFrame,
        frame: wire.RequestFrame,
        queue: peerframes.WriteQueue,
        slots: trio.Semaphore,
    ) -> None:
        try:
            reply = await self._handlers.handle(sender, frame.body)
        finally:
            slots.release()
        if queue.put(wire.ReplyFrame(frame.request_id, reply)) is None:
            self._log.log(
                "The write queue is full; a reply to "
                f"{sender.name} is dropped."
            )


async def _acquire_slot(slots: trio.Semaphore) -> None:
    """Acquire a slot; don't yield to other tasks if one is free."""
    try:
        slots.acquire_nowait()
    except trio.WouldBlock:
        await slots.acquire()


def is_valid_hello(
    first_frame: result.Result[wire.AnyFrame, errors.MessageError] | None,
) -> bool:
    """Return whether the first frame is a hello of the same version."""
    if not isinstance(first_frame, result.Ok):
        return False
    frame = first_frame.ok_value
    return (
        isinstance(frame, wire.HelloFrame)
        and frame.version == wire.PROTOCOL_VERSION
    )


async def read_frames(
    reader: peerframes.FrameReader,
    peer: str,
    log: abc.Callable[[str], None] = LOGGER.warning,
) -> abc.AsyncIterator[wire.AnyFrame]:
    """Yield frames until the stream ends or a frame is malformed."""
    while (frame := await reader.next_frame()) is not None:
        if isinstance(frame, result.Err):
            log(f"{peer} sent a malformed frame: {frame.err_value}")
            return
        yield frame.ok_value
