"""Send cancellations to peers in the background.

The task that ran the request is cancelled itself, so it cannot wait for the
exchange with the peer.
"""

import typing

import result
import trio

from plantainhook import logs, peers, wire

LOGGER: typing.Final = logs.part_logger("peers")
TIMEOUT_S: typing.Final = 0.5
QUEUE_COUNT: typing.Final = 256


class CancelQueue:
    """Queue messages to peers and send them without waiting for replies."""

    def __init__(self, transport: peers.PeerTransport) -> None:
        self._transport = transport
        self._sender, self._receiver = trio.open_memory_channel[
            tuple[str, wire.AnyBody]
        ](QUEUE_COUNT)

    def put(self, peer_address: str, body: wire.AnyBody) -> None:
        """Queue a message; it is dropped if the queue is full."""
        try:
            self._sender.send_nowait((peer_address, body))
        except trio.WouldBlock:
            LOGGER.warning(
                "The queue of cancellations is full; one to {} is dropped.",
                peer_address,
            )

    async def run(self) -> None:
        """Send the queued messages until cancelled."""
        async with trio.open_nursery() as nursery:
            async for peer_address, body in self._receiver:
                nursery.start_soon(self._send, peer_address, body)

    async def _send(self, peer_address: str, body: wire.AnyBody) -> None:
        reply = await self._transport.request(peer_address, body, TIMEOUT_S)
        if isinstance(reply, result.Err):
            LOGGER.debug(
                "A cancellation at {} failed: {}",
                peer_address,
                reply.err_value,
            )
