"""Tests of membership and gossip in a fleet, driven by test-data/fleet.toml.

A fleet runs in one process on virtual time and an in-memory network. A case
applies steps such as killing a daemon, and passes if all daemons then converge
within its time limit.
"""

import pathlib
import tomllib
import traceback
import typing

import testtools
import trio
import trio.testing

from plantainhook import blackboard, controlfleet

CASES_FILE: typing.Final = (
    pathlib.Path(__file__).parent.parent / "test-data" / "fleet.toml"
)


class FleetRun:
    """Run the steps of one case and wait until the fleet has converged."""

    def __init__(
        self, fleet: controlfleet.Fleet, case: dict[str, typing.Any]
    ) -> None:
        self.fleet = fleet
        self.case = case
        self.revision = 0
        self.quarantined: set[str] = set()

    async def step(self, step: dict[str, typing.Any]) -> None:
        match step["do"]:
            case "accept":
                self.revision += 1
                await self.fleet.write_revision(self.revision)
            case "stop":
                self.fleet.kill_daemon(self.fleet.nodes[step["index"]])
            case "start":
                self.fleet.start_daemon(step["index"])
            case "cut":
                centre = f"dc-{step['index']}"
                self.fleet.cut_addresses |= {
                    node.hello.peer_address
                    for node in self.fleet.nodes
                    if node.hello.data_centre == centre
                }
            case "heal":
                self.fleet.cut_addresses.clear()
            case "quarantine":
                board = self.fleet.nodes[step["index"]].board
                until_s = trio.current_time() + 600
                board.quarantine_until_s[step["name"]] = until_s
                board.notify(blackboard.Topic.QUARANTINE)
                self.quarantined.add(step["name"])
            case "clear":
                sync = self.fleet.nodes[step["index"]].gossiper.quarantine
                sync.clear(step["name"], trio.current_time())
                self.quarantined.discard(step["name"])
            case "down":
                self.fleet.store.set_down(True)
            case "sleep":
                await trio.sleep(step["s"])
            case other:
                raise ValueError(f"unknown step {other!r}")

    def has_converged(self) -> bool:
        count = len(self.fleet.nodes)
        return all(
            node.revision == self.revision
            and node.live_count() == count
            and set(node.board.quarantine_until_s) == self.quarantined
            for node in self.fleet.nodes
        )

    async def run(self) -> None:
        for step in self.case["steps"]:
            await self.step(step)
        with trio.fail_after(self.case["limit_s"]):
            while True:
                if self.has_converged():
                    return
                await trio.sleep(0.25)

    async def check_status(self) -> None:
        """Compare the collected status with the daemons' revisions."""
        await trio.sleep(60)
        statuses = await self.fleet.nodes[0].status.collect()
        counted = sum(each.counts.get(self.revision, 0) for each in statuses)
        assert counted == len(self.fleet.nodes), statuses


async def run_case(case: dict[str, typing.Any]) -> None:
    """Run one case in a new fleet."""
    options = controlfleet.FleetOptions(
        daemon_count=case["daemons"],
        loss_ratio=case.get("loss", 0.0),
        known_members=case.get("known", True),
    )
    async with trio.open_nursery() as nursery:
        fleet = controlfleet.Fleet(nursery, options)
        fleet.network.duplicate_ratio = case.get("duplicate", 0.0)
        run = FleetRun(fleet, case)
        await run.run()
        if not options.loss_ratio:
            await run.check_status()
        nursery.cancel_scope.cancel()


class FleetTest(testtools.TestCase):
    """Run every case of the file."""

    def test_cases(self) -> None:
        """Guard against members or revisions that don't converge."""
        cases = tomllib.loads(CASES_FILE.read_text(encoding="utf-8"))
        for case in cases["case"]:
            clock = trio.testing.MockClock(autojump_threshold=0)
            try:
                trio.run(run_case, case, clock=clock)
            except BaseExceptionGroup as error:
                traceback.print_exception(error)
                self.fail(case["name"])
