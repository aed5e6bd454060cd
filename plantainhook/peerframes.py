"""Frames on a byte stream: splitting what arrives, joining what is sent.

``FrameBuffer`` is pure and checks every length before it stores a byte of
the body. ``WriteQueue`` sends everything that waits in one write, which is
what makes many small messages to the same peer cheap.
"""

import collections
import dataclasses
import typing

import result
import trio

from plantainhook import errors, steps, wire

READ_BYTES: typing.Final = 65_536


@dataclasses.dataclass(slots=True, eq=False)
class Outgoing:
    """Hold an encoded frame until it is written.

    ``taken`` is set when the writer has begun to write the frame; a frame
    that is ``dropped`` before that is never written.
    """

    data: bytes
    taken: bool = False
    dropped: bool = False


class FrameBuffer:
    """Split received bytes into frames.

    ``limit_bytes`` bounds the body of one frame.
    """

    def __init__(self, peer: str, limit_bytes: int) -> None:
        self._peer = peer
        self._limit_bytes = limit_bytes
        self._data = bytearray()

    def feed(
        self, data: bytes
    ) -> result.Result[list[wire.AnyFrame], errors.MessageError]:
        """Add received bytes and return the frames now complete."""
        self._data += data
        frames = []
        while (length := self._next_length()) is not None:
            if length > self._limit_bytes:
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

    def _next_length(self) -> int | None:
        if len(self._data) < wire.FRAME_HEADER.size:
            return None
        (length,) = wire.FRAME_HEADER.unpack_from(self._data)
        return int(length)

    def _too_long(self, length: int) -> errors.MessageError:
        return errors.MessageError(
            steps.Step.MEMBERS_SPREAD,
            self._peer,
            f"frame of {length} bytes; the limit is {self._limit_bytes}",
        )


class FrameReader:
    """Read frames one by one from a stream."""

    def __init__(
        self, stream: trio.abc.Stream, peer: str, limit_bytes: int
    ) -> None:
        self._stream = stream
        self._buffer = FrameBuffer(peer, limit_bytes)
        self._frames: collections.deque[wire.AnyFrame] = collections.deque()

    async def next_frame(
        self,
    ) -> result.Result[wire.AnyFrame, errors.MessageError] | None:
        """Return the next frame, or None at the end of the stream.

        Raises trio.BrokenResourceError where the connection breaks.
        """
        while not self._frames:
            data = await self._stream.receive_some(READ_BYTES)
            if not data:
                return None
            fed = self._buffer.feed(bytes(data))
            if isinstance(fed, result.Err):
                return fed
            self._frames.extend(fed.ok_value)
        return result.Ok(self._frames.popleft())


class WriteQueue:
    """Collect frames and write all that wait at once."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._waiting: list[Outgoing] = []
        self._waiting_bytes = 0
        self._wake = trio.Event()
        self.write_count = 0
        self.frame_count = 0

    def put(self, frame: wire.AnyFrame) -> Outgoing | None:
        """Queue a frame; return None where the queue is full."""
        outgoing = Outgoing(wire.encode_frame(frame))
        if self._waiting_bytes + len(outgoing.data) > self._limit_bytes:
            return None
        self._waiting.append(outgoing)
        self._waiting_bytes += len(outgoing.data)
        self._wake.set()
        return outgoing

    async def write_all(self, stream: trio.abc.Stream) -> None:
        """Write queued frames until cancelled or the stream breaks."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await self._write_batch(stream)

    async def _write_batch(self, stream: trio.abc.Stream) -> None:
        batch = [item for item in self._waiting if not item.dropped]
        self._waiting.clear()
        self._waiting_bytes = 0
        if not batch:
            return
        for item in batch:
            item.taken = True
        self.write_count += 1
        self.frame_count += len(batch)
        await stream.send_all(b"".join(item.data for item in batch))
