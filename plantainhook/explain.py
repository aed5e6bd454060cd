"""Story of one request, put together from the logs of several daemons.

A line is one JSON object; a prefix before it is ignored, so that the output
of tools that add a time or a name can be read too. Lines that cannot be read
are counted and left out.
"""

import dataclasses
import datetime
import typing
from collections import abc

import msgspec

from plantainhook import logs

# What a daemon believed shortly before a request explains its decisions.
CONTEXT_PARTS: typing.Final = frozenset(
    {"daemon", "directory", "gatherers", "relay", "routes", "store"}
)

_DECODER: typing.Final = msgspec.json.Decoder(logs.LogLine)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TimelineLine:
    """Hold a line and the file and prefix that it came with."""

    at: datetime.datetime
    source: str
    line: logs.LogLine = dataclasses.field(compare=False)

    def text(self) -> str:
        """Return the line as it is printed."""
        return (
            f"{self.line.time} {self.source} {self.line.part}: "
            f"{self.line.message}"
        )


@dataclasses.dataclass(slots=True)
class Timeline:
    """Hold the lines about a request, those around it, and what was bad."""

    lines: list[TimelineLine]
    unreadable_count: int
    omitted_count: int


def read_lines(
    source: str, raw_lines: abc.Iterable[str]
) -> tuple[list[TimelineLine], int]:
    """Return the readable lines of a log and the count of all others."""
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
    """Return the story of a request, in order of time.

    Lines of other parts up to ``around_s`` before the request's last line are
    included where the same daemon wrote them.
    """
    own = [item for item in lines if request_id in item.line.message]
    if not own:
        return Timeline([], unreadable_count, 0)
    window = datetime.timedelta(seconds=around_s)
    first, last = min(own).at - window, max(own).at
    sources = {item.source for item in own}
    context = [
        item
        for item in lines
        if item not in own
        and item.source in sources
        and item.line.part in CONTEXT_PARTS
        and first <= item.at <= last
    ]
    omitted_count = sum(
        item.line.omitted
        for item in lines
        if item.source in sources and item.at >= first
    )
    return Timeline(sorted([*own, *context]), unreadable_count, omitted_count)
