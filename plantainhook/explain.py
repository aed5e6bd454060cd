"""Build the timeline of one request from the logs of several daemons.

Each line of a log is one JSON object, a ``logs.LogLine``. A prefix before it
is accepted, because tools that collect logs add a time or a name. Lines that
cannot be parsed are skipped and counted. The command is in
``commands_explain``.
"""

import dataclasses
import datetime
import typing
from collections import abc

import msgspec

from plantainhook import logs

# Parts whose lines show what a daemon knew of the fleet and its settings
# shortly before a request, which explains its decisions.
CONTEXT_PARTS: typing.Final = frozenset(
    {
        "daemon",
        "directory",
        "gatherers",
        "quarantine",
        "relay",
        "routes",
        "store",
    }
)

_DECODER: typing.Final = msgspec.json.Decoder(logs.LogLine)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TimelineLine:
    """Represent a log line with its time and its source.

    ``source`` is the file name and the words of the line's prefix, except
    for the first word, which is a time.
    """

    at: datetime.datetime
    source: str
    line: logs.LogLine = dataclasses.field(compare=False)

    def text(self) -> str:
        """Return the line in the form that is printed."""
        return (
            f"{self.line.time} {self.source} {self.line.part}: "
            f"{self.line.message}"
        )


@dataclasses.dataclass(slots=True)
class Timeline:
    """Represent the lines about a request and their context, by time.

    ``unreadable_count`` counts lines of the input that could not be parsed;
    ``omitted_count`` counts lines that the daemons of the request dropped.
    """

    lines: list[TimelineLine]
    unreadable_count: int
    omitted_count: int


def read_lines(
    source: str, raw_lines: abc.Iterable[str]
) -> tuple[list[TimelineLine], int]:
    """Return the parsed lines of a log and the number of unreadable ones.

    Blank lines are ignored.
    """
    found = []
    unreadable_count = 0
    for raw in raw_lines:
        if not raw.strip():
            continue
        prefix, brace, rest = raw.partition("{")
        try:
            line = _DECODER.decode((brace + rest).strip())
            at = datetime.datetime.fromisoformat(line.time)
        except (msgspec.DecodeError, ValueError):
            unreadable_count += 1
            continue
        name = " ".join([source, *prefix.split()[1:]])
        found.append(TimelineLine(at, name, line))
    return found, unreadable_count


def build_timeline(
    request_id: str,
    lines: abc.Sequence[TimelineLine],
    unreadable_count: int,
    around_s: float,
) -> Timeline:
    """Return the lines whose message names a request, with their context.

    The context consists of lines of ``CONTEXT_PARTS`` from the same sources,
    written between ``around_s`` before the request's first line and its last
    line.
    """
    matching = [item for item in lines if request_id in item.line.message]
    if not matching:
        return Timeline([], unreadable_count, 0)
    window = datetime.timedelta(seconds=around_s)
    first, last = min(matching).at - window, max(matching).at
    sources = {item.source for item in matching}
    context = [
        item
        for item in lines
        if item not in matching
        and item.source in sources
        and item.line.part in CONTEXT_PARTS
        and first <= item.at <= last
    ]
    omitted_count = sum(
        item.line.omitted
        for item in lines
        if item.source in sources and item.at >= first
    )
    return Timeline(
        sorted([*matching, *context]), unreadable_count, omitted_count
    )
