"""Tests of leases: deadlines, takeover, waiting and jobs under a lease."""

import functools
import random
import typing
from collections import abc

import result
import testtools
import trio

from plantainhook import (
    clock,
    errors,
    lease,
    leaserunner,
    objectapifake,
    settingscleanup,
)
from tests import virtualtime

DURATION_S: typing.Final = 10.0


class VirtualClock(clock.TrioClock):
    """Derive a wall time from virtual time that is off by ``skew_s``."""

    skew_s: float

    def __init__(self, skew_s: float = 0.0) -> None:
        self.skew_s = skew_s

    def wall_s(self) -> float:
        """Return the wall time of a VM with clock skew."""
        return trio.current_time() + self.skew_s


class Fixture:
    """Provide a store and leases on it for several holders."""

    def __init__(self) -> None:
        self.memory = objectapifake.VersionedStore(log=[])

    def new_lease(self, holder: str, skew_s: float = 0.0) -> lease.Lease:
        """Return the lease of a holder, with an object API of its own.

        The holder's wall clock is off by ``skew_s``.
        """
        api = objectapifake.FakeObjectApi(self.memory)
        return lease.Lease(
            api, "job", holder, DURATION_S, VirtualClock(skew_s)
        )

    def faults(self, own_lease: lease.Lease) -> objectapifake.Faults:
        """Return the faults of a holder's object API."""
        return self.api(own_lease).faults

    def api(self, own_lease: lease.Lease) -> objectapifake.FakeObjectApi:
        """Return the object API of a holder."""
        assert isinstance(own_lease._api, objectapifake.FakeObjectApi)
        return own_lease._api


