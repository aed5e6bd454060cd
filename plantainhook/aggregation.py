"""Aggregate the segments of daemons into month objects.

Only the holder of a lease aggregates. One pass lists the segments, seals
those of daemons that were declared dead, adds closed and sealed segments to
the month objects and then marks them as folded. It also closes months that
have ended and deletes expired segments. Every step can be repeated:

- Sealing is a conditional update, after which the daemon cannot write to the
  segment.
- A month object lists the segments that it contains until they are marked,
  so a repeated pass does not add a segment twice.
- A month object stores the highest lease epoch that wrote it. A holder that
  was paused in the middle of a pass therefore cannot add a segment that its
  successor has already added, marked and removed from the list.

The time that a sealed segment does not cover is a gap, unless the daemon
turns out to be alive and continues in a further segment.

``aggregationplan`` makes the decisions of a pass, this module makes its
calls of the object API, and ``aggregationcontroller`` acquires the lease.
"""

import dataclasses
import secrets
import typing
from collections import abc

import msgspec
import result
import trio

from plantainhook import (
    aggregationplan,
    errors,
    figures,
    logs,
    monthobjects,
    objectapi,
    segments,
    tallies,
    tallystore,
)

LOGGER: typing.Final = logs.part_logger("folding")

# Bounds the memory of a pass and the list of segments in a month object: at
# about 70 bytes each, it stays well below the size limit of an object.
SEGMENTS_PER_PASS_COUNT: typing.Final = 500


