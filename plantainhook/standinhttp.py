"""HTTP/1.1 server over h11 and trio for the stand-ins.

A handler gets one request and returns one reply. It is cancelled when the
client closes the connection. A reply can be replaced by raw bytes or by
closing the connection, which is how the stand-ins inject faults.
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
    """Hold one request."""

    method: str
    path: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """Hold one reply; ``raw`` replaces it on the wire and ends the stream."""

    status: int
    body: bytes = b"{}"
    headers: tuple[tuple[str, str], ...] = ()
    raw: bytes | None = None


Handler = abc.Callable[[HttpRequest], abc.Awaitable[HttpReply]]


def json_reply(
    status: int, value: object, headers: tuple[tuple[str, str], ...] = ()
) -> HttpReply:
    """Build a JSON reply."""
    return HttpReply(status, msgspec.json.encode(value), headers)


class ServerConnection:
    """Serve the requests of one connection in order."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.SERVER)

    async def serve(self, handler: Handler) -> None:
        """Answer requests until the client or a fault ends the stream."""
        try:
            while (request := await self._next_request()) is not None:
                reply = await self._run(handler, request)
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

    async def _run(
        self, handler: Handler, request: HttpRequest
    ) -> HttpReply | None:
        """Run the handler; return None where the client closed first."""
        reply: HttpReply | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, nursery.cancel_scope)
            reply = await handler(request)
            nursery.cancel_scope.cancel()
        return reply

    async def _watch(self, scope: trio.CancelScope) -> None:
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except trio.BrokenResourceError:
            data = b""
        if data:
            self._http.receive_data(bytes(data))
        else:
            scope.cancel()

    async def _send(self, reply: HttpReply) -> bool:
        """Write a reply; return whether the connection goes on."""
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
