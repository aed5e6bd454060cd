"""In-memory transport on which a test scripts what the peer sends."""

import trio


class ScriptedTransport:
    """Receive the given chunks and store what is sent.

    ``None`` stands for a connection reset, and ``b""`` for the end of the
    stream.
    """

    def __init__(self, *chunks: bytes | None) -> None:
        self.chunks = list(chunks)
        self.sent = b""
        self.is_closed = False

    async def send_some(self, data: bytes) -> int:
        """Store the data in ``sent``."""
        await trio.lowlevel.checkpoint()
        self.sent += data
        return len(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next chunk; wait for ever if there is none."""
        if not self.chunks:
            await trio.sleep_forever()
        await trio.lowlevel.checkpoint()
        chunk = self.chunks.pop(0)
        if chunk is None:
            raise ConnectionResetError("reset by the test")
        return chunk

    def is_readable(self) -> bool:
        """Return whether there is a chunk to receive."""
        return bool(self.chunks)

    def send_eof(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Record that the transport was closed."""
        self.is_closed = True