class FencedWriter(typing.Protocol):
    """Write month objects while holding a lease."""

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease that this writer holds."""

    async def fenced_put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.PlantainhookError]:
        """Write like ``ObjectApi.put``, or return FencedError without a lease.

        The caller sets ``value["epoch"]`` to the epoch of the lease.
        """


@dataclasses.dataclass(slots=True)
class AggregationSummary:
    """Report the results of one pass.

    The next pass retries what ended in ``failures``.
    """

    sealed_count: int = 0
    aggregated_count: int = 0
    closed_months: list[str] = dataclasses.field(default_factory=list)
    failures: list[errors.PlantainhookError] = dataclasses.field(
        default_factory=list
    )


Outcome = result.Result[None, errors.PlantainhookError]


class Aggregator:
    """Run aggregation passes while a lease is held."""

    _api: objectapi.ObjectApi
    _writer: FencedWriter
    _checkpoint: tallies.Checkpoint

    def __init__(
        self,
        api: objectapi.ObjectApi,
        writer: FencedWriter,
        checkpoint: tallies.Checkpoint = trio.lowlevel.checkpoint,
    ) -> None:
        self._api = api
        self._writer = writer
        self._checkpoint = checkpoint

    async def run_pass(
        self, now_wall_s: float, dead: abc.Sequence[aggregationplan.DeadDaemon]
    ) -> result.Result[AggregationSummary, errors.PlantainhookError]:
        """Run one pass.

        An Err, or a failure in the summary, leaves work for the next pass.
        """
        listing = await aggregationplan.list_segments(self._api)
        if isinstance(listing, result.Err):
            return listing
        aggregation_pass = AggregationPass(
            self._api,
            self._writer,
            self._checkpoint,
            now_wall_s,
            listing.ok_value,
        )
        await aggregation_pass.run(dead)
        return result.Ok(aggregation_pass.summary)


class AggregationPass:
    """Run one pass under the epoch that was held at its start."""

    summary: AggregationSummary
    _api: objectapi.ObjectApi
    _writer: FencedWriter
    _checkpoint: tallies.Checkpoint
    _epoch: int
    _now_wall_s: float
    _segments_by_key: aggregationplan.SegmentsByKey

    def __init__(
        self,
        api: objectapi.ObjectApi,
        writer: FencedWriter,
        checkpoint: tallies.Checkpoint,
        now_wall_s: float,
        segments_by_key: aggregationplan.SegmentsByKey,
    ) -> None:
        self.summary = AggregationSummary()
        self._api = api
        self._writer = writer
        self._checkpoint = checkpoint
        self._epoch = writer.epoch
        self._now_wall_s = now_wall_s
        self._segments_by_key = segments_by_key

    async def run(
        self, dead: abc.Sequence[aggregationplan.DeadDaemon]
    ) -> None:
        """Run all steps of the pass and record the results in the summary."""
        for daemon in dead:
            await self._seal(daemon)
        ready = await self._load_contributions()
        await self._aggregate_months(ready)
        await self._close_months()
        await self._delete_expired(dead)

    async def _seal(self, dead: aggregationplan.DeadDaemon) -> None:
        last = aggregationplan.last_segment(
            self._segments_by_key, segments.incarnation_name(dead.incarnation)
        )
        sealed = aggregationplan.sealed_head(dead, last)
        if sealed is None:
            return
        version = objectapi.ABSENT_VERSION
        if last is not None and last.head.key() == sealed.key():
            version = last.version
        write_id = secrets.token_hex(16)
        outcome = await tallystore.put_and_confirm(
            self._api.put,
            self._api,
            sealed.key(),
            msgspec.to_builtins(sealed),
            version,
            write_id,
        )
        if isinstance(outcome, result.Err):
            self.summary.failures.append(outcome.err_value)
            return
        LOGGER.info(
            "Sealed segment {} of daemon {}.", sealed.key(), sealed.daemon
        )
        self.summary.sealed_count += 1
        self._segments_by_key[sealed.key()] = aggregationplan.StoredSegment(
            sealed, outcome.ok_value.version
        )

    async def _load_contributions(self) -> list[aggregationplan.Contribution]:
        ready = []
        waiting = [
            stored
            for _, stored in sorted(self._segments_by_key.items())
            if stored.head.state in aggregationplan.READY_STATES
        ]
        for stored in waiting[:SEGMENTS_PER_PASS_COUNT]:
            loaded = await self._load_contribution(stored)
            if isinstance(loaded, result.Err):
                self.summary.failures.append(loaded.err_value)
                continue
            ready.append(loaded.ok_value)
        return ready

    async def _load_contribution(
        self, stored: aggregationplan.StoredSegment
    ) -> result.Result[aggregationplan.Contribution, errors.PlantainhookError]:
        head = stored.head
        rows: tallystore.Rows = []
        for group in head.groups.values():
            loaded = await tallystore.load_group(self._api, group)
            if isinstance(loaded, result.Err):
                return loaded
            rows.extend(loaded.ok_value)
        by_month = monthobjects.rows_by_month(rows)
        to_wall_s = max(head.covered_to_wall_s, head.gone_wall_s)
        covered = figures.months_between(head.covered_from_wall_s, to_wall_s)
        months = frozenset(by_month) | frozenset(covered)
        gap = aggregationplan.gap_of(head, self._segments_by_key)
        return result.Ok(
            aggregationplan.Contribution(stored, by_month, months, gap)
        )

    async def _aggregate_months(
        self,
        ready: list[aggregationplan.Contribution],
    ) -> None:
        failed: set[figures.Month] = set()
        for month in sorted({m for item in ready for m in item.months}):
            added = [item for item in ready if month in item.months]
            outcome = await self._aggregate_month(month, added)
            if isinstance(outcome, result.Err):
                self.summary.failures.append(outcome.err_value)
                failed.add(month)
        for item in ready:
            if not item.months & failed:
                await self._mark_folded(item.segment)

    async def _aggregate_month(
        self,
        month: figures.Month,
        added: list[aggregationplan.Contribution],
    ) -> Outcome:
        read = await self._read_month(month)
        if isinstance(read, result.Err):
            return read
        head, version = read.ok_value
        new = [
            item
            for item in added
            if item.segment.head.key() not in head.folded
        ]
        if not new:
            return result.Ok(None)
        section = head.section(self._now_wall_s)
        groups = await self._merged_groups(head, section, month, new)
        if isinstance(groups, result.Err):
            return groups
        changed = msgspec.structs.replace(
            head,
            epoch=self._epoch,
            folded=aggregationplan.merged_folded_versions(
                head, new, self._segments_by_key
            ),
            folded_count=head.folded_count + len(new),
            gaps=aggregationplan.merged_gaps(head, section, month, new),
            groups=groups.ok_value,
        )
        return await self._write_month(month, head, changed, version)

    async def _read_month(
        self, month: figures.Month
    ) -> result.Result[
        tuple[monthobjects.MonthHead, int], errors.PlantainhookError
    ]:
        read = await self._api.get(monthobjects.month_key(month))
        if isinstance(read, result.Err):
            if isinstance(read.err_value, errors.ObjectNotFoundError):
                empty = monthobjects.MonthHead(str(month), self._epoch)
                return result.Ok((empty, objectapi.ABSENT_VERSION))
            return read
        head = tallystore.decode_object(read.ok_value, monthobjects.MonthHead)
        if isinstance(head, result.Err):
            return head
        if self._is_fenced(head.ok_value):
            return result.Err(
                aggregationplan.fenced_error(head.ok_value, self._epoch)
            )
        return result.Ok((head.ok_value, read.ok_value.version))

    def _is_fenced(self, head: monthobjects.MonthHead) -> bool:
        lost = self._writer.epoch != self._epoch
        return lost or head.epoch > self._epoch

    async def _merged_groups(
        self,
        head: monthobjects.MonthHead,
        section: str,
        month: figures.Month,
        new: list[aggregationplan.Contribution],
    ) -> result.Result[dict[str, tallystore.Group], errors.PlantainhookError]:
        groups = dict(head.groups)
        rows = [row for item in new for row in item.rows.get(month, [])]
        for day, added in tallystore.rows_by_day(rows).items():
            name = monthobjects.group_name(section, day)
            loaded = await tallystore.load_group(
                self._api, groups.get(name, tallystore.Group())
            )
            if isinstance(loaded, result.Err):
                return loaded
            merged = await tallies.sum_rows(
                [*loaded.ok_value, *added], self._checkpoint
            )
            groups[name] = tallystore.Group(rows=merged)
        return result.Ok(groups)

    async def _write_month(
        self,
        month: figures.Month,
        old: monthobjects.MonthHead,
        head: monthobjects.MonthHead,
        version: int,
    ) -> Outcome:
        key = monthobjects.month_key(month)
        write_id = secrets.token_hex(16)
        stored = await tallystore.store_groups(
            self._api,
            tallystore.GroupWrite(str(month), write_id),
            head.groups,
        )
        if isinstance(stored, result.Err):
            return stored
        head = msgspec.structs.replace(head, groups=stored.ok_value)
        outcome = await tallystore.put_and_confirm(
            self._writer.fenced_put,
            self._api,
            key,
            msgspec.to_builtins(head),
            version,
            write_id,
        )
        if isinstance(outcome, result.Err):
            return outcome
        await tallystore.delete_unused_parts(
            self._api, old.groups, head.groups, write_id
        )
        return result.Ok(None)

    async def _mark_folded(
        self, stored: aggregationplan.StoredSegment
    ) -> None:
        marked = msgspec.structs.replace(
            stored.head,
            state=segments.SegmentState.FOLDED,
            folded_wall_s=self._now_wall_s,
            groups={},
        )
        key = stored.head.key()
        write_id = secrets.token_hex(16)
        outcome = await tallystore.put_and_confirm(
            self._api.put,
            self._api,
            key,
            msgspec.to_builtins(marked),
            stored.version,
            write_id,
        )
        if isinstance(outcome, result.Err):
            self.summary.failures.append(outcome.err_value)
            return
        self.summary.aggregated_count += 1
        LOGGER.info("Aggregated segment {}.", key)
        await tallystore.delete_unused_parts(
            self._api, stored.head.groups, {}, write_id
        )

    async def _delete_expired(
        self, dead: abc.Sequence[aggregationplan.DeadDaemon]
    ) -> None:
        """Delete expired segments; the next pass retries failures."""
        expired = aggregationplan.expired_segments(
            self._segments_by_key, dead, self._now_wall_s
        )
        for key, stored in expired.items():
            await self._api.delete(key, stored.version, secrets.token_hex(16))

    async def _close_months(self) -> None:
        listing = await self._api.list(monthobjects.MONTH_PREFIX)
        if isinstance(listing, result.Err):
            self.summary.failures.append(listing.err_value)
            return
        for stored in listing.ok_value.objects:
            head = tallystore.decode_object(stored, monthobjects.MonthHead)
            if isinstance(head, result.Err):
                self.summary.failures.append(head.err_value)
            elif monthobjects.is_due_to_close(head.ok_value, self._now_wall_s):
                await self._close_month(head.ok_value, stored.version)

    async def _close_month(
        self,
        head: monthobjects.MonthHead,
        version: int,
    ) -> None:
        if self._is_fenced(head):
            self.summary.failures.append(
                aggregationplan.fenced_error(head, self._epoch)
            )
            return
        closed = msgspec.structs.replace(
            head, epoch=self._epoch, closed_wall_s=self._now_wall_s
        )
        month = figures.parse_month(head.month)
        outcome = await self._write_month(month, head, closed, version)
        if isinstance(outcome, result.Err):
            self.summary.failures.append(outcome.err_value)
            return
        self.summary.closed_months.append(head.month)
        LOGGER.info("Closed month {}.", head.month)
