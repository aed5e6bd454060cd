"""Test the failures that operators of similar systems have reported.

Each test plays one damaged peer against the code that meets it.
"""

import random
import socket
import tracemalloc
import typing

import hypothesis
import msgspec
import prometheus_client
import result
import testtools
import trio
import trio.lowlevel
import trio.testing
from hypothesis import strategies as st

from plantainhook import (
    blackboard,
    clock,
    concurrency,
    errors,
    forwardgateway,
    forwardtypes,
    httpserver,
    leafconnect,
    leaflimits,
    leafnotices,
    leafpools,
    leaftransport,
    logs,
    memberentry,
    metrics,
    objectsource,
    peerframes,
    peerlinks,
    peers,
    querytypes,
    routetable,
    shardmap,
    steps,
    storereader,
    storerelay,
    storereplica,
    storeupdate,
    wire,
)
from plantainhook.platform import dialect, documents, store
from tests import (
    eventcount,
    forwardrig,
    storebuilders,
    virtualtime,
    wiretransport,
)

KINDS: typing.Final = errors.LeafFailureKind
ENTRY: typing.Final = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "max-concurrency": 2,
    "state": "ready",
}


def answer_to(request_id: str, status: bytes = b"200 OK") -> bytes:
    """Return the reply of a leaf to a request."""
    return (
        b"HTTP/1.1 " + status + b"\r\nServer-Stamp: s\r\nRequest-Id: "
        b"" + request_id.encode() + b"\r\nContent-Length: 4\r\n\r\nbody"
    )


NOT_RUN: typing.Final = b"503 No\r\nNot-Executed: 1"


class LateTransport(wiretransport.ScriptedTransport):
    """Receive each chunk only after the next request was sent."""

    def is_readable(self) -> bool:
        """Return False: nothing arrives while the connection is idle."""
        return False


class LeafCase:
    """Call a leaf over one pool; each connection has a script."""

    def __init__(self, *scripts: typing.Sequence[bytes | None]) -> None:
        self.scripts = list(scripts)
        self.connected: list[wiretransport.ScriptedTransport] = []
        board = blackboard.Blackboard(1)
        board.settings.leafs["leaf"] = shardmap.LeafInfo(
            "leaf", "a:1", "dc", "s", "s", 2, 9
        )
        self.instruments = metrics.LeafMetrics(
            prometheus_client.CollectorRegistry()
        )
        self.pools = leafpools.LeafPools(
            board,
            lambda leaf: 1,
            self.instruments,
            random.Random(1),
            self.connect,
            leafconnect.PoolOptions(
                checks_health=False, keeps_spare=False, close_timeout_s=0.0
            ),
        )

    async def connect(self, address: str) -> wiretransport.ScriptedTransport:
        """Open the next connection."""
        transport = LateTransport(*self.scripts.pop(0))
        self.connected.append(transport)
        return transport

    async def call(
        self, request_id: str, idempotent: bool = True
    ) -> forwardgateway.ReplyResult:
        """Send a request to the leaf."""
        gateway = forwardgateway.ForwardGateway(
            forwardtypes.ForwardRequest(
                b"GET", b"/", "h", [], b"", request_id, 500.0
            ),
            idempotent,
            dialect.PlatformDialect(),
            self.pools,
            leaflimits.LeafLimits(),
            leafnotices.LeafNotices(),
            self.instruments,
            logs.DecisionLog(
                logs.part_logger("attempt"), clock.TrioClock(), 50.0
            ),
        )
        request = querytypes.QueryRequest(
            request_id, "r", "k", {}, "f", 0.0, 5.0
        )
        send = querytypes.Send(
            1, "leaf", ("s",), 1, 5.0, querytypes.AttemptReason.FIRST
        )
        return await gateway.call(request, send)

    def run(
        self,
        *request_ids: str,
        idempotent: bool = True,
        beside: typing.Callable[[], typing.Awaitable[None]] | None = None,
    ) -> list[forwardgateway.ReplyResult]:
        """Send requests one after the other; return their results.

        ``beside`` is another task of the process.
        """
        outcomes = []

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.pools.run)
                if beside is not None:
                    nursery.start_soon(beside)
                for request_id in request_ids:
                    outcomes.append(await self.call(request_id, idempotent))
                nursery.cancel_scope.cancel()

        virtualtime.run(main)
        return outcomes


