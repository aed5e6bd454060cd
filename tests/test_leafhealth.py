"""Tests of the leaf view: a leaving leaf is known as such within 3 s."""

import contextlib
import random
import typing
from collections import abc

import result
import testtools
import trio
import trio.testing

from plantainhook import (
    blackboard,
    leafhealth,
    leafprotocol,
    standin_vmlist,
    vmlist,
)
from tests import leafhelp

DETECTION_LIMIT_S: typing.Final = 3.0


class FakeVmList:
    """Read the list of a VM list stand-in without HTTP."""

    def __init__(self, standin: standin_vmlist.StandinVmList) -> None:
        self._standin = standin

    async def read(
        self,
    ) -> result.Result[leafprotocol.VmListing, vmlist.VmListError]:
        """Return the list as the stand-in reports it."""
        return result.Ok(self._standin.listing())


def vm(state: typing.Literal["live", "leaving"]) -> leafprotocol.VmEntry:
    """Return the VM list entry of leaf-0."""
    return leafprotocol.VmEntry("vm-0", "10.0.0.0:80", "dc-1", state)


class HealthRig:
    """Set up a health controller and a VM list on top of a rig."""

    def __init__(self, rig: leafhelp.Rig) -> None:
        self.rig = rig
        self.leaf = rig.leafs[0]
        self.vms = standin_vmlist.StandinVmList([vm("live")])
        self.health = leafhealth.LeafHealth(
            rig.board, rig.gateway, FakeVmList(self.vms), 1.0, random.Random(0)
        )

    def state(self) -> blackboard.LeafState | None:
        """Return the state of leaf-0 in the leaf view."""
        view = self.rig.board.leafs.get("leaf-0")
        return None if view is None else view.state

    async def time_until(self, state: blackboard.LeafState) -> float:
        """Wait up to 60 s until leaf-0 has a state; return the time taken."""
        started_s = trio.current_time()
        with trio.move_on_after(60):
            while self.state() is not state:
                await self.rig.board.change_event(
                    blackboard.Topic.LEAFS
                ).wait()
        return trio.current_time() - started_s


@contextlib.asynccontextmanager
async def running(**behaviour: typing.Any) -> abc.AsyncIterator[HealthRig]:
    """Run a health controller; start once its leaf is known to be live."""
    async with (
        leafhelp.running_rig(**behaviour) as rig,
        trio.open_nursery() as nursery,
    ):
        health_rig = HealthRig(rig)
        await nursery.start(health_rig.health.run)
        await health_rig.time_until(blackboard.LeafState.LIVE)
        yield health_rig
        nursery.cancel_scope.cancel()


async def report_by_health(health_rig: HealthRig) -> None:
    """Drain the leaf; its health endpoint reports it."""
    health_rig.leaf.drain()


async def report_by_refusal(health_rig: HealthRig) -> None:
    """Drain the leaf; its health endpoint says live, but it refuses calls."""
    health_rig.leaf.update({"health_says": "live"})
    health_rig.leaf.drain()
    await health_rig.rig.call()


async def report_by_vm_list(health_rig: HealthRig) -> None:
    """Let only the VM list report the leaf as leaving."""
    health_rig.vms.set_vms([vm("leaving")])


async def report_by_absence(health_rig: HealthRig) -> None:
    """Let the VM of the leaf disappear from the list."""
    health_rig.vms.set_vms([])


async def report_by_peer(health_rig: HealthRig) -> None:
    """Drain the leaf; a peer reports it before the health endpoint does."""
    health_rig.leaf.drain()
    health_rig.health.on_peer_leaving("leaf-0")


LEAVING_REPORTS: typing.Final = (
    report_by_health,
    report_by_refusal,
    report_by_vm_list,
    report_by_absence,
    report_by_peer,
)


