"""Configure logging with loguru and limit the rate of frequent log lines.

Each part of the program logs under a fixed name, which ``part_logger`` binds
to its lines; ``explain`` selects lines by it. Logs go to standard error as
text or, for ``explain``, as one JSON object a line. ``DecisionLog`` writes
one line per routing or placement decision up to a rate and counts the ones
that it drops, so that thousands of decisions a second do not fill the log.
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

# With a message of at most this many characters a line fits into 4,096 bytes,
# which a pipe accepts in one write.
LINE_TEXT_MAX_COUNT: typing.Final = 1_000


class LogLine(msgspec.Struct):
    """Represent one line of a JSON log.

    ``omitted`` is the number of lines that were dropped just before it.
    """

    time: str
    level: str
    part: str
    message: str
    omitted: int = 0


class JsonSink:
    """Write lines of JSON without ever blocking on their reader.

    A line is short enough for an atomic write to a pipe. If the pipe is full
    or closed, the line is dropped and counted in the next one that is
    written.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._omitted = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: "loguru.Message") -> None:
        """Write a loguru record as one line, with its traceback if any."""
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
            # The next line that can be written reports the loss.
            self._omitted += 1
        else:
            self._omitted = 0


def configure_logs(log_format: str, level: str) -> None:
    """Send logs to standard error, as text or as JSON lines."""
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
    """Return a logger whose lines carry the name of a part."""
    return loguru.logger.bind(part=part)


@dataclasses.dataclass(slots=True)
class DecisionLog:
    """Log decisions, limited by a token bucket.

    The bucket holds up to ``lines_per_s`` tokens and gains as many each
    second. ``suppressed_count`` counts the decisions dropped since the last
    line; it is logged before the next one.
    """

    logger: "loguru.Logger"
    clock: clock.Clock
    lines_per_s: float
    tokens_count: float = 0.0
    suppressed_count: int = 0
    refilled_s: float = 0.0

    def log(self, text: str) -> None:
        """Log a decision, or count it if no token is left."""
        now_s = self.clock.now_s()
        gained = (now_s - self.refilled_s) * self.lines_per_s
        self.tokens_count = min(self.lines_per_s, self.tokens_count + gained)
        self.refilled_s = now_s
        if self.tokens_count < 1:
            self.suppressed_count += 1
            return
        self.tokens_count -= 1
        if self.suppressed_count:
            self.logger.info(
                "Dropped {} decisions over the rate limit of the log.",
                self.suppressed_count,
            )
            self.suppressed_count = 0
        self.logger.info(text)
