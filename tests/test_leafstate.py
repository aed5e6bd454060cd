"""Signs about a leaf and the state that they amount to."""

import pathlib
import tomllib
import typing

import testtools

from plantainhook import leafprotocol, leafstate

CASES: typing.Final = (
    pathlib.Path(__file__).parent.parent / "test-data" / "leaf-beliefs.toml"
)


def apply(
    belief: leafstate.LeafStateTracker,
    now_s: float,
    name: str,
    started_s: float,
) -> None:
    """Apply one sign of a case."""
    if name in ("vm_leaving", "vm_live"):
        belief.on_vm_listed(name == "vm_leaving", started_s, now_s)
    elif name in ("silent", "unreachable"):
        belief.on_unreachable(name == "unreachable", now_s)
    elif name in ("refusal", "peer"):
        belief.on_leaving(leafstate.Source(name), now_s)
    else:
        belief.on_health(leafprotocol.HealthState(name), started_s, now_s)


class LeafBeliefTest(testtools.TestCase):
    """Run the cases of leaf-beliefs.toml."""

    def test_states(self) -> None:
        """Guards against a stale "live" that brings work to a leaving leaf."""
        for case in tomllib.loads(CASES.read_text(encoding="utf-8"))["case"]:
            belief = leafstate.LeafStateTracker()
            for now_s, name, started_s in case["signs"]:
                apply(belief, now_s, name, started_s)
            state = belief.state()
            seen = "none" if state is None else state.value
            self.assertEqual(case["state"], seen, case["name"])