class LeaseTest(testtools.TestCase):
    """Check leases of one or more holders on virtual time."""

    def run_scenario(
        self, scenario: abc.Callable[[Fixture], abc.Awaitable[None]]
    ) -> None:
        """Run a scenario on a new store."""
        virtualtime.run(functools.partial(scenario, Fixture()))

    def test_deadline_counts_from_before_the_request(self) -> None:
        """Guard against a holder that acts after its lease has expired.

        If calls are slow, a deadline that counts from the reply is too late.
        """

        async def scenario(fixture: Fixture) -> None:
            own_lease = fixture.new_lease("a")
            fixture.faults(own_lease).delay_s = 3.0
            start_s = trio.current_time()
            (await own_lease.acquire()).unwrap()
            end_s = start_s + 3.0 + DURATION_S
            self.assertTrue(own_lease.is_held(end_s - 0.1))
            self.assertFalse(own_lease.is_held(end_s))
            (await own_lease.renew()).unwrap()
            self.assertFalse(own_lease.is_held(start_s + 6.0 + DURATION_S))

        self.run_scenario(scenario)

    def test_renewal_during_an_outage(self) -> None:
        """Guard against a deadline that is extended without a reply."""

        async def scenario(fixture: Fixture) -> None:
            own_lease = fixture.new_lease("a")
            (await own_lease.acquire()).unwrap()
            fixture.faults(own_lease).outage = True
            await trio.sleep(6.0)
            self.assertIsInstance(await own_lease.renew(), result.Err)
            self.assertEqual(4.0, round(own_lease.remaining_s(), 6))
            await trio.sleep(4.0)
            refused = (await own_lease.fenced_put("x", 1)).unwrap_err()
            self.assertIsInstance(refused, errors.FencedError)

        self.run_scenario(scenario)

    def test_renewal_of_a_lease_that_another_took(self) -> None:
        """Guard against a holder that acts after it has lost the lease."""

        async def scenario(fixture: Fixture) -> None:
            own_lease = fixture.new_lease("a")
            (await own_lease.acquire()).unwrap()
            fixture.memory.write(own_lease.key, b"{}", "r")
            self.assertIsInstance(await own_lease.renew(), result.Err)
            self.assertFalse(own_lease.is_held(trio.current_time()))

        self.run_scenario(scenario)

    def test_takeover_waits_for_expiry_and_skew(self) -> None:
        """Guard against a takeover while the holder may still act."""

        async def scenario(fixture: Fixture) -> None:
            first, second = fixture.new_lease("a"), fixture.new_lease("b", 1.9)
            (await first.acquire(["x"])).unwrap()
            await trio.sleep(DURATION_S)
            refused = (await second.acquire(["x"])).unwrap_err()
            self.assertIsInstance(refused, lease.LeaseHeldError)
            await trio.sleep(lease.MAX_CLOCK_SKEW_S)
            (await second.acquire(["x"])).unwrap()
            self.assertEqual((1, 2), (first.epoch, second.epoch))
            (await second.fenced_put("x", "new")).unwrap()
            value = fixture.memory.changes("x", 0)[0].value
            self.assertEqual({"epoch": 2, "value": "new"}, value)

        self.run_scenario(scenario)

    def test_holder_with_a_clock_far_ahead(self) -> None:
        """Guard against a wrong clock that blocks a lease forever."""

        async def scenario(fixture: Fixture) -> None:
            first, second = fixture.new_lease("a", 1e6), fixture.new_lease("b")
            (await first.acquire()).unwrap()
            start_s = trio.current_time()
            await leaserunner.wait_until_acquired(second, [], random.Random(0))
            waited_s = trio.current_time() - start_s
            self.assertLess(waited_s, 3 * DURATION_S)

        self.run_scenario(scenario)

    def test_deleted_lease_object(self) -> None:
        """Guard against objects that no new holder can write.

        A lease object that was deleted starts again at a lower epoch than
        that of the objects written under the lease.
        """

        async def scenario(fixture: Fixture) -> None:
            first = fixture.new_lease("a")
            for _ in range(3):
                (await first.acquire(["x"])).unwrap()
            fixture.memory.write(first.key, None, "r")
            second = fixture.new_lease("b")
            await leaserunner.wait_until_acquired(
                second, ["x"], random.Random(0)
            )
            self.assertEqual(4, second.epoch)

        self.run_scenario(scenario)

    def test_contenders_call_rarely(self) -> None:
        """Guard against contenders that overload the object API."""

        async def scenario(fixture: Fixture) -> None:
            call_counts: list[int] = []

            async def contend(number: int) -> None:
                own_lease = fixture.new_lease(f"c{number}")
                with trio.move_on_after(100.0):
                    await leaserunner.wait_until_acquired(
                        own_lease, [], random.Random(number)
                    )
                call_counts.append(fixture.api(own_lease).counters.total())

            async def hold(own_lease: lease.Lease) -> None:
                await trio.sleep_forever()

            first = fixture.new_lease("a")
            (await first.acquire()).unwrap()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    leaserunner.run_under_lease,
                    first,
                    (),
                    hold,
                    random.Random(1),
                )
                for number in range(10):
                    nursery.start_soon(contend, number)
                await trio.sleep(101.0)
                nursery.cancel_scope.cancel()
            self.assertEqual(10, len(call_counts))
            self.assertLessEqual(max(call_counts), 100.0 / DURATION_S * 2)

        self.run_scenario(scenario)

    def test_fleet_cleans_up_once_in_an_interval(self) -> None:
        """Guard against every daemon running the clean-up job."""

        async def scenario(fixture: Fixture) -> None:
            apis = [
                objectapifake.FakeObjectApi(fixture.memory) for _ in range(20)
            ]
            with trio.move_on_after(10 * settingscleanup.INTERVAL_S):
                async with trio.open_nursery() as nursery:
                    for number, api in enumerate(apis):
                        nursery.start_soon(
                            settingscleanup.run,
                            api,
                            f"d{number}",
                            VirtualClock(),
                            random.Random(number),
                        )
            list_counts = [api.counters.calls.get("list", 0) for api in apis]
            # A pass lists the chunks and the manifests.
            pass_count = sum(list_counts) // 2
            self.assertGreaterEqual(pass_count, 5)
            self.assertLessEqual(pass_count, 20)

        self.run_scenario(scenario)

    def test_job_ends_with_the_lease(self) -> None:
        """Guard against a job that continues without the lease."""

        async def scenario(fixture: Fixture) -> None:
            own_lease = fixture.new_lease("a")
            durations_s: list[float] = []

            async def job(held: lease.Lease) -> None:
                started_s = trio.current_time()
                fixture.faults(own_lease).outage = True
                try:
                    await trio.sleep_forever()
                finally:
                    durations_s.append(trio.current_time() - started_s)

            with trio.move_on_after(3 * DURATION_S):
                await leaserunner.run_under_lease(
                    own_lease, (), job, random.Random(0)
                )
            self.assertEqual([DURATION_S], [round(s, 6) for s in durations_s])

        self.run_scenario(scenario)
