"""Segments: the cumulative counters of one daemon incarnation.

``SegmentWriter`` counts request records in memory and writes them to the
incarnation's own segment object. An incarnation has a row of segments,
numbered by generation: each UTC day begins a new one, which bounds memory
and lets the old one be folded.

A record is in exactly one of three places: ``pending`` (counted since the
last flush), the write under way, or the stored segment. A write whose
outcome is unknown is repeated unchanged until it is resolved, so a lost reply
neither loses nor repeats a record.

``aggregation`` seals the segment of a daemon that seems gone. A writer that
finds its segment sealed continues in the next generation with whatever the
sealed one lacks.
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
    """State who may still change a segment.

    Its daemon writes an open segment. A closed one was ended by its daemon
    and a sealed one by the folding; neither changes any more. A folded one
    has no tallies left and only keeps its key taken.
    """

    OPEN = "open"
    CLOSED = "closed"
    SEALED = "sealed"
    FOLDED = "folded"


class SegmentHead(msgspec.Struct, frozen=True):
    """Hold the head of a segment.

    Every record answered after ``covered_from_wall_s`` and up to
    ``covered_to_wall_s`` is counted. ``final`` marks the last segment of a
    daemon that stopped in order. ``gone_wall_s`` is set when it is sealed,
    ``folded_wall_s`` when it is folded.
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
        """Return the key of the segment."""
        return segment_key(self.incarnation, self.generation)


def incarnation_name(incarnation: int) -> str:
    """Return an incarnation as 16 hexadecimal digits."""
    return f"{incarnation:016x}"


def segment_key(incarnation: str, generation: int) -> str:
    """Return the key of a segment; keys sort by generation."""
    return f"{SEGMENT_PREFIX}{incarnation}-{generation:06d}"


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """Hold what the next write adds, from the moment of the flush on."""

    counted: tallies.TallyMap
    count: int
    covered_to_wall_s: float
    closing: bool
    final: bool


@dataclasses.dataclass(slots=True)
class Flight:
    """Hold a write that is not confirmed yet.

    ``rows`` are the tallies that the stored segment lacks. ``may_have_run``
    is set once an attempt ended without a certain outcome.
    """

    head: SegmentHead
    rows: tallystore.Rows
    may_have_run: bool = False


