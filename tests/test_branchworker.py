"""Test when a branch reports its parts and its lost shards."""

import typing
from unittest import mock

import testtools
import trio

from plantainhook import (
    branchworker,
    forwardtypes,
    gathertypes,
    routetable,
)
from tests import virtualtime

SERVICES: typing.Final = ("s0", "s1", "s2", "s3")


class FakeMerge:
    """Store the results of a machine."""

    def __init__(self) -> None:
        self.results: dict[str, list[typing.Any]] = {}


class FakeMachine:
    """Represent the query machine of a branch."""

    def __init__(self) -> None:
        self.merge = FakeMerge()
        self.lost: set[str] = set()
        self.ran = "maybe"

    def lost_shards(self) -> set[str]:
        """Return the shards for which no attempt is left."""
        return self.lost


def build_branch(lost_limit_count: int) -> tuple[typing.Any, FakeMachine]:
    """Return a branch and its machine."""
    route = routetable.Route(
        "r",
        "h",
        "/a/",
        True,
        800.0,
        175.0,
        2,
        1,
        gather=routetable.Gather(SERVICES, 5, 1.0),
    )
    forwarded = forwardtypes.ForwardRequest(b"GET", b"/", "h", [], b"", "q", 1)
    task = branchworker.BranchTask(
        forwarded, route, SERVICES, 1.0, 2.0, lost_limit_count
    )
    machine = FakeMachine()
    return branchworker.RunningBranch(
        task, typing.cast(typing.Any, machine)
    ), machine


class BatchTest(testtools.TestCase):
    """Check the moments at which batches are sent."""

    def batches(
        self, lost_limit_count: int, wants_progress: bool = False
    ) -> list[tuple[float, gathertypes.Batch]]:
        """Lose a shard each 0.1 s; return the batches and their times."""
        found = []

        async def main() -> None:
            branch, machine = build_branch(lost_limit_count)

            async def lose() -> None:
                for name in SERVICES[:3]:
                    await trio.sleep(0.1)
                    machine.lost.add(name)
                    branch.observed.changed.set()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(lose)
                while trio.current_time() < 0.9:
                    batch = await branch.next_batch(0.9, wants_progress)
                    found.append((trio.current_time(), batch))

        virtualtime.run(main)
        return found

    def test_each_loss_beyond_the_limit_is_reported_at_once(self) -> None:
        """Guard against a query that waits although it cannot be answered.

        Pattern: leafs shed part of their requests, and the budget does not
        pay for all retries. The caller can send the request again in time if
        it is refused at once.
        """
        times = [round(at_s, 2) for at_s, _ in self.batches(1)]
        self.assertEqual([0.2, 0.3, 0.9], times)

    def test_losses_within_the_limit_wait(self) -> None:
        """Guard against a message for each shard that an answer can lack."""
        ((at_s, batch),) = self.batches(3)
        self.assertEqual(0.9, round(at_s, 2))
        self.assertEqual(set(SERVICES[:3]), set(batch.lost))

    def test_unacknowledged_parts_are_sent_again(self) -> None:
        """Guard against parts that are lost with a late reply."""

        async def main() -> list[set[str]]:
            branch, machine = build_branch(0)
            sent = []
            for name, acknowledged in (("s0", 0), ("s1", 0), ("s2", 2)):
                answer = forwardtypes.LeafAnswer(
                    200, [], b"", "q", b"signed", False, False, False
                )
                machine.merge.results[name] = [answer]
                batch = await branch.next_batch(0.0, False, acknowledged)
                sent.append(set(batch.signatures))
            return sent

        self.assertEqual([{"s0"}, {"s0", "s1"}, {"s2"}], virtualtime.run(main))


class UnexpectedErrorTest(testtools.TestCase):
    """Check a branch whose query raises an unexpected error."""

    def test_error_ends_the_branch_only(self) -> None:
        """Guard against one branch of a peer that ends the process."""

        async def main() -> gathertypes.Batch:
            branch, machine = build_branch(0)

            def fail(now_s: float) -> typing.NoReturn:
                raise ZeroDivisionError

            machine.start = fail  # type: ignore[attr-defined]
            machine.plan = typing.cast(typing.Any, mock.MagicMock())  # type: ignore[attr-defined]
            worker = branchworker.BranchWorker(*[mock.MagicMock()] * 9)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(worker._run, branch, branch.observed)
                batch: gathertypes.Batch = await branch.next_batch(5.0, False)
            return batch

        batch = virtualtime.run(main)
        self.assertTrue(batch.done)
        self.assertEqual(set(SERVICES), set(batch.lost))