class LeafHealthTest(testtools.TestCase):
    """Check the leaf view with stand-ins for leafs and VM list."""

    def run_virtual(
        self, function: abc.Callable[..., abc.Awaitable[None]], *args: object
    ) -> None:
        """Run a function with a clock that advances when all tasks wait."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(function, *args, clock=clock)

    def test_leaving_within_limit(self) -> None:
        """Guard against new work for a leaving leaf after 3 s.

        Each source alone must suffice, and the state must not revert later.
        """

        async def case(report: abc.Callable[..., abc.Awaitable[None]]) -> None:
            async with running() as health_rig:
                await report(health_rig)
                draining = blackboard.LeafState.DRAINING
                taken_s = await health_rig.time_until(draining)
                self.assertLessEqual(
                    taken_s, DETECTION_LIMIT_S, report.__name__
                )
                await trio.sleep(5)
                self.assertEqual(draining, health_rig.state(), report.__name__)

        for report in LEAVING_REPORTS:
            self.run_virtual(case, report)

    def test_silent_leaf_is_down(self) -> None:
        """Guard against new work for a leaf whose health endpoint hangs."""

        async def case() -> None:
            async with running() as health_rig:
                health_rig.leaf.update({"state_delay_ms": 60_000})
                down = blackboard.LeafState.DOWN
                self.assertLessEqual(
                    await health_rig.time_until(down), DETECTION_LIMIT_S
                )

        self.run_virtual(case)

    def test_crash_and_recovery(self) -> None:
        """Guard against a leaf that stays unused after it recovers."""

        async def case() -> None:
            async with running(cold_ms=2000.0) as health_rig:
                health_rig.leaf.crash()
                await health_rig.time_until(blackboard.LeafState.DOWN)
                await health_rig.leaf.recover()
                cold_s = await health_rig.time_until(blackboard.LeafState.COLD)
                self.assertLessEqual(cold_s, DETECTION_LIMIT_S)
                live_s = await health_rig.time_until(blackboard.LeafState.LIVE)
                self.assertLessEqual(live_s, 2.0 + DETECTION_LIMIT_S)

        self.run_virtual(case)

    def test_full_pool_is_not_a_failure(self) -> None:
        """Guard against a busy leaf that counts as down.

        Polls fail while calls use all connections of the pool.
        """

        async def case() -> None:
            async with (
                running(service_median_ms=8000.0) as health_rig,
                trio.open_nursery() as nursery,
            ):
                for attempt_id in range(2):
                    nursery.start_soon(self.call, health_rig, attempt_id)
                await trio.sleep(6)
                self.assertEqual(blackboard.LeafState.LIVE, health_rig.state())

        self.run_virtual(case)

    async def call(self, health_rig: HealthRig, attempt_id: int) -> None:
        """Make a call that takes several seconds."""
        await health_rig.rig.call(timeout_s=20.0, attempt_id=attempt_id)

    def test_versions(self) -> None:
        """Guard against a leaf view without a new index version."""

        async def case() -> None:
            async with running() as health_rig:
                health_rig.leaf.set_versions({1: {"s0"}, 2: {"s0"}})
                await trio.sleep(2)
                view = health_rig.rig.board.leafs["leaf-0"]
                self.assertEqual({1, 2}, set(view.versions))

        self.run_virtual(case)

    def test_load(self) -> None:
        """Guard against a reported load that is never read again."""

        async def case() -> None:
            async with running() as health_rig:
                health_rig.leaf.update({"load_says": 9})
                await trio.sleep(6)
                counts = health_rig.health.in_flight_counts()
                self.assertEqual({"leaf-0": 9}, counts)

        self.run_virtual(case)

    def test_vm_list_over_http(self) -> None:
        """Guard against an old VM list that replaces a newer one."""

        async def case() -> None:
            standin = standin_vmlist.StandinVmList([vm("live")])
            async with trio.open_nursery() as nursery:
                address = await nursery.start(standin.serve, "127.0.0.1", 0)
                client = vmlist.VmListClient(f"http://{address}")
                first = (await client.read()).unwrap()
                self.assertEqual("vm-0", first.vms[0].vm_id)
                standin.lag_s = 1000.0
                self.assertTrue((await client.read()).is_err())
                await client.aclose()
                nursery.cancel_scope.cancel()

        trio.run(case)
