"""Test that the fleet together respects the request limits of leafs."""

import math
import typing

import msgspec
import testtools
import trio

from plantainhook import leaflimits, wire
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


class LeafLimitsTest(testtools.TestCase):
    """Check what one daemon knows of limits."""

    def test_service_admits_all_queries_after_the_limit(self) -> None:
        """Guard against refusals for a limit that has ended."""
        limits = leaflimits.LeafLimits()
        limits.service_of = lambda leaf: leaf[0]
        for leaf in ("sa", "sb", "ta"):
            limits.observe(leaf, 5.0, 10.0)
        report = limits.build_report(0, 10.0)
        grants = wire.LimitGrants(1, [], {"s": 0.2, "t": 0.2})
        limits.apply(report, grants, 10.0)
        limits.observe("sa", None, 10.1)
        self.assertEqual(
            (True, False), (limits.admits("s", 0.9), limits.admits("t", 0.9))
        )


class MalformedReportTest(testtools.TestCase):
    """Check values of peers that a granter must not add up."""

    def test_values_out_of_range(self) -> None:
        """Guard against a report that gives a daemon unlimited tokens."""
        valid = wire.LeafDemand("l", 1.0, 0)
        for demand in (
            msgspec.structs.replace(valid, limit_per_s=math.nan),
            msgspec.structs.replace(valid, limit_per_s=math.inf),
            msgspec.structs.replace(valid, limit_per_s=-1.0),
            msgspec.structs.replace(valid, held=-5),
            msgspec.structs.replace(valid, returned=-5),
            msgspec.structs.replace(valid, wanted=1 << 40),
            msgspec.structs.replace(valid, age_ms=-1),
        ):
            frame = wire.encode_frame(
                wire.RequestFrame(1, wire.LimitReport(0, [demand], {}))
            )
            with testtools.ExpectedException(msgspec.ValidationError):
                msgspec.msgpack.decode(
                    frame[wire.FRAME_HEADER.size :], type=wire.AnyFrame
                )
