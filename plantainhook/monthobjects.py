"""Month objects: the folded tallies, gaps and corrections of a UTC month.

A tally belongs to the UTC month of its slice of arrival. The groups of a month
object are named by section and day. The section ``month`` is what was folded
before the month was closed; later sections are corrections, named by the day
on which they were folded.
"""

import typing

import msgspec

from plantainhook import figures, tallystore

MONTH_PREFIX: typing.Final = "figures/month/"
BASE_SECTION: typing.Final = "month"
# Segments end with the UTC day, so only segments of paused or cut-off
# daemons arrive later than this after a month has ended in every zone.
CLOSE_AFTER_S: typing.Final = 2 * 86_400.0


class Gap(msgspec.Struct, frozen=True, order=True):
    """Name a daemon and a time from which its records may be lost.

    ``found`` is the section in which the gap was found.
    """

    daemon: str
    incarnation: str
    from_wall_s: float
    to_wall_s: float
    found: str

    def touches(self, month: figures.Month) -> bool:
        """Tell whether the gap lies partly in a UTC month."""
        months = figures.months_between(self.from_wall_s, self.to_wall_s)
        return month in months


class MonthHead(msgspec.Struct, frozen=True):
    """Hold the head of a month object.

    ``epoch`` is the highest lease epoch that wrote it. ``folded`` maps the
    keys of folded segments to their versions, until the segments themselves
    are marked as folded.
    """

    month: str
    epoch: int
    closed_wall_s: float = 0.0
    folded: dict[str, int] = {}
    folded_count: int = 0
    gaps: list[Gap] = []
    groups: dict[str, tallystore.Group] = {}

    def section(self, now_wall_s: float) -> str:
        """Return the section to which segments folded now belong."""
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
    """Return the section of a group."""
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
    """Tell whether an open month has ended everywhere long enough ago."""
    next_month = figures.parse_month(head.month).shift(1)
    ended = (
        next_month.first_quarter_hour()
        + figures.LATEST_MONTH_START_QUARTER_HOURS
    )
    due_wall_s = ended * figures.QUARTER_HOUR_S + CLOSE_AFTER_S
    return not head.closed_wall_s and now_wall_s >= due_wall_s
