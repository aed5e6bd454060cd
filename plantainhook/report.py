"""Monthly figures from tallies, and their text, JSON and CSV forms."""

import csv
import dataclasses
import decimal
import io
import typing
from collections import abc

import msgspec

from plantainhook import (
    figures,
    monthobjects,
    reportdata,
    schema,
    tallies,
    tallystore,
)

PPM: typing.Final = 1_000_000
COUNTERS: typing.Final = {
    schema.Measure.COUNT: "count",
    schema.Measure.COMPLETE: "complete_count",
    schema.Measure.PARTIAL: "partial_count",
    schema.Measure.REFUSED: "refused_count",
    schema.Measure.URGENT_WITHIN_DEADLINE: "urgent_met_count",
    schema.Measure.ARCHIVE_SERVED: "archive_served_count",
}


@dataclasses.dataclass(frozen=True, slots=True)
class FigureValue:
    """Hold the value of a figure.

    ``exact`` is the value before rounding. It lies within
    ``resolution`` of the value computed from the single requests; counts
    have a resolution of 0. Both are None, and so is ``rounded``, where no
    request was counted for a percentile.
    """

    exact: float | int | None
    rounded: decimal.Decimal | None
    resolution: float

    def text(self) -> str:
        """Return the rounded value, or ``-`` where there is none."""
        return "-" if self.rounded is None else str(self.rounded)


@dataclasses.dataclass(frozen=True, slots=True)
class Correction:
    """Hold a figure with all corrections up to a day."""

    day: str
    value: FigureValue


