"""Tests of leaf faults at each step of a call, and the errors they cause."""

import pathlib
import tomllib
import typing

import result
import testtools
import trio
import trio.testing

from plantainhook import errors
from tests import leafhelp

CASES: typing.Final = (
    pathlib.Path(__file__).parent.parent / "test-data" / "leaf-faults.toml"
)


def prepare(rig: leafhelp.Rig, case: dict[str, typing.Any]) -> None:
    """Put the leaf into the state that a case describes."""
    leaf = rig.leafs[0]
    if case.get("unreachable"):
        rig.network.unreachable.add("10.0.0.0:80")
        leaf.crash()
    if case.get("close_idle"):
        leaf.crash()
        leaf.down = False
    if case.get("drain"):
        leaf.drain()
    if case.get("cold"):
        leaf.start_cold()
    if "versions" in case:
        served = case["versions"].items()
        leaf.set_versions({int(key): set(shards) for key, shards in served})


async def run_case(case: dict[str, typing.Any]) -> None:
    """Run one call; check its error and what the leaf's journal recorded."""
    async with leafhelp.running_rig(
        allotment_count=case.get("allotment", 2), **case.get("behaviour", {})
    ) as rig:
        prepare(rig, case)
        await trio.testing.wait_all_tasks_blocked()
        outcome = await rig.call()
        seen = {"kind": "ok", "runs": rig.leafs[0].journal.count_runs("q1")}
        if isinstance(outcome, result.Err):
            seen["kind"] = outcome.err_value.kind.value
            seen["ran"] = outcome.err_value.ran.value
        expected = {key: case[key] for key in seen}
        if seen != expected:
            raise AssertionError(f"{case['name']}: {outcome}, {seen}")
        if seen.get("ran") == errors.Ran.NO and seen["runs"]:
            raise AssertionError(
                f"{case['name']}: an error said ran=no, but the leaf ran it"
            )


class LeafFaultTest(testtools.TestCase):
    """Check the error of each case of leaf-faults.toml."""

    def test_failure_kinds(self) -> None:
        """Guard against a fault that is reported as another kind.

        An error that states that the request did not run must be right:
        such a request is sent again.
        """
        cases = tomllib.loads(CASES.read_text(encoding="utf-8"))["case"]
        for case in cases:
            clock = trio.testing.MockClock(autojump_threshold=0)
            trio.run(run_case, case, clock=clock)
