"""Tests of leafs that ask a daemon for a pause when they refuse a request."""

import typing

import testtools
import trio

from plantainhook import forwardtypes
from tests import forwardrig

PAUSE: typing.Final = (
    b"503 No\r\nNot-Executed: 1\r\nServer-Stamp: x\r\nRetry-After: "
)


class PauseTest(testtools.TestCase):
    """Check the requests of a daemon that leafs have asked for a pause."""

    def setUp(self) -> None:
        super().setUp()
        self.leafs = {"a": forwardrig.Leaf(), "b": forwardrig.Leaf()}
        self.rig = forwardrig.ForwardRig(self.leafs)

    def refuse(self, pause: bytes, *names: str) -> None:
        """Let leafs refuse requests and ask for a pause."""
        for name in names:
            self.leafs[name].reply = PAUSE + pause

    async def count(self, requests_count: int) -> int:
        """Send requests; return how many reach the first leaf."""
        before = self.leafs["a"].requests_count
        await self.rig.send_many(requests_count)
        return self.leafs["a"].requests_count - before

    def test_leaf_gets_nothing_during_its_pause(self) -> None:
        """Guard against requests, retries and hedges to such a leaf."""

        async def scenario() -> None:
            self.refuse(b"2.5", "a")
            self.assertEqual(1, await self.count(50))
            await trio.sleep(1.2)
            self.leafs["a"].reply = forwardrig.OK
            self.assertTrue(await self.count(50) > 0)

        forwardrig.run(self.rig, scenario)

    def test_all_leafs_pause(self) -> None:
        """Guard against a request that waits although no leaf wants it."""
        responses: list[forwardtypes.Response] = []

        async def scenario() -> None:
            self.refuse(b"2", "a", "b")
            await self.rig.send_many(2, 0.0)
            before_s = trio.current_time()
            count = sum(leaf.requests_count for leaf in self.leafs.values())
            responses.append(await self.rig.send())
            self.assertTrue(trio.current_time() - before_s < 0.05)
            self.assertEqual(
                count,
                sum(leaf.requests_count for leaf in self.leafs.values()),
            )

        forwardrig.run(self.rig, scenario)
        self.assertEqual(503, responses[0].status)
        (retry_after,) = (
            value
            for name, value in responses[0].headers
            if name == b"retry-after"
        )
        self.assertTrue(1.8 < float(retry_after) < 2.3, str(retry_after))

    def test_values_that_are_no_pause(self) -> None:
        """Guard against a leaf that is lost by a malformed header."""

        async def scenario() -> None:
            for value in (b"-1", b"soon", b"inf", b"nan", b"1e9", b""):
                self.refuse(value, "a")
                await self.rig.send()
                self.leafs["a"].reply = forwardrig.OK
                await trio.sleep(3.0)
                self.assertTrue(await self.count(20) > 0, str(value))

        forwardrig.run(self.rig, scenario)

    def test_status_429_asks_for_no_pause(self) -> None:
        """Guard against a leaf that sheds some calls and loses all."""

        async def scenario() -> None:
            self.leafs[
                "a"
            ].reply = b"429 No\r\nNot-Executed: 1\r\nRetry-After: 30"
            await self.rig.send()
            self.leafs["a"].reply = forwardrig.OK
            await trio.sleep(3.0)
            self.assertTrue(await self.count(20) > 0)

        forwardrig.run(self.rig, scenario)

    def test_restarted_leaf_is_called(self) -> None:
        """Guard against a pause that outlives the leaf that asked for it."""

        async def scenario() -> None:
            self.refuse(b"60", "a")
            await self.rig.send()
            self.leafs["a"].reply = forwardrig.OK
            await trio.sleep(3.0)
            self.assertEqual(0, await self.count(20))
            self.rig.write_entry("a", born=2)
            self.assertTrue(await self.count(20) > 0)

        forwardrig.run(self.rig, scenario)

    def test_waiting_request_is_not_sent(self) -> None:
        """Guard against a request that waited for a connection meanwhile."""
        self.rig = forwardrig.ForwardRig(self.leafs, max_conns=1)
        self.refuse(b"5", "a")
        self.leafs["a"].service_s = 1.0

        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(self.rig.send)
            self.assertEqual(1, self.leafs["a"].requests_count)

        forwardrig.run(self.rig, scenario)

    def test_refusal_after_its_request_was_cancelled(self) -> None:
        """Guard against a pause that is asked for a little too late.

        Pattern: a leaf refuses a hedge, and the reply to the first attempt
        arrives while the refusal is on its way. The leaf has a free slot soon
        after, so that it refuses no further request.
        """
        self.refuse(b"5", "a")
        self.leafs["a"].service_s = 0.05

        async def scenario() -> None:
            with trio.move_on_after(0.02):
                await self.rig.send()
            self.assertEqual(1, self.leafs["a"].requests_count)
            await trio.sleep(0.5)
            self.leafs["a"].reply = forwardrig.OK
            self.assertEqual(0, await self.count(50))

        forwardrig.run(self.rig, scenario)