class SegmentWriter:
    """Count the records of an incarnation and write its segments."""

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
    _taken: Taken | None
    _flight: Flight | None
    _pause: tallies.Checkpoint

    def __init__(
        self,
        api: objectapi.ObjectApi,
        daemon: str,
        incarnation: int,
        started_wall_s: float,
        pause: tallies.Checkpoint = trio.lowlevel.checkpoint,
    ) -> None:
        self.daemon = daemon
        self.incarnation = incarnation_name(incarnation)
        self.closed = False
        self._api = api
        self._generation = 0
        self._pending = tallies.TallyMap()
        self._pending_count = 0
        self._last_answer_wall_s = started_wall_s
        self._taken = None
        self._flight = None
        self._pause = pause
        self._begin_generation(started_wall_s)

    def _begin_generation(self, from_wall_s: float) -> None:
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
        """Write what is not stored yet; call it at every interval.

        Begins a new segment with the first call of a UTC day. An Err leaves
        all records in memory for the next call. One call at a time.
        """
        today = figures.day_of(now_wall_s)
        ends_day = figures.day_of(self._covered_from_wall_s) != today
        return await self._write(now_wall_s, ends_day, final=False)

    async def close(self, now_wall_s: float) -> Outcome:
        """Write everything and end the last segment.

        Call it again after an Err; ``closed`` tells when it is done.
        """
        while not self.closed:
            outcome = await self._write(now_wall_s, closing=True, final=True)
            if isinstance(outcome, result.Err):
                return outcome
        return result.Ok(None)

    async def _write(
        self, now_wall_s: float, closing: bool, final: bool
    ) -> Outcome:
        if self._flight is None:
            if self._taken is None:
                self._taken = self._take(now_wall_s, closing, final)
            self._flight = await self._prepare(self._taken)
            self._taken = None
        return await self._attempt(self._flight)

    def _take(self, now_wall_s: float, closing: bool, final: bool) -> Taken:
        taken = Taken(
            counted=self._pending,
            count=self._pending_count,
            covered_to_wall_s=max(
                now_wall_s, self._last_answer_wall_s, self._covered_to_wall_s
            ),
            closing=closing,
            final=final,
        )
        self._pending = tallies.TallyMap()
        self._pending_count = 0
        return taken

    async def _prepare(self, taken: Taken) -> Flight:
        """Encode the write; a call that is cancelled here can be repeated."""
        rows = await tallies.encode_rows(taken.counted, self._pause)
        head = SegmentHead(
            daemon=self.daemon,
            incarnation=self.incarnation,
            generation=self._generation,
            state=SegmentState.CLOSED if taken.closing else SegmentState.OPEN,
            covered_from_wall_s=self._covered_from_wall_s,
            covered_to_wall_s=taken.covered_to_wall_s,
            record_count=self._stored_count + taken.count,
            write_id=secrets.token_hex(16),
            final=taken.final,
            groups=await self._merged_groups(rows),
        )
        return Flight(head, rows)

    async def _merged_groups(
        self, rows: tallystore.Rows
    ) -> dict[str, tallystore.Group]:
        groups = dict(self._stored)
        for day, added in tallystore.rows_by_day(rows).items():
            merged = await tallies.sum_rows(
                [*self._stored_rows.get(day, []), *added], self._pause
            )
            groups[day] = tallystore.Group(rows=merged)
        return groups

    async def _attempt(self, flight: Flight) -> Outcome:
        head = flight.head
        write = tallystore.GroupWrite(self.incarnation, head.write_id)
        groups = await tallystore.store_groups(self._api, write, head.groups)
        if isinstance(groups, result.Err):
            return self._on_failure(flight, groups.err_value)
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
            await self._land(flight, stored_head, outcome.ok_value.version)
            return result.Ok(None)
        if isinstance(outcome.err_value, errors.ObjectConflictError):
            return await self._on_conflict(flight, outcome.err_value)
        return self._on_failure(flight, outcome.err_value)

    async def _land(
        self, flight: Flight, head: SegmentHead, version: int
    ) -> None:
        replaced = self._stored
        self._flight = None
        self._version = version
        self._stored = head.groups
        for day, group in flight.head.groups.items():
            if group.rows:
                self._stored_rows[day] = group.rows
        self._stored_count = head.record_count
        self._covered_to_wall_s = head.covered_to_wall_s
        if head.state is SegmentState.CLOSED:
            self.closed = head.final
            self._generation += 1
            self._begin_generation(head.covered_to_wall_s)
        await tallystore.delete_unused_parts(
            self._api, replaced, head.groups, head.write_id
        )

    def _on_failure(
        self, flight: Flight, error: errors.PlantainhookError
    ) -> Outcome:
        if isinstance(error, errors.ObjectOutcomeUnknownError):
            flight.may_have_run = True
        elif not flight.may_have_run:
            self._take_back(flight)
        LOGGER.info("Segment {} not written: {}", flight.head.key(), error)
        return result.Err(error)

    def _take_back(self, flight: Flight) -> None:
        self._flight = None
        self._pending.merge(flight.rows)
        self._pending_count += flight.head.record_count - self._stored_count

    async def _on_conflict(
        self, flight: Flight, error: errors.ObjectConflictError
    ) -> Outcome:
        read = await self._api.get(flight.head.key())
        if isinstance(read, result.Err):
            if self._is_cleaned_up(read.err_value):
                return await self._continue_after_clean_up(flight)
            flight.may_have_run = True
            return read
        converted = tallystore.decode_object(read.ok_value, SegmentHead)
        if isinstance(converted, result.Err):
            return converted
        head = converted.ok_value
        if head.state in (SegmentState.OPEN, SegmentState.CLOSED):
            return result.Err(_foreign_write(head, error))
        self._continue_after(flight, head)
        return result.Ok(None)

    def _is_cleaned_up(self, error: errors.PlantainhookError) -> bool:
        """Return whether a segment that was written exists no more.

        Only folded segments are deleted, and only sealed or closed ones are
        folded.
        """
        existed = self._version != objectapi.ABSENT_VERSION
        return existed and isinstance(error, errors.ObjectNotFoundError)

    async def _continue_after_clean_up(self, flight: Flight) -> Outcome:
        """Continue after a segment that was sealed, folded and deleted.

        The next segment of the incarnation begins where the deleted one
        ended, which tells whether the write under way was part of it. Where
        that segment is gone too, the write counts as part of the gap that
        the folding reported.
        """
        next_key = segment_key(self.incarnation, self._generation + 1)
        read = await self._api.get(next_key)
        if isinstance(read, result.Ok):
            converted = tallystore.decode_object(read.ok_value, SegmentHead)
            if isinstance(converted, result.Err):
                return converted
            covered_wall_s = converted.ok_value.covered_from_wall_s
            landed = covered_wall_s >= flight.head.covered_to_wall_s
        elif isinstance(read.err_value, errors.ObjectNotFoundError):
            covered_wall_s = flight.head.covered_to_wall_s
            landed = flight.may_have_run
        else:
            flight.may_have_run = True
            return read
        LOGGER.info(
            "Segment {} was folded and deleted; its last write {}.",
            flight.head.key(),
            "is in it" if landed else "is repeated",
        )
        if landed:
            self.closed = flight.head.final
        else:
            self._take_back(flight)
        self._flight = None
        self._generation += 1
        self._begin_generation(covered_wall_s)
        return result.Ok(None)

    def _continue_after(self, flight: Flight, sealed: SegmentHead) -> None:
        LOGGER.info("Segment {} was sealed.", sealed.key())
        if sealed.write_id != flight.head.write_id:
            self._take_back(flight)
        else:
            self.closed = flight.head.final
        self._flight = None
        self._generation += 1
        self._begin_generation(sealed.covered_to_wall_s)


def _foreign_write(
    head: SegmentHead, error: errors.ObjectConflictError
) -> errors.PlantainhookError:
    return errors.ObjectConflictError(
        steps.Step.FIGURES_WRITE,
        head.key(),
        "another writer changed an open segment",
        error.current_version,
    )