@dataclasses.dataclass(frozen=True, slots=True)
class ReportLine:
    """Hold one figure of a report."""

    name: str
    figure: schema.Figure
    value: FigureValue
    corrections: tuple[Correction, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold the figures of a month."""

    month: figures.Month
    closed_wall_s: float
    lines: tuple[ReportLine, ...]
    gaps: tuple[monthobjects.Gap, ...]
    live_until_wall_s: dict[str, float]


def build_report(
    data: reportdata.MonthData, definitions: dict[str, schema.Figure]
) -> Report:
    """Compute all figures of a month."""
    lines = tuple(
        _line(data, name, definitions[name]) for name in sorted(definitions)
    )
    zones = {figure.time_zone for figure in definitions.values()}
    return Report(
        month=data.month,
        closed_wall_s=data.closed_wall_s,
        lines=lines,
        gaps=tuple(gaps_of_month(data.gaps, data.month, zones)),
        live_until_wall_s=data.live_until_wall_s,
    )


def gaps_of_month(
    gaps: abc.Iterable[monthobjects.Gap],
    month: figures.Month,
    time_zones: abc.Iterable[str],
) -> list[monthobjects.Gap]:
    """Return the gaps that touch the month in any of the time zones."""
    ranges = [figures.month_range(month, zone) for zone in time_zones]
    return sorted(
        gap
        for gap in set(gaps)
        if any(
            gap.to_wall_s >= one.start * figures.QUARTER_HOUR_S
            and gap.from_wall_s < one.end * figures.QUARTER_HOUR_S
            for one in ranges
        )
    )


def _line(
    data: reportdata.MonthData, name: str, figure: schema.Figure
) -> ReportLine:
    rows = data.uncorrected_rows()
    value = figure_value(figure, data.month, rows)
    corrections = []
    for day in data.correction_days():
        if not select_rows(figure, data.month, data.sections[day]):
            continue
        rows = rows + data.sections[day]
        corrected = figure_value(figure, data.month, rows)
        corrections.append(Correction(day, corrected))
    return ReportLine(name, figure, value, tuple(corrections))


def figure_value(
    figure: schema.Figure, month: figures.Month, rows: tallystore.Rows
) -> FigureValue:
    """Compute one figure from tallies."""
    selected = select_rows(figure, month, rows)
    if figure.measure in schema.PERCENTILE_MEASURES:
        return _percentile_value(figure, selected)
    counter = COUNTERS[figure.measure]
    total: int = sum(getattr(row, counter) for row in selected)
    rounded = figures.round_value(total, figure.digits, figure.rounding)
    return FigureValue(total, rounded, 0.0)


def select_rows(
    figure: schema.Figure, month: figures.Month, rows: tallystore.Rows
) -> tallystore.Rows:
    """Return the tallies that a figure counts in a month."""
    kinds = frozenset(figure.request_kinds)
    quarters = figures.month_range(month, figure.time_zone)
    at_arrival = figure.counted_at is schema.CountedAt.ARRIVAL
    each = figure.resends is schema.Resends.EACH
    return [
        row
        for row in rows
        if (each or not row.resend)
        and (not kinds or row.kind in kinds)
        and quarters.contains(
            row.arrival_slice if at_arrival else row.answer_slice
        )
    ]


def _percentile_value(
    figure: schema.Figure, rows: tallystore.Rows
) -> FigureValue:
    is_latency = figure.measure is schema.Measure.LATENCY_PERCENTILE
    limit = (
        tallies.LATENCY_LIMIT_US if is_latency else tallies.SHORTFALL_LIMIT_PPM
    )
    merged = tallies.Histogram(limit)
    for row in rows:
        merged.merge_encoded(row.latency if is_latency else row.shortfall)
    count = merged.count()
    if count == 0 or figure.percentile is None:
        return FigureValue(None, None, 0.0)
    ranks = figures.percentile_ranks(
        figure.percentile, count, figure.percentile_method
    )
    at_rank = merged.value_at_ranks()
    if is_latency:
        exact = ranks.value(at_rank) / tallies.US_PER_MS
        unit = 1 / tallies.US_PER_MS
        resolution = max(unit, exact * tallies.RESOLUTION_RATIO)
        return _rounded(figure, exact, resolution)
    # The ranks count from the lowest coverage, the histogram from the
    # lowest shortfall.
    exact = ranks.value(lambda rank: 1 - at_rank(count + 1 - rank) / PPM)
    resolution = max(1 / PPM, (1 - exact) * tallies.RESOLUTION_RATIO)
    return _rounded(figure, exact, resolution)


def _rounded(
    figure: schema.Figure, exact: float, resolution: float
) -> FigureValue:
    rounded = figures.round_value(exact, figure.digits, figure.rounding)
    return FigureValue(exact, rounded, resolution)


def utc_text(wall_s: float) -> str:
    """Return a moment in UTC with milliseconds."""
    return figures.utc_time(wall_s).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"


def as_text(report: Report) -> str:
    """Return the report for reading."""
    state = "open, figures are preliminary"
    if report.closed_wall_s:
        state = f"closed {utc_text(report.closed_wall_s)}"
    lines = [f"Figures of {report.month} ({state})", ""]
    width = max((len(line.name) for line in report.lines), default=0)
    for line in report.lines:
        zone = line.figure.time_zone
        lines.append(
            f"{line.name:<{width}}  {line.value.text():>14}  {zone}"
            + _resolution_text(line.value)
        )
        lines.extend(
            f"{'':<{width}}  {item.value.text():>14}  corrected {item.day}"
            for item in line.corrections
        )
    lines.append("")
    lines.extend(gap_text(gap) for gap in report.gaps)
    if not report.gaps:
        lines.append("No gaps.")
    if report.live_until_wall_s:
        oldest = min(report.live_until_wall_s.values())
        lines.append(
            f"{len(report.live_until_wall_s)} segments are not folded yet; "
            f"the oldest one is counted up to {utc_text(oldest)}."
        )
    return "\n".join(lines) + "\n"


def _resolution_text(value: FigureValue) -> str:
    return f"  +-{value.resolution:.2g}" if value.resolution else ""


def gap_text(gap: monthobjects.Gap) -> str:
    """Return a gap as one line."""
    return (
        f"Gap: {gap.daemon} ({gap.incarnation}) from "
        f"{utc_text(gap.from_wall_s)} to {utc_text(gap.to_wall_s)}"
    )


def as_json(report: Report) -> str:
    """Return the report as one JSON object."""
    value = {
        "month": str(report.month),
        "closed_wall_s": report.closed_wall_s,
        "figures": {line.name: _json_line(line) for line in report.lines},
        "gaps": msgspec.to_builtins(report.gaps),
        "live_until_wall_s": report.live_until_wall_s,
    }
    encoded = msgspec.json.encode(value)
    return msgspec.json.format(encoded, indent=2).decode() + "\n"


def _json_line(line: ReportLine) -> dict[str, object]:
    return {
        "value": line.value.text(),
        "exact": line.value.exact,
        "resolution": line.value.resolution,
        "corrections": {
            item.day: item.value.text() for item in line.corrections
        },
        "definition": line.figure.model_dump(mode="json"),
    }


def as_csv(report: Report) -> str:
    """Return the report in the format of the old system's export.

    The value is the one with all corrections.
    """
    stream = io.StringIO()
    writer = csv.writer(stream, lineterminator="\n")
    writer.writerow(["month", "figure", "value"])
    for line in report.lines:
        value = line.corrections[-1].value if line.corrections else line.value
        text = "" if value.rounded is None else value.text()
        writer.writerow([str(report.month), line.name, text])
    return stream.getvalue()
