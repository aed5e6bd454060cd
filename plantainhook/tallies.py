"""Counters and histograms per request kind and slice of time.

A tally counts the records that share a kind, the slices of arrival and
answer, and whether they are resends. Every figure is a sum over tallies, so
tallies merge in any order.

Latency is kept in microseconds and the missing part of the coverage in
parts per million, both in HDR histograms with three significant digits: a
value is exact to one unit below 2,048 units and within 1/2048 of itself
above. Keeping the missing part makes full coverage exact.
"""

import collections
import dataclasses
import itertools
import typing
from collections import abc

import msgspec
from hdrh import histogram

from plantainhook import figures, requestrecord, schema

SIGNIFICANT_DIGITS: typing.Final = 3
LATENCY_LIMIT_US: typing.Final = 3_600_000_000
SHORTFALL_LIMIT_PPM: typing.Final = 1_000_000
RESOLUTION_RATIO: typing.Final = 1 / 2048
US_PER_MS: typing.Final = 1000
# An open histogram of latency takes 188 KB, an encoded one a few.
DECODED_TALLIES_MAX_COUNT: typing.Final = 32


# Gives way to other tasks; ``trio.lowlevel.checkpoint`` in a daemon.
Checkpoint = abc.Callable[[], abc.Awaitable[None]]


class TallyKey(typing.NamedTuple):
    """Identify a tally; the slices are numbers of quarter hours."""

    kind: str
    arrival_slice: int
    answer_slice: int
    resend: bool


class TallyRow(msgspec.Struct, frozen=True, array_like=True):
    """Hold a tally as it is stored; histograms are in HDR V2 encoding."""

    kind: str
    arrival_slice: int
    answer_slice: int
    resend: bool
    count: int
    complete_count: int
    partial_count: int
    refused_count: int
    urgent_met_count: int
    archive_served_count: int
    latency: str
    shortfall: str

    def key(self) -> TallyKey:
        """Return the key of the tally."""
        return TallyKey(
            self.kind, self.arrival_slice, self.answer_slice, self.resend
        )


class Histogram:
    """Hold a histogram, encoded while it is not being changed."""

    limit: int
    encoded: str
    decoded: histogram.HdrHistogram | None

    def __init__(self, limit: int, encoded: str = "") -> None:
        self.limit = limit
        self.encoded = encoded
        self.decoded = None

    def opened(self) -> histogram.HdrHistogram:
        """Return the histogram of the library, to read or change."""
        if self.decoded is None:
            self.decoded = histogram.HdrHistogram(
                1, self.limit, SIGNIFICANT_DIGITS
            )
            if self.encoded:
                self.decoded.decode_and_add(self.encoded)
        return self.decoded

    def record(self, value: int) -> None:
        """Count a value; values above the limit count as the limit."""
        self.opened().record_value(min(max(value, 0), self.limit))

    def merge_encoded(self, encoded: str) -> None:
        """Add the counts of an encoded histogram."""
        if not encoded:
            return
        if self.decoded is None and not self.encoded:
            self.encoded = encoded
            return
        self.opened().decode_and_add(encoded)

    def encode(self) -> str:
        """Return the encoded histogram; an empty one is an empty text."""
        if self.decoded is None:
            return self.encoded
        if self.decoded.get_total_count() == 0:
            return ""
        text: bytes = self.decoded.encode()
        return text.decode("ascii")

    def close(self) -> None:
        """Keep only the encoded form."""
        self.encoded = self.encode()
        self.decoded = None

    def count(self) -> int:
        """Return the number of values."""
        total: int = self.opened().get_total_count()
        return total

    def value_at_ranks(self) -> abc.Callable[[int], float]:
        """Return a function from rank, from 1, to the value there."""
        opened = self.opened()
        totals = list(itertools.accumulate(opened.counts))
        return lambda rank: _middle(opened, _first_at_least(totals, rank))


def _first_at_least(totals: list[int], rank: int) -> int:
    low, high = 0, len(totals) - 1
    while low < high:
        middle = (low + high) // 2
        if totals[middle] >= rank:
            high = middle
        else:
            low = middle + 1
    return low


def _middle(opened: histogram.HdrHistogram, index: int) -> float:
    lowest: int = opened.get_value_from_index(index)
    highest: int = opened.get_highest_equivalent_value(lowest)
    return (lowest + highest) / 2


