"""Define the rules of the monthly figures.

A figure is a number that is reported for a calendar month. The rules are the
month boundaries, the percentile methods and the rounding.

Counters are kept per slice of UTC time. A slice is a UTC day, except near a
month boundary, where it is a quarter hour. The offsets of all time zones in
use are multiples of 15 minutes between -12 and +14 hours, so a month in any
time zone is a union of slices. A slice is identified by the number of its
first quarter hour since the epoch.

All functions are pure. ``report`` applies the rules to merged histograms,
``reportreplay`` to sorted lists of values.
"""

import calendar
import dataclasses
import datetime
import decimal
import functools
import math
import re
import typing
import zoneinfo
from collections import abc

from plantainhook import schema

QUARTER_HOUR_S: typing.Final = 900
QUARTER_HOURS_PER_HOUR: typing.Final = 4
QUARTER_HOURS_PER_DAY: typing.Final = 96
# UTC+14 is the first zone to enter a month and UTC-12 the last one.
EARLIEST_MONTH_START_QUARTER_HOURS: typing.Final = -14 * QUARTER_HOURS_PER_HOUR
LATEST_MONTH_START_QUARTER_HOURS: typing.Final = 12 * QUARTER_HOURS_PER_HOUR
MONTH_PATTERN: typing.Final = re.compile(r"^([0-9]{4})-(0[1-9]|1[0-2])$")
PERCENT: typing.Final = 100

