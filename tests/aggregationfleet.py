"""Simulate a small fleet for the tests of segments and aggregation.

The fleet keeps every record that a daemon counts, so that a test can compare
the figures with the records outside the reported gaps.
"""

import dataclasses
import random

from plantainhook import (
    aggregation,
    aggregationplan,
    figures,
    monthobjects,
    reportdata,
    reportreplay,
    requestrecord,
    segments,
    selfcheckstore,
)
from tests import steppedapi

MONTH = figures.Month(2026, 10)
# 20:00 UTC on 31 October 2026. This near to the end of a month, slices are a
# quarter hour long.
START_WALL_S = 1_793_476_800.0


def make_record(
    incarnation: int, number: int, wall_s: float
) -> requestrecord.RequestRecord:
    """Return the record of a request that was answered after half a second."""
    return requestrecord.RequestRecord(
        daemon=f"daemon-{incarnation}",
        incarnation=incarnation,
        request_id=f"{incarnation}-{number}",
        kind="tiles",
        request_class="interactive",
        arrived_wall_s=wall_s - 0.5,
        answered_wall_s=wall_s,
        status=requestrecord.Status.COMPLETE,
        coverage_ratio=1.0,
        latency_ms=500.0,
        deadline_met=True,
    )


@dataclasses.dataclass(slots=True)
class Daemon:
    """Represent one daemon incarnation."""

    incarnation: int
    started_wall_s: float
    writer: segments.SegmentWriter

    def dead(self, wall_s: float) -> aggregationplan.DeadDaemon:
        """Return the declaration that the daemon is dead."""
        return aggregationplan.DeadDaemon(
            self.writer.daemon, self.incarnation, self.started_wall_s, wall_s
        )


class Fleet:
    """Track the store, the daemons and every record."""

    def __init__(self, seed: int = 0, lost_ratio: float = 0.0) -> None:
        self.wall_s = START_WALL_S
        self.store = selfcheckstore.FaultyStore(seed, lost_ratio)
        self.api = steppedapi.SteppedApi(self.store)
        self.random = random.Random(seed)
        self.records: list[requestrecord.RequestRecord] = []
        self.daemons: list[Daemon] = []
        self.dead: list[aggregationplan.DeadDaemon] = []
        self.killed: set[str] = set()
        self.started_count = 0

    def start(self) -> Daemon:
        """Start a daemon."""
        self.wall_s += 1
        self.started_count += 1
        number = self.started_count
        writer = segments.SegmentWriter(
            self.api, f"daemon-{number}", number, self.wall_s, steppedapi.pause
        )
        self.daemons.append(Daemon(number, self.wall_s, writer))
        return self.daemons[-1]

    def record(self, daemon: Daemon, count: int = 1) -> None:
        """Let a daemon answer a number of requests."""
        for _ in range(count):
            self.wall_s += 1
            record = make_record(
                daemon.incarnation, len(self.records), self.wall_s
            )
            daemon.writer.record(record)
            self.records.append(record)

    def flush(self, daemon: Daemon) -> None:
        """Write what a daemon has counted."""
        self.wall_s += 1
        steppedapi.run(daemon.writer.flush(self.wall_s))

    def kill(self, daemon: Daemon, flush_calls_count: int = 0) -> None:
        """Kill a daemon during a flush, after a number of its API calls."""
        self.wall_s += 1
        write = steppedapi.Stepper(daemon.writer.flush(self.wall_s))
        write.step(flush_calls_count)
        write.crash()
        self.daemons.remove(daemon)
        self.declare_dead(daemon)
        self.killed.add(segments.incarnation_name(daemon.incarnation))

    def declare_dead(self, daemon: Daemon) -> None:
        """Declare a daemon dead, whether or not it is."""
        self.wall_s += 5
        self.dead.append(daemon.dead(self.wall_s))

    def stop(self, daemon: Daemon) -> None:
        """Stop a daemon cleanly."""
        self.wall_s += 1
        self.store.unavailable = False
        while not daemon.writer.closed:
            steppedapi.run(daemon.writer.close(self.wall_s))
        self.daemons.remove(daemon)

    def new_pass(self, epoch: int) -> "steppedapi.Stepper[object]":
        """Return an aggregation pass that has not started."""
        writer = selfcheckstore.EpochWriter(self.api, epoch)
        aggregator = aggregation.Aggregator(self.api, writer, steppedapi.pause)
        return steppedapi.Stepper(
            aggregator.run_pass(self.wall_s, list(self.dead))
        )

    def finish_all(self, epoch: int) -> None:
        """Stop all daemons and aggregate everything without faults."""
        for daemon in list(self.daemons):
            self.stop(daemon)
        self.store.unavailable = False
        self.store.lost_ratio = 0.0
        self.store.apply_late_writes()
        for _ in range(3):
            self.wall_s += 1
            self.new_pass(epoch).finish()

    def month_data(self, month: figures.Month) -> reportdata.MonthData:
        """Read a month."""
        return steppedapi.run(reportdata.read_month(self.api, month)).unwrap()

    def months(self) -> list[figures.Month]:
        """Return the UTC months from the start to the current time."""
        return figures.months_between(START_WALL_S, self.wall_s)

    def gaps(self) -> list[monthobjects.Gap]:
        """Return the gaps of all months."""
        gaps = {
            (gap.incarnation, gap.from_wall_s): gap
            for month in self.months()
            for gap in self.month_data(month).gaps
        }
        return list(gaps.values())

    def counted(self) -> int:
        """Return the number of requests in all tallies."""
        return sum(
            row.count
            for month in self.months()
            for rows in self.month_data(month).sections.values()
            for row in rows
            if figures.month_of_quarter_hour(row.arrival_slice) == month
        )

    def expected(self) -> int:
        """Return the number of records outside the gaps."""
        index = reportreplay.GapIndex(self.gaps())
        return sum(not index.contains(record) for record in self.records)
