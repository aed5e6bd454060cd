"""Compare the figures with the export of the old system.

The export is a CSV file with the columns month, figure and value. Each value
is compared with the figure of the report. If they differ, the rules in the
definition of the figure are changed one at a time; a rule under which the
values agree explains the difference. Corrections and gaps are also considered.
"""

import csv
import dataclasses
import decimal
import enum
import io
import typing
from collections import abc

import result

from plantainhook import (
    errors,
    figures,
    report,
    reportdata,
    schema,
    steps,
)

COLUMNS: typing.Final = ["month", "figure", "value"]


@dataclasses.dataclass(frozen=True, slots=True)
class OldValue:
    """Represent one line of the export; an empty value is None."""

    line: int
    month: figures.Month
    name: str
    value: decimal.Decimal | None


class Verdict(enum.StrEnum):
    """Classify how a figure compares with the value of the old system.

    ``WITHIN_RESOLUTION`` means that the values differ by no more than the
    resolution of the histograms.
    """

    EQUAL = "equal"
    WITHIN_RESOLUTION = "within resolution"
    DIFFERS = "differs"


@dataclasses.dataclass(frozen=True, slots=True)
class ComparedFigure:
    """Represent a figure beside the value of the old system.

    ``explanation`` is empty if nothing needs to be explained.
    """

    old: OldValue
    value: report.FigureValue
    verdict: Verdict
    difference: decimal.Decimal | None
    explanation: str


class BadLineError(errors.PlantainhookError):
    """Report a line of an export that can't be read."""

    def __init__(self, file: str, line: int, detail: str) -> None:
        text = f"line {line}: {detail}"
        super().__init__(steps.Step.FIGURES_CLOSE, file, text)
        self.line = line


def read_export(
    content: bytes, file: str, known_names: abc.Container[str]
) -> result.Result[list[OldValue], list[BadLineError]]:
    """Read an export, or return the errors of all its lines.

    ``known_names`` contains the names of the defined figures.
    """
    try:
        text = content.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = content[: error.start].count(b"\n") + 1
        return result.Err([BadLineError(file, line, "the text is not UTF-8")])
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    values: list[OldValue] = []
    bad_lines: list[BadLineError] = []
    seen_keys: set[tuple[figures.Month, str]] = set()
    try:
        if next(reader, None) != COLUMNS:
            detail = f"the columns must be {','.join(COLUMNS)}"
            return result.Err([BadLineError(file, 1, detail)])
        for fields in reader:
            parsed = _parse_line(
                reader.line_num, fields, known_names, seen_keys
            )
            if isinstance(parsed, OldValue):
                values.append(parsed)
            elif parsed:
                bad_lines.append(BadLineError(file, reader.line_num, parsed))
    except csv.Error as error:
        bad_lines.append(BadLineError(file, reader.line_num, str(error)))
    return result.Err(bad_lines) if bad_lines else result.Ok(values)


def _parse_line(
    line: int,
    fields: list[str],
    known_names: abc.Container[str],
    seen_keys: set[tuple[figures.Month, str]],
) -> OldValue | str:
    """Return the value of a line, or a text that says what is wrong with it.

    For an empty line, which is no error, the text is empty.
    """
    if not fields:
        return ""
    if len(fields) != len(COLUMNS):
        return f"expected {len(COLUMNS)} columns, found {len(fields)}"
    try:
        month = figures.parse_month(fields[0].strip())
        value = _parse_value(fields[2].strip())
    except ValueError as error:
        return str(error)
    name = fields[1].strip()
    if name not in known_names:
        return f"there is no figure {name!r}"
    if (month, name) in seen_keys:
        return f"{month} {name} stands twice"
    seen_keys.add((month, name))
    return OldValue(line, month, name, value)


def _parse_value(text: str) -> decimal.Decimal | None:
    if text in ("", "-"):
        return None
    try:
        value = decimal.Decimal(text)
    except decimal.InvalidOperation:
        raise ValueError(f"{text!r} is no decimal number") from None
    if not value.is_finite():
        raise ValueError(f"{text!r} is no decimal number")
    return value


def compare(
    old: OldValue, figure: schema.Figure, data: reportdata.MonthData
) -> ComparedFigure:
    """Compare one value of the export with the figure of a month."""
    rows = data.uncorrected_rows() + data.rows(data.correction_days())
    value = report.figure_value(figure, old.month, rows)
    difference = _difference(value.rounded, old.value)
    verdict = _verdict(figure, value, old.value)
    explanation = ""
    if verdict is Verdict.DIFFERS:
        explanation = _explain(old, figure, data, value)
    elif verdict is Verdict.WITHIN_RESOLUTION:
        equal_only = {Verdict.EQUAL}
        explanations = _explaining_rules(old, figure, data, equal_only)
        explanation = _explanation_text(explanations)
    return ComparedFigure(old, value, verdict, difference, explanation)


