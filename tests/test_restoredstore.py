"""Tests of a store that comes back from a copy that is some seconds old.

Revisions go back and are given out again; operators and leafs write again
what was lost. Unless stated otherwise, the store is away for 2 s and loses the
last 6 s.
"""

import typing

import testtools
import trio

from tests import platformfleet

# The bound of configurations on the users' platform.
APPLY_S: typing.Final = 3.0
AWAY_S: typing.Final = 2.0
LOST_S: typing.Final = 6.0
# After this time the store removes the entries of leafs that don't renew them.
EXPIRY_S: typing.Final = 3.6
LEAFS: typing.Final = tuple(f"leaf-{number}" for number in range(8))


async def start(fleet: platformfleet.Fleet) -> None:
    """Write the first configuration and leafs."""
    fleet.configure(1)
    for leaf in LEAFS:
        fleet.register(leaf, 1)
    await trio.sleep(5.0)


async def come_back(
    fleet: platformfleet.Fleet,
    lose: typing.Callable[[], None],
) -> None:
    """Make changes that the store loses, and let it come back."""
    backup = fleet.model.backup()
    lose()
    await trio.sleep(LOST_S)
    fleet.model.is_down = True
    await trio.sleep(AWAY_S)
    fleet.model.restore(backup)


class RestoredConfigurationTest(testtools.TestCase):
    """Check the configurations in force after the return."""

    def check_next_change(self, count: int) -> None:
        """Check a change that is made some seconds after the return."""

        async def scenario(fleet: platformfleet.Fleet) -> None:
            await start(fleet)

            def lose() -> None:
                fleet.configure(2)
                for leaf in LEAFS:
                    fleet.register(leaf, 2)

            await come_back(fleet, lose)
            await trio.sleep(1.0)
            fleet.configure(2)
            await trio.sleep(4.0)
            fleet.configure(3)
            # The entries raise the revision beyond that before the return.
            for leaf in LEAFS:
                fleet.register(leaf, 3, "draining")
            await trio.sleep(APPLY_S)
            self.assertEqual({3}, fleet.versions())
            self.assertEqual([], fleet.users_of(LEAFS[0]))

        platformfleet.run(count, scenario)

    def test_small_fleet_adopts_the_next_change(self) -> None:
        """Guard against copies that miss what is written after a return."""
        self.check_next_change(7)

    def test_large_fleet_adopts_the_next_change(self) -> None:
        """Guard against followers of watchers that are in another era."""
        self.check_next_change(40)

    def test_daemon_that_missed_the_return_catches_up(self) -> None:
        """Guard against the same revision with other content in two eras.

        Pattern: one daemon is cut off from the store while it comes back.
        Afterwards the store reaches the revision that the daemon has.
        """

        async def scenario(fleet: platformfleet.Fleet) -> None:
            await start(fleet)
            await come_back(fleet, lambda: fleet.configure(2))
            late = fleet.daemons[3]
            late.is_cut = True
            fleet.register(LEAFS[0], 2, "draining")
            await trio.sleep(0.3)
            fleet.configure(2)
            await trio.sleep(2.0)
            self.assertFalse(3 in fleet.users_of(LEAFS[0]))
            late.is_cut = False
            await trio.sleep(2.0)
            fleet.configure(3)
            await trio.sleep(APPLY_S)
            self.assertEqual({3}, fleet.versions())

        platformfleet.run(7, scenario)

    def test_version_in_force_stays_until_it_is_written_again(self) -> None:
        """Guard against a lost change that a return undoes in a daemon."""

        async def scenario(fleet: platformfleet.Fleet) -> None:
            await start(fleet)
            await come_back(fleet, lambda: fleet.configure(2))
            for _ in range(10):
                await trio.sleep(1.0)
                self.assertEqual({2}, fleet.versions())
            fleet.configure(2)
            await trio.sleep(60.0)
            self.assertEqual({2}, fleet.versions())

        platformfleet.run(7, scenario)

    def test_version_that_is_not_written_again_ends(self) -> None:
        """Guard against daemons that disagree for ever after a return."""

        async def scenario(fleet: platformfleet.Fleet) -> None:
            await start(fleet)
            await come_back(fleet, lambda: fleet.configure(9))
            await trio.sleep(70.0)
            self.assertEqual({1}, fleet.versions())
            fleet.configure(4)
            await trio.sleep(APPLY_S)
            self.assertEqual({4}, fleet.versions())

        platformfleet.run(7, scenario)

    def test_second_return(self) -> None:
        """Guard against a return that only the first one prepared for."""

        async def scenario(fleet: platformfleet.Fleet) -> None:
            await start(fleet)
            await come_back(fleet, lambda: fleet.configure(2))
            fleet.configure(2)
            await come_back(fleet, lambda: fleet.configure(3))
            fleet.configure(3)
            await trio.sleep(2.0)
            fleet.configure(4)
            await trio.sleep(APPLY_S)
            self.assertEqual({4}, fleet.versions())

        platformfleet.run(7, scenario)


