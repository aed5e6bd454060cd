"""Tests of attempts that are forwarded to daemons with connections."""

import contextlib
import dataclasses
import random
import typing
from collections import abc

import result
import testtools
import trio
import trio.testing

from plantainhook import (
    blackboard,
    clock,
    errors,
    holderrouter,
    leafgateway,
    logs,
    memorynet,
    peers,
    querytypes,
    schema,
    wire,
)

LEAF: typing.Final = "leaf-0"


@dataclasses.dataclass
class FakeRunner:
    """Answer after a delay; record the requests run and cancelled."""

    delay_s: float = 0.01
    failure: errors.LeafError | None = None
    ran: list[str] = dataclasses.field(default_factory=list)
    cancelled: list[str] = dataclasses.field(default_factory=list)

    async def call(
        self,
        leaf: str,
        send: querytypes.Send,
        fields: leafgateway.RequestFields,
        deadline_s: float,
    ) -> holderrouter.AttemptResult:
        self.ran.append(fields.request_id)
        try:
            await trio.sleep(self.delay_s)
        except trio.Cancelled:
            self.cancelled.append(fields.request_id)
            raise
        if self.failure is not None:
            return result.Err(self.failure)
        shards = tuple(
            querytypes.ShardResult(shard, [shard]) for shard in send.shards
        )
        return result.Ok(
            querytypes.LeafReply(fields.request_id, send.snapshot, shards)
        )


class ThreeDaemons:
    """Set up three daemons: the first has no share, the others have one."""

    def __init__(self, nursery: trio.Nursery, delay_s: float) -> None:
        self.network = memorynet.MemoryNetwork(nursery, random.Random(1))
        self.runners = [FakeRunner(delay_s) for _ in range(3)]
        self.boards = [self.build_board(index) for index in range(3)]
        self.routers = [
            self.build_router(board, runner)
            for board, runner in zip(self.boards, self.runners, strict=True)
        ]

    def build_board(self, index: int) -> blackboard.Blackboard:
        leaf = schema.Leaf(
            name=LEAF,
            address="10.1.0.1:80",
            data_centre="dc-1",
            slot_count=2,
            connection_limit_count=8,
        )
        settings = schema.Settings(
            group={"tiles": schema.Group(service="maps", leafs=[leaf])},
            share_plan=schema.SharePlan(share_count=2, holders_per_leaf=2),
        )
        board = blackboard.Blackboard(index + 1)
        board.settings = blackboard.build_settings_view(
            1, settings, 0.0, "test"
        )
        board.members = {
            each + 1: blackboard.MemberInfo(
                each + 1,
                f"daemon-{each}",
                f"vm-{each}",
                "dc-1",
                f"10.0.0.{each}:7080",
                "",
                alive=True,
                draining=False,
            )
            for each in range(3)
        }
        allotments = {LEAF: 4} if index else {}
        owners = {"all": {0: 2, 1: 3}}
        board.shares = blackboard.ShareView(None, allotments, owners)
        return board

    def build_router(
        self, board: blackboard.Blackboard, runner: FakeRunner
    ) -> holderrouter.HolderRouter:
        info = board.members[board.incarnation]
        hello = wire.HelloFrame(
            1, info.incarnation, info.name, "", "", info.peer_address, ""
        )
        handlers = peers.Handlers()
        transport = memorynet.MemoryTransport(self.network, hello, handlers)
        decisions = logs.DecisionLog(
            logs.part_logger("test"), clock.TrioClock(), 1.0
        )
        return holderrouter.HolderRouter(
            board, runner, transport, handlers, decisions
        )

    async def call(self, timeout_s: float = 5.0) -> holderrouter.AttemptResult:
        """Run one attempt through the first daemon."""
        deadline_s = trio.current_time() + timeout_s
        request = querytypes.QueryRequest(
            "r", "maps", "tile", {}, "f", trio.current_time(), deadline_s
        )
        send = querytypes.Send(
            7,
            LEAF,
            ("a", "b"),
            3,
            deadline_s,
            querytypes.AttemptReason.FIRST,
        )
        return await self.routers[0].call(request, send)

    def ran_count(self) -> int:
        """Return how many attempts ran on all daemons."""
        return sum(len(runner.ran) for runner in self.runners)


