"""Tests of the server for callers, over real sockets of this process."""

import socket
import typing

import testtools
import trio

from plantainhook import forwardtypes, httpserver, leaftransport, routetable

GET: typing.Final = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS: typing.Final = routetable.ClientLimits(
    body_bytes=10, head_timeout_s=0.2, idle_timeout_s=0.2
)


class Caller:
    """Hold the caller's end of a connection and what the handler saw."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.cancelled_count = 0
        self.hang_s = 0.0
        self.front = httpserver.HttpServer(self.handle, lambda: LIMITS)
        near, far = socket.socketpair()
        self.near = leaftransport.SocketTransport(near)
        self.transport = leaftransport.SocketTransport(far)

    async def handle(
        self,
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
    ) -> forwardtypes.Response:
        """Answer after a while."""
        self.bodies.append(body)
        try:
            await trio.sleep(self.hang_s)
        except trio.Cancelled:
            self.cancelled_count += 1
            raise
        return forwardtypes.Response(200, [], target)

    async def read(self, wanted: bytes) -> bytes:
        """Read until the answer holds some bytes or the connection ends."""
        data = b""
        with trio.move_on_after(1.0):
            while wanted not in data:
                chunk = await self.near.receive_some(4096)
                if not chunk:
                    break
                data += chunk
        return data

    async def at_end(self) -> bool:
        """Return whether the server ends the connection."""
        with trio.move_on_after(0.6):
            try:
                return not await self.near.receive_some(4096)
            except OSError:
                return True
        return False


def play(
    scenario: typing.Callable[[Caller], typing.Awaitable[None]],
) -> Caller:
    """Serve one connection while a scenario plays the caller."""
    callers: list[Caller] = []

    async def main() -> None:
        caller = Caller()
        callers.append(caller)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.front.serve_transport, caller.transport)
            await scenario(caller)
            nursery.cancel_scope.cancel()
        caller.near.close()

    trio.run(main)
    return callers[0]


class FrontTest(testtools.TestCase):
    """Check connections of callers."""

    def test_connection_is_kept(self) -> None:
        """Guards against a connection that ends after an answer."""

        async def scenario(caller: Caller) -> None:
            for _ in range(3):
                await caller.near.send_some(GET)
                self.assertIn(b"200", await caller.read(b"\r\n\r\n/a"))

        play(scenario)

    def test_chunked_body(self) -> None:
        """Guards against bodies without a length that are lost."""

        async def scenario(caller: Caller) -> None:
            await caller.near.send_some(
                b"POST /a HTTP/1.1\r\nHost: h\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            await caller.read(b"\r\n\r\n/a")

        self.assertEqual([b"abcde"], play(scenario).bodies)

    def test_large_body_is_refused(self) -> None:
        """Guards against bodies beyond the limit."""

        async def scenario(caller: Caller) -> None:
            await caller.near.send_some(
                b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n"
                b"12345678901"
            )
            self.assertIn(b"413", await caller.read(b"\r\n\r\n"))

        self.assertEqual([], play(scenario).bodies)

    def test_caller_that_leaves_cancels_the_work(self) -> None:
        """Guards against leafs at work for a caller that is gone."""

        async def scenario(caller: Caller) -> None:
            caller.hang_s = 5.0
            await caller.near.send_some(GET)
            await trio.sleep(0.05)
            caller.near.close()
            await trio.sleep(0.05)

        self.assertEqual(1, play(scenario).cancelled_count)

    def test_drain_answers_what_is_in_flight(self) -> None:
        """Guards against requests cut off by a planned stop."""

        async def scenario(caller: Caller) -> None:
            caller.hang_s = 0.1
            await caller.near.send_some(GET)
            await trio.sleep(0.02)
            caller.front.drain()
            caller.front.close_idle()
            answer = await caller.read(b"\r\n\r\n/a")
            self.assertIn(b"connection: close", answer.lower())
            self.assertTrue(await caller.at_end())

        play(scenario)

    def test_drain_serves_an_idle_connection_until_it_is_closed(self) -> None:
        """Guards against a request that crosses the start of a stop."""

        async def scenario(caller: Caller) -> None:
            await trio.sleep(0.02)
            caller.front.drain()
            await caller.near.send_some(GET)
            self.assertIn(b"200", await caller.read(b"\r\n\r\n/a"))

        play(scenario)

    def test_idle_connection_ends(self) -> None:
        """Guards against connections that are kept for ever."""

        async def scenario(caller: Caller) -> None:
            self.assertTrue(await caller.at_end())

        play(scenario)

    def test_unfinished_head_ends(self) -> None:
        """Guards against a caller that never ends its request."""

        async def scenario(caller: Caller) -> None:
            await caller.near.send_some(GET[:10])
            self.assertTrue(await caller.at_end())

        self.assertEqual([], play(scenario).bodies)
