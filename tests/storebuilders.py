"""Build objects, changes and entries for tests of the store's copies."""

import typing
from collections import abc

from plantainhook import blackboard, forwardtypes, objectsource, shardmap

Spec = dict[str, typing.Any]


def members(count: int) -> dict[int, blackboard.MemberInfo]:
    """Return members d0, d1... of three data centres, by incarnation."""
    return {
        number: blackboard.MemberInfo(
            number,
            f"d{number}",
            "",
            f"dc-{number % 3}",
            f"d{number}",
            "",
            True,
            False,
        )
        for number in range(count)
    }


def at(revision: int, era: int = 0) -> objectsource.Position:
    """Return a position in the history of a store."""
    return objectsource.Position(era, revision)


def item(
    name: str, revision: int, **spec: typing.Any
) -> objectsource.SourceObject:
    """Return an object of the store."""
    return objectsource.SourceObject(name, revision, spec)


def changed(
    name: str, revision: int, **spec: typing.Any
) -> objectsource.Change:
    """Return a change of an object."""
    return objectsource.Change(item(name, revision, **spec), False)


def deleted(name: str, revision: int) -> objectsource.Change:
    """Return the removal of an object."""
    return objectsource.Change(item(name, revision), True)


def read_leaf(name: str, spec: object) -> forwardtypes.LeafEntry:
    """Decode the spec of an entry as these tests write it.

    Raises ValueError if the spec is not that of an entry.
    """
    if not isinstance(spec, abc.Mapping) or "service" not in spec:
        raise ValueError("the spec is not that of a leaf entry")
    info = shardmap.LeafInfo(
        name, "10.0.0.1:80", "dc-1", spec["service"], spec["service"], 2, 1
    )
    return forwardtypes.LeafEntry(
        info,
        spec.get("draining", False),
        spec.get("cold_s", 0.0),
        spec.get("born", 1),
        spec.get("seq", 1),
    )
