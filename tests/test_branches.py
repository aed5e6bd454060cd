"""Test branches between daemons: messages, cancellation and lost helpers."""

import dataclasses
import random
import typing

import prometheus_client
import testtools
import trio

from plantainhook import (
    blackboard,
    branchgather,
    branchhelpers,
    branchserver,
    branchworker,
    clock,
    errors,
    forwardmetrics,
    forwardtypes,
    gatherers,
    gathersplit,
    gathertypes,
    leaflimits,
    logs,
    memorynet,
    peers,
    routetable,
    stopadmission,
    wire,
)
from tests import test_gathersplit, virtualtime

SERVICES: typing.Final = tuple(f"s{number}" for number in range(10))
ROUTE: typing.Final = routetable.Route(
    "r",
    "h",
    "/a/",
    True,
    800.0,
    175.0,
    2,
    1,
    gather=routetable.Gather(SERVICES, 20, 0.8),
)
REQUEST: typing.Final = forwardtypes.ForwardRequest(
    b"GET", b"/a/b", "h", [], b"", "request", 800.0
)


class FakeBranch(branchworker.RunningBranch):
    """Return all parts of a branch after a time."""

    def __init__(self, owner: "FakeWorker", task: branchworker.BranchTask):
        super().__init__(task, None)
        self.owner = owner
        self.parts_s = trio.current_time() + owner.work_s
        self.is_sent = False

    async def run(self) -> None:
        """Run until cancelled; leafs would work during this time."""
        with self.scope:
            await trio.sleep_until(self.parts_s)
        if self.scope.cancelled_caught:
            self.owner.cancelled_count += 1

    async def next_batch(
        self,
        wait_until_s: float,
        wants_progress: bool,
        acknowledged: int | None = None,
    ) -> gathertypes.Batch:
        """Return all parts once they are there."""
        await trio.sleep_until(min(wait_until_s, self.parts_s))
        services = self.task.services
        if trio.current_time() < self.parts_s:
            services = ()
        return gathertypes.Batch(
            b"",
            dict.fromkeys(services, b"signed"),
            frozenset(),
            frozenset(),
            bool(services),
            True,
            sequence=1,
        )


class FakeWorker(branchworker.BranchWorker):
    """Run branches without leafs; all of them are in data centre b."""

    def __init__(self) -> None:
        self.work_s = 0.02
        self.started: list[branchworker.BranchTask] = []
        self.cancelled_count = 0
        self.limits = leaflimits.LeafLimits()

    def start(
        self, nursery: trio.Nursery, task: branchworker.BranchTask
    ) -> branchworker.RunningBranch:
        self.started.append(task)
        branch = FakeBranch(self, task)
        nursery.start_soon(branch.run)
        return branch

    def is_poor(self, statuses: typing.Any) -> bool:
        return False

    def view_of(
        self, route: routetable.Route, services: tuple[str, ...]
    ) -> typing.Any:
        return test_gathersplit.view_of(dict.fromkeys(services, "b"))


class Daemon:
    """Set up the branches of one daemon."""

    def __init__(
        self,
        number: int,
        members: dict[int, blackboard.MemberInfo],
        network: memorynet.MemoryNetwork,
    ) -> None:
        info = members[number]
        board = blackboard.Blackboard(number, members=members)
        handlers = peers.Handlers()
        hello = wire.HelloFrame(
            wire.PROTOCOL_VERSION,
            number,
            info.name,
            "",
            info.data_centre,
            info.peer_address,
            "",
        )
        transport = memorynet.MemoryTransport(network, hello, handlers)
        decisions = logs.DecisionLog(
            logs.part_logger("branch"), clock.TrioClock(), 50.0
        )
        self.worker = FakeWorker()
        self.stop = stopadmission.StopAdmission()
        self.server = branchserver.BranchServer(
            handlers, self.worker, self.stop, decisions
        )
        self.gather = branchgather.BranchGather(
            branchhelpers.Helpers(
                board,
                gatherers.GathererChoice(board, gatherers.GathererOptions()),
            ),
            transport,
            self.worker,
            forwardmetrics.ForwardMetrics(
                prometheus_client.CollectorRegistry()
            ),
            decisions,
        )


