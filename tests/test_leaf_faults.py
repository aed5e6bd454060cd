"""Faults of a leaf at each step of a call, and the failure they become."""

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
    """Bring the leaf of a case into its state."""
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
    """Run one call and compare its failure with the journal."""
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
            raise AssertionError(f"{case['name']}: a refused request ran")


class LeafFaultTest(testtools.TestCase):
    """Run the cases of leaf-faults.toml."""

    def test_failure_kinds(self) -> None:
        """Guards against a fault that is reported as another, or as not run.

        A refusal that says "not run" must mean that nothing ran.
        """
        cases = tomllib.loads(CASES.read_text(encoding="utf-8"))["case"]
        for case in cases:
            clock = trio.testing.MockClock(autojump_threshold=0)
            trio.run(run_case, case, clock=clock)
