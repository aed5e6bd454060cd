"""Tests of leafs that state in their replies that they leave."""

import time
import typing

import testtools
import trio

from tests import forwardrig

DRAIN_S: typing.Final = 3.0


def wall_ms() -> int:
    """Return the time of day, by which leafs state when they started."""
    return int(time.time() * 1000)


class LeavingLeafTest(testtools.TestCase):
    """Check the requests of a daemon that the store does not tell."""

    def setUp(self) -> None:
        super().setUp()
        self.leafs = {
            "a": forwardrig.Leaf(forwardrig.LEAVING),
            "b": forwardrig.Leaf(),
        }
        self.rig = forwardrig.ForwardRig(self.leafs)

    def counts_later(self) -> tuple[int, int]:
        """Return the requests that the leafs get after the time to drain."""
        counts: list[tuple[int, int]] = []

        async def scenario() -> None:
            await self.rig.send_many(20)
            self.assertTrue(self.leafs["a"].requests_count > 0)
            await trio.sleep(DRAIN_S)
            before = [leaf.requests_count for leaf in self.leafs.values()]
            statuses = await self.rig.send_many(20)
            self.assertEqual([200] * 20, statuses)
            after = [leaf.requests_count for leaf in self.leafs.values()]
            counts.append((after[0] - before[0], after[1] - before[1]))

        forwardrig.run(self.rig, scenario)
        return counts[0]

    def test_leaving_leaf_gets_no_more_requests(self) -> None:
        """Guard against requests to a leaf that said that it leaves.

        Pattern: the store does not reach this daemon, and a leaf drains.
        """
        self.assertEqual((0, 20), self.counts_later())

    def test_refusal_of_a_leaving_leaf_counts(self) -> None:
        """Guard against a word that is only read in successful answers."""
        self.leafs[
            "a"
        ].reply = b"503 No\r\nNot-Executed: 1\r\nServer-Leaving: 1"
        self.assertEqual((0, 20), self.counts_later())

    def test_other_leaf_at_the_address_does_not_count(self) -> None:
        """Guard against a leaf that is lost by the word of another one."""
        self.leafs[
            "a"
        ].reply = b"421 No\r\nNot-Executed: 1\r\nServer-Leaving: 1"
        self.assertTrue(self.counts_later()[0] > 0)

    def test_older_entry_does_not_undo_it(self) -> None:
        """Guard against an entry, written before, that arrives late."""

        async def scenario() -> None:
            await self.rig.send_many(20)
            self.rig.write_entry("a", seq=2)
            before = self.leafs["a"].requests_count
            await self.rig.send_many(20)
            self.assertEqual(before, self.leafs["a"].requests_count)

        forwardrig.run(self.rig, scenario)

    def test_restarted_leaf_is_used_again(self) -> None:
        """Guard against a leaf that is lost after a restart under its id."""

        async def scenario() -> None:
            await self.rig.send_many(20)
            self.leafs["a"].reply = forwardrig.OK
            self.rig.write_entry("a", born=wall_ms() + 1)
            before = self.leafs["a"].requests_count
            await self.rig.send_many(20)
            self.assertTrue(self.leafs["a"].requests_count > before)

        forwardrig.run(self.rig, scenario)

    def test_word_of_a_start_whose_entry_comes_later_counts(self) -> None:
        """Guard against a new entry that undoes the word of the same start.

        Pattern: a leaf starts again and soon leaves. This daemon hears that
        before the store tells it of the start.
        """

        async def scenario() -> None:
            born_ms = wall_ms() - 1000
            await self.rig.send_many(20)
            self.rig.write_entry("a", born=born_ms)
            before = self.leafs["a"].requests_count
            await self.rig.send_many(20)
            self.assertEqual(before, self.leafs["a"].requests_count)
            # The word may have been that of the start before.
            self.leafs["a"].reply = forwardrig.OK
            await trio.sleep(35.0)
            await self.rig.send_many(20)
            self.assertTrue(self.leafs["a"].requests_count > before)

        forwardrig.run(self.rig, scenario)

    def test_waiting_request_is_not_sent_to_a_draining_leaf(self) -> None:
        """Guard against a request that waits for a connection for too long.

        Pattern: all connections to a leaf are in use for seconds, and it
        drains meanwhile.
        """
        rig = forwardrig.ForwardRig({"a": forwardrig.Leaf()}, max_conns=1)
        leaf = rig.leafs["a"]
        leaf.service_s = DRAIN_S + 0.5

        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(rig.send, 15_000.0)
                await trio.sleep(0.1)
                nursery.start_soon(rig.send, 15_000.0)
                await trio.sleep(0.1)
                rig.write_entry("a", state="draining", seq=2)
            self.assertEqual(1, leaf.requests_count)

        forwardrig.run(rig, scenario)
