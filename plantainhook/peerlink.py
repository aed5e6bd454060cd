"""The requests in flight on one link to a peer, and their replies.

A request that is dropped before the writer starts to write it was certainly
not sent, so its error has ``ran=no``. ``peerlinks`` connects the link and
reads and writes its frames.
"""

import dataclasses
import typing

import trio

from plantainhook import errors, peerframes, wire

IDLE_CLOSE_S: typing.Final = 60.0


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """Track a request until its reply arrives or the link is lost.

    ``done`` is set in both cases; ``reply`` is None if the link was lost.
    """

    outgoing: peerframes.OutgoingFrame
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    reply: wire.AnyBody | None = None

    def ran(self) -> errors.Ran:
        """Return whether the peer may have received the request."""
        return (
            errors.Ran.MAYBE if self.outgoing.write_started else errors.Ran.NO
        )


class Link:
    """Match the requests to one peer with their replies.

    ``opened`` is set once requests can be sent, and also when the link closes
    before that. Cancelling ``scope`` closes the link. ``last_used_s`` and
    ``last_received_s`` are the times of the last request and the last frame
    received.
    """

    def __init__(self, address: str, queue_limit_bytes: int) -> None:
        self.address = address
        self.opened = trio.Event()
        self.is_closed = False
        self.last_used_s = 0.0
        self.last_received_s = 0.0
        self.scope = trio.CancelScope()
        self.queue = peerframes.WriteQueue(queue_limit_bytes)
        self._pending: dict[int, PendingRequest] = {}
        self._last_id = 0

    def is_open(self) -> bool:
        """Return whether requests can be sent now."""
        return self.opened.is_set() and not self.is_closed

    def submit(self, body: wire.AnyBody) -> tuple[int, PendingRequest] | None:
        """Queue a request; return its id, or None if the queue is full."""
        self._last_id += 1
        frame = wire.RequestFrame(self._last_id, body)
        outgoing = self.queue.put(frame)
        if outgoing is None:
            return None
        pending = PendingRequest(outgoing)
        self._pending[self._last_id] = pending
        return self._last_id, pending

    def drop(self, request_id: int) -> None:
        """Drop a request; if it still waits in the queue, it isn't written."""
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            pending.outgoing.dropped = True

    def on_reply(self, frame: wire.AnyFrame) -> None:
        """Pass a reply to its request; ignore it if that was dropped."""
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
        """Return whether the link was unused for ``IDLE_CLOSE_S``."""
        return not self._pending and now_s - self.last_used_s > IDLE_CLOSE_S
