"""Tests of HTTP exchanges with faulty peers, and of the reply checks."""

import math
import random
import typing

import h11
import prometheus_client
import result
import testtools
import trio

from plantainhook import (
    blackboard,
    clock,
    errors,
    forwardgateway,
    forwardtypes,
    httpconnection,
    leafconnect,
    leaflimits,
    leafnotices,
    leafpools,
    logs,
    metrics,
    querytypes,
    shardmap,
)
from plantainhook.platform import dialect
from tests import virtualtime, wiretransport

REQUEST: typing.Final = h11.Request(
    method="GET", target="/", headers=[("host", "h")]
)
COMPLETE: typing.Final = (
    b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: abc\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)
INVALID_STATUSES: typing.Final = (
    *(b"000", b"099", b"600", b"999"),
    *(b"0200", b"20", b"-20", b"2OO", b"1e2"),
)
UNFRAMED: typing.Final = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\nbody"
Exchanged = tuple[
    result.Result[httpconnection.RawReply, errors.LeafError], bool
]


def exchange(*chunks: bytes | None) -> Exchanged:
    """Return the outcome of an exchange, and whether another may follow.

    ``chunks`` is what the peer sends, see ``ScriptedTransport``.
    """

    async def main() -> typing.Any:
        transport = wiretransport.ScriptedTransport(*chunks)
        connection = httpconnection.HttpConnection(transport, "leaf", "a:1")
        outcome = await connection.exchange(REQUEST, b"", 5.0)
        return outcome, connection.is_reusable() and not connection.is_stale()

    return typing.cast(Exchanged, virtualtime.run(main))


class ExchangeTest(testtools.TestCase):
    """Check what counts as a complete reply."""

    def test_complete_reply(self) -> None:
        """Guard against connections that are used only once."""
        outcome, reusable = exchange(COMPLETE)
        self.assertEqual(b"body", outcome.unwrap().body)
        self.assertTrue(reusable)

    def test_reply_in_pieces(self) -> None:
        """Guard against a reply that ends with its first segment."""
        pieces = [COMPLETE[i : i + 7] for i in range(0, len(COMPLETE), 7)]
        outcome, reusable = exchange(*pieces)
        self.assertEqual(b"body", outcome.unwrap().body)
        self.assertTrue(reusable)

    def test_truncated_reply(self) -> None:
        """Guard against a truncated body that counts as complete."""
        for end in (b"", None):
            outcome, reusable = exchange(COMPLETE[:-1], end)
            error = outcome.unwrap_err()
            self.assertIs(errors.LeafFailureKind.CONNECTION_LOST, error.kind)
            self.assertIs(errors.Ran.MAYBE, error.ran)
            self.assertFalse(reusable)

    def test_reply_without_length(self) -> None:
        """Guard against a connection reset that counts as the end of a reply.

        A reply without a length is complete only when the stream ends.
        """
        outcome, reusable = exchange(UNFRAMED, b"")
        self.assertEqual(b"body", outcome.unwrap().body)
        self.assertFalse(reusable)
        outcome, _ = exchange(UNFRAMED, None)
        self.assertTrue(outcome.is_err())

    def test_second_reply(self) -> None:
        """Guard against a surplus reply that answers the next request."""
        for chunks in ((COMPLETE + COMPLETE,), (COMPLETE, COMPLETE)):
            outcome, reusable = exchange(*chunks)
            self.assertEqual(b"body", outcome.unwrap().body)
            self.assertFalse(reusable)

    def test_invalid_bytes(self) -> None:
        """Guard against invalid bytes that are accepted as a reply."""
        outcome, reusable = exchange(b"\x00\x01nonsense\r\n\r\n")
        kind = outcome.unwrap_err().kind
        self.assertIs(errors.LeafFailureKind.MALFORMED, kind)
        self.assertFalse(reusable)

    def test_invalid_status(self) -> None:
        """Guard against a status that no reply can have.

        Whatever else such a reply states does not count either.
        """
        for status in INVALID_STATUSES:
            outcome, reusable = exchange(COMPLETE.replace(b"200", status))
            error = outcome.unwrap_err()
            self.assertIs(errors.LeafFailureKind.MALFORMED, error.kind)
            self.assertIs(errors.Ran.MAYBE, error.ran)
            self.assertFalse(reusable)

    def test_announced_idle_timeout(self) -> None:
        """Guard against a request on a connection that is about to close."""

        async def main() -> list[bool]:
            reply = COMPLETE.replace(
                b"Request-Id", b"Keep-Alive: timeout=2\r\nRequest-Id"
            )
            transport = wiretransport.ScriptedTransport(reply)
            connection = httpconnection.HttpConnection(transport, "l", "a:1")
            (await connection.exchange(REQUEST, b"", math.inf)).unwrap()
            stale = []
            for _ in range(3):
                stale.append(connection.is_stale())
                await trio.sleep(0.8)
            return stale

        self.assertEqual([False, False, True], virtualtime.run(main))