def _difference(
    new: decimal.Decimal | None, old: decimal.Decimal | None
) -> decimal.Decimal | None:
    if new is None or old is None:
        return None
    return new - old


def _verdict(
    figure: schema.Figure,
    value: report.FigureValue,
    old: decimal.Decimal | None,
) -> Verdict:
    if old is None or value.rounded is None or value.exact is None:
        both_missing = old is None and value.rounded is None
        return Verdict.EQUAL if both_missing else Verdict.DIFFERS
    if value.rounded == old:
        return Verdict.EQUAL
    lowest, highest = (
        figures.round_value(
            value.exact + sign * value.resolution,
            figure.digits,
            figure.rounding,
        )
        for sign in (-1, 1)
    )
    if value.resolution and lowest <= old <= highest:
        return Verdict.WITHIN_RESOLUTION
    return Verdict.DIFFERS


def _explain(
    old: OldValue,
    figure: schema.Figure,
    data: reportdata.MonthData,
    value: report.FigureValue,
) -> str:
    """Name the rules, corrections or gaps that explain a difference."""
    agreeing = {Verdict.EQUAL, Verdict.WITHIN_RESOLUTION}
    explanations = _explaining_corrections(old, figure, data)
    explanations.extend(_explaining_rules(old, figure, data, agreeing))
    if explanations:
        return _explanation_text(explanations)
    zone = [figure.time_zone]
    gaps = report.gaps_of_month(data.gaps, old.month, zone)
    if gaps and _gap_can_explain(old, figure, value):
        texts = [report.gap_text(gap) for gap in gaps]
        return "may be lost in a gap. " + " ".join(texts)
    return "no single rule, correction or gap explains it"


def _explanation_text(explanations: list[str]) -> str:
    return (
        "agrees with " + "; or with ".join(explanations)
        if explanations
        else ""
    )


def _explaining_corrections(
    old: OldValue, figure: schema.Figure, data: reportdata.MonthData
) -> list[str]:
    days = data.correction_days()
    explanations = []
    for count, day in enumerate(days):
        rows = data.uncorrected_rows() + data.rows(days[:count])
        value = report.figure_value(figure, old.month, rows)
        if _verdict(figure, value, old.value) is not Verdict.DIFFERS:
            explanations.append(f"the value before the correction of {day}")
    return explanations


def _explaining_rules(
    old: OldValue,
    figure: schema.Figure,
    data: reportdata.MonthData,
    accepted: abc.Container[Verdict],
) -> list[str]:
    rows = data.uncorrected_rows() + data.rows(data.correction_days())
    explanations = []
    for changed, label in rule_variants(figure):
        value = report.figure_value(changed, old.month, rows)
        if _verdict(changed, value, old.value) in accepted:
            explanations.append(label)
    return explanations


def rule_variants(
    figure: schema.Figure,
) -> abc.Iterator[tuple[schema.Figure, str]]:
    """Yield the definition with each rule changed on its own."""
    choices: dict[str, list[typing.Any]] = {
        "counted_at": list(schema.CountedAt),
        "resends": list(schema.Resends),
        "rounding": list(schema.Rounding),
        "time_zone": ["UTC"],
        "digits": [figure.digits - 1, figure.digits + 1],
    }
    if figure.measure in schema.PERCENTILE_MEASURES:
        choices["percentile_method"] = list(schema.PercentileMethod)
    for rule, options in choices.items():
        for option in options:
            # A figure has 0 to 9 digits.
            if option == getattr(figure, rule) or option in (-1, 10):
                continue
            changed = figure.model_copy(update={rule: option})
            yield changed, f"{rule} = {option}"


def _gap_can_explain(
    old: OldValue, figure: schema.Figure, value: report.FigureValue
) -> bool:
    """Return whether lost requests can explain a difference.

    They lower a count, and may move a percentile in either direction.
    """
    if figure.measure in schema.PERCENTILE_MEASURES:
        return True
    return (
        old.value is not None
        and value.rounded is not None
        and old.value > value.rounded
    )


def as_text(comparisons: abc.Iterable[ComparedFigure]) -> str:
    """Format the comparison as text, with one line per figure."""
    lines = []
    for item in comparisons:
        old = "-" if item.old.value is None else str(item.old.value)
        line = (
            f"{item.old.month} {item.old.name}: old {old}, "
            f"new {item.value.text()}, {item.verdict}"
        )
        if item.difference:
            line += f", difference {item.difference:+}"
        if item.explanation:
            line += f"; {item.explanation}"
        lines.append(line)
    return "\n".join(lines) + "\n"
