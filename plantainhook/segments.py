"""Store the request counters of one daemon incarnation in segments.

A segment is an object in the object API that holds cumulative counters and
histograms. Only the daemon incarnation that owns it adds records to it.
``SegmentWriter`` counts request records in memory and writes the totals to
the current segment at intervals. The segments of an incarnation are numbered
by generation: the first write of each UTC day starts a new one, which bounds
memory and allows ``aggregation`` to process the previous one.

A record is in exactly one of three places: the pending counters (recorded
since the last flush), the write in progress, or the stored segment. A write
with an unknown outcome is repeated unchanged until its outcome is known, so
a lost reply neither loses a record nor counts it twice.

``aggregation`` seals the segment of a daemon that was declared dead. If the
daemon is still alive, its writer finds the segment sealed and continues in
the next generation with the records that the sealed segment lacks.

In stored objects and settings, "folded" means "aggregated into the month
objects".
"""

import dataclasses
import enum
import secrets
import typing

import msgspec
import result
import trio

from plantainhook import (
    errors,
    figures,
    logs,
    objectapi,
    requestrecord,
    steps,
    tallies,
    tallystore,
)

SEGMENT_PREFIX: typing.Final = "figures/segment/"
LOGGER: typing.Final = logs.part_logger("segments")

Outcome = result.Result[None, errors.PlantainhookError]


class SegmentState(enum.StrEnum):
    """State who may still update a segment.

    An open segment is updated by its daemon. A closed segment was completed
    by its daemon and a sealed one by the aggregation; neither receives
    further records. A folded segment has been aggregated into the month
    objects. It holds no tallies and stays only to reserve its key.
    """

    OPEN = "open"
    CLOSED = "closed"
    SEALED = "sealed"
    FOLDED = "folded"


class SegmentHead(msgspec.Struct, frozen=True):
    """Represent a segment without the tallies that are stored in parts.

    The segment covers every request answered after ``covered_from_wall_s``
    and up to ``covered_to_wall_s``. ``write_id`` is the request id of the
    daemon's last write to it. Sealing keeps this id, so that the daemon can
    tell whether that write was stored. ``final`` marks the last segment of a
    daemon that shut down cleanly. ``gone_wall_s`` is the time at which the
    daemon was declared dead; it is set on sealing. ``folded_wall_s`` is set
    when the segment has been aggregated. ``groups`` holds the tallies by UTC
    day of arrival.
    """

    daemon: str
    incarnation: str
    generation: int
    state: SegmentState
    covered_from_wall_s: float
    covered_to_wall_s: float
    record_count: int
    write_id: str
    final: bool = False
    gone_wall_s: float = 0.0
    folded_wall_s: float = 0.0
    groups: dict[str, tallystore.Group] = {}

    def key(self) -> str:
        """Return the key of the segment in the object API."""
        return segment_key(self.incarnation, self.generation)


def incarnation_name(incarnation: int) -> str:
    """Return an incarnation as 16 hexadecimal digits."""
    return f"{incarnation:016x}"


def segment_key(incarnation: str, generation: int) -> str:
    """Return the key of a segment; the keys sort by generation."""
    return f"{SEGMENT_PREFIX}{incarnation}-{generation:06d}"


@dataclasses.dataclass(frozen=True, slots=True)
class RecordBatch:
    """Represent the records that a flush took out of the pending counters."""

    tally_map: tallies.TallyMap
    count: int
    covered_to_wall_s: float
    closing: bool
    final: bool


@dataclasses.dataclass(slots=True)
class InFlightWrite:
    """Track a write whose outcome is not known yet.

    ``rows`` are the tallies that this write adds to the stored segment.
    ``may_have_run`` is set after an attempt with an unknown outcome.
    """

    head: SegmentHead
    rows: tallystore.Rows
    may_have_run: bool = False