class LateCopyTest(testtools.TestCase):
    """Check a second copy of a reply on a connection in use again."""

    def test_copy_of_an_answer(self) -> None:
        """Guard against an answer that belongs to the previous request."""
        case = LeafCase([answer_to("one"), answer_to("one")])
        first, second = case.run("one", "two")
        self.assertTrue(first.is_ok())
        self.assertIs(KINDS.MALFORMED, second.unwrap_err().kind)
        self.assertIs(errors.Ran.MAYBE, second.unwrap_err().ran)

    def test_copy_of_a_refusal(self) -> None:
        """Guard against work that runs and is reported as not run.

        The copy says that the previous request has not run.
        """
        copy = answer_to("one", NOT_RUN)
        case = LeafCase([copy, copy])
        first, second = case.run("one", "two", idempotent=False)
        self.assertIs(errors.Ran.NO, first.unwrap_err().ran)
        self.assertIs(errors.Ran.MAYBE, second.unwrap_err().ran)

    def test_copy_of_a_refusal_of_the_same_request(self) -> None:
        """Guard against work that runs twice after a copy of a refusal.

        The copy arrives while the next attempt of the request waits for its
        reply, so both have the same id.
        """
        copy = answer_to("one", NOT_RUN)
        case = LeafCase([copy, copy], [answer_to("one")])
        first, second = case.run("one", "one", idempotent=False)
        self.assertIs(errors.Ran.NO, first.unwrap_err().ran)
        self.assertTrue(second.is_ok())
        self.assertEqual(1, case.connected[0].sent.count(b"GET /"))

    def test_copy_after_another_request(self) -> None:
        """Guard against a copy that arrives some requests later."""
        copy = answer_to("one", NOT_RUN)
        case = LeafCase([copy, answer_to("two"), copy], [answer_to("one")])
        outcomes = case.run("one", "two", "one", idempotent=False)
        self.assertTrue(outcomes[1].is_ok())
        self.assertTrue(outcomes[2].is_ok())
        self.assertEqual(2, case.connected[0].sent.count(b"GET /"))

    def test_copy_without_an_id(self) -> None:
        """Guard against a copy that lost the header with its request id."""
        copy = answer_to("one").replace(b"Request-Id: one\r\n", b"")
        case = LeafCase([answer_to("one"), copy])
        _, second = case.run("one", "two")
        self.assertIs(KINDS.MALFORMED, second.unwrap_err().kind)

    def test_connection_is_not_used_after_a_copy(self) -> None:
        """Guard against a chain of replies that are each one too late."""
        case = LeafCase(
            [answer_to("one"), answer_to("one"), answer_to("two")],
            [answer_to("three")],
        )
        outcomes = case.run("one", "two", "three")
        self.assertTrue(outcomes[2].is_ok())
        self.assertTrue(case.connected[0].is_closed)

    def test_late_reply_of_the_store(self) -> None:
        """Guard against a watch that goes back to an earlier revision."""
        body = b'{"events": [], "store-revision": 5}'
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        transport = wiretransport.ScriptedTransport(head + body)

        async def connect(address: str) -> wiretransport.ScriptedTransport:
            return transport

        async def main() -> typing.Any:
            source = store.PlatformStore("a:1", "servers", connect)
            return await source.watch(storebuilders.at(9), 0.1)

        self.assertTrue(virtualtime.run(main).is_err())


class InvalidStatusTest(testtools.TestCase):
    """Check replies whose status is no status."""

    STATUSES: typing.Final = (b"000", b"099", b"600", b"999")

    def test_refusal_with_an_invalid_status(self) -> None:
        """Guard against work that runs again on the word of a damaged leaf."""
        for status in self.STATUSES:
            refusal = NOT_RUN.replace(b"503", status)
            case = LeafCase([answer_to("one", refusal)])
            (outcome,) = case.run("one", idempotent=False)
            self.assertIs(KINDS.MALFORMED, outcome.unwrap_err().kind)
            self.assertIs(errors.Ran.MAYBE, outcome.unwrap_err().ran)

    def test_other_leafs_answer(self) -> None:
        """Guard against such an answer that a caller gets.

        A request that may be repeated is answered by another leaf, which
        may also be that of a hedge.
        """
        for status in self.STATUSES:
            damaged = forwardrig.Leaf(status + b" X\r\nServer-Stamp: x")
            leafs = {"a": damaged, "b": forwardrig.Leaf()}
            for service_s in (0.0, 0.3):
                damaged.service_s = service_s
                responses: list[forwardtypes.Response] = []
                rig = forwardrig.ForwardRig(leafs)

                async def scenario(
                    rig: forwardrig.ForwardRig = rig,
                    responses: list[forwardtypes.Response] = responses,
                ) -> None:
                    await trio.sleep(2.0)
                    for _ in range(6):
                        responses.append(await rig.send())

                forwardrig.run(rig, scenario)
                statuses = {response.status for response in responses}
                self.assertEqual({200}, statuses)
            self.assertGreater(damaged.requests_count, 0)

    def test_peer(self) -> None:
        """Guard against such an answer that another daemon passes on."""
        for status in (-20, 0, 99, 600, 999):
            body = wire.HttpAnswer(status, [], b"")
            frame = wire.encode_frame(wire.ReplyFrame(1, body))
            decoded = wire.decode_body(
                frame[wire.FRAME_HEADER.size :],
                "peer",
                steps.Step.QUERY_WAIT,
            )
            self.assertTrue(decoded.is_err(), str(status))


