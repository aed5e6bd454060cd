"""Resolve rules that are inherited through several levels.

The levels are, in this order: the defaults, the data centre, the service and
the request kind. Each level overrides only the rules that it sets, and a
later level has precedence. ``resolve`` returns the rules in force for one
request. ``explain`` returns for each rule which level set it, by whom and
when.
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
    """Describe the value of a rule and its origin.

    ``level`` is a record name, or ``PROGRAM_LEVEL`` for a value that no
    operator has set. ``stamp`` is None if no operator set the value or the
    settings come from a file.
    """

    rule: str
    value: typing.Any
    level: str
    stamp: settingsobjects.Stamp | None


@dataclasses.dataclass(frozen=True, slots=True)
class RuleContext:
    """Identify the data centre, service and kind of a request.

    A name that is empty or has no object in the settings adds no level.
    """

    data_centre: str = ""
    service: str = ""
    kind: str = ""


def resolve(
    settings: schema.Settings, data_centre: str, service: str, kind: str
) -> querytypes.EffectiveRules:
    """Return the rules in force for requests of a kind.

    ``data_centre`` is that of the daemon, and ``service`` the queried one.
    """
    context = RuleContext(data_centre, service, kind)
    values = settings.defaults.model_dump()
    for _, rules in _levels(settings, context):
        values.update(rules.model_dump(exclude_none=True))
    return querytypes.EffectiveRules(**values)


def explain(
    settings: schema.Settings, records: Records, context: RuleContext
) -> list[Explanation]:
    """Return each rule with its value and origin, in schema order."""
    levels = [(ROOT_LEVEL, _root_rules(settings))]
    levels.extend(_levels(settings, context))
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
    settings: schema.Settings, context: RuleContext
) -> list[tuple[str, schema.Rules]]:
    """Return the levels below the defaults that exist, in their order."""
    levels: list[tuple[str, schema.Rules]] = []
    centre = settings.data_centre.get(context.data_centre)
    if centre is not None:
        levels.append((f"data_centre/{context.data_centre}", centre.rules))
    service = settings.service.get(context.service)
    if service is not None:
        levels.append((f"service/{context.service}", service.rules))
    kind = settings.request_kind.get(context.kind)
    if kind is not None:
        levels.append((f"request_kind/{context.kind}", kind.rules))
    return levels


def _root_rules(settings: schema.Settings) -> schema.Rules:
    """Return the defaults that an operator has set."""
    explicit = settings.defaults.model_dump(exclude_unset=True)
    return schema.Rules.model_validate(explicit)


def _set_rules(rules: schema.Rules) -> dict[str, typing.Any]:
    """Return the rules that a level sets."""
    return rules.model_dump(mode="json", exclude_none=True)


def _stamp(
    records: Records, owners: abc.Mapping[str, str], rule: str
) -> settingsobjects.Stamp | None:
    """Return the stamp of a rule, or None if it has none."""
    record = records.get(owners[rule])
    return record.stamps.get(rule) if record is not None else None
