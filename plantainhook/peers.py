"""Requests between daemons: the transport seam and the handlers.

``PeerTransport`` is what membership, gossip, forwarding and shares send
through; ``peerlinks.TcpPeerTransport`` implements it over TCP or TLS and
``memorynet.MemoryTransport`` in memory. A receiver hands each request to
the handler of its body type; a handler is cancelled when the link of its
sender ends, so work that must finish runs in a task of its own. An error
says ``ran=no`` only where the request was never written or the receiver
refused it.
"""

import typing
from collections import abc

import result

from plantainhook import errors, logs, steps, wire

LOGGER: typing.Final = logs.part_logger("peers")

Handler = abc.Callable[
    [wire.HelloFrame, typing.Any], abc.Awaitable[wire.AnyBody]
]
HandlerT = typing.TypeVar("HandlerT", bound=Handler)
Reply = result.Result[wire.AnyBody, errors.PeerError]

_STEPS: typing.Final[dict[type[wire.Body], steps.Step]] = {
    wire.RevisionNotice: steps.Step.SETTINGS_NOTICE,
    wire.RevisionPull: steps.Step.SETTINGS_SPREAD,
    wire.Digest: steps.Step.SETTINGS_SPREAD,
    wire.LeafWork: steps.Step.QUERY_SEND,
    wire.CancelWork: steps.Step.QUERY_SEND,
    wire.TicketQuery: steps.Step.QUERY_SEND,
    wire.Probe: steps.Step.MEMBERS_PROBE,
    wire.IndirectProbe: steps.Step.MEMBERS_PROBE,
    wire.ClaimMemory: steps.Step.SHARES_CLAIM,
    wire.ClaimForget: steps.Step.SHARES_RELEASE,
    wire.ClaimRecall: steps.Step.SHARES_CLAIM,
}


class PeerTransport(typing.Protocol):
    """Send requests to other daemons."""

    async def request(
        self, peer_address: str, body: wire.AnyBody, timeout_s: float
    ) -> Reply:
        """Return the reply to a request, or why there is none."""


class Handlers:
    """Map body types to the handlers of requests."""

    def __init__(self) -> None:
        self._handlers: dict[type[wire.Body], Handler] = {}

    def register(
        self, body_type: type[wire.Body]
    ) -> abc.Callable[[HandlerT], HandlerT]:
        """Return a decorator that adds the handler of a body type.

        Raises ValueError where the type has a handler.
        """

        def add(handler: HandlerT) -> HandlerT:
            if body_type in self._handlers:
                name = body_type.__name__
                raise ValueError(f"{name} has two handlers")
            self._handlers[body_type] = handler
            return handler

        return add

    async def handle(
        self, sender: wire.HelloFrame, body: wire.AnyBody
    ) -> wire.AnyBody:
        """Return the reply to a request; a failed handler is reported."""
        handler = self._handlers.get(type(body))
        if handler is None:
            return wire.Refused(f"no handler of {type(body).__name__}")
        try:
            return await handler(sender, body)
        except Exception as error:
            LOGGER.exception("A handler of {} failed.", type(body).__name__)
            return wire.Failed(f"{type(error).__name__}: {error}")


def step_of(body: wire.AnyBody) -> steps.Step:
    """Return the step that a failed exchange of a body belongs to."""
    return _STEPS.get(type(body), steps.Step.MEMBERS_SPREAD)


def error_result(
    body: wire.AnyBody, peer: str, detail: str, ran: errors.Ran
) -> result.Err[errors.PeerError]:
    """Return the error of an exchange."""
    return result.Err(errors.PeerError(step_of(body), peer, detail, ran))


def reply_or_error(
    body: wire.AnyBody, peer: str, reply: wire.AnyBody
) -> Reply:
    """Turn refusals and failures of the receiver into errors."""
    if isinstance(reply, wire.Refused):
        return error_result(body, peer, reply.detail, errors.Ran.NO)
    if isinstance(reply, wire.Failed):
        return error_result(body, peer, reply.detail, errors.Ran.MAYBE)
    return result.Ok(reply)
