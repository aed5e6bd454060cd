"""Test how the limits of a service are divided among its callers."""

import testtools

from plantainhook import (
    blackboard,
    callershares,
    clock,
    gatherers,
    queryplan,
    querytypes,
    routetable,
    shardmap,
)


class Fleet:
    """Set up daemons in three data centres, the leafs of ``s`` in two."""

    def __init__(self, places: str = "aaabbcc", leafs: str = "ab") -> None:
        self.clock = clock.ManualClock()
        self.places = places
        members = {
            number: blackboard.MemberInfo(
                number, "", "", name, f"d{number}", "", True, False
            )
            for number, name in enumerate(places)
        }
        self.board = blackboard.Blackboard(0, members=members)
        gather = routetable.Gather(("s",), 5, 1.0)
        route = routetable.Route(
            "r", "h", "/a/", True, 1.0, 1.0, 2, 1, gather=gather
        )
        self.board.routes = routetable.build_route_table(
            1, [route], [], routetable.ClientLimits()
        )
        self.set_leafs(leafs)

    def set_leafs(self, places: str) -> None:
        """Register one leaf in each of the data centres."""
        self.board.settings = blackboard.SettingsView(
            leafs={
                name: shardmap.LeafInfo(name, "l:1", name, "s", "s", 2, 9)
                for name in places
            }
        )

    def shares(
        self, data_centre: str, uses_helpers: bool = True
    ) -> callershares.CallerShares:
        """Return the shares of a daemon."""
        built = callershares.CallerShares(
            self.board,
            data_centre,
            gatherers.GathererChoice(self.board, gatherers.GathererOptions()),
            uses_helpers,
            self.clock,
        )
        built.counts = callershares.FleetCounts(len(self.places), 0)
        return built

    def parts(self, uses_helpers: bool = True) -> list[float]:
        """Return the part of the limit that each daemon uses."""
        return [
            1.0 / self.shares(name, uses_helpers).divisor("s")
            for name in self.places
        ]


class SharesTest(testtools.TestCase):
    """Check the parts of all daemons."""

    def test_parts_add_up_to_the_limit(self) -> None:
        """Guard against extra calls beyond the budget of the fleet."""
        for leafs in ("ab", "a", "abc", "x", ""):
            total = sum(Fleet(leafs=leafs).parts())
            self.assertTrue(total <= 1.0 + 1e-9, leafs)

    def test_daemons_near_the_leafs_have_most(self) -> None:
        """Guard against a budget that is wasted on daemons that don't call.

        Pattern: slow leafs, whose shards are called by helpers in two of
        three data centres.
        """
        parts = Fleet().parts()
        self.assertTrue(sum(parts[:5]) > 0.8)
        self.assertTrue(parts[5] > 0.0)

    def test_flat_gather_divides_by_all(self) -> None:
        """Guard against parts that assume helpers where there are none."""
        self.assertEqual({1.0 / 7}, set(Fleet().parts(uses_helpers=False)))

    def test_lost_data_centre_counts_for_a_while(self) -> None:
        """Guard against the part of a data centre that is used twice.

        Its calls still count in the window after its last leaf has left.
        """
        fleet = Fleet()
        shares = fleet.shares("a")
        before = shares.divisor("s")
        fleet.set_leafs("a")
        self.assertEqual(before, shares.divisor("s"))
        fleet.clock.advance(callershares.RETENTION_S + 0.1)
        self.assertTrue(shares.divisor("s") < before)

    def test_gatherers_of_lost_members(self) -> None:
        """Guard against connections that each side of a cut uses fully.

        Pattern: 39 of 77 daemons reach one another and have 6 gatherers; the
        others have as many of their own.
        """
        counts = callershares.FleetCounts(77, 6, lost_count=38)
        self.assertEqual(12, counts.callers_count())
        whole = callershares.FleetCounts(77, 12)
        self.assertEqual(12, whole.callers_count())


class PoorLeafTest(testtools.TestCase):
    """Check which leafs make their shards go to another data centre."""

    def test_slow_leaf_is_not_poor(self) -> None:
        """Guard against load that moves to one leaf and overloads it.

        Pattern: slow leafs while all leafs are half busy.
        """
        selector = queryplan.build_policies("a", 1).replicas
        info = shardmap.LeafInfo("l", "l:1", "a", "s", "s", 2, 9)
        status = querytypes.LeafStatus(info, True, False, {})
        self.assertFalse(selector.is_poor([status], 0.0))
        state = selector.state(status)
        state.slowdown = 9.0
        state.slowdown_updated_s = 1.0
        state.in_flight_count = 6
        self.assertFalse(selector.is_poor([status], 1.0))
        for _ in range(4):
            state.record_failure(True, 1.0)
        self.assertTrue(selector.is_poor([status], 1.0))
