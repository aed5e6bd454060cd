"""Transport in memory whose far side is written by the test."""

import trio


class ScriptedTransport:
    """Return given chunks; ``None`` is a reset and ``b""`` the end."""

    def __init__(self, *chunks: bytes | None) -> None:
        self.chunks = list(chunks)
        self.sent = b""
        self.is_closed = False

    async def send_some(self, data: bytes) -> int:
        """Take what is written."""
        await trio.lowlevel.checkpoint()
        self.sent += data
        return len(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next chunk; wait for ever where there is none."""
        if not self.chunks:
            await trio.sleep_forever()
        await trio.lowlevel.checkpoint()
        chunk = self.chunks.pop(0)
        if chunk is None:
            raise ConnectionResetError("reset by the test")
        return chunk

    def is_readable(self) -> bool:
        """Return whether a chunk waits."""
        return bool(self.chunks)

    def send_eof(self) -> None:
        """Ignore the end of the sending side."""

    def close(self) -> None:
        """Note the close."""
        self.is_closed = True