class SegmentWriter:
    """Count the records of a daemon incarnation and write its segments.

    ``closed`` is set once the final segment is stored.
    """

    daemon: str
    incarnation: str
    closed: bool
    _api: objectapi.ObjectApi
    _generation: int
    _version: int
    _stored: dict[str, tallystore.Group]
    _stored_rows: dict[str, tallystore.Rows]
    _stored_count: int
    _pending: tallies.TallyMap
    _pending_count: int
    _covered_from_wall_s: float
    _covered_to_wall_s: float
    _last_answer_wall_s: float
    _batch: RecordBatch | None
    _in_flight: InFlightWrite | None
    _checkpoint: tallies.Checkpoint

    def __init__(
        self,
        api: objectapi.ObjectApi,
        daemon: str,
        incarnation: int,
        started_wall_s: float,
        checkpoint: tallies.Checkpoint = trio.lowlevel.checkpoint,
    ) -> None:
        self.daemon = daemon
        self.incarnation = incarnation_name(incarnation)
        self.closed = False
        self._api = api
        self._generation = 0
        self._pending = tallies.TallyMap()
        self._pending_count = 0
        self._last_answer_wall_s = started_wall_s
        self._batch = None
        self._in_flight = None
        self._checkpoint = checkpoint
        self._start_generation(started_wall_s)

    def _start_generation(self, from_wall_s: float) -> None:
        self._version = objectapi.ABSENT_VERSION
        self._stored = {}
        self._stored_rows = {}
        self._stored_count = 0
        self._covered_from_wall_s = from_wall_s
        self._covered_to_wall_s = from_wall_s

    def record(self, record: requestrecord.RequestRecord) -> None:
        """Count one answered request."""
        self._pending.record(record)
        self._pending_count += 1
        self._last_answer_wall_s = max(
            self._last_answer_wall_s, record.answered_wall_s
        )

    async def flush(self, now_wall_s: float) -> Outcome:
        """Write the records that are not stored yet.

        Call it at a regular interval, one call at a time. The first call of
        a UTC day closes the current segment; later records go to a new one.
        After an Err all records stay in memory for the next call.
        """
        today = figures.day_of(now_wall_s)
        ends_day = figures.day_of(self._covered_from_wall_s) != today
        return await self._write(now_wall_s, ends_day, final=False)

    async def close(self, now_wall_s: float) -> Outcome:
        """Write all records and close the final segment.

        Call it again after an Err. ``closed`` is set when it has succeeded.
        """
        while not self.closed:
            outcome = await self._write(now_wall_s, closing=True, final=True)
            if isinstance(outcome, result.Err):
                return outcome
        return result.Ok(None)

    async def _write(
        self, now_wall_s: float, closing: bool, final: bool
    ) -> Outcome:
        if self._in_flight is None:
            if self._batch is None:
                self._batch = self._drain_pending(now_wall_s, closing, final)
            self._in_flight = await self._prepare(self._batch)
            self._batch = None
        return await self._attempt(self._in_flight)

    def _drain_pending(
        self, now_wall_s: float, closing: bool, final: bool
    ) -> RecordBatch:
        batch = RecordBatch(
            tally_map=self._pending,
            count=self._pending_count,
            covered_to_wall_s=max(
                now_wall_s, self._last_answer_wall_s, self._covered_to_wall_s
            ),
            closing=closing,
            final=final,
        )
        self._pending = tallies.TallyMap()
        self._pending_count = 0
        return batch

    async def _prepare(self, batch: RecordBatch) -> InFlightWrite:
        """Encode the write.

        This changes no state, so a cancelled call can be repeated.
        """
        rows = await tallies.encode_rows(batch.tally_map, self._checkpoint)
        head = SegmentHead(
            daemon=self.daemon,
            incarnation=self.incarnation,
            generation=self._generation,
            state=SegmentState.CLOSED if batch.closing else SegmentState.OPEN,
            covered_from_wall_s=self._covered_from_wall_s,
            covered_to_wall_s=batch.covered_to_wall_s,
            record_count=self._stored_count + batch.count,
            write_id=secrets.token_hex(16),
            final=batch.final,
            groups=await self._merged_groups(rows),
        )
        return InFlightWrite(head, rows)

    async def _merged_groups(
        self, rows: tallystore.Rows
    ) -> dict[str, tallystore.Group]:
        groups = dict(self._stored)
        for day, added in tallystore.rows_by_day(rows).items():
            merged = await tallies.sum_rows(
                [*self._stored_rows.get(day, []), *added], self._checkpoint
            )
            groups[day] = tallystore.Group(rows=merged)
        return groups

    async def _attempt(self, write: InFlightWrite) -> Outcome:
        head = write.head
        group_write = tallystore.GroupWrite(self.incarnation, head.write_id)
        groups = await tallystore.store_groups(
            self._api, group_write, head.groups
        )
        if isinstance(groups, result.Err):
            return self._on_failure(write, groups.err_value)
        stored_head = msgspec.structs.replace(head, groups=groups.ok_value)
        outcome = await tallystore.put_and_confirm(
            self._api.put,
            self._api,
            head.key(),
            msgspec.to_builtins(stored_head),
            self._version,
            head.write_id,
        )
        if isinstance(outcome, result.Ok):
            await self._on_written(
                write, stored_head, outcome.ok_value.version
            )
            return result.Ok(None)
        if isinstance(outcome.err_value, errors.ObjectConflictError):
            return await self._on_conflict(write, outcome.err_value)
        return self._on_failure(write, outcome.err_value)

    async def _on_written(
        self, write: InFlightWrite, head: SegmentHead, version: int
    ) -> None:
        replaced = self._stored
        self._in_flight = None
        self._version = version
        self._stored = head.groups
        for day, group in write.head.groups.items():
            if group.rows:
                self._stored_rows[day] = group.rows
        self._stored_count = head.record_count
        self._covered_to_wall_s = head.covered_to_wall_s
        if head.state is SegmentState.CLOSED:
            self.closed = head.final
            self._generation += 1
            self._start_generation(head.covered_to_wall_s)
        await tallystore.delete_unused_parts(
            self._api, replaced, head.groups, head.write_id
        )

    def _on_failure(
        self, write: InFlightWrite, error: errors.PlantainhookError
    ) -> Outcome:
        if isinstance(error, errors.ObjectOutcomeUnknownError):
            write.may_have_run = True
        elif not write.may_have_run:
            self._restore_pending(write)
        LOGGER.info(
            "Segment {} could not be written: {}", write.head.key(), error
        )
        return result.Err(error)

    def _restore_pending(self, write: InFlightWrite) -> None:
        self._in_flight = None
        self._pending.merge(write.rows)
        self._pending_count += write.head.record_count - self._stored_count

    async def _on_conflict(
        self, write: InFlightWrite, error: errors.ObjectConflictError
    ) -> Outcome:
        read = await self._api.get(write.head.key())
        if isinstance(read, result.Err):
            if self._is_deleted(read.err_value):
                return await self._continue_after_deletion(write)
            write.may_have_run = True
            return read
        converted = tallystore.decode_object(read.ok_value, SegmentHead)
        if isinstance(converted, result.Err):
            return converted
        head = converted.ok_value
        if head.state in (SegmentState.OPEN, SegmentState.CLOSED):
            return result.Err(_foreign_write_error(head, error))
        self._continue_after_sealing(write, head)
        return result.Ok(None)

    def _is_deleted(self, error: errors.PlantainhookError) -> bool:
        """Return whether the segment was stored before and is deleted now.

        Only folded segments are deleted, and only closed or sealed segments
        become folded.
        """
        existed = self._version != objectapi.ABSENT_VERSION
        return existed and isinstance(error, errors.ObjectNotFoundError)

    async def _continue_after_deletion(self, write: InFlightWrite) -> Outcome:
        """Continue after a segment that was sealed, folded and deleted.

        The start of the incarnation's next segment is the end of the deleted
        one and so shows whether the deleted segment included the current
        write. If the next segment does not exist either, a write that may
        have been executed counts as stored. If it was lost, its records are
        part of the gap that the aggregation reported.
        """
        next_key = segment_key(self.incarnation, self._generation + 1)
        read = await self._api.get(next_key)
        if isinstance(read, result.Ok):
            converted = tallystore.decode_object(read.ok_value, SegmentHead)
            if isinstance(converted, result.Err):
                return converted
            covered_wall_s = converted.ok_value.covered_from_wall_s
            was_stored = covered_wall_s >= write.head.covered_to_wall_s
        elif isinstance(read.err_value, errors.ObjectNotFoundError):
            covered_wall_s = write.head.covered_to_wall_s
            was_stored = write.may_have_run
        else:
            write.may_have_run = True
            return read
        LOGGER.info(
            "Segment {} was aggregated and deleted; its last write {}.",
            write.head.key(),
            "was included" if was_stored else "will be repeated",
        )
        if was_stored:
            self.closed = write.head.final
        else:
            self._restore_pending(write)
        self._in_flight = None
        self._generation += 1
        self._start_generation(covered_wall_s)
        return result.Ok(None)

    def _continue_after_sealing(
        self, write: InFlightWrite, sealed: SegmentHead
    ) -> None:
        LOGGER.info(
            "Segment {} was sealed; continuing in the next generation.",
            sealed.key(),
        )
        if sealed.write_id != write.head.write_id:
            self._restore_pending(write)
        else:
            self.closed = write.head.final
        self._in_flight = None
        self._generation += 1
        self._start_generation(sealed.covered_to_wall_s)


def _foreign_write_error(
    head: SegmentHead, error: errors.ObjectConflictError
) -> errors.PlantainhookError:
    return errors.ObjectConflictError(
        steps.Step.FIGURES_WRITE,
        head.key(),
        "another writer updated the open segment",
        error.current_version,
    )