ROUNDING_MODES: typing.Final = {
    schema.Rounding.HALF_UP: decimal.ROUND_HALF_UP,
    schema.Rounding.HALF_EVEN: decimal.ROUND_HALF_EVEN,
}


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Month:
    """Represent a calendar month."""

    year: int
    month: int

    def __str__(self) -> str:
        return f"{self.year:04d}-{self.month:02d}"

    def shift(self, months: int) -> "Month":
        """Return the month that is a number of months later."""
        index = self.year * 12 + self.month - 1 + months
        return Month(index // 12, index % 12 + 1)

    def first_quarter_hour(self) -> int:
        """Return the quarter hour at which the month begins in UTC."""
        start = calendar.timegm((self.year, self.month, 1, 0, 0, 0))
        return start // QUARTER_HOUR_S


@dataclasses.dataclass(frozen=True, slots=True)
class QuarterHourRange:
    """Represent a half-open range of quarter hours since the epoch."""

    start: int
    end: int

    def contains(self, quarter_hour: int) -> bool:
        """Return whether a quarter hour or the start of a slice is inside."""
        return self.start <= quarter_hour < self.end


def parse_month(text: str) -> Month:
    """Parse ``YYYY-MM``; raise ValueError for any other text."""
    match = MONTH_PATTERN.match(text)
    if match is None or match.group(1) == "0000":
        raise ValueError(f"{text!r} is no month of the form YYYY-MM")
    return Month(int(match.group(1)), int(match.group(2)))


def month_of_quarter_hour(quarter_hour: int) -> Month:
    """Return the UTC month of a quarter hour."""
    moment = utc_time(quarter_hour * QUARTER_HOUR_S)
    return Month(moment.year, moment.month)


def months_between(from_wall_s: float, to_wall_s: float) -> list[Month]:
    """Return the UTC months that a closed interval of time touches."""
    month = month_of_quarter_hour(int(from_wall_s // QUARTER_HOUR_S))
    last = month_of_quarter_hour(int(to_wall_s // QUARTER_HOUR_S))
    months = [month]
    while month < last:
        month = month.shift(1)
        months.append(month)
    return months


def slice_of(wall_s: float) -> int:
    """Return the slice of a time in seconds since the epoch."""
    return slice_of_quarter_hour(int(wall_s // QUARTER_HOUR_S))


# The cache has one entry per quarter hour. A daemon mostly asks for the
# current one; a replayed month has 2,976.
@functools.lru_cache(maxsize=8192)
def slice_of_quarter_hour(quarter_hour: int) -> int:
    """Return the slice that contains a quarter hour."""
    month = month_of_quarter_hour(quarter_hour)
    first = month.first_quarter_hour()
    next_first = month.shift(1).first_quarter_hour()
    day_start = quarter_hour - quarter_hour % QUARTER_HOURS_PER_DAY
    if quarter_hour < first + LATEST_MONTH_START_QUARTER_HOURS:
        return quarter_hour
    if quarter_hour >= next_first + EARLIEST_MONTH_START_QUARTER_HOURS:
        return quarter_hour
    return max(day_start, first + LATEST_MONTH_START_QUARTER_HOURS)


def day_of_slice(slice_start: int) -> str:
    """Return the UTC day of a slice as ``YYYY-MM-DD``."""
    return day_of(slice_start * QUARTER_HOUR_S)


def day_of(wall_s: float) -> str:
    """Return the UTC day of a time as ``YYYY-MM-DD``."""
    return utc_time(wall_s).strftime("%Y-%m-%d")


def utc_time(wall_s: float) -> datetime.datetime:
    """Return a time as a date and time in UTC."""
    return datetime.datetime.fromtimestamp(wall_s, tz=datetime.UTC)


@functools.lru_cache(maxsize=1024)
def month_start(month: Month, time_zone: str) -> int:
    """Return the first quarter hour of a month in a time zone.

    If the local clock passes the boundary twice, the month begins at the
    second passage. If it skips midnight, the month begins after the skipped
    time. Raises ValueError for a time zone in which the month doesn't begin at
    a quarter hour.
    """
    zone = zoneinfo.ZoneInfo(time_zone)
    first = month.first_quarter_hour()
    quarter_hours = range(
        first + LATEST_MONTH_START_QUARTER_HOURS,
        first + EARLIEST_MONTH_START_QUARTER_HOURS - 1,
        -1,
    )
    for quarter_hour in quarter_hours:
        if _local_month(quarter_hour * QUARTER_HOUR_S - 1, zone) < month:
            if _local_month(quarter_hour * QUARTER_HOUR_S, zone) < month:
                break
            return quarter_hour
    raise ValueError(
        f"{month} does not begin at a quarter hour of UTC in {time_zone}"
    )


def _local_month(wall_s: int, zone: zoneinfo.ZoneInfo) -> Month:
    moment = datetime.datetime.fromtimestamp(wall_s, tz=zone)
    return Month(moment.year, moment.month)


def month_range(month: Month, time_zone: str) -> QuarterHourRange:
    """Return the quarter hours of a month in a time zone."""
    return QuarterHourRange(
        month_start(month, time_zone), month_start(month.shift(1), time_zone)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Ranks:
    """Represent the two ranks between which a percentile lies.

    Ranks count from 1. ``fraction`` is the position between them, from 0 to 1.
    """

    lower: int
    upper: int
    fraction: float

    def value(self, at_rank: abc.Callable[[int], float]) -> float:
        """Return the value of the percentile.

        ``at_rank`` returns the value at a rank.
        """
        lower = at_rank(self.lower)
        if self.upper == self.lower:
            return lower
        return lower + (at_rank(self.upper) - lower) * self.fraction


def percentile_ranks(
    percentile: decimal.Decimal, count: int, method: schema.PercentileMethod
) -> Ranks:
    """Return the ranks of a percentile among ``count`` ordered values.

    The nearest rank is ceil(p / 100 * n). Linear interpolation uses the
    position 1 + p / 100 * (n - 1), like PERCENTILE.INC in spreadsheets.
    ``count`` is at least 1.
    """
    if method is schema.PercentileMethod.NEAREST_RANK:
        rank = max(1, math.ceil(percentile * count / PERCENT))
        return Ranks(rank, rank, 0.0)
    position = 1 + percentile * (count - 1) / PERCENT
    lower = int(position)
    upper = min(lower + 1, count)
    return Ranks(lower, upper, float(position - lower))


def round_value(
    value: float | int, digits: int, rounding: schema.Rounding
) -> decimal.Decimal:
    """Round the decimal notation of a value to a number of digits."""
    exponent = decimal.Decimal(1).scaleb(-digits)
    with decimal.localcontext(prec=60):
        return decimal.Decimal(repr(value)).quantize(
            exponent, rounding=ROUNDING_MODES[rounding]
        )
