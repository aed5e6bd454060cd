"""Tests of the HTTP server for callers, over a socket pair."""

import dataclasses
import socket
import typing

import testtools
import trio

from plantainhook import forwardtypes, httpserver, leaftransport, routetable
from tests import eventcount

GET: typing.Final = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS: typing.Final = routetable.ClientLimits(
    body_bytes=10, head_timeout_s=0.2, idle_timeout_s=0.2
)


class Caller:
    """Represent a caller and record what the server's handler received.

    ``caller_end`` and ``server_end`` are the ends of the connection.
    """

    def __init__(self, limits: routetable.ClientLimits = LIMITS) -> None:
        self.bodies: list[bytes] = []
        self.cancelled_count = 0
        self.hang_s = 0.0
        self._answer: bytes | None = None
        self.server = httpserver.HttpServer(self.handle, lambda: limits)
        caller_end, server_end = socket.socketpair()
        self.caller_end = leaftransport.SocketTransport(caller_end)
        self.server_end = leaftransport.SocketTransport(server_end)

    async def handle(
        self,
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
        arrived_s: float,
    ) -> forwardtypes.Response:
        """Answer after ``hang_s``, by default with the target as the body."""
        self.bodies.append(body)
        try:
            await trio.sleep(self.hang_s)
        except trio.Cancelled:
            self.cancelled_count += 1
            raise
        body = target if self._answer is None else self._answer
        return forwardtypes.Response(200, [], body)

    def answer_with(self, body: bytes) -> None:
        """Answer further requests with a body."""
        self._answer = body

    async def read_count(self, wanted_count: int, pause_s: float = 0.0) -> int:
        """Read at least so many bytes, or up to the end of the stream.

        Return how many were read. The caller pauses before each read.
        """
        count = 0
        while count < wanted_count:
            await trio.sleep(pause_s)
            chunk = await self.caller_end.receive_some(20_000)
            if not chunk:
                break
            count += len(chunk)
        return count

    async def read(self, wanted: bytes) -> bytes:
        """Read for up to 1 s, until ``wanted`` arrives or the stream ends."""
        data = b""
        with trio.move_on_after(1.0):
            while wanted not in data:
                chunk = await self.caller_end.receive_some(4096)
                if not chunk:
                    break
                data += chunk
        return data

    async def wait_for_close(self) -> bool:
        """Return whether the server closes the connection within 0.6 s."""
        with trio.move_on_after(0.6):
            try:
                return not await self.caller_end.receive_some(4096)
            except OSError:
                return True
        return False


def run_scenario(
    scenario: typing.Callable[[Caller], typing.Awaitable[None]],
    limits: routetable.ClientLimits = LIMITS,
) -> Caller:
    """Serve one connection while a scenario acts as the caller."""
    callers: list[Caller] = []

    async def main() -> None:
        caller = Caller(limits)
        callers.append(caller)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                caller.server.serve_transport, caller.server_end
            )
            await scenario(caller)
            nursery.cancel_scope.cancel()
        caller.caller_end.close()

    trio.run(main)
    return callers[0]


