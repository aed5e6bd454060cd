"""Apply the faults of a benchmark scenario to the fake leafs."""

import typing
from collections import abc

from plantainhook import benchleaf, benchtypes

FaultKind = benchtypes.FaultKind


class FaultTarget(typing.Protocol):
    """Provide the state that faults change.

    ``benchsim.Simulation`` implements it.
    """

    leafs: dict[str, benchleaf.FakeLeaf]
    leaf_context: benchleaf.LeafContext
    declared_versions: set[int]

    def served_shards(
        self, leaf: str, versions: abc.Iterable[int]
    ) -> dict[int, frozenset[str]]:
        """Return the shards that the maps place on a leaf, by version."""


def build_action(
    target: FaultTarget, fault: benchtypes.Fault
) -> abc.Callable[[], None]:
    """Return a function that applies a fault when it is called.

    The function raises ValueError if the fault lists leafs although its kind
    does not apply to leafs.
    """

    def apply() -> None:
        if fault.kind is FaultKind.LINK_LOSS:
            target.leaf_context.link_loss[fault.data_centre] = fault.value
        elif fault.kind is FaultKind.DECLARE:
            target.declared_versions.update(fault.versions)
        for name in fault.leafs:
            _apply_to_leaf(target, target.leafs[name], fault)

    return apply


def _apply_to_leaf(
    target: FaultTarget, leaf: benchleaf.FakeLeaf, fault: benchtypes.Fault
) -> None:
    match fault.kind:
        case FaultKind.SLOW:
            leaf.slow_factor = fault.value
        case FaultKind.REFUSE_CONNECTIONS:
            leaf.crash(restarts=False)
        case FaultKind.CRASH:
            leaf.crash(restarts=True)
        case FaultKind.HANG:
            leaf.mode = benchleaf.LeafMode.HUNG
        case FaultKind.DRAIN:
            leaf.mode = benchleaf.LeafMode.DRAINING
        case FaultKind.COLD:
            leaf.cold = True
        case FaultKind.RECOVER:
            leaf.recover()
        case FaultKind.SERVE:
            leaf.served_shards = target.served_shards(
                leaf.info.name, fault.versions
            )
        case _:
            raise ValueError(f"fault {fault.kind} does not apply to leafs")
