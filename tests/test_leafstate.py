"""Tests of the leaf state that follows from reports and readings."""

import pathlib
import tomllib
import typing

import testtools

from plantainhook import leafprotocol, leafstate

CASES: typing.Final = (
    pathlib.Path(__file__).parent.parent / "test-data" / "leaf-states.toml"
)


def apply(
    tracker: leafstate.LeafStateTracker,
    now_s: float,
    name: str,
    started_s: float,
) -> None:
    """Pass one report or reading of a case to the tracker."""
    if name in ("vm_leaving", "vm_live"):
        tracker.on_vm_listed(name == "vm_leaving", started_s, now_s)
    elif name in ("silent", "unreachable"):
        tracker.on_unreachable(name == "unreachable", now_s)
    elif name in ("refusal", "peer"):
        tracker.on_leaving(leafstate.ReportSource(name), now_s)
    else:
        tracker.on_health(leafprotocol.HealthState(name), started_s, now_s)


class LeafStateTest(testtools.TestCase):
    """Check the state after each case of leaf-states.toml."""

    def test_states(self) -> None:
        """Guard against a stale live reading that hides a leaving leaf.

        Reading and report may cross: a poll that began before the leaf left
        arrives after the report.
        """
        for case in tomllib.loads(CASES.read_text(encoding="utf-8"))["case"]:
            tracker = leafstate.LeafStateTracker()
            for now_s, name, started_s in case["signs"]:
                apply(tracker, now_s, name, started_s)
            state = tracker.state()
            seen = "none" if state is None else state.value
            self.assertEqual(case["state"], seen, case["name"])
