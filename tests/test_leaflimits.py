"""Test that the fleet together respects the request limits of leafs."""

import typing

import testtools
import trio

from tests import limitfleet, virtualtime

SHARDS: typing.Final = {"s0": "ab", "s1": "bc", "s2": "ca"}
PLACES: typing.Final = "aaabbcc"


class FleetLimitTest(testtools.TestCase):
    """Check the calls of all daemons to a leaf with a limit."""

    def test_all_daemons_together_respect_the_limit(self) -> None:
        """Guard against a leaf that gets more than it accepts.

        Pattern: one leaf of a shard accepts a third of its usual requests; the
        daemons in its data centre send most of them.
        """

        async def main() -> float:
            async with trio.open_nursery() as nursery:
                fleet = limitfleet.Fleet(nursery, PLACES, SHARDS)
                fleet.limit(["s0a"], limit_per_s=11.0, from_s=6.0)
                fleet.start_queries([12, 12, 12, 3, 3, 3, 3])
                await trio.sleep(26.0)
                nursery.cancel_scope.cancel()
            return fleet.leafs["s0a"].excess()

        self.assertTrue(virtualtime.run(main) <= 0.0)