@dataclasses.dataclass(slots=True)
class Tally:
    """Hold the counters and histograms of one tally."""

    count: int = 0
    complete_count: int = 0
    partial_count: int = 0
    refused_count: int = 0
    urgent_met_count: int = 0
    archive_served_count: int = 0
    latency: Histogram = dataclasses.field(
        default_factory=lambda: Histogram(LATENCY_LIMIT_US)
    )
    shortfall: Histogram = dataclasses.field(
        default_factory=lambda: Histogram(SHORTFALL_LIMIT_PPM)
    )

    def record(self, record: requestrecord.RequestRecord) -> None:
        """Count one record."""
        self.count += 1
        if record.status is requestrecord.Status.REFUSED:
            self.refused_count += 1
            return
        if record.status is requestrecord.Status.COMPLETE:
            self.complete_count += 1
        else:
            self.partial_count += 1
        self._record_class(record)
        self.latency.record(round(record.latency_ms * US_PER_MS))
        missing_ratio = 1 - record.coverage_ratio
        self.shortfall.record(round(missing_ratio * SHORTFALL_LIMIT_PPM))

    def _record_class(self, record: requestrecord.RequestRecord) -> None:
        if record.request_class == schema.RequestClass.URGENT:
            self.urgent_met_count += record.deadline_met
        elif record.request_class == schema.RequestClass.ARCHIVE:
            self.archive_served_count += 1

    def merge(self, row: TallyRow) -> None:
        """Add a stored tally."""
        self.count += row.count
        self.complete_count += row.complete_count
        self.partial_count += row.partial_count
        self.refused_count += row.refused_count
        self.urgent_met_count += row.urgent_met_count
        self.archive_served_count += row.archive_served_count
        self.latency.merge_encoded(row.latency)
        self.shortfall.merge_encoded(row.shortfall)

    def row(self, key: TallyKey) -> TallyRow:
        """Return the tally as it is stored."""
        return TallyRow(
            *key,
            self.count,
            self.complete_count,
            self.partial_count,
            self.refused_count,
            self.urgent_met_count,
            self.archive_served_count,
            self.latency.encode(),
            self.shortfall.encode(),
        )

    def close(self) -> None:
        """Encode the histograms."""
        self.latency.close()
        self.shortfall.close()


class TallyMap:
    """Hold tallies by key; only the last used ones are open."""

    tallies: dict[TallyKey, Tally]
    _open: "collections.OrderedDict[TallyKey, None]"

    def __init__(self, rows: abc.Iterable[TallyRow] = ()) -> None:
        self.tallies = {}
        self._open = collections.OrderedDict()
        self.merge(rows)

    def record(self, record: requestrecord.RequestRecord) -> None:
        """Count one record in its tally."""
        key = TallyKey(
            record.kind,
            figures.slice_of(record.arrived_wall_s),
            figures.slice_of(record.answered_wall_s),
            bool(record.resend_of),
        )
        self._tally(key).record(record)

    def merge(self, rows: abc.Iterable[TallyRow]) -> None:
        """Add stored tallies."""
        for row in rows:
            self._tally(row.key()).merge(row)

    def rows(self) -> list[TallyRow]:
        """Return all tallies as they are stored, in order of their keys."""
        return [self.tallies[key].row(key) for key in sorted(self.tallies)]

    def _tally(self, key: TallyKey) -> Tally:
        tally = self.tallies.get(key)
        if tally is None:
            tally = self.tallies[key] = Tally()
        self._open[key] = None
        self._open.move_to_end(key)
        if len(self._open) > DECODED_TALLIES_MAX_COUNT:
            oldest, _ = self._open.popitem(last=False)
            self.tallies[oldest].close()
        return tally


async def encode_rows(counted: TallyMap, pause: Checkpoint) -> list[TallyRow]:
    """Return all tallies as they are stored, with a pause after each.

    Encoding a tally takes about a millisecond, which would add to the latency
    of queries if all tallies were encoded at once.
    """
    rows = []
    for key in sorted(counted.tallies):
        rows.append(counted.tallies[key].row(key))
        await pause()
    return rows


async def sum_rows(
    rows: abc.Iterable[TallyRow], pause: Checkpoint
) -> list[TallyRow]:
    """Return the sum of stored tallies, with a pause after each."""
    counted = TallyMap()
    for row in rows:
        counted.merge([row])
        await pause()
    return await encode_rows(counted, pause)
