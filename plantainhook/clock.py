"""Clocks: monotonic time for decisions, wall-clock time for records.

Modules that decide without I/O receive the time as an argument. Only the
modules that run them, with sockets and timers, have a clock.
"""

import dataclasses
import time
import typing

import trio


class Clock(typing.Protocol):
    """Provide monotonic and wall-clock time."""

    def now_s(self) -> float:
        """Return monotonic seconds; the origin is arbitrary."""

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


class TrioClock:
    """Read the monotonic clock of the trio loop and the system's wall clock.

    Tests may replace the clock of the loop.
    """

    def now_s(self) -> float:
        """Return monotonic seconds of the trio loop."""
        return trio.current_time()

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


@dataclasses.dataclass(slots=True)
class ManualClock:
    """Provide a time that tests and benchmarks advance explicitly.

    ``epoch_s`` is the wall-clock time at the monotonic time 0.
    """

    monotonic_s: float = 0.0
    epoch_s: float = 1_700_000_000.0

    def now_s(self) -> float:
        """Return the monotonic seconds."""
        return self.monotonic_s

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return self.epoch_s + self.monotonic_s

    def advance(self, seconds: float) -> None:
        """Advance the monotonic and the wall-clock time."""
        self.monotonic_s += seconds
