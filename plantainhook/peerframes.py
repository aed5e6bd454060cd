"""Read and write frames on a byte stream.

``FrameBuffer`` splits received bytes into frames. It does no I/O, and it
rejects a frame that is too long as soon as it has the header, without waiting
for the body. ``WriteQueue`` sends all queued frames in one write, so that many
small messages to the same peer are cheap.
"""

import collections
import dataclasses
import typing
from collections import abc

import result
import trio

from plantainhook import errors, steps, wire

READ_BYTES: typing.Final = 65_536


@dataclasses.dataclass(slots=True, eq=False)
class OutgoingFrame:
    """Represent an encoded frame in a write queue.

    ``write_started`` is set when the writer starts to write the frame. A frame
    that is ``dropped`` before that is never written.
    """

    data: bytes
    write_started: bool = False
    dropped: bool = False


class FrameBuffer:
    """Split received bytes into frames.

    ``limit_bytes`` is the size limit of the body of a frame.
    """

    def __init__(self, peer: str, limit_bytes: int) -> None:
        self._peer = peer
        self.limit_bytes = limit_bytes
        self._data = bytearray()

    def feed(
        self, data: bytes
    ) -> result.Result[list[wire.AnyFrame], errors.MessageError]:
        """Add received bytes and return the frames that are now complete.

        After an error the stream can't be read any further.
        """
        self._data += data
        frames = []
        while (length := self._next_length()) is not None:
            if length > self.limit_bytes:
                return result.Err(self._too_long(length))
            end = wire.FRAME_HEADER.size + length
            if len(self._data) < end:
                break
            body = bytes(self._data[wire.FRAME_HEADER.size : end])
            del self._data[:end]
            decoded = wire.decode_body(
                body, self._peer, steps.Step.MEMBERS_SPREAD
            )
            if isinstance(decoded, result.Err):
                return decoded
            frames.append(decoded.ok_value)
        return result.Ok(frames)

    def partial_bytes(self) -> int:
        """Return the number of bytes of the frame that is not complete."""
        return len(self._data)

    def _next_length(self) -> int | None:
        if len(self._data) < wire.FRAME_HEADER.size:
            return None
        (length,) = wire.FRAME_HEADER.unpack_from(self._data)
        return int(length)

    def _too_long(self, length: int) -> errors.MessageError:
        return errors.MessageError(
            steps.Step.MEMBERS_SPREAD,
            self._peer,
            f"frame of {length} bytes exceeds the limit of "
            f"{self.limit_bytes} bytes",
        )


class FrameReader:
    """Read frames one by one from a stream.

    ``on_partial`` is called with the size of the frame that is not complete.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        peer: str,
        limit_bytes: int,
        on_partial: abc.Callable[[int], None] | None = None,
    ) -> None:
        self._stream = stream
        self._on_partial = on_partial
        self._buffer = FrameBuffer(peer, limit_bytes)
        self._frames: collections.deque[wire.AnyFrame] = collections.deque()

    def set_limit(self, limit_bytes: int) -> None:
        """Set the size limit of the body of further frames."""
        self._buffer.limit_bytes = limit_bytes

    async def next_frame(
        self,
    ) -> result.Result[wire.AnyFrame, errors.MessageError] | None:
        """Return the next frame, or None at the end of the stream.

        Raises trio.BrokenResourceError if the connection breaks.
        """
        while not self._frames:
            most_bytes = min(READ_BYTES, self._buffer.limit_bytes)
            data = await self._stream.receive_some(most_bytes)
            if not data:
                return None
            fed = self._buffer.feed(bytes(data))
            if isinstance(fed, result.Err):
                return fed
            self._frames.extend(fed.ok_value)
            if self._on_partial is not None:
                self._on_partial(self._buffer.partial_bytes())
        return result.Ok(self._frames.popleft())


class WriteQueue:
    """Queue frames and write all that are waiting in one batch.

    ``limit_bytes`` is the size limit of the waiting frames. ``write_count``
    and ``frame_count`` count the batches and the frames written.
    ``on_unsent`` is called with the number of bytes that a batch still has
    to write, and of those that wait behind it.
    """

    def __init__(
        self,
        limit_bytes: int,
        on_unsent: abc.Callable[[int], None] | None = None,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._on_unsent = on_unsent
        self._batch_bytes = 0
        self._taken = trio.Event()
        self._waiting: list[OutgoingFrame] = []
        self._waiting_bytes = 0
        self._wake = trio.Event()
        self.write_count = 0
        self.frame_count = 0

    def put(self, frame: wire.AnyFrame) -> OutgoingFrame | None:
        """Queue a frame; return None if the queue is full."""
        outgoing = OutgoingFrame(wire.encode_frame(frame))
        if self._waiting_bytes + len(outgoing.data) > self._limit_bytes:
            return None
        self._waiting.append(outgoing)
        self._waiting_bytes += len(outgoing.data)
        self._wake.set()
        self._tell_unsent()
        return outgoing

    def _tell_unsent(self) -> None:
        if self._on_unsent is not None:
            self._on_unsent(self._waiting_bytes + self._batch_bytes)

    async def wait_below(self, unsent_bytes: int) -> None:
        """Wait until fewer bytes are unsent."""
        while self._waiting_bytes + self._batch_bytes >= unsent_bytes:
            await self._taken.wait()

    async def write_all(self, stream: trio.abc.Stream) -> None:
        """Write queued frames until cancelled or the stream breaks.

        Raises trio.BrokenResourceError if the stream breaks.
        """
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await self._write_batch(stream)

    async def _write_batch(self, stream: trio.abc.Stream) -> None:
        batch = [frame for frame in self._waiting if not frame.dropped]
        self._waiting.clear()
        self._batch_bytes, self._waiting_bytes = self._waiting_bytes, 0
        if not batch:
            return
        for frame in batch:
            frame.write_started = True
        self.write_count += 1
        self.frame_count += len(batch)
        await stream.send_all(b"".join(frame.data for frame in batch))
        self._batch_bytes = 0
        self._taken.set()
        self._taken = trio.Event()
        self._tell_unsent()
