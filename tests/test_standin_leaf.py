"""Tests of the stand-in leaf and of its command over loopback."""

import typing

import httpx
import testtools
import trio
import trio.testing

from plantainhook import (
    cli,
    leaftransport,
    standin_leaf,
    standin_model,
    standins,
)
from tests import leafhelp


async def is_reachable(address: str) -> bool:
    """Return whether an address accepts a connection."""
    try:
        transport = await leaftransport.connect(address)
    except OSError:
        return False
    transport.close()
    return True


class StandinLeafTest(testtools.TestCase):
    """Check admin requests, crashes, reported states and the command."""

    def test_admin_requests(self) -> None:
        """Guard against tests whose admin requests have no effect.

        Such a test would pass without the fault that it tries to inject.
        """

        async def case() -> None:
            leaf = standin_leaf.StandinLeaf("leaf", {1: {"s0"}})
            async with (
                trio.open_nursery() as nursery,
                httpx.AsyncClient() as client,
            ):
                address = await nursery.start(leaf.serve, "127.0.0.1", 0)
                url = f"http://{address}/v1"

                async def post(action: str, value: object = None) -> int:
                    reply = await client.post(
                        f"{url}/admin/{action}", json=value
                    )
                    return reply.status_code

                async def get(path: str) -> dict[str, typing.Any]:
                    found: dict[str, typing.Any] = (
                        await client.get(f"{url}/{path}")
                    ).json()
                    return found

                self.assertEqual(200, await post("versions", {"2": ["s1"]}))
                self.assertEqual(
                    {"versions": {"2": ["s1"]}}, await get("versions")
                )
                self.assertEqual(200, await post("drain"))
                self.assertEqual({"state": "draining"}, await get("health"))
                behaviour = {"health_says": "live", "load_says": 7}
                self.assertEqual(200, await post("behaviour", behaviour))
                self.assertEqual({"state": "live"}, await get("health"))
                self.assertEqual(7, (await get("load"))["in_flight"])
                self.assertEqual(400, await post("behaviour", {"typo": 1}))
                self.assertEqual(404, await post("unknown"))
                self.assertEqual({"runs": []}, await get("admin/journal"))
                self.assertEqual(1, (await get("admin/stats"))["open_count"])
                nursery.cancel_scope.cancel()

        trio.run(case)

    def test_crash_refuses_connects(self) -> None:
        """Guard against a crashed leaf that still accepts connections.

        The virtual clock advances only when the test moves it, so the leaf
        stays down until the test has seen it refuse a connection.
        """
        clock = trio.testing.MockClock()

        async def case() -> None:
            leaf = standin_leaf.StandinLeaf(
                "leaf", {1: {"s0"}}, standin_model.Behaviour(down_ms=200.0)
            )
            async with trio.open_nursery() as nursery:
                address = await nursery.start(leaf.serve, "127.0.0.1", 0)
                self.assertTrue(await is_reachable(address))
                leaf.crash()
                while await is_reachable(address):
                    await trio.lowlevel.checkpoint()
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(0.3)
                while not await is_reachable(address):
                    await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()

        trio.run(case, clock=clock)

    def test_lagging_health(self) -> None:
        """Guard against a lag that does not delay the reported state."""

        async def case() -> None:
            async with leafhelp.running_rig(health_lag_ms=2000.0) as rig:
                leaf = rig.leafs[0]
                leaf.drain()
                await trio.sleep(1.9)
                before = leaf.report_health()
                await trio.sleep(0.2)
                after = leaf.report_health()
                self.assertEqual(("live", "draining"), (before, after))

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(case, clock=clock)

    def test_command_line(self) -> None:
        """Guard against a stand-in that the command does not offer."""
        parser = cli.build_parser()
        for name in sorted(standins.STANDINS):
            arguments = parser.parse_args(["standin", name])
            self.assertIs(standins.STANDINS[name].run, arguments.run_standin)
        bad = ["standin", "leaf", "--behaviour", '{"typo": 1}']
        self.assertEqual(2, cli.run(bad))
