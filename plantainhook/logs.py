"""Logging set-up: loguru, a fixed prefix per part, rate-limited decisions.

``part_logger`` gives a part its prefix. ``DecisionLog`` writes one line per
routing or placement decision up to a rate and counts what it left out, so
that thousands of decisions a second do not fill the log.
"""

import dataclasses
import os
import sys
import typing

import loguru
import msgspec

from plantainhook import clock

TEXT_FORMAT: typing.Final = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[part]}: {message}"
)

# A line of this many characters fits the 4,096 bytes that a pipe takes whole.
LINE_TEXT_MAX_COUNT: typing.Final = 1_000


class LogLine(msgspec.Struct):
    """Hold one line of a JSON log; ``omitted`` counts lines lost before it."""

    time: str
    level: str
    part: str
    message: str
    omitted: int = 0


class JsonSink:
    """Write lines of JSON without ever waiting for their reader.

    A line fits a pipe's atomic write. Where the pipe is full or closed the
    line is left out and counted in the next one that is written.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._omitted = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: "loguru.Message") -> None:
        """Write a record."""
        record = message.record
        text = record["message"]
        if record["exception"] is not None:
            text = str(message).rstrip()
        line = LogLine(
            time=record["time"].isoformat(timespec="milliseconds"),
            level=record["level"].name,
            part=record["extra"]["part"],
            message=text[:LINE_TEXT_MAX_COUNT],
            omitted=self._omitted,
        )
        try:
            os.write(self._descriptor, msgspec.json.encode(line) + b"\n")
        except OSError:
            # Nobody can be told but the reader of the next line.
            self._omitted += 1
        else:
            self._omitted = 0


def configure_logs(log_format: str, level: str) -> None:
    """Send logs to standard error as text or JSON."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "main"})
    loguru.logger.add(
        JsonSink(sys.stderr.fileno()) if log_format == "json" else sys.stderr,
        level=level,
        format=TEXT_FORMAT,
        backtrace=False,
        diagnose=False,
    )


def part_logger(part: str) -> "loguru.Logger":
    """Return a logger whose lines start with the part's name."""
    return loguru.logger.bind(part=part)


@dataclasses.dataclass(slots=True)
class DecisionLog:
    """Write decision lines up to a rate in lines per second."""

    logger: "loguru.Logger"
    clock: clock.Clock
    lines_per_s: float
    tokens_count: float = 0.0
    suppressed_count: int = 0
    refilled_s: float = 0.0

    def log(self, text: str) -> None:
        """Write a decision, or count it where the rate is used up."""
        now_s = self.clock.now_s()
        gained = (now_s - self.refilled_s) * self.lines_per_s
        self.tokens_count = min(self.lines_per_s, self.tokens_count + gained)
        self.refilled_s = now_s
        if self.tokens_count < 1:
            self.suppressed_count += 1
            return
        self.tokens_count -= 1
        if self.suppressed_count:
            self.logger.info("{} decisions not logged.", self.suppressed_count)
            self.suppressed_count = 0
        self.logger.info(text)
