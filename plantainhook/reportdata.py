"""Read the tallies of a month from the object API.

A month in any time zone needs the UTC month itself and its two neighbours.
Segments that are not aggregated yet are included, so the figures of the
current month are as recent as the last write of each daemon.
"""

import dataclasses
import typing

import result

from plantainhook import (
    aggregationplan,
    errors,
    figures,
    monthobjects,
    objectapi,
    segments,
    steps,
    tallies,
    tallystore,
)

# Aggregation may move tallies during a read. It makes one pass per minute, so
# one of these attempts normally falls between two passes.
READ_ATTEMPTS_COUNT: typing.Final = 5
LIVE_SECTION: typing.Final = "live"

SectionRows = dict[str, tallystore.Rows]
LoadedRows = result.Result[SectionRows, errors.PlantainhookError]


@dataclasses.dataclass(slots=True)
class MonthData:
    """Represent the stored tallies and gaps of a month and its neighbours.

    ``sections`` holds the tallies by section of the month objects, see
    ``monthobjects``; the section ``live`` holds those of segments that are not
    aggregated yet. ``live_until_wall_s`` maps the key of each such segment to
    the time up to which it is counted. ``closed_wall_s`` is 0 while the month
    is open.
    """

    month: figures.Month
    sections: SectionRows = dataclasses.field(default_factory=dict)
    gaps: list[monthobjects.Gap] = dataclasses.field(default_factory=list)
    closed_wall_s: float = 0.0
    live_until_wall_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def correction_days(self) -> list[str]:
        """Return the days of the corrections in order."""
        fixed = (monthobjects.BASE_SECTION, LIVE_SECTION)
        return sorted(name for name in self.sections if name not in fixed)

    def rows(self, sections: list[str]) -> tallystore.Rows:
        """Return the tallies of the named sections."""
        return [
            row for name in sections for row in self.sections.get(name, [])
        ]

    def uncorrected_rows(self) -> tallystore.Rows:
        """Return all tallies except corrections."""
        return self.rows([monthobjects.BASE_SECTION, LIVE_SECTION])


async def read_month(
    api: objectapi.ObjectApi, month: figures.Month
) -> result.Result[MonthData, errors.PlantainhookError]:
    """Read a month.

    The read is repeated if the aggregation moves tallies in the meantime.
    Returns ObjectConflictError or ObjectNotFoundError if that happens in every
    attempt.
    """
    outcome: result.Result[MonthData, errors.PlantainhookError]
    for _ in range(READ_ATTEMPTS_COUNT):
        outcome = await _read_once(api, month)
        if isinstance(outcome, result.Ok):
            return outcome
        retried = (errors.ObjectNotFoundError, errors.ObjectConflictError)
        if not isinstance(outcome.err_value, retried):
            return outcome
    return outcome


async def _read_once(
    api: objectapi.ObjectApi, month: figures.Month
) -> result.Result[MonthData, errors.PlantainhookError]:
    before = await aggregationplan.list_segments(api)
    if isinstance(before, result.Err):
        return before
    data = MonthData(month)
    folded: set[str] = set()
    for neighbour in (month.shift(-1), month, month.shift(1)):
        outcome = await _add_month_object(api, neighbour, data, folded)
        if isinstance(outcome, result.Err):
            return outcome
    added = await _add_unaggregated_segments(
        api, before.ok_value, folded, data
    )
    if isinstance(added, result.Err):
        return added
    after = await aggregationplan.list_segments(api)
    if isinstance(after, result.Err):
        return after
    if _folded_keys(after.ok_value) != _folded_keys(before.ok_value):
        return result.Err(
            errors.ObjectConflictError(
                steps.Step.FIGURES_FOLD,
                segments.SEGMENT_PREFIX,
                "segments were aggregated while the month was read",
                objectapi.ABSENT_VERSION,
            )
        )
    return result.Ok(data)


def _folded_keys(segments_by_key: aggregationplan.SegmentsByKey) -> set[str]:
    return {
        key
        for key, stored in segments_by_key.items()
        if stored.head.state is segments.SegmentState.FOLDED
    }


async def _add_month_object(
    api: objectapi.ObjectApi,
    month: figures.Month,
    data: MonthData,
    folded: set[str],
) -> result.Result[None, errors.PlantainhookError]:
    read = await api.get(monthobjects.month_key(month))
    if isinstance(read, result.Err):
        if isinstance(read.err_value, errors.ObjectNotFoundError):
            return result.Ok(None)
        return read
    converted = tallystore.decode_object(read.ok_value, monthobjects.MonthHead)
    if isinstance(converted, result.Err):
        return converted
    head = converted.ok_value
    folded.update(head.folded)
    if month == data.month:
        data.closed_wall_s = head.closed_wall_s
    data.gaps.extend(head.gaps)
    for name, group in head.groups.items():
        loaded = await tallystore.load_group(api, group)
        if isinstance(loaded, result.Err):
            return loaded
        section = monthobjects.section_of(name)
        data.sections.setdefault(section, []).extend(loaded.ok_value)
    return result.Ok(None)


async def _add_unaggregated_segments(
    api: objectapi.ObjectApi,
    segments_by_key: aggregationplan.SegmentsByKey,
    folded: set[str],
    data: MonthData,
) -> result.Result[None, errors.PlantainhookError]:
    rows: tallystore.Rows = []
    segment_starts: set[tuple[str, float]] = set()
    for key, stored in segments_by_key.items():
        head = stored.head
        if head.covered_to_wall_s > head.covered_from_wall_s:
            segment_starts.add((head.incarnation, head.covered_from_wall_s))
        if key in folded or head.state is segments.SegmentState.FOLDED:
            continue
        for group in head.groups.values():
            loaded = await tallystore.load_group(api, group)
            if isinstance(loaded, result.Err):
                return loaded
            rows.extend(loaded.ok_value)
        data.live_until_wall_s[key] = head.covered_to_wall_s
        gap = aggregationplan.gap_of(head, segments_by_key)
        if gap is not None:
            data.gaps.append(gap)
    data.gaps = _unresolved_gaps(data.gaps, segment_starts)
    data.sections[LIVE_SECTION] = [
        row for row in rows if _is_in_or_next_to_month(row, data.month)
    ]
    return result.Ok(None)


def _is_in_or_next_to_month(
    row: tallies.TallyRow, month: figures.Month
) -> bool:
    row_month = figures.month_of_quarter_hour(row.arrival_slice)
    return month.shift(-1) <= row_month <= month.shift(1)


def _unresolved_gaps(
    gaps: list[monthobjects.Gap], segment_starts: set[tuple[str, float]]
) -> list[monthobjects.Gap]:
    """Return each gap once, except those that a later segment covers."""
    by_start = {
        (gap.incarnation, gap.from_wall_s): gap
        for gap in sorted(gaps, reverse=True)
        if (gap.incarnation, gap.from_wall_s) not in segment_starts
    }
    return sorted(by_start.values())
