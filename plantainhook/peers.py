"""Requests between daemons: the transport interface and the handlers.

Membership, gossip, request forwarding and connection shares send their
requests through ``PeerTransport``. ``peerlinks.TcpPeerTransport`` implements
it over TCP or TLS, and ``memorynet.MemoryTransport`` in memory.

A receiver passes each request to the handler of its body type. A handler is
cancelled when the link of the sender ends, so work that must finish needs its
own task. An error has ``ran=no`` only if the request was never written or the
receiver refused it.
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
    """Interface for sending requests to other daemons."""

    async def request(
        self,
        peer_address: str,
        body: wire.AnyBody,
        timeout_s: float,
        lane: int = 0,
    ) -> Reply:
        """Send a request; return the reply, or the error if there is none.

        Requests on different lanes don't wait for each other.
        """


class Handlers:
    """Store the handler of each body type and call it for requests."""

    def __init__(self) -> None:
        self._handlers: dict[type[wire.Body], Handler] = {}

    def register(
        self, body_type: type[wire.Body]
    ) -> abc.Callable[[HandlerT], HandlerT]:
        """Return a decorator that registers the handler of a body type.

        The decorator raises ValueError if the type already has a handler.
        """

        def add(handler: HandlerT) -> HandlerT:
            if body_type in self._handlers:
                name = body_type.__name__
                raise ValueError(f"{name} already has a handler")
            self._handlers[body_type] = handler
            return handler

        return add

    async def handle(
        self, sender: wire.HelloFrame, body: wire.AnyBody
    ) -> wire.AnyBody:
        """Return the reply to a request.

        It is ``Refused`` if the body type has no handler, and ``Failed`` if
        the handler raises an exception.
        """
        handler = self._handlers.get(type(body))
        if handler is None:
            return wire.Refused(f"no handler for {type(body).__name__}")
        try:
            return await handler(sender, body)
        except Exception as error:
            LOGGER.exception("The handler of {} failed.", type(body).__name__)
            return wire.Failed(f"{type(error).__name__}: {error}")


def step_of(body: wire.AnyBody) -> steps.Step:
    """Return the step to report if the exchange of a body fails."""
    return _STEPS.get(type(body), steps.Step.MEMBERS_SPREAD)


def error_result(
    body: wire.AnyBody, peer: str, detail: str, ran: errors.Ran
) -> result.Err[errors.PeerError]:
    """Return the error of a failed exchange as a result."""
    return result.Err(errors.PeerError(step_of(body), peer, detail, ran))


def reply_or_error(
    body: wire.AnyBody, peer: str, reply: wire.AnyBody
) -> Reply:
    """Return a reply, or an error if the receiver refused or failed."""
    if isinstance(reply, wire.Refused):
        return error_result(body, peer, reply.detail, errors.Ran.NO)
    if isinstance(reply, wire.Failed):
        return error_result(body, peer, reply.detail, errors.Ran.MAYBE)
    return result.Ok(reply)
