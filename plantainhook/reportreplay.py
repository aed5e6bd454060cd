"""Compute the monthly figures from individual request records.

This is the reference for the incremental computation. The two share the ranks
and the rounding, and nothing else: this module uses no slices, tallies,
histograms or segments. It sorts the values of a percentile exactly, and
recognises resends by the identity of the request instead of relying on the
daemon's mark.
"""

import array
import dataclasses
import datetime
import zoneinfo
from collections import abc

from plantainhook import (
    figures,
    monthobjects,
    report,
    requestrecord,
    schema,
    segments,
)


class GapIndex:
    """Determine which records fall into gaps."""

    _gaps: dict[str, list[monthobjects.Gap]]

    def __init__(self, gaps: abc.Iterable[monthobjects.Gap]) -> None:
        self._gaps = {}
        for gap in gaps:
            self._gaps.setdefault(gap.incarnation, []).append(gap)

    def contains(self, record: requestrecord.RequestRecord) -> bool:
        """Return whether the record was answered in a gap of its daemon."""
        name = segments.incarnation_name(record.incarnation)
        return any(
            gap.from_wall_s < record.answered_wall_s <= gap.to_wall_s
            for gap in self._gaps.get(name, ())
        )


@dataclasses.dataclass(slots=True)
class FigureReplay:
    """Compute one figure of one month from records."""

    figure: schema.Figure
    month: figures.Month
    start_wall_s: float
    end_wall_s: float
    total: int = 0
    values: "array.array[float]" = dataclasses.field(
        default_factory=lambda: array.array("d")
    )

    def add(self, record: requestrecord.RequestRecord, is_first: bool) -> None:
        """Count a record if the rules of the figure select it.

        ``is_first`` is whether this is the first record of its request.
        """
        if self._selects(record, is_first):
            self._count(record)

    def _selects(
        self, record: requestrecord.RequestRecord, is_first: bool
    ) -> bool:
        figure = self.figure
        if figure.request_kinds and record.kind not in figure.request_kinds:
            return False
        if figure.resends is schema.Resends.ONCE and not is_first:
            return False
        wall_s = record.answered_wall_s
        if figure.counted_at is schema.CountedAt.ARRIVAL:
            wall_s = record.arrived_wall_s
        return self.start_wall_s <= wall_s < self.end_wall_s

    def _count(self, record: requestrecord.RequestRecord) -> None:
        measure = self.figure.measure
        answered = record.status is not requestrecord.Status.REFUSED
        if measure is schema.Measure.LATENCY_PERCENTILE:
            if answered:
                self.values.append(record.latency_ms)
        elif measure is schema.Measure.COVERAGE_PERCENTILE:
            if answered:
                self.values.append(record.coverage_ratio)
        else:
            self.total += _is_counted(measure, record)

    def value(self) -> report.FigureValue:
        """Return the figure over all records that were added."""
        figure = self.figure
        if figure.percentile is None:
            return self._rounded(self.total)
        if not self.values:
            return report.FigureValue(None, None, 0.0)
        ordered = sorted(self.values)
        ranks = figures.percentile_ranks(
            figure.percentile, len(ordered), figure.percentile_method
        )
        return self._rounded(ranks.value(lambda rank: ordered[rank - 1]))

    def _rounded(self, value: float | int) -> report.FigureValue:
        rounded = figures.round_value(
            value, self.figure.digits, self.figure.rounding
        )
        return report.FigureValue(value, rounded, 0.0)


def _is_counted(
    measure: schema.Measure, record: requestrecord.RequestRecord
) -> bool:
    status = record.status
    answered = status is not requestrecord.Status.REFUSED
    urgent = record.request_class == schema.RequestClass.URGENT
    archive = record.request_class == schema.RequestClass.ARCHIVE
    return {
        schema.Measure.COUNT: True,
        schema.Measure.COMPLETE: status is requestrecord.Status.COMPLETE,
        schema.Measure.PARTIAL: status is requestrecord.Status.PARTIAL,
        schema.Measure.REFUSED: not answered,
        schema.Measure.URGENT_WITHIN_DEADLINE: (
            answered and urgent and record.deadline_met
        ),
        schema.Measure.ARCHIVE_SERVED: answered and archive,
    }[measure]


def find_month_start(month: figures.Month, time_zone: str) -> float:
    """Return the first second of a month in a time zone.

    Searches backwards from a time inside the month, hour by hour and then
    second by second, without the slices of ``figures``.
    """
    zone = zoneinfo.ZoneInfo(time_zone)
    first = datetime.datetime(month.year, month.month, 1, tzinfo=datetime.UTC)
    wall_s = int(first.timestamp()) + 86_400
    while _in_month(wall_s - 3600, month, zone):
        wall_s -= 3600
    while _in_month(wall_s - 1, month, zone):
        wall_s -= 1
    return float(wall_s)


def _in_month(
    wall_s: int, month: figures.Month, zone: zoneinfo.ZoneInfo
) -> bool:
    local = datetime.datetime.fromtimestamp(wall_s, tz=zone)
    return (local.year, local.month) == (month.year, month.month)


def replay(
    records: abc.Iterable[requestrecord.RequestRecord],
    months: abc.Iterable[figures.Month],
    definitions: dict[str, schema.Figure],
    gaps: abc.Iterable[monthobjects.Gap] = (),
) -> dict[tuple[figures.Month, str], report.FigureValue]:
    """Compute figures by month and name.

    Records that fall into one of the gaps are left out.
    """
    replays = {
        (month, name): FigureReplay(
            figure,
            month,
            find_month_start(month, figure.time_zone),
            find_month_start(month.shift(1), figure.time_zone),
        )
        for month in months
        for name, figure in definitions.items()
    }
    index = GapIndex(gaps)
    seen_requests: set[str] = set()
    for record in records:
        if index.contains(record):
            continue
        identity = record.resend_of or record.request_id
        is_first = identity not in seen_requests
        seen_requests.add(identity)
        for figure_replay in replays.values():
            figure_replay.add(record, is_first)
    return {
        key: figure_replay.value() for key, figure_replay in replays.items()
    }