def call(reply: bytes) -> forwardgateway.ReplyResult:
    """Return the gateway's result for a reply to the request abc."""

    async def main() -> forwardgateway.ReplyResult:
        board = blackboard.Blackboard(1)
        info = shardmap.LeafInfo("leaf", "a:1", "dc", "s", "s", 2, 9)
        board.settings.leafs["leaf"] = info
        instruments = metrics.LeafMetrics(
            prometheus_client.CollectorRegistry()
        )

        async def connect(address: str) -> wiretransport.ScriptedTransport:
            return wiretransport.ScriptedTransport(reply, b"")

        pools = leafpools.LeafPools(
            board,
            lambda leaf: 1,
            instruments,
            random.Random(1),
            connect,
            leafconnect.PoolOptions(checks_health=False, keeps_spare=False),
        )
        gateway = forwardgateway.ForwardGateway(
            forwardtypes.ForwardRequest(
                b"GET", b"/", "h", [], b"", "abc", 500.0
            ),
            True,
            dialect.PlatformDialect(),
            pools,
            leaflimits.LeafLimits(),
            leafnotices.LeafNotices(),
            instruments,
            logs.DecisionLog(
                logs.part_logger("attempt"), clock.TrioClock(), 50.0
            ),
        )
        request = querytypes.QueryRequest("abc", "r", "k", {}, "f", 0.0, 5.0)
        send = querytypes.Send(
            1, "leaf", ("s",), 1, 5.0, querytypes.AttemptReason.FIRST
        )
        async with trio.open_nursery() as nursery:
            # The pools start while the request waits for them.
            nursery.start_soon(pools.run)
            outcome = await gateway.call(request, send)
            nursery.cancel_scope.cancel()
        return outcome

    return virtualtime.run(main)


class GatewayTest(testtools.TestCase):
    """Check which replies of leafs are accepted."""

    def test_answer(self) -> None:
        """Guard against a failed call while the pool of a leaf starts."""
        reply = call(COMPLETE).unwrap()
        self.assertEqual(b"body", reply.results[0].items[0].body)

    def test_rejected_replies(self) -> None:
        """Guard against replies to other requests, or without a signature."""
        kinds = errors.LeafFailureKind
        for old, new, kind, ran in (
            (b"abc", b"xyz", kinds.MALFORMED, errors.Ran.MAYBE),
            (
                b"Server-Stamp",
                b"X-Stamp",
                kinds.MALFORMED,
                errors.Ran.MAYBE,
            ),
            (
                b"Request-Id: abc",
                b"Content-Encoding: gzip",
                kinds.MALFORMED,
                errors.Ran.MAYBE,
            ),
            (b"200 OK", b"500 No", kinds.MALFORMED, errors.Ran.YES),
            (
                b"200 OK\r\n",
                b"503 No\r\nNot-Executed: 1\r\n",
                kinds.REFUSED,
                errors.Ran.NO,
            ),
            (b"200 OK", b"421 No", kinds.NOT_SERVED, errors.Ran.NO),
        ):
            error = call(COMPLETE.replace(old, new)).unwrap_err()
            self.assertEqual((kind, ran), (error.kind, error.ran), str(new))
