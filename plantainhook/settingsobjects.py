"""Convert between settings and the records of the operator objects.

Settings are stored as one record for each operator object. Its name is
``defaults``, ``share_plan`` or, for all others, ``kind/name``. A record holds
what the operator wrote (``spec``) and stamps with revision, author and time:
one for the object as a whole (key ``""``) and one for each of its rules.
"""

import dataclasses
import typing
from collections import abc

import msgspec

from plantainhook import revisions, schema

SINGLE_KINDS: typing.Final = ("defaults", "share_plan")
NAMED_KINDS: typing.Final = (
    "data_centre",
    "service",
    "request_kind",
    "group",
    "target",
    "index",
    "figure",
)
WHOLE_OBJECT: typing.Final = ""
RULES_KEY: typing.Final = "rules"

Spec = dict[str, typing.Any]


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """Describe which revision set a value, who made it and when."""

    revision: int
    author: str
    wall_s: float


class Record(msgspec.Struct, frozen=True):
    """Represent an operator object in its stored form."""

    spec: Spec
    stamps: dict[str, Stamp]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Describe a change: objects to replace as a whole or to remove.

    Both are given by record name.
    """

    specs: abc.Mapping[str, Spec]
    removed: frozenset[str] = frozenset()


_RECORD_DECODER: typing.Final = msgspec.json.Decoder(Record)


def decode(text: bytes) -> Record:
    """Decode a record; raises msgspec.MsgspecError if it is malformed."""
    return _RECORD_DECODER.decode(text)


def specs_of(settings: schema.Settings) -> dict[str, Spec]:
    """Return, by record name, the values that were set explicitly."""
    dumped = settings.model_dump(
        mode="json", exclude_unset=True, exclude_none=True
    )
    specs: dict[str, Spec] = {}
    for kind in SINGLE_KINDS:
        if kind in dumped:
            specs[kind] = dumped[kind]
    for kind in NAMED_KINDS:
        for name, spec in dumped.get(kind, {}).items():
            specs[f"{kind}/{name}"] = spec
    return specs


def tree_of(specs: abc.Mapping[str, Spec]) -> dict[str, typing.Any]:
    """Return specs nested by kind and name, as in a settings file."""
    tree: dict[str, typing.Any] = {}
    for record_name, spec in specs.items():
        kind, _, name = record_name.partition("/")
        if name:
            tree.setdefault(kind, {})[name] = spec
        else:
            tree[kind] = spec
    return tree


def read_records(
    records: abc.Mapping[str, bytes],
) -> dict[str, Record]:
    """Decode all records of a revision."""
    return {name: decode(text) for name, text in records.items()}


def settings_of(records: abc.Mapping[str, bytes]) -> schema.Settings:
    """Build validated settings from the records of a revision.

    Raises pydantic.ValidationError or msgspec.MsgspecError if a record does
    not match the schema of this program version.
    """
    specs = {n: r.spec for n, r in read_records(records).items()}
    return schema.Settings.model_validate(tree_of(specs))


def settings_after(
    old: schema.Settings,
    old_records: abc.Mapping[str, bytes],
    records: abc.Mapping[str, bytes],
) -> schema.Settings:
    """Build settings from older ones, validating only records that differ.

    The result equals ``settings_of(records)`` and the same errors are raised.
    ``old`` is not changed.
    """
    changed = {n: t for n, t in records.items() if old_records.get(n) != t}
    removed = old_records.keys() - records.keys()
    changed_settings = settings_of(changed)
    update: dict[str, typing.Any] = {}
    for kind in SINGLE_KINDS:
        if kind in changed:
            update[kind] = getattr(changed_settings, kind)
        elif kind in removed:
            update[kind] = type(getattr(old, kind))()
    for kind in NAMED_KINDS:
        objects = {**getattr(old, kind), **getattr(changed_settings, kind)}
        for record_name in removed:
            record_kind, _, name = record_name.partition("/")
            if record_kind == kind:
                objects.pop(name, None)
        update[kind] = objects
    return old.model_copy(update=update)


def change_records(
    old: abc.Mapping[str, bytes], change: Change, info: revisions.Info
) -> dict[str, bytes]:
    """Return the records after a change.

    Unchanged records keep their text. Changed ones get stamps from ``info``.
    """
    stamp = Stamp(info.revision, info.author, info.wall_s)
    records = {n: t for n, t in old.items() if n not in change.removed}
    for name, spec in change.specs.items():
        before = decode(old[name]) if name in old else Record({}, {})
        if name in old and before.spec == spec:
            continue
        stamps = _stamps(name, before, spec, stamp)
        records[name] = revisions.encode(Record(spec, stamps))
    return records


def _stamps(
    name: str, before: Record, spec: Spec, stamp: Stamp
) -> dict[str, Stamp]:
    """Return new stamps for the object and the rules that differ.

    Rules with the same value keep their stamp.
    """
    old_rules = rules_of(name, before.spec)
    stamps = {WHOLE_OBJECT: stamp}
    for rule, value in rules_of(name, spec).items():
        kept = old_rules.get(rule) == value and rule in before.stamps
        stamps[rule] = before.stamps[rule] if kept else stamp
    return stamps


def rules_of(name: str, spec: Spec) -> Spec:
    """Return the rules that an object sets."""
    if name == "defaults":
        return spec
    rules: Spec = spec.get(RULES_KEY, {})
    return rules