class HttpServerTest(testtools.TestCase):
    """Check connections of callers."""

    def test_connection_is_kept(self) -> None:
        """Guard against a connection that is closed after a response."""

        async def scenario(caller: Caller) -> None:
            for _ in range(3):
                await caller.caller_end.send_some(GET)
                self.assertIn(b"200", await caller.read(b"\r\n\r\n/a"))

        run_scenario(scenario)

    def test_chunked_body(self) -> None:
        """Guard against the loss of bodies without a stated length."""

        async def scenario(caller: Caller) -> None:
            await caller.caller_end.send_some(
                b"POST /a HTTP/1.1\r\nHost: h\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            await caller.read(b"\r\n\r\n/a")

        self.assertEqual([b"abcde"], run_scenario(scenario).bodies)

    def test_body_of_short_chunks(self) -> None:
        """Guard against a body that keeps all other tasks waiting."""

        async def scenario(caller: Caller) -> None:
            data = (
                b"POST /a HTTP/1.1\r\nHost: h\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                + b"1\r\nz\r\n" * 8_000
                + b"0\r\n\r\n"
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(counter.watch)
                while data:
                    data = data[await caller.caller_end.send_some(data) :]
                self.assertIn(b"200", await caller.read(b"\r\n\r\n/a"))
                nursery.cancel_scope.cancel()

        limits = dataclasses.replace(LIMITS, body_bytes=8_000)
        with eventcount.counting() as counter:
            caller = run_scenario(scenario, limits)
        self.assertEqual([b"z" * 8_000], caller.bodies)
        self.assertTrue(counter.longest_turn_count < 200)

    def test_large_body_is_refused(self) -> None:
        """Guard against bodies over the size limit."""

        async def scenario(caller: Caller) -> None:
            await caller.caller_end.send_some(
                b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n"
                b"12345678901"
            )
            self.assertIn(b"413", await caller.read(b"\r\n\r\n"))

        self.assertEqual([], run_scenario(scenario).bodies)

    def test_limits_of_a_kept_connection(self) -> None:
        """Guard against limits of an older configuration.

        The configuration raises the limits while the connection is idle.
        """
        limits = [LIMITS]

        async def scenario(caller: Caller) -> None:
            caller.server._get_limits = lambda: limits[0]
            await caller.caller_end.send_some(GET)
            await caller.read(b"\r\n\r\n/a")
            limits[0] = dataclasses.replace(
                LIMITS, body_bytes=20, head_bytes=LIMITS.head_bytes * 2
            )
            await caller.caller_end.send_some(
                b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n"
                b"X: %s\r\n\r\n%s" % (b"x" * LIMITS.head_bytes, b"z" * 20)
            )
            self.assertIn(b"200", await caller.read(b"\r\n\r\n/b"))

        self.assertEqual([b"", b"z" * 20], run_scenario(scenario).bodies)

    def test_disconnect_cancels_the_work(self) -> None:
        """Guard against leafs that work for a caller that disconnected."""

        async def scenario(caller: Caller) -> None:
            caller.hang_s = 5.0
            await caller.caller_end.send_some(GET)
            await trio.sleep(0.05)
            caller.caller_end.close()
            await trio.sleep(0.05)

        self.assertEqual(1, run_scenario(scenario).cancelled_count)

    def test_drain_answers_requests_in_flight(self) -> None:
        """Guard against a planned stop that interrupts requests."""

        async def scenario(caller: Caller) -> None:
            caller.hang_s = 0.1
            await caller.caller_end.send_some(GET)
            await trio.sleep(0.02)
            caller.server.drain()
            caller.server.close_idle()
            answer = await caller.read(b"\r\n\r\n/a")
            self.assertIn(b"connection: close", answer.lower())
            self.assertTrue(await caller.wait_for_close())

        run_scenario(scenario)

    def test_drain_serves_an_idle_connection_until_it_is_closed(self) -> None:
        """Guard against the loss of a request sent as a stop begins."""

        async def scenario(caller: Caller) -> None:
            await trio.sleep(0.02)
            caller.server.drain()
            await caller.caller_end.send_some(GET)
            self.assertIn(b"200", await caller.read(b"\r\n\r\n/a"))

        run_scenario(scenario)

    def test_drain_during_a_response(self) -> None:
        """Guard against a close that no response has announced.

        The stop begins while a caller still reads a long response.
        """

        async def scenario(caller: Caller) -> None:
            answer = b"x" * 2_000_000
            caller.answer_with(answer)
            await caller.caller_end.send_some(GET)
            start = await caller.read(b"\r\n\r\nx")
            caller.server.drain()
            head = start.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
            rest_count = len(head) + len(answer) - len(start)
            await caller.read_count(rest_count)
            caller.answer_with(b"")
            await trio.sleep(0.05)
            await caller.caller_end.send_some(GET)
            last = await caller.read(b"\r\n\r\n")
            self.assertIn(b" 200 ", last)
            self.assertIn(b"connection: close", last.lower())

        run_scenario(scenario)

    def test_unanswered_requests_are_counted(self) -> None:
        """Guard against a stop that reports too few requests as cut.

        A request counts until its response is written completely.
        """
        counts: list[int] = []

        async def scenario(caller: Caller) -> None:
            def count() -> None:
                counts.append(caller.server.unanswered_count())

            caller.hang_s = 0.1
            caller.answer_with(b"x" * 2_000_000)
            count()
            await caller.caller_end.send_some(GET)
            await trio.sleep(0.05)
            count()
            start = await caller.read(b"\r\n\r\nx")
            count()
            head = start.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
            await caller.read_count(len(head) + 2_000_000 - len(start))
            await trio.sleep(0.05)
            count()

        run_scenario(scenario)
        self.assertEqual([0, 1, 1, 0], counts)

    def test_response_to_a_slow_caller(self) -> None:
        """Guard against a response that is cut because it is read slowly.

        The caller needs at least 1 s, and less than the time limit between
        any two writes.
        """
        self.patch(httpserver, "WRITE_TIMEOUT_S", 0.5)

        async def scenario(caller: Caller) -> None:
            caller.answer_with(b"x" * 4_000_000)
            await caller.caller_end.send_some(GET)
            count = await caller.read_count(4_000_000, pause_s=0.005)
            self.assertTrue(count >= 4_000_000)

        run_scenario(scenario)

    def test_caller_that_stops_reading(self) -> None:
        """Guard against a response that waits for its caller for ever."""
        self.patch(httpserver, "WRITE_TIMEOUT_S", 0.2)

        async def scenario(caller: Caller) -> None:
            caller.answer_with(b"x" * 1_000_000)
            await caller.caller_end.send_some(GET)
            await trio.sleep(0.5)
            self.assertTrue(await caller.read_count(1_000_000) < 1_000_000)

        run_scenario(scenario)

    def test_drain_answers_requests_that_were_read(self) -> None:
        """Guard against the loss of a request that was read during another.

        Pattern: a caller sends requests without waiting for the answers, and
        the stop begins during the first one.
        """

        async def scenario(caller: Caller) -> None:
            caller.hang_s = 0.1
            await caller.caller_end.send_some(
                GET + GET.replace(b"/a", b"/b") + GET.replace(b"/a", b"/c")
            )
            await trio.sleep(0.02)
            caller.server.drain()
            answers = await caller.read(b"\r\n\r\n/c")
            self.assertEqual(3, answers.count(b" 200 "))
            self.assertEqual(1, answers.lower().count(b"connection: close"))
            self.assertTrue(await caller.wait_for_close())

        run_scenario(scenario)

    def test_idle_connection_ends(self) -> None:
        """Guard against idle connections that are kept for ever."""

        async def scenario(caller: Caller) -> None:
            self.assertTrue(await caller.wait_for_close())

        run_scenario(scenario)

    def test_unfinished_head_ends(self) -> None:
        """Guard against a caller that never completes its request."""

        async def scenario(caller: Caller) -> None:
            await caller.caller_end.send_some(GET[:10])
            self.assertTrue(await caller.wait_for_close())

        self.assertEqual([], run_scenario(scenario).bodies)
