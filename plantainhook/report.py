"""Compute the monthly figures from tallies, and format them.

``build_report`` takes the data that ``reportdata`` has read and the figure
definitions of the settings. The report can be written as text, JSON or CSV;
``reporthtml`` writes it as a page.
"""

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
    """Represent the value of a figure.

    ``exact`` is the value before rounding. It lies within ``resolution`` of
    the value that would be computed from the individual requests; counts have
    a resolution of 0. ``exact`` and ``rounded`` are None for a percentile
    without any counted request.
    """

    exact: float | int | None
    rounded: decimal.Decimal | None
    resolution: float

    def text(self) -> str:
        """Return the rounded value, or ``-`` if there is none."""
        return "-" if self.rounded is None else str(self.rounded)


@dataclasses.dataclass(frozen=True, slots=True)
class Correction:
    """Represent a figure with all corrections up to and including a day."""

    day: str
    value: FigureValue


@dataclasses.dataclass(frozen=True, slots=True)
class ReportLine:
    """Represent one figure of a report.

    ``value`` is the value without corrections.
    """

    name: str
    figure: schema.Figure
    value: FigureValue
    corrections: tuple[Correction, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Represent the figures of a month.

    ``closed_wall_s`` is 0 while the month is open. ``live_until_wall_s`` maps
    each segment that is not aggregated yet to the time up to which it is
    counted.
    """

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
        _build_line(data, name, definitions[name])
        for name in sorted(definitions)
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
            gap.to_wall_s >= quarter_hours.start * figures.QUARTER_HOUR_S
            and gap.from_wall_s < quarter_hours.end * figures.QUARTER_HOUR_S
            for quarter_hours in ranges
        )
    )


def _build_line(
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
    quarter_hours = figures.month_range(month, figure.time_zone)
    at_arrival = figure.counted_at is schema.CountedAt.ARRIVAL
    counts_resends = figure.resends is schema.Resends.EACH
    return [
        row
        for row in rows
        if (counts_resends or not row.resend)
        and (not kinds or row.kind in kinds)
        and quarter_hours.contains(
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
    # Ranks count from the lowest coverage, but the histogram records the
    # missing part, so its ranks run in the opposite order.
    exact = ranks.value(lambda rank: 1 - at_rank(count + 1 - rank) / PPM)
    resolution = max(1 / PPM, (1 - exact) * tallies.RESOLUTION_RATIO)
    return _rounded(figure, exact, resolution)


def _rounded(
    figure: schema.Figure, exact: float, resolution: float
) -> FigureValue:
    rounded = figures.round_value(exact, figure.digits, figure.rounding)
    return FigureValue(exact, rounded, resolution)


def utc_text(wall_s: float) -> str:
    """Return a time in UTC with milliseconds, in ISO 8601 format."""
    return figures.utc_time(wall_s).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"


def as_text(report: Report) -> str:
    """Format the report as text for reading."""
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
        oldest_wall_s = min(report.live_until_wall_s.values())
        lines.append(
            f"{len(report.live_until_wall_s)} segments are not aggregated "
            f"yet; the oldest one is counted up to {utc_text(oldest_wall_s)}."
        )
    return "\n".join(lines) + "\n"


def _resolution_text(value: FigureValue) -> str:
    return f"  +-{value.resolution:.2g}" if value.resolution else ""


def gap_text(gap: monthobjects.Gap) -> str:
    """Format a gap as one line."""
    return (
        f"Gap: {gap.daemon} ({gap.incarnation}) from "
        f"{utc_text(gap.from_wall_s)} to {utc_text(gap.to_wall_s)}"
    )


def as_json(report: Report) -> str:
    """Format the report as one JSON object."""
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
    """Format the report like the CSV export of the old system.

    Each value includes all corrections.
    """
    stream = io.StringIO()
    writer = csv.writer(stream, lineterminator="\n")
    writer.writerow(["month", "figure", "value"])
    for line in report.lines:
        value = line.corrections[-1].value if line.corrections else line.value
        text = "" if value.rounded is None else value.text()
        writer.writerow([str(report.month), line.name, text])
    return stream.getvalue()