@contextlib.asynccontextmanager
async def running_daemons(
    delay_s: float = 0.01,
) -> abc.AsyncIterator[ThreeDaemons]:
    """Run three daemons."""
    async with trio.open_nursery() as nursery:
        three = ThreeDaemons(nursery, delay_s)
        for router in three.routers:
            await nursery.start(router.run)
        yield three
        nursery.cancel_scope.cancel()


class ForwardingTest(testtools.TestCase):
    """Check holders, refusals, failures and cancellations."""

    def run_trio(self, test: abc.Callable[[], abc.Awaitable[None]]) -> None:
        trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_reply_of_holder(self) -> None:
        """Guard against replies without results or with another id."""

        async def run() -> None:
            async with running_daemons() as three:
                reply = (await three.call()).unwrap()
            self.assertEqual("r", reply.request_id)
            self.assertEqual(3, reply.snapshot)
            self.assertEqual(
                ["a", "b"], [each.shard for each in reply.results]
            )
            self.assertEqual([], three.runners[0].ran)

        self.run_trio(run)

    def test_next_holder_is_tried_after_refusal(self) -> None:
        """Guard against an attempt that fails because a share has moved.

        The first holder that is tried may no longer have connections.
        """

        async def run() -> None:
            for index in (1, 2):
                async with running_daemons() as three:
                    three.boards[index].shares = blackboard.ShareView()
                    self.assertTrue((await three.call()).is_ok())
                    self.assertEqual(1, three.ran_count())

        self.run_trio(run)

    def test_no_holder(self) -> None:
        """Guard against an error without ran=no although nothing ran."""

        async def run() -> None:
            async with running_daemons() as three:
                for index in (1, 2):
                    three.boards[index].shares = blackboard.ShareView()
                error = (await three.call()).unwrap_err()
            self.assertEqual(errors.Ran.NO, error.ran)
            self.assertEqual(errors.LeafFailureKind.NO_CONNECTION, error.kind)

        self.run_trio(run)

    def test_lost_reply_is_not_sent_again(self) -> None:
        """Guard against a second run after a timeout.

        The first holder may still run the attempt.
        """

        async def run() -> None:
            async with running_daemons(delay_s=10) as three:
                error = (await three.call(timeout_s=1)).unwrap_err()
                await trio.sleep(0.5)
                self.assertEqual(1, three.ran_count())
                cancelled = sum(len(r.cancelled) for r in three.runners)
                self.assertEqual(1, cancelled)
            self.assertEqual(errors.Ran.MAYBE, error.ran)

        self.run_trio(run)

    def test_failure_of_leaf_keeps_its_outcome(self) -> None:
        """Guard against a leaf's failure that is reported as another one."""

        async def run() -> None:
            async with running_daemons() as three:
                for runner in three.runners:
                    runner.failure = holderrouter.leaf_error(
                        LEAF,
                        "leaf",
                        "busy",
                        errors.Ran.NO,
                        errors.LeafFailureKind.REFUSED,
                    )
                error = (await three.call()).unwrap_err()
                self.assertEqual(1, three.ran_count())
            self.assertEqual(errors.LeafFailureKind.REFUSED, error.kind)
            self.assertEqual(errors.Ran.NO, error.ran)

        self.run_trio(run)

    def test_cancellation_reaches_holder(self) -> None:
        """Guard against leafs that work for a caller that disconnected."""

        async def run() -> None:
            async with running_daemons(delay_s=10) as three:
                with trio.move_on_after(0.1):
                    await three.call()
                await trio.sleep(0.1)
                cancelled = sum(len(r.cancelled) for r in three.runners)
                self.assertEqual(1, cancelled)

        self.run_trio(run)


@dataclasses.dataclass
class FakePools:
    """Provide one pool, which is this object itself."""

    open_count: int

    def pool(self, leaf: str) -> holderrouter.Pool | None:
        return self


class PoolShrinkWaiterTest(testtools.TestCase):
    """Check the wait until the pools have shrunk to their allotments."""

    def test_waits_for_excess(self) -> None:
        """Guard against a share released while its connections are open."""

        async def run() -> None:
            async with running_daemons() as three:
                pools = FakePools(open_count=5)
                board = three.boards[1]
                waiter = holderrouter.PoolShrinkWaiter(board, lambda: pools)
                with trio.move_on_after(10) as early:
                    await waiter.wait()
                pools.open_count = 4
                with trio.move_on_after(10) as late:
                    await waiter.wait()
            self.assertTrue(early.cancelled_caught)
            self.assertFalse(late.cancelled_caught)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
