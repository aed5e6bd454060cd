"""Test that the fleet together respects the request limits of leafs."""

import typing

import testtools
import trio

from plantainhook import blackboard, errors
from tests import limitfleet, virtualtime

SHARDS: typing.Final = {"s0": "ab", "s1": "bc", "s2": "ca"}
PLACES: typing.Final = "aaabbcc"
RATES: typing.Final = (12, 12, 12, 3, 3, 3, 3)
Events = typing.Callable[[limitfleet.Fleet], typing.Awaitable[None]]


async def no_events(fleet: limitfleet.Fleet) -> None:
    """Do nothing to the fleet."""


def run_fleet(
    limits: dict[str, float],
    events: Events = no_events,
    places: str = PLACES,
    shards: dict[str, str] = SHARDS,
    rates: typing.Sequence[float] = RATES,
    goal_ms: float = 175.0,
) -> limitfleet.Fleet:
    """Run a fleet for 26 s; the limits by leaf are stated from 6 s on."""

    async def main() -> limitfleet.Fleet:
        async with trio.open_nursery() as nursery:
            fleet = limitfleet.Fleet(nursery, places, shards, goal_ms)
            for leaf, limit_per_s in limits.items():
                fleet.limit([leaf], limit_per_s=limit_per_s, from_s=6.0)
            fleet.start_queries(rates)
            nursery.start_soon(events, fleet)
            await trio.sleep(26.0)
            nursery.cancel_scope.cancel()
        return fleet

    return virtualtime.run(main)