class Fleet:
    """Set up daemon 0 in data centre a, and the others in b."""

    def __init__(
        self, nursery: trio.Nursery, features: int = wire.FEATURE_BRANCHES
    ) -> None:
        self.network = memorynet.MemoryNetwork(nursery, random.Random(1))
        members = {
            number: blackboard.MemberInfo(
                number,
                f"d{number}",
                "",
                "a" if number == 0 else "b",
                f"d{number}:1",
                "",
                True,
                False,
                capacity=107,
                features=features,
            )
            for number in range(3)
        }
        self.daemons = [
            Daemon(number, members, self.network) for number in members
        ]

    async def gather(
        self,
        request: forwardtypes.ForwardRequest = REQUEST,
        route: routetable.Route = ROUTE,
    ) -> branchgather.Outcome | None:
        """Gather a request at daemon 0."""
        return await self.daemons[0].gather.gather(
            request, route, trio.current_time()
        )

    def started_counts(self) -> list[int]:
        """Return the number of branches that each daemon has started."""
        return [len(daemon.worker.started) for daemon in self.daemons]


def run_scenario(
    scenario: typing.Callable[[Fleet], typing.Awaitable[None]],
    features: int = wire.FEATURE_BRANCHES,
) -> None:
    """Run a scenario on virtual time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, features)
            for daemon in fleet.daemons:
                await nursery.start(daemon.server.run)
                nursery.start_soon(daemon.gather.run)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    virtualtime.run(main)


class BranchTest(testtools.TestCase):
    """Check queries whose leafs are in another data centre."""

    def test_one_helper_calls_all_far_shards(self) -> None:
        """Guard against a call across data centres for each shard."""

        async def scenario(fleet: Fleet) -> None:
            outcome = await fleet.gather()
            assert isinstance(outcome, gathertypes.Gathered)
            self.assertEqual((), outcome.missing)
            counts = fleet.started_counts()
            self.assertEqual((0, 1), (counts[0], sum(counts[1:])))

        run_scenario(scenario)

    def test_daemons_without_the_feature_get_no_branches(self) -> None:
        """Guard against messages that an older daemon cannot decode."""

        async def scenario(fleet: Fleet) -> None:
            self.assertIs(None, await fleet.gather())

        run_scenario(scenario, features=0)

    def test_unreachable_helper_is_not_needed(self) -> None:
        """Guard against parts that are lost with a helper that was killed."""

        async def scenario(fleet: Fleet) -> None:
            for address in ("d1:1", "d2:1"):
                fleet.network.nodes[address].close()
            outcome = await fleet.gather()
            assert isinstance(outcome, gathertypes.Gathered)
            self.assertEqual((), outcome.missing)
            self.assertEqual([1, 0, 0], fleet.started_counts())

        run_scenario(scenario)

    def test_helper_that_stops(self) -> None:
        """Guard against parts that are lost when their helper exits."""

        async def scenario(fleet: Fleet) -> None:
            now_s = trio.current_time()
            for daemon in fleet.daemons[1:]:
                daemon.stop.begin(now_s, now_s + 0.05)
            outcome = await fleet.gather()
            assert isinstance(outcome, gathertypes.Gathered)
            self.assertEqual((), outcome.missing)
            self.assertEqual([1, 0, 0], fleet.started_counts())

        run_scenario(scenario)

    def test_silent_helper_ends_the_query_early(self) -> None:
        """Guard against callers that wait for a helper that was cut off.

        The refusal comes before the goal, so that the caller can send the
        request again in time; it does not state that nothing has run.
        """

        async def scenario(fleet: Fleet) -> None:
            fleet.network.is_reachable = lambda sender, receiver: False
            outcome = await fleet.gather()
            assert isinstance(outcome, errors.RefusalError)
            self.assertIs(errors.Ran.MAYBE, outcome.ran)
            self.assertTrue(trio.current_time() < 0.175)
            self.assertEqual([0, 0, 0], fleet.started_counts())

        run_scenario(scenario)

    def test_repeated_first_message(self) -> None:
        """Guard against leafs that work longer than the caller waits.

        Pattern: the first message to a helper is lost. The helper starts the
        branch when the message is repeated, after a third of a long goal.
        """
        goal_s, deadline_s = 3.0, 8.0
        route = dataclasses.replace(
            ROUTE, goal_ms=goal_s * 1e3, timeout_ms=deadline_s * 1e3
        )
        request = dataclasses.replace(REQUEST, left_ms=deadline_s * 1e3)

        async def scenario(fleet: Fleet) -> None:
            fleet.network.is_reachable = lambda sender, receiver: (
                trio.current_time() > 0.5
            )
            outcome = await fleet.gather(request, route)
            (task,) = [
                task
                for daemon in fleet.daemons[1:]
                for task in daemon.worker.started
            ]
            self.assertTrue(
                task.deadline_s < deadline_s + 0.01, task.deadline_s
            )
            self.assertTrue(task.goal_s < goal_s + 0.01, task.goal_s)
            assert isinstance(outcome, gathertypes.Gathered)
            self.assertEqual((), outcome.missing)

        run_scenario(scenario)

    def test_silent_helper_is_avoided(self) -> None:
        """Guard against each query waiting for the same frozen helper."""

        async def scenario(fleet: Fleet) -> None:
            fleet.network.is_reachable = lambda sender, receiver: False
            await fleet.gather()
            await fleet.gather()
            groups = fleet.daemons[0].gather.helpers.groups()
            self.assertNotIn("b", groups)

        run_scenario(scenario)

    def test_leaving_caller_cancels_the_branch(self) -> None:
        """Guard against leafs that work for a caller that disconnected."""

        async def scenario(fleet: Fleet) -> None:
            for daemon in fleet.daemons[1:]:
                daemon.worker.work_s = 5.0
            with trio.move_on_after(0.05):
                await fleet.gather()
            await trio.sleep(0.3)
            cancelled = [
                daemon.worker.cancelled_count for daemon in fleet.daemons
            ]
            self.assertEqual(1, sum(cancelled))
            self.assertEqual(
                [0, 0, 0],
                [daemon.server.running_count for daemon in fleet.daemons],
            )

        run_scenario(scenario)

    def test_late_copy_of_an_ended_branch(self) -> None:
        """Guard against a request that runs on more leafs than allowed.

        Pattern: a message is repeated because its connection stalls. The
        first copy arrives after the branch was cancelled or has ended.
        """

        async def scenario(fleet: Fleet) -> None:
            helper = fleet.daemons[1]
            sender = wire.HelloFrame(
                wire.PROTOCOL_VERSION, 0, "d0", "", "a", "d0:1", ""
            )
            query = branchgather._Query(REQUEST, ROUTE, 0.1, 0.5, 0)
            action = gathertypes.StartBranch(0, "d1:1", SERVICES, 0.05)
            work = branchgather._build_work(query, action, 0.0)
            await helper.server._on_work(sender, work)
            cancel = wire.BranchCancel(REQUEST.request_id)
            await helper.server._on_cancel(sender, cancel)
            reply = await helper.server._on_work(sender, work)
            self.assertIsInstance(reply, wire.Failed)
            self.assertEqual([0, 1, 0], fleet.started_counts())
            await trio.sleep(branchserver.ENDED_KEPT_S + 1.0)
            self.assertEqual({}, helper.server._ended_s)

        run_scenario(scenario)

    def test_copy_of_the_first_message(self) -> None:
        """Guard against a branch that is run twice by the same helper.

        Pattern: the reply to the first message is late, so its sender repeats
        the message.
        """

        async def scenario(fleet: Fleet) -> None:
            for daemon in fleet.daemons[1:]:
                daemon.worker.work_s = 0.15
            replies = iter((False, True))
            fleet.network.is_reachable = lambda sender, receiver: (
                sender == "d0:1" or next(replies, True)
            )
            outcome = await fleet.gather()
            assert isinstance(outcome, gathertypes.Gathered)
            counts = fleet.started_counts()
            self.assertEqual((0, 1), (counts[0], sum(counts[1:])))

        run_scenario(scenario)

    def test_branch_of_a_lost_sender_ends(self) -> None:
        """Guard against leafs that work for a daemon that was killed."""

        async def scenario(fleet: Fleet) -> None:
            for daemon in fleet.daemons[1:]:
                daemon.worker.work_s = 5.0
            with trio.move_on_after(0.12):
                await fleet.gather()
            fleet.network.is_reachable = lambda sender, receiver: False
            await trio.sleep(0.5)
            cancelled = [
                daemon.worker.cancelled_count for daemon in fleet.daemons
            ]
            self.assertEqual(1, sum(cancelled))

        run_scenario(scenario)

    def test_invalid_reply_is_a_failure(self) -> None:
        """Guard against a malformed reply that ends more than its branch."""
        remote = branchgather._Remote("d1:1", ("s0",))
        reply = wire.BranchResult(b"", {7: b"x"}, [], [], True, True)
        event = branchgather._read_batch(reply, remote)
        assert isinstance(event, errors.PeerError)
        self.assertIs(errors.Ran.MAYBE, event.ran)


class GroupTest(testtools.TestCase):
    """Check the helpers of a data centre."""

    def test_limit_follows_the_cpu(self) -> None:
        """Guard against a weak helper that gets as much as a strong one."""
        limits = [
            gatherers.shards_limit_count(capacity)
            for capacity in (12, 52, 107, 215)
        ]
        self.assertEqual(sorted(limits), limits)
        group = gathersplit.HelperGroup(("a", "b"), limits[0])
        self.assertTrue(group.total_limit_count() < limits[1])
