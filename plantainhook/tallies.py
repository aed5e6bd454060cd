"""Count requests and their latency and coverage by kind and slice of time.

A tally is a set of counters and histograms. It counts the records that share
the request kind, the slices of arrival and answer, and whether they are
resends. Every figure is a sum over tallies, so tallies can be merged in any
order.

Latency is recorded in microseconds and missing coverage in parts per million,
both in HDR histograms with three significant digits: a value is exact to one
unit below 2,048 units, and within 1/2048 of itself above. Full coverage is
represented exactly, because the missing part is recorded and not the covered
part.
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
# A decoded latency histogram takes 188 KB, an encoded one a few KB.
DECODED_TALLIES_MAX_COUNT: typing.Final = 32


# Yields to other tasks; ``trio.lowlevel.checkpoint`` in a daemon.
Checkpoint = abc.Callable[[], abc.Awaitable[None]]


class TallyKey(typing.NamedTuple):
    """Identify a tally; a slice is the number of its first quarter hour."""

    kind: str
    arrival_slice: int
    answer_slice: int
    resend: bool


class TallyRow(msgspec.Struct, frozen=True, array_like=True):
    """Represent a tally as it is stored.

    ``latency`` and ``shortfall`` are histograms in HDR V2 encoding. The
    shortfall is the part of the coverage that is missing.
    """

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
    """Track the distribution of a value, encoded while it doesn't change."""

    limit: int
    encoded: str
    decoded: histogram.HdrHistogram | None

    def __init__(self, limit: int, encoded: str = "") -> None:
        self.limit = limit
        self.encoded = encoded
        self.decoded = None

    def decode(self) -> histogram.HdrHistogram:
        """Return the decoded histogram of the library, to read or update."""
        if self.decoded is None:
            self.decoded = histogram.HdrHistogram(
                1, self.limit, SIGNIFICANT_DIGITS
            )
            if self.encoded:
                self.decoded.decode_and_add(self.encoded)
        return self.decoded

    def record(self, value: int) -> None:
        """Record a value; values above the limit are recorded as the limit."""
        self.decode().record_value(min(max(value, 0), self.limit))

    def merge_encoded(self, encoded: str) -> None:
        """Add the counts of an encoded histogram."""
        if not encoded:
            return
        if self.decoded is None and not self.encoded:
            self.encoded = encoded
            return
        self.decode().decode_and_add(encoded)

    def encode(self) -> str:
        """Return the encoded histogram, or an empty string if it is empty."""
        if self.decoded is None:
            return self.encoded
        if self.decoded.get_total_count() == 0:
            return ""
        text: bytes = self.decoded.encode()
        return text.decode("ascii")

    def compact(self) -> None:
        """Encode the histogram and release its decoded form."""
        self.encoded = self.encode()
        self.decoded = None

    def count(self) -> int:
        """Return the number of recorded values."""
        total: int = self.decode().get_total_count()
        return total

    def value_at_ranks(self) -> abc.Callable[[int], float]:
        """Return a function from a rank to the value at that rank.

        Ranks count from 1, in rising order of the values.
        """
        decoded = self.decode()
        totals = list(itertools.accumulate(decoded.counts))
        return lambda rank: _bucket_middle(
            decoded, _index_of_rank(totals, rank)
        )


def _index_of_rank(totals: list[int], rank: int) -> int:
    low, high = 0, len(totals) - 1
    while low < high:
        middle = (low + high) // 2
        if totals[middle] >= rank:
            high = middle
        else:
            low = middle + 1
    return low


def _bucket_middle(decoded: histogram.HdrHistogram, index: int) -> float:
    lowest: int = decoded.get_value_from_index(index)
    highest: int = decoded.get_highest_equivalent_value(lowest)
    return (lowest + highest) / 2


@dataclasses.dataclass(slots=True)
class Tally:
    """Track the counters and histograms of one tally."""

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
        """Return the tally in its stored form."""
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

    def compact(self) -> None:
        """Release the decoded forms of the histograms."""
        self.latency.compact()
        self.shortfall.compact()


class TallyMap:
    """Track tallies by key.

    Only the most recently used tallies keep their histograms decoded, which
    bounds memory.
    """

    tallies: dict[TallyKey, Tally]
    _decoded_keys: "collections.OrderedDict[TallyKey, None]"

    def __init__(self, rows: abc.Iterable[TallyRow] = ()) -> None:
        self.tallies = {}
        self._decoded_keys = collections.OrderedDict()
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
        """Return all tallies in their stored form, ordered by key."""
        return [self.tallies[key].row(key) for key in sorted(self.tallies)]

    def _tally(self, key: TallyKey) -> Tally:
        tally = self.tallies.get(key)
        if tally is None:
            tally = self.tallies[key] = Tally()
        self._decoded_keys[key] = None
        self._decoded_keys.move_to_end(key)
        if len(self._decoded_keys) > DECODED_TALLIES_MAX_COUNT:
            least_recent, _ = self._decoded_keys.popitem(last=False)
            self.tallies[least_recent].compact()
        return tally


async def encode_rows(
    tally_map: TallyMap, checkpoint: Checkpoint
) -> list[TallyRow]:
    """Return all tallies in their stored form, with a checkpoint after each.

    Encoding a tally takes about a millisecond. Encoding all of them without a
    checkpoint would add to the latency of queries.
    """
    rows = []
    for key in sorted(tally_map.tallies):
        rows.append(tally_map.tallies[key].row(key))
        await checkpoint()
    return rows


async def sum_rows(
    rows: abc.Iterable[TallyRow], checkpoint: Checkpoint
) -> list[TallyRow]:
    """Return the sum of stored tallies, with a checkpoint after each."""
    tally_map = TallyMap()
    for row in rows:
        tally_map.merge([row])
        await checkpoint()
    return await encode_rows(tally_map, checkpoint)
