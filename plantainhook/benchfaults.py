"""Faults of benchmark scenarios, applied to the fake leafs."""

import typing
from collections import abc

from plantainhook import benchleaf, benchtypes

K = benchtypes.FaultKind


class FaultTarget(typing.Protocol):
    """Hold what faults change."""

    leafs: dict[str, benchleaf.FakeLeaf]
    leaf_context: benchleaf.LeafContext
    declared_versions: set[int]

    def served_shards(
        self, leaf: str, versions: abc.Iterable[int]
    ) -> dict[int, frozenset[str]]:
        """Return the shards that the maps place on a leaf."""


def build_action(
    target: FaultTarget, fault: benchtypes.Fault
) -> abc.Callable[[], None]:
    """Return a function that applies a fault."""

    def apply() -> None:
        if fault.kind is K.LINK_LOSS:
            target.leaf_context.link_loss[fault.data_centre] = fault.value
        elif fault.kind is K.DECLARE:
            target.declared_versions.update(fault.versions)
        for name in fault.leafs:
            _apply_to_leaf(target, target.leafs[name], fault)

    return apply


def _apply_to_leaf(
    target: FaultTarget, leaf: benchleaf.FakeLeaf, fault: benchtypes.Fault
) -> None:
    match fault.kind:
        case K.SLOW:
            leaf.slow_factor = fault.value
        case K.REFUSE_CONNECTIONS:
            leaf.crash(restarts=False)
        case K.CRASH:
            leaf.crash(restarts=True)
        case K.HANG:
            leaf.mode = benchleaf.LeafMode.HUNG
        case K.DRAIN:
            leaf.mode = benchleaf.LeafMode.DRAINING
        case K.COLD:
            leaf.cold = True
        case K.RECOVER:
            leaf.recover()
        case K.SERVE:
            leaf.served_shards = target.served_shards(
                leaf.info.name, fault.versions
            )
        case _:
            raise ValueError(f"{fault.kind} does not apply to leafs")
