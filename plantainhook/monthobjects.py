"""Represent month objects: the aggregated tallies and gaps of a UTC month.

A tally belongs to the UTC month of its arrival slice. The groups of a month
object are named by section and day. The section ``month`` contains what was
aggregated before the month was closed. Later sections are corrections, named
by the day on which they were aggregated.

Stored names say "folded" for "aggregated".
"""

import typing

import msgspec

from plantainhook import figures, tallystore

MONTH_PREFIX: typing.Final = "figures/month/"
BASE_SECTION: typing.Final = "month"
# Daemons close their segments after each UTC day. A segment that comes later
# than this after the end of the month in the last time zone is from a daemon
# that was paused or disconnected.
CLOSE_AFTER_S: typing.Final = 2 * 86_400.0


class Gap(msgspec.Struct, frozen=True, order=True):
    """Identify a daemon and a period in which its records may be lost.

    ``found`` is the section in which the gap was found.
    """

    daemon: str
    incarnation: str
    from_wall_s: float
    to_wall_s: float
    found: str

    def touches(self, month: figures.Month) -> bool:
        """Return whether the gap lies partly in a UTC month."""
        months = figures.months_between(self.from_wall_s, self.to_wall_s)
        return month in months


class MonthHead(msgspec.Struct, frozen=True):
    """Represent a month object without the tallies that are stored in parts.

    ``epoch`` is the highest lease epoch that wrote it. ``folded`` maps the
    keys of aggregated segments to their versions, until the segments
    themselves are marked as folded. ``closed_wall_s`` is 0 while the month is
    open.
    """

    month: str
    epoch: int
    closed_wall_s: float = 0.0
    folded: dict[str, int] = {}
    folded_count: int = 0
    gaps: list[Gap] = []
    groups: dict[str, tallystore.Group] = {}

    def section(self, now_wall_s: float) -> str:
        """Return the section for segments that are aggregated now."""
        if self.closed_wall_s:
            return figures.day_of(now_wall_s)
        return BASE_SECTION


def month_key(month: figures.Month) -> str:
    """Return the key of a month object."""
    return f"{MONTH_PREFIX}{month}"


def group_name(section: str, day: str) -> str:
    """Return the name of the group of a section and a day."""
    return f"{section}/{day}"


def section_of(name: str) -> str:
    """Return the section of a group name."""
    return name.split("/")[0]


def rows_by_month(
    rows: tallystore.Rows,
) -> dict[figures.Month, tallystore.Rows]:
    """Group tallies by the UTC month of arrival."""
    months: dict[figures.Month, tallystore.Rows] = {}
    for row in rows:
        month = figures.month_of_quarter_hour(row.arrival_slice)
        months.setdefault(month, []).append(row)
    return months


def is_due_to_close(head: MonthHead, now_wall_s: float) -> bool:
    """Return whether an open month is due to be closed.

    It is due ``CLOSE_AFTER_S`` after it has ended in every time zone.
    """
    next_month = figures.parse_month(head.month).shift(1)
    ended = (
        next_month.first_quarter_hour()
        + figures.LATEST_MONTH_START_QUARTER_HOURS
    )
    due_wall_s = ended * figures.QUARTER_HOUR_S + CLOSE_AFTER_S
    return not head.closed_wall_s and now_wall_s >= due_wall_s
