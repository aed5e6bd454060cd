"""Clocks: monotonic seconds for decisions, wall seconds for records.

Decisions take the time as an argument. Only drivers hold a clock.
"""

import dataclasses
import time
import typing

import trio


class Clock(typing.Protocol):
    """Give the time to drivers."""

    def now_s(self) -> float:
        """Return monotonic seconds; the origin is arbitrary."""

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


class TrioClock:
    """Read the clock of the running trio loop, which tests may replace."""

    def now_s(self) -> float:
        """Return monotonic seconds of the trio loop."""
        return trio.current_time()

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


@dataclasses.dataclass(slots=True)
class ManualClock:
    """Hold a time that tests and benchmarks advance by hand."""

    monotonic_s: float = 0.0
    epoch_s: float = 1_700_000_000.0

    def now_s(self) -> float:
        """Return the monotonic seconds set by hand."""
        return self.monotonic_s

    def wall_s(self) -> float:
        """Return the wall seconds set by hand."""
        return self.epoch_s + self.monotonic_s

    def advance(self, seconds: float) -> None:
        """Move both clocks forward."""
        self.monotonic_s += seconds
