"""Test the whole path from request records to a report."""

import testtools
import trio

from plantainhook import (
    aggregation,
    aggregationplan,
    errors,
    figures,
    report,
    reportdata,
    requestrecord,
    schema,
    segments,
    selfcheckstore,
)

# Noon UTC on 12 October 2026.
NOON_WALL_S: float = 1_791_806_400.0
MONTH = figures.Month(2026, 10)


def make_record(number: int, wall_s: float) -> requestrecord.RequestRecord:
    """Return the record of a complete answer after 250 ms."""
    return requestrecord.RequestRecord(
        daemon="daemon-1",
        incarnation=1,
        request_id=f"r{number}",
        kind="tiles",
        request_class="interactive",
        arrived_wall_s=wall_s,
        answered_wall_s=wall_s + 0.25,
        status=requestrecord.Status.COMPLETE,
        coverage_ratio=1.0,
        latency_ms=250.0,
        deadline_met=True,
    )


DEFINITIONS = {
    "requests": schema.Figure(measure=schema.Measure.COUNT),
    "latency": schema.Figure.model_validate(
        {"measure": "latency_percentile", "percentile": 99, "digits": 0}
    ),
}


class ReportPathTest(testtools.TestCase):
    """Check counting, writing, aggregation and the report together."""

    def test_killed_daemon_leaves_a_gap(self) -> None:
        """Guard against lost or invented requests of a killed daemon."""
        trio.run(self._killed_daemon)

    async def _killed_daemon(self) -> None:
        store = selfcheckstore.FaultyStore(seed=0, lost_ratio=0.0)
        writer = segments.SegmentWriter(store, "daemon-1", 1, NOON_WALL_S)
        for number in range(10):
            writer.record(make_record(number, NOON_WALL_S + number))
        (await writer.flush(NOON_WALL_S + 20)).unwrap()
        writer.record(make_record(10, NOON_WALL_S + 21))
        aggregator = aggregation.Aggregator(
            store, selfcheckstore.EpochWriter(store, 1)
        )
        dead = [
            aggregationplan.DeadDaemon(
                "daemon-1", 1, NOON_WALL_S, NOON_WALL_S + 30
            )
        ]
        for _ in range(2):
            summary = (
                await aggregator.run_pass(NOON_WALL_S + 60, dead)
            ).unwrap()
            self.assertEqual([], summary.failures)
        data = (await reportdata.read_month(store, MONTH)).unwrap()
        built = report.build_report(data, DEFINITIONS)
        values = {line.name: line.value.text() for line in built.lines}
        self.assertEqual({"requests": "10", "latency": "250"}, values)
        self.assertEqual(
            [(NOON_WALL_S + 20, NOON_WALL_S + 30)],
            [(gap.from_wall_s, gap.to_wall_s) for gap in built.gaps],
        )
        self.assertIn("Gap: daemon-1", report.as_text(built))

    def test_outage_keeps_records(self) -> None:
        """Guard against records that are lost in an outage of the store."""
        trio.run(self._outage)

    async def _outage(self) -> None:
        store = selfcheckstore.FaultyStore(seed=0, lost_ratio=0.0)
        writer = segments.SegmentWriter(store, "daemon-1", 1, NOON_WALL_S)
        writer.record(make_record(0, NOON_WALL_S))
        store.unavailable = True
        failed = (await writer.flush(NOON_WALL_S + 10)).unwrap_err()
        self.assertIsInstance(failed, errors.ObjectApiUnavailableError)
        store.unavailable = False
        (await writer.close(NOON_WALL_S + 20)).unwrap()
        data = (await reportdata.read_month(store, MONTH)).unwrap()
        built = report.build_report(data, DEFINITIONS)
        self.assertEqual("1", built.lines[1].value.text())
        self.assertEqual((), built.gaps)
