"""Tests of the connections to a leaf: limits, waiters, warm-up, cancelling."""

import math
import typing
from collections import abc

import result
import testtools
import trio
import trio.testing

from plantainhook import (
    blackboard,
    errors,
    leafconnect,
    leafpool,
    standin_leaf,
)
from tests import leafhelp


class LeafPoolTest(testtools.TestCase):
    """Check the pool through the gateway and the counters of the stand-in."""

    def run_virtual(
        self, function: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        """Run a function with a clock that advances when all tasks wait."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(function, clock=clock)

    def pool(self, rig: leafhelp.Rig) -> leafpool.LeafPool:
        """Return the pool of the first leaf."""
        pool = rig.gateway.pool("leaf-0")
        self.assertIsNotNone(pool)
        return typing.cast("leafpool.LeafPool", pool)

    def test_allotment_bounds_connections(self) -> None:
        """Guard against more open connections than the allotment.

        Replies are malformed, so connections are replaced all the time, and
        the stand-in counts an old connection until 50 ms after its close.
        """

        async def case() -> None:
            async with leafhelp.running_rig(
                allotment_count=3, reply_fault="malformed", close_lag_ms=50.0
            ) as rig:
                async with trio.open_nursery() as nursery:
                    for number in range(100):
                        await trio.sleep(0.001)
                        nursery.start_soon(self.call, rig, f"q{number}", 0.02)
                leaf = rig.leafs[0]
                self.assertEqual(3, leaf.open_max_count)
                leaf.update({"reply_fault": "none"})
                await trio.sleep(2)
                self.assertTrue((await rig.call()).is_ok())

        self.run_virtual(case)

    async def call(
        self, rig: leafhelp.Rig, request_id: str, timeout_s: float
    ) -> None:
        """Make a call and ignore its outcome."""
        await rig.call(timeout_s=timeout_s, request_id=request_id)

    def test_shrink_to_zero_in_flight(self) -> None:
        """Guard against a call that is cut off by an allotment of 0.

        Allotments change when a connection share moves to another daemon.
        """

        async def case() -> None:
            async with leafhelp.running_rig(service_median_ms=100.0) as rig:
                outcomes: list[bool] = []

                async def call() -> None:
                    outcomes.append((await rig.call()).is_ok())

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call)
                    await trio.sleep(0.05)
                    rig.change_allotment(0)
                    await trio.sleep(0.01)
                    self.assertEqual(1, rig.leafs[0].open_count)
                    refused = (await rig.call(request_id="q2")).unwrap_err()
                    self.assertEqual(errors.Ran.NO, refused.ran)
                await trio.sleep(0.01)
                self.assertEqual([True], outcomes)
                self.assertEqual(0, rig.leafs[0].open_count)
                self.assertEqual(0, self.pool(rig).open_count)
                rig.change_allotment(2)
                await trio.sleep(0.01)
                self.assertTrue((await rig.call(request_id="q3")).is_ok())

        self.run_virtual(case)

    def test_shrink_to_zero_while_connecting(self) -> None:
        """Guard against a connection that opens despite an allotment of 0.

        The allotment changes while the connection is being set up.
        """

        async def case() -> None:
            async with leafhelp.running_rig(allotment_count=0) as rig:
                rig.network.connect_delay_s = 0.1
                rig.change_allotment(2)
                await trio.sleep(0.05)
                rig.change_allotment(0)
                await trio.sleep(0.2)
                self.assertEqual(1, len(rig.network.connects))
                self.assertEqual(0, rig.leafs[0].open_count)
                self.assertEqual(0, self.pool(rig).open_count)

        self.run_virtual(case)

    def test_idle_connection_is_replaced(self) -> None:
        """Guard against a non-idempotent request on a dead connection.

        Some leafs drop connections that were idle for 150 ms and reset them
        at the next request, which then may have run and cannot be repeated.
        """

        async def case() -> None:
            async with leafhelp.running_rig(allotment_count=1) as rig:
                self.assertTrue((await rig.call()).is_ok())
                pool = self.pool(rig)
                before = len(rig.network.connects)
                await trio.sleep(0.05)
                client = (await pool.acquire(math.inf, 0.1)).unwrap()
                pool.release(client)
                self.assertEqual(before, len(rig.network.connects))
                await trio.sleep(0.2)
                client = (await pool.acquire(math.inf, 0.1)).unwrap()
                pool.release(client)
                self.assertEqual(before + 1, len(rig.network.connects))
                self.assertEqual(1, rig.leafs[0].open_max_count)

        self.run_virtual(case)

    def test_request_on_a_connection_that_sent_it(self) -> None:
        """Guard against two replies with one id on a connection.

        Pattern: a leaf refuses a request, which is sent to it again, and no
        connection beyond those that are open may be opened.
        """

        async def case() -> None:
            async with leafhelp.running_rig(allotment_count=2) as rig:
                pool = self.pool(rig)
                used = []
                for _ in range(4):
                    with trio.fail_after(1.0):
                        client = (
                            await pool.acquire(math.inf, request_id="one")
                        ).unwrap()
                    client.record_request("one", trio.current_time() + 9.0)
                    pool.release(client)
                    used.append(client)
                self.assertEqual(4, len(set(used)))
                self.assertEqual(2, rig.leafs[0].open_max_count)
                # Other requests use the connections that are left.
                connects_count = len(rig.network.connects)
                client = (
                    await pool.acquire(math.inf, request_id="two")
                ).unwrap()
                pool.release(client)
                self.assertEqual(connects_count, len(rig.network.connects))

        self.run_virtual(case)

    def test_waiter_for_another_connection(self) -> None:
        """Guard against a wait that a released connection can't end.

        The only connection that may be open has sent the waiting request.
        """

        async def case() -> None:
            async with leafhelp.running_rig(allotment_count=1) as rig:
                pool = self.pool(rig)
                busy = (await pool.acquire(math.inf)).unwrap()
                busy.record_request("one", trio.current_time() + 9.0)
                got = []

                async def wait(request_id: str) -> None:
                    client = (
                        await pool.acquire(math.inf, request_id=request_id)
                    ).unwrap()
                    got.append((request_id, client is busy))
                    pool.release(client)

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(wait, "one")
                    await trio.sleep(0.01)
                    nursery.start_soon(wait, "two")
                    await trio.sleep(0.01)
                    pool.release(busy)
                    nursery.cancel_scope.deadline = trio.current_time() + 1.0
                self.assertEqual([("two", True), ("one", False)], got)

        self.run_virtual(case)

    def test_late_reply(self) -> None:
        """Guard against a late reply that is given to the next request."""

        async def case() -> None:
            async with leafhelp.running_rig(
                allotment_count=1,
                reply_fault="delay",
                reply_delay_ms=150.0,
                fault_count=1,
            ) as rig:
                late = (await rig.call(timeout_s=0.05)).unwrap_err()
                self.assertEqual(errors.LeafFailureKind.TIMEOUT, late.kind)
                reply = (await rig.call(request_id="q2")).unwrap()
                self.assertEqual("q2", reply.request_id)
                self.assertEqual(1, len(rig.network.connects))

        self.run_virtual(case)

    def test_stop_with_call_in_flight(self) -> None:
        """Guard against a connection that stays open without its pool."""

        async def case() -> None:
            async with leafhelp.running_rig(service_median_ms=100.0) as rig:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.call, rig, "q1", 1.0)
                    await trio.sleep(0.05)
                    rig.board.settings = blackboard.SettingsView()
                    rig.board.notify(blackboard.Topic.SETTINGS)
                await trio.sleep(0.01)
                self.assertEqual(2, rig.leafs[0].journal.count_runs("q1"))
                self.assertEqual(0, rig.leafs[0].open_count)

        self.run_virtual(case)

    def test_waiters_by_deadline(self) -> None:
        """Guard against an urgent call that waits behind less urgent ones."""

        async def case() -> None:
            async with leafhelp.running_rig(
                allotment_count=1, service_median_ms=100.0
            ) as rig:
                async with trio.open_nursery() as nursery:
                    for name, timeout_s in (
                        ("first", 9.0),
                        ("late", 8.0),
                        ("soon", 2.0),
                        ("middle", 5.0),
                    ):
                        nursery.start_soon(self.call, rig, name, timeout_s)
                        await trio.sleep(0.01)
                order = [
                    run.request_id
                    for run in rig.leafs[0].journal.runs
                    if run.shard == "s0"
                ]
                expected = ["first.0", "soon.0", "middle.0", "late.0"]
                self.assertEqual(expected, order)

        self.run_virtual(case)

    def test_waiter_past_deadline(self) -> None:
        """Guard against a request that is sent after its deadline."""

        async def case() -> None:
            async with leafhelp.running_rig(
                allotment_count=1, service_median_ms=500.0
            ) as rig:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.call, rig, "q1", 2.0)
                    await trio.sleep(0.01)
                    error = (
                        await rig.call(timeout_s=0.1, request_id="q2")
                    ).unwrap_err()
                    self.assertEqual(
                        errors.LeafFailureKind.NO_CONNECTION, error.kind
                    )
                await trio.sleep(1)
                self.assertEqual(0, rig.leafs[0].journal.count_runs("q2"))
                self.assertEqual(0, self.pool(rig).waiting_count)

        self.run_virtual(case)

    def test_warm_up(self) -> None:
        """Guard against a first call that includes the connection set-up."""

        async def case() -> None:
            async with leafhelp.running_rig(connect_ms=6.0) as rig:
                await trio.sleep(1)
                connects_count = len(rig.network.connects)
                started_s = trio.current_time()
                self.assertTrue((await rig.call()).is_ok())
                self.assertLess(trio.current_time() - started_s, 0.0055)
                self.assertEqual(1, connects_count)

        self.run_virtual(case)

    def test_connects_at_start_are_limited(self) -> None:
        """Guard against a restart that opens all connections at once."""

        async def case() -> None:
            async with trio.open_nursery() as nursery:
                options = leafconnect.PoolOptions(warm_up_jitter_s=0.0)
                rig = leafhelp.Rig(nursery, leaf_count=100, options=options)
                rig.network.connect_delay_s = 0.006
                await nursery.start(rig.gateway.run)
                await trio.sleep(1)
                self.assertEqual(100, len(rig.network.connects))
                self.assertEqual(16, rig.network.connecting_max_count)
                nursery.cancel_scope.cancel()

        self.run_virtual(case)

    def test_connects_back_off(self) -> None:
        """Guard against endless connection attempts to a dead leaf."""

        async def case() -> None:
            async with leafhelp.running_rig() as rig:
                rig.leafs[0].crash()
                for number in range(500):
                    outcome = await rig.call(request_id=f"q{number}")
                    self.assertTrue(outcome.is_err())
                    await trio.sleep(0.01)
                self.assertLess(len(rig.network.connects), 20)
                await rig.leafs[0].recover()
                await trio.sleep(1.5)
                self.assertTrue((await rig.call()).is_ok())

        self.run_virtual(case)

    def test_address_change(self) -> None:
        """Guard against calls to the previous address of a leaf."""

        async def case() -> None:
            async with leafhelp.running_rig(leaf_count=2) as rig:
                swapped = leafhelp.settings(2)
                swapped.group["g"].leafs[0].address = "10.0.0.1:80"
                swapped.group["g"].leafs[1].address = "10.0.0.0:80"
                rig.board.settings = blackboard.build_settings_view(
                    2, swapped, 0.0, "test"
                )
                rig.board.notify(blackboard.Topic.SETTINGS)
                await trio.sleep(0.1)
                await rig.call()
                self.assertEqual(2, rig.leafs[1].journal.count_runs("q1"))
                self.assertEqual(1, rig.leafs[0].open_count)

        self.run_virtual(case)


class HalfClosedServer:
    """Close the sending side after the first reply; collect later bytes."""

    def __init__(self, leaf: standin_leaf.StandinLeaf) -> None:
        self.late_bytes = b""
        self._leaf = leaf
        self._first = True

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Half-close the first connection; serve later ones normally."""
        if not self._first:
            await self._leaf.serve_stream(stream)
            return
        self._first = False
        assert isinstance(stream, trio.SocketStream)
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await stream.send_eof()
        async for data in stream:
            self.late_bytes += data


class StaleTest(testtools.TestCase):
    """Check connections that the leaf closes while they are idle."""

    def test_half_closed_connection(self) -> None:
        """Guard against a request written to a half-closed connection.

        Such a request may have run, so it could not be sent again.
        """

        async def case() -> None:
            async with trio.open_nursery() as nursery:
                rig = leafhelp.Rig(nursery)
                server = HalfClosedServer(rig.leafs[0])
                rig.network.servers["10.0.0.0:80"] = server
                await nursery.start(rig.gateway.run)
                await trio.sleep(0.1)
                self.assertTrue((await rig.call()).is_ok())
                self.assertEqual(b"", server.late_bytes)
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(case, clock=clock)


class CancelTest(testtools.TestCase):
    """Check that cancelled calls are cancelled at the leaf."""

    def cancel_one(self, allotment_count: int) -> tuple[int, int, int]:
        """Cancel a call in flight and make another one.

        Returns the number of searches still running at the leaf after the
        cancellation, the connections opened until then, and those opened
        until the end of the second call.
        """

        async def case() -> tuple[int, int, int]:
            async with leafhelp.running_rig(
                allotment_count=allotment_count, service_median_ms=500.0
            ) as rig:
                await trio.sleep(1)
                with trio.move_on_after(0.1):
                    await rig.call(timeout_s=20.0)
                await trio.sleep(0.1)
                running_count = rig.leafs[0].in_flight_count()
                connects_count = len(rig.network.connects)
                outcome = await rig.call(request_id="q2")
                assert isinstance(outcome, result.Ok)
                after_count = len(rig.network.connects)
                return running_count, connects_count, after_count

        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(case, clock=clock)

    def test_cancel_by_delete(self) -> None:
        """Guard against a cancelled search that goes on.

        Another connection is idle, so the search is cancelled by a DELETE on
        it. The connection of the search must remain usable.
        """
        self.assertEqual((0, 2, 2), self.cancel_one(allotment_count=2))

    def test_cancel_by_close(self) -> None:
        """Guard against a cancelled search that goes on.

        No connection is free for the cancellation, so the one in use is
        closed instead.
        """
        running_count, connects_count, after_count = self.cancel_one(1)
        self.assertEqual(0, running_count)
        self.assertEqual(2, connects_count)
        self.assertEqual(2, after_count)

    def test_cancel_leaves_other_attempt_running(self) -> None:
        """Guard against a cancelled hedge that cancels the other attempt.

        Both attempts of the query run at the same leaf.
        """

        async def case() -> None:
            async with leafhelp.running_rig(
                allotment_count=4, service_median_ms=300.0
            ) as rig:
                await trio.sleep(1)
                outcomes: list[bool] = []

                async def call_other_attempt() -> None:
                    outcomes.append((await rig.call(attempt_id=1)).is_ok())

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call_other_attempt)
                    with trio.move_on_after(0.1):
                        await rig.call(attempt_id=2)
                self.assertEqual([True], outcomes)

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(case, clock=clock)
