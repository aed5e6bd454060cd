"""Test the limits that a daemon knows and the decisions of the granter."""

import math

import hypothesis
import msgspec
import testtools
from hypothesis import strategies as st

from plantainhook import (
    blackboard,
    leaflimits,
    limitgrants,
    limitsync,
    shardmap,
    wire,
)


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

    def test_last_token_is_not_for_a_hedge(self) -> None:
        """Guard against first calls that lack a token because of hedges."""
        limits = leaflimits.LeafLimits()
        limits.observe("sa", 10.0, 10.0)
        report = limits.build_report(0, 10.0)
        grants = wire.LimitGrants(1, [wire.LeafGrant("sa", 10.0, 0, 2)], {})
        limits.apply(report, grants, 10.0)
        self.assertTrue(limits.may_hedge("sa"))
        limits.take("sa", 10.0)
        self.assertTrue(limits.may_call("sa"))
        self.assertFalse(limits.may_hedge("sa"))


class Granter:
    """Send reports to a granter that knows one leaf."""

    def __init__(self) -> None:
        board = blackboard.Blackboard(1)
        info = shardmap.LeafInfo("leaf", "l:1", "a", "s", "s", 2, 9)
        board.settings = blackboard.SettingsView(leafs={"leaf": info})
        board.leafs = {
            "leaf": blackboard.LeafView(blackboard.LeafState.LIVE, {}, 0.0)
        }
        self.granter = limitgrants.LimitGranter(board)

    def report(
        self,
        now_s: float,
        limit_per_s: float | None,
        caller: int = 1,
        age_ms: int = 0,
        held: int = 0,
        wanted: int = 0,
        queries: float = 0.0,
    ) -> wire.LimitGrants:
        """Report the leaf and return the grants."""
        demand = wire.LeafDemand("leaf", limit_per_s, age_ms, held, 0, wanted)
        report = wire.LimitReport(0, [demand], {"s": queries})
        return self.granter.on_report(caller, report, 1.0, now_s)


class GranterTest(testtools.TestCase):
    """Check the decisions of the granter."""

    @hypothesis.given(
        st.sampled_from([0.25, 1.0, 11.0, 60.0]),
        st.lists(
            st.tuples(
                st.floats(0.0, 0.6),
                st.integers(1, 9),
                st.integers(0, 30),
                st.booleans(),
            ),
            max_size=120,
        ),
    )
    def test_no_window_exceeds_the_limit(
        self,
        limit_per_s: float,
        steps: list[tuple[float, int, int, bool]],
    ) -> None:
        """Guard against grants beyond the limit in any order of reports.

        A daemon uses all its tokens at once or keeps them while it reports.
        """
        case = Granter()
        held: dict[int, int] = {}
        seen_s: dict[int, float] = {}
        used: list[float] = []
        now_s = 0.0
        for pause_s, caller, wanted, uses in steps:
            now_s += pause_s
            before = held.get(caller, 0)
            if now_s - seen_s.get(caller, now_s) > limitgrants.SILENT_S:
                before = 0
            seen_s[caller] = now_s
            grants = case.report(
                now_s, limit_per_s, caller, held=before, wanted=wanted
            )
            total = before + sum(grant.count for grant in grants.leafs)
            held[caller] = 0 if uses else total
            used += [now_s] * (total if uses else 0)
            window = [at_s for at_s in used if at_s > now_s - 4.0]
            self.assertTrue(len(window) <= 6.0 * limit_per_s + 5.0)

    def test_tokens_that_daemons_keep_are_bounded(self) -> None:
        """Guard against many tokens that are all used at the same time."""
        case = Granter()
        held = dict.fromkeys(range(5), 0)
        for step in range(200):
            caller = step % 5
            grants = case.report(
                0.05 * step, 10.0, caller, held=held[caller], wanted=30
            )
            held[caller] += sum(grant.count for grant in grants.leafs)
        self.assertTrue(5.0 <= sum(held.values()) <= 0.75 * 10.0 + 2.0)

    def test_light_daemon_gets_its_part(self) -> None:
        """Guard against a daemon that gets nothing beside a greedy one."""
        case = Granter()
        counts = {1: 0, 2: 0}
        for step in range(200):
            now_s = step * 0.05
            for caller in (1, 2) if step % 5 == 0 else (1,):
                grants = case.report(now_s, 10.0, caller, wanted=10)
                counts[caller] += sum(grant.count for grant in grants.leafs)
        self.assertTrue(counts[2] > 35)
        self.assertTrue(sum(counts.values()) > 90)

    def test_older_statement_does_not_restore_a_limit(self) -> None:
        """Guard against a limit that comes back from a daemon that is late."""
        case = Granter()
        case.report(10.0, 5.0)
        case.report(11.0, None, caller=2)
        (grant,) = case.report(11.5, 5.0, age_ms=1500, wanted=1).leafs
        self.assertIs(None, grant.limit_per_s)
        self.assertEqual({}, case.granter.limits())

    def test_queries_are_admitted_only_as_far_as_leafs_accept_them(
        self,
    ) -> None:
        """Guard against queries that use up tokens and stay incomplete."""
        case = Granter()
        admitted = case.report(10.0, 5.0, queries=20.0).admitted
        self.assertTrue(0.2 < admitted["s"] < 0.25)
        admitted = case.report(12.0, 5.0, queries=4.0).admitted
        self.assertEqual({}, admitted)

    def test_limit_that_a_peer_still_knows_does_not_come_back(self) -> None:
        """Guard against a limit that spreads again after its end."""
        case = Granter()
        case.report(10.0, 5.0)
        case.report(11.0, None, caller=2)
        limits = leaflimits.LeafLimits()
        limits.learn({"leaf": 5.0}, 11.1)
        report = limits.build_report(0, 11.2)
        grants = case.granter.on_report(3, report, 1.0, 11.2)
        limits.apply(report, grants, 11.2)
        self.assertEqual({}, limits.leafs)
        self.assertEqual({}, case.granter.limits())


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

    def test_older_daemon_gets_no_report(self) -> None:
        """Guard against a message that closes the link to an older daemon."""
        board = blackboard.Blackboard(1)
        board.members = {
            number: blackboard.MemberInfo(
                number, "", "", "a", f"d{number}", "", True, False
            )
            for number in range(3)
        }
        self.assertEqual([], limitsync.granters(board, 3))
