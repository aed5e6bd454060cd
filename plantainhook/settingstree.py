"""Inheritance of rules: root, data centre, service, request kind.

A level overrides only the rules that it sets; the nearest level to the
request wins. ``resolve`` returns the rules in force for one request and
``explain`` tells which level set each of them, by whom and when.
"""

import dataclasses
import typing
from collections import abc

from plantainhook import querytypes, schema, settingsobjects

ROOT_LEVEL: typing.Final = "defaults"
PROGRAM_LEVEL: typing.Final = "program default"

Records = abc.Mapping[str, settingsobjects.Record]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Tell the value of a rule and where it comes from.

    ``level`` is a record name, or ``PROGRAM_LEVEL`` for a value that no
    operator has set; ``stamp`` is None where nobody set the value or the
    settings come from a file.
    """

    rule: str
    value: typing.Any
    level: str
    stamp: settingsobjects.Stamp | None


@dataclasses.dataclass(frozen=True, slots=True)
class RuleContext:
    """Name the data centre, service and kind of a request.

    An empty name, or one without an object, adds no level.
    """

    data_centre: str = ""
    service: str = ""
    kind: str = ""


def resolve(
    settings: schema.Settings, data_centre: str, service: str, kind: str
) -> querytypes.EffectiveRules:
    """Return the rules in force for one kind of request at a place."""
    place = RuleContext(data_centre, service, kind)
    values = settings.defaults.model_dump()
    for _, rules in _levels(settings, place):
        values.update(rules.model_dump(exclude_none=True))
    return querytypes.EffectiveRules(**values)


def explain(
    settings: schema.Settings, records: Records, place: RuleContext
) -> list[Explanation]:
    """Return each rule with its value and origin, in order of the schema."""
    levels = [(ROOT_LEVEL, _root_rules(settings))]
    levels.extend(_levels(settings, place))
    values = settings.defaults.model_dump(mode="json")
    owners = dict.fromkeys(values, PROGRAM_LEVEL)
    for level, rules in levels:
        for rule, value in _set_rules(rules).items():
            values[rule] = value
            owners[rule] = level
    return [
        Explanation(rule, value, owners[rule], _stamp(records, owners, rule))
        for rule, value in values.items()
    ]


def _levels(
    settings: schema.Settings, place: RuleContext
) -> list[tuple[str, schema.Rules]]:
    """Return the levels below the root that exist, outermost first."""
    found: list[tuple[str, schema.Rules]] = []
    centre = settings.data_centre.get(place.data_centre)
    if centre is not None:
        found.append((f"data_centre/{place.data_centre}", centre.rules))
    service = settings.service.get(place.service)
    if service is not None:
        found.append((f"service/{place.service}", service.rules))
    kind = settings.request_kind.get(place.kind)
    if kind is not None:
        found.append((f"request_kind/{place.kind}", kind.rules))
    return found


def _root_rules(settings: schema.Settings) -> schema.Rules:
    """Return the defaults that an operator has set."""
    chosen = settings.defaults.model_dump(exclude_unset=True)
    return schema.Rules.model_validate(chosen)


def _set_rules(rules: schema.Rules) -> dict[str, typing.Any]:
    """Return the rules that a level sets."""
    return rules.model_dump(mode="json", exclude_none=True)


def _stamp(
    records: Records, owners: abc.Mapping[str, str], rule: str
) -> settingsobjects.Stamp | None:
    """Return who set a rule, where that is known."""
    record = records.get(owners[rule])
    return record.stamps.get(rule) if record is not None else None
