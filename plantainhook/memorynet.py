"""Provide an in-memory peer transport with faults.

Tests and ``bench-control`` use it. Frames are encoded and decoded as on TCP,
so their sizes and CPU costs are real. ``loss_ratio`` applies to each message,
so a request fails with probability ``1 - (1 - loss_ratio) ** 2``. The sender
of a lost message sees a timeout.
"""

import dataclasses
import random
import typing
from collections import abc

import result
import trio

from plantainhook import errors, peers, wire

FOREVER_S: typing.Final = 1e9


@dataclasses.dataclass(slots=True)
class Traffic:
    """Count the messages and bytes that one daemon sent and received."""

    message_count: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


@dataclasses.dataclass(slots=True)
class Delivery:
    """Represent one delivered request; ``answer`` is the encoded reply.

    ``done`` is set once the handler has finished.
    """

    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    answer: bytes = b""


@dataclasses.dataclass(slots=True)
class MemoryNetwork:
    """Connect transports; delays are for one direction.

    ``is_reachable`` returns whether messages pass from one address to
    another. The handlers run in ``nursery``, so they continue after the
    requester has timed out. ``nodes`` maps addresses to transports.
    """

    nursery: trio.Nursery
    rng: random.Random
    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    delay_s: float = 0.001
    jitter_s: float = 0.0
    is_reachable: abc.Callable[[str, str], bool] = lambda _from, _to: True
    nodes: dict[str, "MemoryTransport"] = dataclasses.field(
        default_factory=dict
    )

    async def transmit(self, sender: str, receiver: str) -> bool:
        """Wait for the delay of a message and return whether it arrives."""
        await trio.sleep(self.delay_s + self.rng.random() * self.jitter_s)
        if self.rng.random() < self.loss_ratio:
            return False
        return self.is_reachable(sender, receiver)


class MemoryTransport:
    """Send requests through a memory network."""

    def __init__(
        self,
        network: MemoryNetwork,
        hello: wire.HelloFrame,
        handlers: peers.Handlers,
    ) -> None:
        self._network = network
        self._hello = hello
        self._handlers = handlers
        self._address = hello.peer_address
        self._last_id = 0
        self.traffic = Traffic()
        network.nodes[self._address] = self

    def close(self) -> None:
        """Stop answering, as if the daemon were dead."""
        if self._network.nodes.get(self._address) is self:
            del self._network.nodes[self._address]

    async def request(
        self,
        peer_address: str,
        body: wire.AnyBody,
        timeout_s: float,
        lane: int = 0,
    ) -> peers.Reply:
        """Return the reply to a request, or the error if there is none."""
        if peer_address not in self._network.nodes:
            await trio.sleep(self._network.delay_s)
            detail = "connection refused"
            return peers.error_result(
                body, peer_address, detail, errors.Ran.NO
            )
        with trio.move_on_after(timeout_s):
            reply = await self._exchange(peer_address, body)
            return peers.reply_or_error(body, peer_address, reply)
        detail = f"no reply within {timeout_s} s"
        return peers.error_result(body, peer_address, detail, errors.Ran.MAYBE)

    async def _exchange(
        self, peer_address: str, body: wire.AnyBody
    ) -> wire.AnyBody:
        self._last_id += 1
        encoded = self._send(wire.RequestFrame(self._last_id, body))
        if not await self._network.transmit(self._address, peer_address):
            await trio.sleep(FOREVER_S)
        receiver = self._network.nodes.get(peer_address)
        if receiver is None:
            return await self._wait_forever()
        if self._network.rng.random() < self._network.duplicate_ratio:
            self._network.nursery.start_soon(
                receiver.deliver, self._hello, encoded, Delivery()
            )
        delivery = Delivery()
        self._network.nursery.start_soon(
            receiver.deliver, self._hello, encoded, delivery
        )
        await delivery.done.wait()
        if not await self._network.transmit(peer_address, self._address):
            return await self._wait_forever()
        self.traffic.received_bytes += len(delivery.answer)
        return _decode_body(delivery.answer)

    async def _wait_forever(self) -> wire.AnyBody:
        await trio.sleep(FOREVER_S)
        raise AssertionError("a lost message must never arrive")

    def _send(self, frame: wire.AnyFrame) -> bytes:
        encoded = wire.encode_frame(frame)
        self.traffic.message_count += 1
        self.traffic.sent_bytes += len(encoded)
        return encoded

    async def deliver(
        self, sender: wire.HelloFrame, encoded: bytes, delivery: Delivery
    ) -> None:
        """Handle an encoded request and store the encoded reply."""
        self.traffic.received_bytes += len(encoded)
        reply = await self._handlers.handle(sender, _decode_body(encoded))
        delivery.answer = self._send(wire.ReplyFrame(0, reply))
        delivery.done.set()


def _decode_body(encoded: bytes) -> wire.AnyBody:
    body = encoded[wire.FRAME_HEADER.size :]
    decoded = wire.decode_body(body, "memory", peers.step_of(wire.Ack()))
    if isinstance(decoded, result.Err):
        raise decoded.err_value
    frame = decoded.ok_value
    if isinstance(frame, wire.HelloFrame):
        raise TypeError("expected a request or a reply, found a hello frame")
    return frame.body