class RestoredLeafTest(testtools.TestCase):
    """Check the leafs in use after the return."""

    def test_leaf_that_had_left_is_not_used_again(self) -> None:
        """Guard against requests to a leaf whose entry is back.

        It may still serve, so a request could reach it long after it left.
        """

        async def scenario(fleet: platformfleet.Fleet) -> None:
            await start(fleet)
            # A renewal, which is no change that daemons see.
            fleet.register(LEAFS[0], 9)
            await trio.sleep(1.0)
            await come_back(fleet, lambda: fleet.remove(LEAFS[0]))
            for _ in range(int(EXPIRY_S / 0.2)):
                await trio.sleep(0.2)
                self.assertEqual([], fleet.users_of(LEAFS[0]))
            fleet.remove(LEAFS[0])
            await trio.sleep(10.0)
            self.assertEqual([], fleet.users_of(LEAFS[0]))

        for count in (7, 40):
            platformfleet.run(count, scenario)

    def test_leaf_whose_entry_is_renewed_is_used_again(self) -> None:
        """Guard against a leaf that stays unused after a return.

        Pattern: its entry had expired by mistake. The renewals raise no
        event, so only the entry that is still there tells.
        """

        async def scenario(fleet: platformfleet.Fleet) -> None:
            await start(fleet)
            await come_back(fleet, lambda: fleet.remove(LEAFS[0]))
            await trio.sleep(8.0)
            self.assertEqual(7, len(fleet.users_of(LEAFS[0])))

        platformfleet.run(7, scenario)

    def test_draining_leaf_stays_out_of_use(self) -> None:
        """Guard against an old entry that undoes a drain."""

        async def scenario(fleet: platformfleet.Fleet) -> None:
            await start(fleet)
            await come_back(
                fleet, lambda: fleet.register(LEAFS[0], 2, "draining")
            )
            for _ in range(20):
                await trio.sleep(0.2)
                self.assertEqual([], fleet.users_of(LEAFS[0]))

        platformfleet.run(7, scenario)

    def test_new_leaf_stays_in_use(self) -> None:
        """Guard against leafs that are lost until they register again."""

        async def scenario(fleet: platformfleet.Fleet) -> None:
            await start(fleet)
            await come_back(fleet, lambda: fleet.register("new", 1))
            for _ in range(10):
                await trio.sleep(0.19)
                self.assertEqual(7, len(fleet.users_of("new")))
            fleet.register("new", 5)
            await trio.sleep(5.0)
            self.assertEqual(7, len(fleet.users_of("new")))

        platformfleet.run(7, scenario)


class RestoredLoadTest(testtools.TestCase):
    """Check the calls to the store after its return."""

    def test_calls_after_a_return_are_few(self) -> None:
        """Guard against daemons that list and watch in a loop."""
        calls: dict[int, int] = {}

        async def scenario(fleet: platformfleet.Fleet) -> None:
            await start(fleet)
            await come_back(fleet, lambda: fleet.configure(2))
            before = fleet.model.calls_count
            await trio.sleep(10.0)
            calls[len(fleet.daemons)] = fleet.model.calls_count - before

        for count in (7, 40):
            platformfleet.run(count, scenario)
        # Each of two kinds is watched, listed and watched again, twice at
        # most; of a large fleet, three daemons and those that fell back.
        self.assertTrue(calls[7] <= 7 * 2 * 6, str(calls))
        self.assertTrue(calls[40] <= 40 * 6, str(calls))
