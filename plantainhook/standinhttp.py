"""HTTP/1.1 server for the stand-ins, based on h11 and trio.

A handler receives one request and returns one reply. It is cancelled if the
client closes the connection. To inject faults, a stand-in can send raw bytes
instead of a reply, or close the connection without one.
"""

import dataclasses
import typing
from collections import abc

import h11
import msgspec
import trio

RECEIVE_BYTES: typing.Final = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """Represent a request, without its headers."""

    method: str
    path: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """Represent a reply.

    ``raw`` is sent instead of the reply, and the connection is then closed;
    an empty ``raw`` closes it without sending anything.
    """

    status: int
    body: bytes = b"{}"
    headers: tuple[tuple[str, str], ...] = ()
    raw: bytes | None = None


Handler = abc.Callable[[HttpRequest], abc.Awaitable[HttpReply]]


def json_reply(
    status: int, value: object, headers: tuple[tuple[str, str], ...] = ()
) -> HttpReply:
    """Build a reply whose body is a value encoded as JSON."""
    return HttpReply(status, msgspec.json.encode(value), headers)


class ServerConnection:
    """Serve the requests of one connection in order."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.SERVER)

    async def serve(self, handler: Handler) -> None:
        """Answer requests until the client or a fault ends the connection."""
        try:
            while (request := await self._next_request()) is not None:
                reply = await self._run_handler(handler, request)
                if reply is None or not await self._send(reply):
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except h11.RemoteProtocolError:
            return

    async def _next_request(self) -> HttpRequest | None:
        head: h11.Request | None = None
        body = b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(RECEIVE_BYTES)
                self._http.receive_data(bytes(data))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                path = head.target.decode("ascii")
                return HttpRequest(head.method.decode("ascii"), path, body)
            else:
                return None

    async def _run_handler(
        self, handler: Handler, request: HttpRequest
    ) -> HttpReply | None:
        """Run the handler; return None if the client closed first."""
        reply: HttpReply | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_close, nursery.cancel_scope)
            reply = await handler(request)
            nursery.cancel_scope.cancel()
        return reply

    async def _cancel_on_close(self, scope: trio.CancelScope) -> None:
        """Cancel a scope when the client closes the connection.

        Bytes that arrive instead belong to the next request and are kept. A
        close after them is not noticed while the handler runs.
        """
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except trio.BrokenResourceError:
            data = b""
        if data:
            self._http.receive_data(bytes(data))
        else:
            scope.cancel()

    async def _send(self, reply: HttpReply) -> bool:
        """Send a reply; return whether the connection can be used again."""
        if reply.raw is not None:
            if reply.raw:
                await self._stream.send_all(reply.raw)
            return False
        headers = [
            *reply.headers,
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(reply.body))),
        ]
        head = h11.Response(status_code=reply.status, headers=headers)
        data = self._http.send(head) or b""
        data += self._http.send(h11.Data(data=reply.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(data)
        if self._http.our_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True
