"""Tests of the member table and of the ring of members."""

import random
import typing

import hypothesis
import testtools
from hypothesis import strategies

from plantainhook import memberentry, membertable, wire

RULES: typing.Final = membertable.MemberRules(suspicion_s=5, forget_s=60)


def entry(
    incarnation: int, state: int = 0, counter: int = 0
) -> wire.MemberEntry:
    return wire.MemberEntry(
        incarnation, "n", "vm", "dc", f"h:{incarnation}", "h:1", state, counter
    )


ENTRIES: typing.Final = strategies.builds(
    entry,
    strategies.integers(2, 5),
    strategies.integers(0, 7),
    strategies.integers(0, 3),
)


def build_table() -> membertable.MemberTable:
    """Return a table of member 1 that has entries of members 1 to 5."""
    table = membertable.MemberTable(entry(1), RULES, 0.0)
    table.merge([entry(each) for each in range(2, 6)], 0.0)
    return table


def versions(table: membertable.MemberTable) -> dict[int, tuple[int, int]]:
    """Return counter and liveness of all members by incarnation."""
    return {
        incarnation: (each.counter, memberentry.liveness_of(each))
        for incarnation, each in table.entries.items()
    }


class MergeTest(testtools.TestCase):
    """Check that the tables of two daemons converge."""

    @hypothesis.given(
        strategies.lists(ENTRIES, max_size=12), strategies.randoms()
    )
    def test_any_order(
        self, entries: list[wire.MemberEntry], rng: random.Random
    ) -> None:
        """Guard against tables that depend on the order of messages."""
        first, second = build_table(), build_table()
        first.merge(entries, 1.0)
        shuffled = entries * 2
        rng.shuffle(shuffled)
        for each in shuffled:
            second.merge([each], 1.0)
        self.assertEqual(versions(first), versions(second))
        self.assertEqual(first.ring(), second.ring())

    @hypothesis.given(
        strategies.lists(ENTRIES, max_size=12),
        strategies.lists(ENTRIES, max_size=12),
    )
    def test_sync_repairs(
        self, ours: list[wire.MemberEntry], theirs: list[wire.MemberEntry]
    ) -> None:
        """Guard against differences that remain after anti-entropy."""
        first, second = build_table(), build_table()
        first.merge(ours, 1.0)
        second.merge(theirs, 1.0)
        every = range(memberentry.BUCKET_COUNT)
        for_second = first.newer_than(every, second.summary(every))
        wanted = first.incarnations_to_fetch(second.summary(every))
        first.merge([second.entries[each] for each in wanted], 2.0)
        second.merge(for_second, 2.0)
        for each in (first, second):
            each.tick(9.0)
        self.assertEqual(versions(first), versions(second))

    def test_bucket_hashes_follow_changes(self) -> None:
        """Guard against hashes that still cover a removed member."""
        first, second = build_table(), build_table()
        second.declare_dead(3, 1.0)
        self.assertNotEqual([], first.differing_buckets(second.bucket_hashes))
        first.declare_dead(3, 9.0)
        self.assertEqual([], first.differing_buckets(second.bucket_hashes))


class SuspicionTest(testtools.TestCase):
    """Check suspicion, refutation, death and updates."""

    def test_refutation(self) -> None:
        """Guard against a live member that is declared dead."""
        accused, other = build_table(), build_table()
        other.declare_dead(1, 1.0)
        accused.merge([other.entries[1]], 1.0)
        alive = (1, memberentry.Liveness.ALIVE)
        self.assertEqual(alive, versions(accused)[1])
        other.merge([memberentry.shortened(accused.own)], 2.0)
        self.assertIn(1, other.ring())

    def test_unrefuted_suspicion(self) -> None:
        """Guard against members that stay suspected forever."""
        table = build_table()
        self.assertTrue(table.suspect(2, 1.0))
        self.assertEqual([], table.tick(5.9))
        self.assertEqual([2], [each.incarnation for each in table.tick(6.0)])
        self.assertNotIn(2, table.ring())

    def test_reported_death_can_be_refuted(self) -> None:
        """Guard against live members declared dead once a partition heals.

        The other side of the partition has declared them dead, and reports
        this before the members can refute it.
        """
        table = build_table()
        table.merge([entry(2, memberentry.Liveness.DEAD)] * 2, 1.0)
        self.assertIn(2, table.ring())
        table.merge([entry(2, memberentry.Liveness.ALIVE, 1)], 2.0)
        table.tick(9.0)
        self.assertIn(2, table.ring())

    def test_left_is_final(self) -> None:
        """Guard against members that return after a planned stop.

        An older entry of the member can arrive after the one that says it
        has left.
        """
        table = build_table()
        table.merge([entry(2, memberentry.Liveness.LEFT, 1)], 1.0)
        table.merge([entry(2, memberentry.Liveness.ALIVE, 9)], 2.0)
        self.assertNotIn(2, table.ring())

    def test_updates_are_bounded(self) -> None:
        """Guard against probes whose size grows with the fleet."""
        table = build_table()
        table.merge([entry(each) for each in range(10, 400)], 1.0)
        sent = [wire.Probe(table.take_updates(512)) for _ in range(5_000)]
        sizes = [len(wire.encode_frame(wire.RequestFrame(1, s))) for s in sent]
        self.assertLess(max(sizes), 600)
        self.assertEqual([], sent[-1].members)


class RingNeighboursTest(testtools.TestCase):
    """Check the neighbours on the ring."""

    @hypothesis.given(strategies.integers(1, 300))
    def test_reach_all(self, size: int) -> None:
        """Guard against members that a forwarded message doesn't reach."""
        ring = list(range(0, size * 3, 3))
        hops, reached, newest = 0, {0}, {0}
        while newest:
            newest = {
                peer
                for each in newest
                for peer in memberentry.ring_neighbours(ring, each)
            } - reached
            reached |= newest
            hops += bool(newest)
        self.assertEqual(set(ring), reached)
        self.assertLessEqual(hops, size.bit_length())