class EndlessTest(testtools.TestCase):
    """Check peers that send bytes without end."""

    def build_case(self, first: bytes, repeated: bytes) -> LeafCase:
        """Return a case with a leaf that never stops."""
        case = LeafCase([])

        class Endless(wiretransport.ScriptedTransport):
            async def receive_some(self, max_bytes: int) -> bytes:
                await trio.lowlevel.checkpoint()
                return self.chunks.pop(0) or b"" if self.chunks else repeated

            def is_readable(self) -> bool:
                return True

        async def connect(address: str) -> wiretransport.ScriptedTransport:
            return Endless(*([first] if first else []))

        case.connect = connect  # type: ignore[method-assign]
        case.pools._connector = connect
        return case

    def exchange_bytes(self, first: bytes, repeated: bytes) -> int:
        """Return the peak memory of a call to a leaf that never stops."""
        case = self.build_case(first, repeated)
        tracemalloc.start()
        try:
            (outcome,) = case.run("one")
            return tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            self.assertIs(KINDS.MALFORMED, outcome.unwrap_err().kind)
            self.assertIs(errors.Ran.MAYBE, outcome.unwrap_err().ran)

    def test_endless_head(self) -> None:
        """Guard against a head that fills the memory."""
        peak = self.exchange_bytes(b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 99)
        self.assertTrue(peak < 2_000_000)

    def test_endless_body(self) -> None:
        """Guard against a body that fills the memory.

        It arrives in small chunks, which cost most as objects.
        """
        peak = self.exchange_bytes(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            (b"20\r\n" + b"x" * 32 + b"\r\n") * 1000,
        )
        self.assertTrue(peak < 10_000_000)

    def test_endless_body_of_short_chunks(self) -> None:
        """Guard against a body that keeps all other tasks waiting.

        Each chunk of one byte takes as much work as a long one, so a limit
        on bytes allows a million of them, and one read has ten thousand.
        """
        case = self.build_case(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"1\r\nz\r\n" * 10_000,
        )
        with eventcount.counting() as counter:
            (outcome,) = case.run("one", beside=counter.watch)
        self.assertIs(KINDS.MALFORMED, outcome.unwrap_err().kind)
        self.assertTrue(counter.longest_turn_count < 200)
        self.assertTrue(counter.total_count < 10_000)

    def test_long_body_of_short_chunks(self) -> None:
        """Guard against a sound answer that counts as a body without end."""
        chunks = b"10\r\n" + b"x" * 16 + b"\r\n"
        reply = (
            b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: one\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        case = LeafCase([reply + chunks * 3000 + b"0\r\n\r\n"])
        (outcome,) = case.run("one")
        self.assertTrue(outcome.is_ok())

    def test_endless_interim_replies(self) -> None:
        """Guard against a call that ends only at its deadline."""
        self.exchange_bytes(b"", b"HTTP/1.1 100 Continue\r\n\r\n")

    def test_endless_noise(self) -> None:
        """Guard against bytes that are no reply at all."""
        self.exchange_bytes(b"", b"\x00\xffnoise")


class MalformedTest(testtools.TestCase):
    """Check malformed input that must not end a process."""

    def test_huge_number_in_a_reply(self) -> None:
        """Guard against a header that Python refuses to convert."""
        reply = answer_to("one").replace(
            b"Server-Stamp",
            b"Keep-Alive: timeout=" + b"9" * 5000 + b"\r\nServer-Stamp",
        )
        (outcome,) = LeafCase([reply]).run("one")
        self.assertTrue(outcome.is_ok())

    def test_unexpected_error_of_a_call(self) -> None:
        """Guard against one failed call that ends the process."""
        case = LeafCase([answer_to("one")])

        def fail(*arguments: object) -> typing.NoReturn:
            raise ZeroDivisionError

        typing.cast(typing.Any, case.instruments.wait_seconds).observe = fail
        (outcome,) = case.run("one")
        self.assertIs(errors.Ran.MAYBE, outcome.unwrap_err().ran)

    def test_unexpected_error_of_a_connect(self) -> None:
        """Guard against an address that the system call rejects."""
        case = LeafCase()

        async def connect(address: str) -> wiretransport.ScriptedTransport:
            raise OverflowError("port must be 0-65535")

        case.pools._connector = connect
        (outcome,) = case.run("one")
        self.assertIs(errors.Ran.NO, outcome.unwrap_err().ran)

    def test_invalid_port_of_a_leaf(self) -> None:
        """Guard against an entry of another writer that names no address."""
        reader = documents.PlatformDocuments()
        reader.read_leaf("leaf", ENTRY)
        for port in ("99999", "0x50", "", "9" * 5000):
            entry = ENTRY | {"address": f"10.0.0.1:{port}"}
            self.assertRaises(ValueError, reader.read_leaf, "leaf", entry)

    def test_huge_concurrency_of_a_leaf(self) -> None:
        """Guard against an entry whose number overflows in each request."""
        entry = ENTRY | {"max-concurrency": 10**400}
        info = documents.PlatformDocuments().read_leaf("leaf", entry).info
        concurrency.build_limit(info.slot_count, 9)

    def test_deeply_nested_reply_of_the_store(self) -> None:
        """Guard against a reply that exceeds the recursion limit."""
        body = b"[" * 200_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        transport = wiretransport.ScriptedTransport(head + body)

        async def connect(address: str) -> wiretransport.ScriptedTransport:
            return transport

        async def main() -> typing.Any:
            return await store.PlatformStore("a:1", "servers", connect).list()

        self.assertTrue(virtualtime.run(main).is_err())

    def test_invalid_update_of_a_peer(self) -> None:
        """Guard against a malformed update that ends the relay."""
        update = storeupdate.StoreUpdate(
            "leafs",
            3,
            True,
            [storeupdate.StoreItem("a", 1, b"{not json", False)],
        )
        packed = storeupdate.pack_update(update)

        class Peer:
            async def request(
                self,
                peer_address: str,
                body: wire.AnyBody,
                timeout_s: float,
                lane: int = 0,
            ) -> peers.Reply:
                return result.Ok(wire.StoreReply(True, {"leafs": 3}, [packed]))

        async def main() -> bool:
            relay = storerelay.StoreRelay.__new__(storerelay.StoreRelay)
            relay._replicas = {
                "leafs": storereplica.StoreReplica("leafs", _NoConsumer())
            }
            relay._transport = Peer()
            relay._clock = clock.TrioClock()
            relay._last_up_to_date_s = {}
            relay._reader = storereader.StoreReader(
                relay._replicas,
                {},
                objectsource.FollowOptions(),
                random.Random(1),
            )
            relay._reader._scope = trio.CancelScope()
            return await relay._pull("d1:1", 0.0)

        self.assertFalse(virtualtime.run(main))

    def test_member_with_an_invalid_address(self) -> None:
        """Guard against a member entry that ends every daemon it reaches."""

        async def main() -> list[bool]:
            links = build_links()
            outcomes = []
            async with trio.open_nursery() as nursery:
                await nursery.start(links.run)
                for address in ("nonsense", "127.0.0.1:99999", "::", ""):
                    reply = await links.request(address, wire.Probe([]), 1.0)
                    outcomes.append(reply.is_err())
                nursery.cancel_scope.cancel()
            return outcomes

        self.assertEqual([True] * 4, trio.run(main))

    def test_member_with_a_huge_counter(self) -> None:
        """Guard against a counter whose successor cannot be encoded."""
        entry = wire.MemberEntry(1, "", "", "", "d:1", "", 0, (1 << 64) - 1)
        frame = wire.encode_frame(wire.RequestFrame(1, wire.Probe([entry])))
        buffer = peerframes.FrameBuffer("peer", 4096)
        self.assertTrue(buffer.feed(frame).is_err())
        highest = msgspec.structs.replace(entry, counter=wire.COUNTER_MAX)
        refuted = memberentry.with_state(
            highest, memberentry.Liveness.ALIVE, wire.COUNTER_MAX + 1
        )
        wire.encode_frame(wire.RequestFrame(1, wire.Probe([refuted])))

    @hypothesis.given(st.data())
    @hypothesis.settings(max_examples=300)
    def test_damaged_frames(self, data: st.DataObject) -> None:
        """Guard against a damaged frame that raises instead of an error."""
        bodies: list[wire.AnyBody] = [
            wire.Probe([wire.MemberEntry(1, "n", "v", "z", "d:1", "", 0, 1)]),
            wire.BranchResult(b"r" * 32, {0: b"s"}, [1], [], True, True),
            wire.StorePull({"leafs": 3}, 100),
            wire.HttpAnswer(200, [(b"a", b"b")], b"body"),
        ]
        frame = bytearray(
            wire.encode_frame(
                wire.RequestFrame(7, data.draw(st.sampled_from(bodies)))
            )
        )
        for _ in range(data.draw(st.integers(1, 4))):
            position = data.draw(st.integers(0, len(frame) - 1))
            frame[position] = data.draw(st.integers(0, 255))
        buffer = peerframes.FrameBuffer("peer", 4096)
        buffer.feed(bytes(frame))

    @hypothesis.given(st.data())
    @hypothesis.settings(max_examples=300)
    def test_damaged_replies(self, data: st.DataObject) -> None:
        """Guard against a damaged reply that is taken for an answer.

        Only a reply whose id and signature are intact is accepted.
        """
        reply = bytearray(answer_to("one"))
        for _ in range(data.draw(st.integers(1, 4))):
            position = data.draw(st.integers(0, len(reply) - 1))
            reply[position] = data.draw(st.integers(0, 255))
        (outcome,) = LeafCase([bytes(reply), b""], [None], [None]).run("one")
        if isinstance(outcome, result.Ok):
            (answer,) = outcome.ok_value.results[0].items
            self.assertIn(answer.request_id, (None, "one"))
            self.assertIsNot(None, answer.signature)


class _NoConsumer:
    """Ignore the objects of a replica."""

    def on_restored(self) -> None:
        """Do nothing."""

    def on_listing(self, listing: object) -> None:
        """Ignore a listing."""

    def on_changes(self, changes: object) -> None:
        """Ignore changes."""

    def on_unavailable(self, error: object) -> None:
        """Ignore an outage."""

    def on_available(self) -> None:
        """Ignore the end of an outage."""


def build_links() -> peerlinks.TcpPeerTransport:
    """Return the links of a daemon on a free port."""
    hello = wire.HelloFrame(
        wire.PROTOCOL_VERSION, 1, "d", "v", "z", "127.0.0.1:0", ""
    )
    return peerlinks.TcpPeerTransport(
        hello, peers.Handlers(), 65_536, clock.TrioClock(), random.Random(1)
    )


class StopTest(testtools.TestCase):
    """Check the connections of callers around a planned stop."""

    def test_connections_that_wait_are_served(self) -> None:
        """Guard against requests that are cut off when the listener closes.

        Pattern: a planned stop under load, with connections that the process
        has not accepted yet.
        """

        async def handle(
            method: bytes,
            target: bytes,
            headers: forwardtypes.Headers,
            body: bytes,
            arrived_s: float,
        ) -> forwardtypes.Response:
            return forwardtypes.Response(200, [], b"answer")

        async def main() -> list[bytes]:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
            server = httpserver.HttpServer(handle, routetable.ClientLimits)
            answers = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve, f"127.0.0.1:{port}", nursery)
                await trio.testing.wait_all_tasks_blocked()
                waiting = [
                    socket.create_connection(("127.0.0.1", port))
                    for _ in range(5)
                ]
                for caller in waiting:
                    caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                server.drain()
                server.stop_accepting()
                await trio.lowlevel.checkpoint()
                for caller in waiting:
                    transport = leaftransport.SocketTransport(caller)
                    with trio.move_on_after(2.0):
                        answers.append(await transport.receive_some(4096))
                while server.connections:
                    server.close_idle()
                    for caller in waiting:
                        caller.close()
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            return answers

        answers = trio.run(main)
        self.assertEqual(5, len(answers))
        for answer in answers:
            self.assertIn(b"answer", answer)

    def test_unexpected_error_ends_one_connection(self) -> None:
        """Guard against a request whose error ends the process."""

        async def handle(
            method: bytes,
            target: bytes,
            headers: forwardtypes.Headers,
            body: bytes,
            arrived_s: float,
        ) -> forwardtypes.Response:
            raise ZeroDivisionError

        async def main() -> bytes:
            caller, served = socket.socketpair()
            server = httpserver.HttpServer(handle, routetable.ClientLimits)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    server.serve_transport,
                    leaftransport.SocketTransport(served),
                )
                caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                transport = leaftransport.SocketTransport(caller)
                data = await transport.receive_some(4096)
                transport.close()
            return data

        self.assertEqual(b"", trio.run(main))
