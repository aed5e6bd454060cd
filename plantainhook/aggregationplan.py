"""Decide what an aggregation pass seals, lists, deletes and reports as gaps.

All functions except ``list_segments`` are pure. ``aggregation`` carries the
decisions out.
"""

import dataclasses
import typing
from collections import abc

import msgspec
import result

from plantainhook import (
    errors,
    figures,
    monthobjects,
    objectapi,
    segments,
    steps,
    tallystore,
)

# A folded segment reserves its key against a late repetition of the daemon's
# write, which arrives within seconds unless the daemon was paused.
KEEP_FOLDED_S: typing.Final = 2 * 86_400.0
# The last segment of a daemon that did not stop cleanly is kept longer: the
# daemon may only have lost its connection to the object API, and continue
# after this segment later.
KEEP_LAST_FOLDED_S: typing.Final = 35 * 86_400.0

READY_STATES: typing.Final = frozenset(
    {segments.SegmentState.CLOSED, segments.SegmentState.SEALED}
)


@dataclasses.dataclass(frozen=True, slots=True)
class DeadDaemon:
    """Identify a daemon incarnation that was declared dead.

    ``gone_wall_s`` is fixed when the daemon is declared dead. A later time for
    the same incarnation is a further declaration. Each pass receives the same
    declaration again until one has ended without failures, and may receive it
    for up to ``KEEP_FOLDED_S`` after that. ``started_wall_s`` is where the gap
    begins if the daemon has written nothing.
    """

    daemon: str
    incarnation: int
    started_wall_s: float
    gone_wall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoredSegment:
    """Pair a segment head with the version at which it was read."""

    head: segments.SegmentHead
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Contribution:
    """Describe what one segment adds to the month objects.

    ``rows`` are the tallies by UTC month of arrival. ``months`` are all months
    that the segment touches by its rows, its covered time or its gap.
    """

    segment: StoredSegment
    rows: dict[figures.Month, tallystore.Rows]
    months: frozenset[figures.Month]
    gap: monthobjects.Gap | None


SegmentsByKey = dict[str, StoredSegment]


async def list_segments(
    api: objectapi.ObjectApi,
) -> result.Result[SegmentsByKey, errors.PlantainhookError]:
    """Read the heads of all segments, by key."""
    listing = await api.list(segments.SEGMENT_PREFIX)
    if isinstance(listing, result.Err):
        return listing
    segments_by_key: SegmentsByKey = {}
    for stored in listing.ok_value.objects:
        head = tallystore.decode_object(stored, segments.SegmentHead)
        if isinstance(head, result.Err):
            return head
        segments_by_key[stored.key] = StoredSegment(
            head.ok_value, stored.version
        )
    return result.Ok(segments_by_key)


def dead_daemons(
    segments_by_key: SegmentsByKey,
    live: abc.Container[int],
    now_wall_s: float,
    silent_s: float,
) -> list[DeadDaemon]:
    """Return the incarnations that are not live and have stopped writing.

    ``live`` holds the incarnations that membership considers alive. This is
    for callers without a record of when a daemon was declared dead: the
    declaration is dated ``now_wall_s``. An incarnation that stopped cleanly or
    has been sealed is left out.
    """
    last: dict[str, segments.SegmentHead] = {}
    for key in sorted(segments_by_key):
        head = segments_by_key[key].head
        last[head.incarnation] = head
    return [
        DeadDaemon(
            head.daemon,
            int(head.incarnation, 16),
            head.covered_from_wall_s,
            now_wall_s,
        )
        for head in last.values()
        if not head.final
        and not head.gone_wall_s
        and now_wall_s - head.covered_to_wall_s >= silent_s
        and int(head.incarnation, 16) not in live
    ]


def last_segment(
    segments_by_key: SegmentsByKey, incarnation: str
) -> StoredSegment | None:
    """Return the segment of an incarnation with the highest generation."""
    candidates = [
        item
        for item in segments_by_key.values()
        if item.head.incarnation == incarnation
    ]
    return max(candidates, key=lambda item: item.head.generation, default=None)


