"""Compute readable differences between two sets of records."""

import dataclasses
import json
import typing
from collections import abc

from plantainhook import settingsobjects

ABSENT: typing.Final = "(none)"
VALUE_LIMIT_CHARS: typing.Final = 120

Specs = abc.Mapping[str, settingsobjects.Spec]


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Describe how one value differs; None stands for no value.

    ``key_path`` is empty if the whole object was added or removed.
    """

    record: str
    key_path: str
    old: typing.Any
    new: typing.Any

    def text(self) -> str:
        """Format the difference on one line."""
        path = f" {self.key_path}" if self.key_path else ""
        return f"{self.record}{path}: {_short(self.old)} -> {_short(self.new)}"


def differences(old: Specs, new: Specs) -> list[Difference]:
    """Return the values that differ, in order of names and keys."""
    found: list[Difference] = []
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if before is None or after is None:
            found.append(Difference(name, "", before, after))
        else:
            found.extend(_spec_differences(name, "", before, after))
    return found


def between_records(
    old: abc.Mapping[str, bytes], new: abc.Mapping[str, bytes]
) -> list[Difference]:
    """Return the values that differ between the records of two revisions."""
    changed = {n for n in old.keys() | new.keys() if old.get(n) != new.get(n)}
    return differences(_specs(old, changed), _specs(new, changed))


def _specs(
    records: abc.Mapping[str, bytes], names: abc.Set[str]
) -> dict[str, settingsobjects.Spec]:
    """Decode the specs of the named records that exist."""
    return {
        name: settingsobjects.decode(records[name]).spec
        for name in names
        if name in records
    }


def _spec_differences(
    name: str, path: str, old: typing.Any, new: typing.Any
) -> abc.Iterator[Difference]:
    """Yield the values that differ child_path a key path."""
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            child_path = f"{path}.{key}" if path else key
            yield from _spec_differences(
                name, child_path, old.get(key), new.get(key)
            )
        return
    if _same_length(old, new):
        for i, (before, after) in enumerate(zip(old, new, strict=True)):
            yield from _spec_differences(name, f"{path}[{i}]", before, after)
        return
    yield Difference(name, path, old, new)


def _same_length(old: typing.Any, new: typing.Any) -> bool:
    """Return whether two values are lists of the same length."""
    lists = isinstance(old, list) and isinstance(new, list)
    return lists and len(old) == len(new)


def _short(value: typing.Any) -> str:
    """Format a value as JSON text of limited length."""
    if value is None:
        return ABSENT
    text = json.dumps(value, ensure_ascii=False)
    if len(text) <= VALUE_LIMIT_CHARS:
        return text
    return f"{text[:VALUE_LIMIT_CHARS]}..."