class FleetLimitTest(testtools.TestCase):
    """Check the calls of all daemons to a leaf with a limit."""

    def assert_limits_kept(self, fleet: limitfleet.Fleet) -> None:
        """Check the windows of all leafs."""
        for name, leaf in fleet.leafs.items():
            self.assertTrue(leaf.excess() <= 0.0, name)

    def test_all_daemons_together_respect_the_limit(self) -> None:
        """Guard against a leaf that gets more than it accepts.

        Pattern: one leaf of a shard accepts a third of its usual requests; the
        daemons in its data centre send most of them.
        """
        fleet = run_fleet({"s0a": 11.0})
        self.assert_limits_kept(fleet)

    def test_limit_is_used(self) -> None:
        """Guard against a limit of which most is left unused.

        Pattern: all leafs of a shard have a limit, and few daemons send most
        of the queries.
        """
        fleet = run_fleet({"s0a": 11.0, "s0b": 11.0})
        self.assert_limits_kept(fleet)
        self.assertTrue(fleet.answered_per_s(10.0, 25.0) > 0.8 * 22.0)

    def test_same_queries_are_served_at_every_shard(self) -> None:
        """Guard against queries that each get only some of their shards.

        Pattern: all leafs of all shards accept half of the queries, and an
        answer needs every shard.
        """
        fleet = run_fleet(
            {f"{shard}{z}": 11.0 for shard, zs in SHARDS.items() for z in zs}
        )
        self.assert_limits_kept(fleet)
        self.assertTrue(fleet.answered_per_s(10.0, 25.0) > 0.75 * 22.0)

    def test_queries_wait_for_a_token(self) -> None:
        """Guard against refusals of queries that could be served in time.

        Pattern: a service of six leafs accepts more queries than there are,
        but each daemon calls each leaf rarely. The queries have a long goal.
        """
        fleet = run_fleet(
            {f"s0{letter}": 2.0 for letter in "abcdef"},
            shards={"s0": "abcdef"},
            rates=[1.4] * 7,
            goal_ms=800.0,
        )
        self.assert_limits_kept(fleet)
        self.assertTrue(fleet.answered_ratio(10.0, 25.0) > 0.95)

    def test_large_fleet_and_low_limit(self) -> None:
        """Guard against daemons that each learn the limit from an own call.

        Pattern: 78 daemons rarely call leafs that accept one request a second.
        """
        fleet = run_fleet(
            {"s0a": 1.0, "s0b": 1.0, "s0c": 1.0},
            places="abc" * 26,
            shards={"s0": "abc"},
            rates=[0.6] * 78,
        )
        self.assert_limits_kept(fleet)
        self.assertTrue(fleet.answered_per_s(10.0, 25.0) > 1.0)

    def test_calls_are_as_before_after_the_limit(self) -> None:
        """Guard against a limit that stays in force after its end."""

        async def end(fleet: limitfleet.Fleet) -> None:
            fleet.limit(["s0a"], until_s=14.0)

        fleet = run_fleet({"s0a": 5.0}, end)
        before = fleet.calls_per_s("s0a", 0.0, 6.0)
        self.assertTrue(fleet.calls_per_s("s0a", 16.0, 26.0) > 0.8 * before)

    def test_granter_crashes(self) -> None:
        """Guard against a limit that is lost or unused with its granter.

        The other daemons consider it alive until 18 s.
        """

        async def crash(fleet: limitfleet.Fleet) -> None:
            await trio.sleep(10.0)
            granter = fleet.granter()
            granter.stop()
            await trio.sleep(8.0)
            del fleet.members[granter.number]

        fleet = run_fleet({"s0a": 11.0, "s0b": 11.0}, crash)
        self.assert_limits_kept(fleet)
        self.assertTrue(fleet.answered_per_s(11.0, 17.0) > 0.6 * 22.0)
        self.assertTrue(fleet.answered_per_s(19.0, 25.0) > 0.6 * 22.0)

    def test_granter_is_silent(self) -> None:
        """Guard against queries that fail while a granter is frozen."""

        async def freeze(fleet: limitfleet.Fleet) -> None:
            await trio.sleep(10.0)
            address = fleet.members[fleet.granter().number].peer_address
            fleet.network.is_reachable = lambda a, b: address not in (a, b)

        fleet = run_fleet({"s0a": 11.0, "s0b": 11.0}, freeze)
        self.assert_limits_kept(fleet)
        self.assertTrue(fleet.answered_per_s(11.0, 25.0) > 0.6 * 22.0)

    def test_daemons_that_cannot_reach_the_granter(self) -> None:
        """Guard against two granters that both grant a whole limit."""

        async def cut(fleet: limitfleet.Fleet) -> None:
            await trio.sleep(10.0)
            addresses = {
                fleet.members[number].peer_address for number in (3, 4, 5)
            }
            fleet.network.is_reachable = lambda a, b: (
                (a in addresses) == (b in addresses)
            )

        fleet = run_fleet(
            {"s0a": 11.0, "s0b": 11.0}, cut, rates=[9, 9, 9, 9, 9, 9, 9]
        )
        self.assert_limits_kept(fleet)

    def test_messages_are_lost(self) -> None:
        """Guard against tokens that are used twice or never.

        Each message is lost with a probability of 0.05 or delivered twice.
        """

        async def damage(fleet: limitfleet.Fleet) -> None:
            fleet.network.loss_ratio = 0.05
            fleet.network.duplicate_ratio = 0.2

        fleet = run_fleet({"s0a": 11.0, "s0b": 11.0}, damage)
        self.assert_limits_kept(fleet)

    def test_daemon_that_reaches_no_granter(self) -> None:
        """Guard against refusals by a daemon that is cut off from its peers.

        Pattern: there are so many daemons that it does not come to try itself
        as the granter.
        """

        async def cut(fleet: limitfleet.Fleet) -> None:
            await trio.sleep(10.0)
            alone = fleet.members[1].peer_address
            fleet.network.is_reachable = lambda a, b: alone not in (a, b)

        fleet = run_fleet(
            {"s0a": 20.0, "s0b": 20.0},
            cut,
            places="abc" * 8,
            shards={"s0": "ab"},
            rates=[1.5] * 24,
        )
        self.assert_limits_kept(fleet)
        answered = [
            outcome
            for at_s, outcome in fleet.daemons[1].outcomes
            if at_s > 12.0 and not isinstance(outcome, errors.RefusalError)
        ]
        self.assertTrue(len(answered) > 0.5 * 13.0 * 1.5)

    def test_restarted_daemon_knows_the_limit(self) -> None:
        """Guard against a restarted daemon that calls without a limit.

        It knows the other members only some time after its start.
        """
        known: list[str] = []

        async def restart(fleet: limitfleet.Fleet) -> None:
            await trio.sleep(10.0)
            fleet.daemons[1].stop()
            del fleet.members[1]
            await trio.sleep(1.0)
            daemon = fleet.add_daemon("a")
            daemon.board.members = {
                daemon.number: fleet.members[daemon.number]
            }
            await trio.sleep(1.0)
            daemon.board.members = fleet.members
            daemon.board.notify(blackboard.Topic.MEMBERS)
            await trio.sleep(0.1)
            known.extend(daemon.limits.leafs)

        run_fleet({"s0a": 11.0}, restart)
        self.assertEqual(["s0a"], known)
