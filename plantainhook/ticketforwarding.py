"""Forward queries with a ticket to the daemon that issued the ticket.

Only the issuer may run such a query; see ``tickets``.
"""

from collections import abc

import result

from plantainhook import callerapi, errors, peers, steps, tickets, wire

AnswerQuery = abc.Callable[[bytes], abc.Awaitable[callerapi.Response]]


class PeerTicketForwarder:
    """Forward queries to peers and answer those that peers forward.

    ``answer`` takes the body of a forwarded query.
    """

    def __init__(
        self,
        transport: peers.PeerTransport,
        handlers: peers.Handlers,
        answer: AnswerQuery,
    ) -> None:
        self._transport = transport
        self._answer = answer
        handlers.register(wire.TicketQuery)(self._on_query)

    async def forward(
        self, ticket: tickets.Ticket, query: bytes, timeout_s: float
    ) -> callerapi.Response | errors.PeerError:
        """Return the response of the ticket's issuer, or the error."""
        reply = await self._transport.request(
            ticket.peer_address, wire.TicketQuery(query), timeout_s
        )
        if isinstance(reply, result.Err):
            return reply.err_value
        body = reply.ok_value
        if not isinstance(body, wire.TicketAnswer):
            return errors.PeerError(
                steps.Step.QUERY_ACCEPT,
                ticket.peer_address,
                f"unexpected reply {type(body).__name__}",
                errors.Ran.MAYBE,
            )
        return callerapi.Response(body.http_status, body.answer)

    async def _on_query(
        self, sender: wire.HelloFrame, body: wire.TicketQuery
    ) -> wire.AnyBody:
        response = await self._answer(body.query)
        return wire.TicketAnswer(response.http_status, response.body)
