"""Measure the time and memory of a report by the number of daemons and days.

The store is filled by the production writers without faults, with one
incarnation of each daemon per day. The report is measured twice: from the
segments as the daemons left them, and from the month object after aggregation.
"""

import dataclasses
import random
import time
import tracemalloc
import typing

import trio

from plantainhook import (
    aggregation,
    figures,
    report,
    reportdata,
    reportselfcheck,
    segments,
    selfcheckstore,
    selfchecktraffic,
)

DAY_S: typing.Final = 86_400.0
MONTH: typing.Final = reportselfcheck.MONTH


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Describe the cost of one report.

    ``peak_bytes`` is the peak of the memory that Python allocated. It comes
    from a second run, because tracing memory slows a run down.
    """

    duration_s: float
    peak_bytes: int
    stored_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Report the costs for a number of daemons and days."""

    daemon_count: int
    day_count: int
    segments: Cost
    aggregated: Cost
    aggregation_s: float


def measure(
    daemon_count: int, day_count: int, requests_per_day: int
) -> Measurement:
    """Fill a store, and measure a report before and after aggregation."""
    store = selfcheckstore.FaultyStore(seed=0, lost_ratio=0.0)
    trio.run(_fill, store, daemon_count, day_count, requests_per_day)
    before = _report_cost(store)
    writer = selfcheckstore.EpochWriter(store, 1)
    aggregator = aggregation.Aggregator(store, writer)
    month_start_wall_s = MONTH.first_quarter_hour() * figures.QUARTER_HOUR_S
    started_s = time.perf_counter()
    now_wall_s = month_start_wall_s + day_count * DAY_S
    while (
        trio.run(aggregator.run_pass, now_wall_s, []).unwrap().aggregated_count
    ):
        pass
    aggregation_s = time.perf_counter() - started_s
    after = _report_cost(store)
    return Measurement(daemon_count, day_count, before, after, aggregation_s)


async def _fill(
    store: selfcheckstore.FaultyStore,
    daemon_count: int,
    day_count: int,
    requests_per_day: int,
) -> None:
    for day in range(day_count):
        wall_s = (
            MONTH.first_quarter_hour() * figures.QUARTER_HOUR_S + day * DAY_S
        )
        for number in range(daemon_count):
            incarnation = day * daemon_count + number
            name = f"daemon-{number}"
            writer = segments.SegmentWriter(store, name, incarnation, wall_s)
            traffic = selfchecktraffic.Traffic(
                name, incarnation, random.Random(incarnation)
            )
            traffic.add_arrivals(wall_s, wall_s + DAY_S, requests_per_day)
            for record in traffic.pop_answered(wall_s + 2 * DAY_S):
                writer.record(record)
            await writer.close(wall_s + DAY_S)


def _report_cost(store: selfcheckstore.FaultyStore) -> Cost:
    started_s = time.perf_counter()
    _report(store)
    duration_s = time.perf_counter() - started_s
    tracemalloc.start()
    _report(store)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    stored_bytes = sum(
        len(stored.encoded) for stored in store.objects.values()
    )
    return Cost(duration_s, peak_bytes, stored_bytes)


def _report(store: selfcheckstore.FaultyStore) -> str:
    data = trio.run(reportdata.read_month, store, MONTH).unwrap()
    month_report = report.build_report(data, reportselfcheck.definitions())
    return report.as_text(month_report)


def as_text(measurement: Measurement) -> str:
    """Format a measurement as one line."""
    return (
        f"{measurement.daemon_count} daemons, {measurement.day_count} days: "
        f"from segments {_cost_text(measurement.segments)}; "
        f"aggregated in {measurement.aggregation_s:.2f} s; "
        f"from the month {_cost_text(measurement.aggregated)}\n"
    )


def _cost_text(cost: Cost) -> str:
    return (
        f"{cost.duration_s:.2f} s, peak {cost.peak_bytes / 1e6:.1f} MB, "
        f"stored {cost.stored_bytes / 1e6:.2f} MB"
    )