def sealed_head(
    dead: DeadDaemon, last: StoredSegment | None
) -> segments.SegmentHead | None:
    """Return the sealed head that ends the segments of a dead daemon.

    Returns None if its segments have already ended. The head is that of a new,
    empty segment if the daemon died between two segments, before its first
    one, or after an earlier false declaration; its gap replaces an earlier
    one.
    """
    if last is None:
        return _empty_sealed(dead, 0, dead.started_wall_s)
    head = last.head
    if head.state is segments.SegmentState.OPEN:
        return msgspec.structs.replace(
            head,
            state=segments.SegmentState.SEALED,
            gone_wall_s=dead.gone_wall_s,
        )
    if head.final or head.gone_wall_s >= dead.gone_wall_s:
        return None
    return _empty_sealed(dead, head.generation + 1, head.covered_to_wall_s)


def _empty_sealed(
    dead: DeadDaemon, generation: int, covered_wall_s: float
) -> segments.SegmentHead:
    return segments.SegmentHead(
        daemon=dead.daemon,
        incarnation=segments.incarnation_name(dead.incarnation),
        generation=generation,
        state=segments.SegmentState.SEALED,
        covered_from_wall_s=covered_wall_s,
        covered_to_wall_s=covered_wall_s,
        record_count=0,
        write_id="",
        gone_wall_s=dead.gone_wall_s,
    )


def gap_of(
    head: segments.SegmentHead, segments_by_key: SegmentsByKey
) -> monthobjects.Gap | None:
    """Return the gap after a sealed segment, unless a later one covers it."""
    if head.state is not segments.SegmentState.SEALED:
        return None
    if (
        segments.segment_key(head.incarnation, head.generation + 1)
        in segments_by_key
    ):
        return None
    if head.gone_wall_s <= head.covered_to_wall_s:
        return None
    return monthobjects.Gap(
        head.daemon,
        head.incarnation,
        head.covered_to_wall_s,
        head.gone_wall_s,
        monthobjects.BASE_SECTION,
    )


def expired_segments(
    segments_by_key: SegmentsByKey,
    dead: abc.Sequence[DeadDaemon],
    now_wall_s: float,
) -> SegmentsByKey:
    """Return the folded segments that are no longer needed.

    Segments of daemons that are still being declared dead are kept, because
    they show that the daemon has left no gap.
    """
    declared = {
        segments.incarnation_name(daemon.incarnation) for daemon in dead
    }
    expired = {}
    for key, stored in segments_by_key.items():
        head = stored.head
        if head.state is not segments.SegmentState.FOLDED:
            continue
        if head.incarnation in declared:
            continue
        following = segments.segment_key(head.incarnation, head.generation + 1)
        is_done = head.final or following in segments_by_key
        keep_s = KEEP_FOLDED_S if is_done else KEEP_LAST_FOLDED_S
        if now_wall_s - head.folded_wall_s > keep_s:
            expired[key] = stored
    return expired


def merged_folded_versions(
    head: monthobjects.MonthHead,
    new: list[Contribution],
    segments_by_key: SegmentsByKey,
) -> dict[str, int]:
    """Return the versions of the segments that a month lists after an update.

    Segments that are deleted or marked as folded are dropped from the list.
    """
    listed = {
        key: version
        for key, version in head.folded.items()
        if key in segments_by_key
        and segments_by_key[key].head.state is not segments.SegmentState.FOLDED
    }
    for item in new:
        listed[item.segment.head.key()] = item.segment.version
    return listed


def merged_gaps(
    head: monthobjects.MonthHead,
    section: str,
    month: figures.Month,
    new: list[Contribution],
) -> list[monthobjects.Gap]:
    """Return the gaps of a month after further segments were added.

    A segment that begins where a gap of its incarnation begins shows that the
    daemon was alive, and removes the gap.
    """
    starts = {
        (item.segment.head.incarnation, item.segment.head.covered_from_wall_s)
        for item in new
        if item.segment.head.generation > 0
    }
    gaps = {
        gap
        for gap in head.gaps
        if (gap.incarnation, gap.from_wall_s) not in starts
    }
    for item in new:
        if item.gap is not None and item.gap.touches(month):
            gaps.add(msgspec.structs.replace(item.gap, found=section))
    return sorted(gaps)


def fenced_error(
    head: monthobjects.MonthHead, epoch: int
) -> errors.FencedError:
    """Return the error for a holder whose lease was taken over."""
    return errors.FencedError(
        steps.Step.FIGURES_FOLD,
        monthobjects.month_key(figures.parse_month(head.month)),
        f"epoch {epoch} is lower than the stored epoch {head.epoch}",
    )
