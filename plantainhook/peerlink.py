"""One link to a peer: requests in flight and their replies.

A request that is dropped before the writer takes it was certainly not sent,
so its failure says ``ran=no``.
"""

import dataclasses
import typing

import trio

from plantainhook import errors, peerframes, wire

IDLE_CLOSE_S: typing.Final = 60.0


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """Hold a request until its reply or the loss of the link."""

    outgoing: peerframes.Outgoing
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    reply: wire.AnyBody | None = None

    def ran(self) -> errors.Ran:
        """Return whether the peer may have received the request."""
        return errors.Ran.MAYBE if self.outgoing.taken else errors.Ran.NO


class Link:
    """Carry requests to one peer."""

    def __init__(self, address: str, queue_limit_bytes: int) -> None:
        self.address = address
        self.opened = trio.Event()
        self.is_closed = False
        self.last_used_s = 0.0
        self.last_received_s = 0.0
        self.scope = trio.CancelScope()
        self.queue = peerframes.WriteQueue(queue_limit_bytes)
        self._pending: dict[int, Pending] = {}
        self._last_id = 0

    def is_open(self) -> bool:
        """Return whether requests can be sent now."""
        return self.opened.is_set() and not self.is_closed

    def submit(self, body: wire.AnyBody) -> tuple[int, Pending] | None:
        """Queue a request; return None where the queue is full."""
        self._last_id += 1
        frame = wire.RequestFrame(self._last_id, body)
        outgoing = self.queue.put(frame)
        if outgoing is None:
            return None
        pending = Pending(outgoing)
        self._pending[self._last_id] = pending
        return self._last_id, pending

    def forget(self, request_id: int) -> None:
        """Drop a request; it is not written if it still waits."""
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            pending.outgoing.dropped = True

    def on_reply(self, frame: wire.AnyFrame) -> None:
        """Hand a reply to its request; late replies are dropped."""
        if not isinstance(frame, wire.ReplyFrame):
            return
        pending = self._pending.pop(frame.request_id, None)
        if pending is not None:
            pending.reply = frame.body
            pending.done.set()

    def close(self) -> None:
        """Fail all requests that have no reply."""
        self.is_closed = True
        self.opened.set()
        waiting, self._pending = self._pending, {}
        for pending in waiting.values():
            pending.outgoing.dropped = True
            pending.done.set()

    def is_idle(self, now_s: float) -> bool:
        """Return whether the link has been unused for long."""
        return not self._pending and now_s - self.last_used_s > IDLE_CLOSE_S
