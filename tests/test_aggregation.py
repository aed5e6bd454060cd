"""Test segments and aggregation under lost replies, crashes and pauses."""

import typing
from unittest import mock

import msgspec
import testtools
from hypothesis import stateful
from hypothesis import strategies as st
from testtools import matchers

from plantainhook import (
    aggregation,
    aggregationplan,
    errors,
    figures,
    monthobjects,
    objectapi,
    segments,
    tallies,
)
from tests import aggregationfleet, steppedapi

DAY_S: typing.Final = 86_400.0


class AggregationMachine(stateful.RuleBasedStateMachine):
    """Interleave daemons, faults and aggregation passes in any order."""

    @stateful.initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.fleet = aggregationfleet.Fleet(seed, lost_ratio=0.2)
        self.fleet.start()
        self.epoch = 1
        self.passes: list[steppedapi.Stepper[object]] = []

    def daemon(self, number: int) -> aggregationfleet.Daemon:
        if not self.fleet.daemons:
            return self.fleet.start()
        return self.fleet.daemons[number % len(self.fleet.daemons)]

    @stateful.rule(number=st.integers(0, 3), count=st.integers(1, 3))
    def record(self, number: int, count: int) -> None:
        self.fleet.record(self.daemon(number), count)

    @stateful.rule(number=st.integers(0, 3))
    def flush(self, number: int) -> None:
        self.fleet.flush(self.daemon(number))

    @stateful.rule(number=st.integers(0, 3), calls_count=st.integers(0, 8))
    def kill(self, number: int, calls_count: int) -> None:
        daemon = self.daemon(number)
        self.fleet.kill(daemon, calls_count)

    @stateful.rule(number=st.integers(0, 3))
    def declare_dead(self, number: int) -> None:
        self.fleet.declare_dead(self.daemon(number))

    @stateful.rule(number=st.integers(0, 3))
    def stop(self, number: int) -> None:
        self.fleet.stop(self.daemon(number))

    @stateful.rule(seconds=st.sampled_from([10.0, 3600.0, DAY_S, 3 * DAY_S]))
    def advance(self, seconds: float) -> None:
        self.fleet.wall_s += seconds

    @stateful.rule(unavailable=st.booleans())
    def outage(self, unavailable: bool) -> None:
        self.fleet.store.unavailable = unavailable

    @stateful.rule(calls_count=st.integers(1, 60))
    def begin_pass(self, calls_count: int) -> None:
        """Start a pass, which takes over if another is in progress."""
        if any(not one.done for one in self.passes):
            self.epoch += 1
        self.passes.append(self.fleet.new_pass(self.epoch))
        self.passes[-1].step(calls_count)

    @stateful.rule(number=st.integers(0, 9), calls_count=st.integers(1, 60))
    def resume_pass(self, number: int, calls_count: int) -> None:
        if self.passes:
            self.passes[number % len(self.passes)].step(calls_count)

    @stateful.rule(number=st.integers(0, 9))
    def crash_pass(self, number: int) -> None:
        if self.passes:
            self.passes[number % len(self.passes)].crash()
            self.epoch += 1

    def teardown(self) -> None:
        """Check that nothing is counted twice or lost outside the gaps."""
        if not hasattr(self, "fleet"):
            return
        self.fleet.finish_all(self.epoch + 1)
        for one in self.passes:
            one.finish() if not one.done else None
        self.fleet.finish_all(self.epoch + 2)
        gaps = {gap.incarnation for gap in self.fleet.gaps()}
        assert gaps == self.fleet.killed, (gaps, self.fleet.killed)
        assert self.fleet.counted() == self.fleet.expected()


AggregationMachineTest = AggregationMachine.TestCase


class FencingTest(testtools.TestCase):
    """Check the epoch against a holder that resumes after its successor."""

    def counts(self) -> tuple[int, int]:
        """Pause a holder before its month update while a successor aggregates.

        Returns the counted and the expected number of requests.
        """
        fleet = aggregationfleet.Fleet()
        daemon = fleet.start()
        fleet.record(daemon, 4)
        fleet.stop(daemon)
        paused = fleet.new_pass(epoch=1)
        paused.step(2)
        for epoch in (2, 2):
            fleet.new_pass(epoch).finish()
        other = fleet.start()
        fleet.record(other)
        fleet.stop(other)
        fleet.new_pass(epoch=2).finish()
        paused.finish()
        return fleet.counted(), fleet.expected()

    def test_paused_holder_is_fenced(self) -> None:
        """Guard against a segment that is added by two holders."""
        counted, expected = self.counts()
        self.assertEqual(expected, counted)

    def test_defect_without_epoch_is_seen(self) -> None:
        """Guard against a scenario that doesn't detect a missing epoch."""
        no_fence = mock.patch.object(
            aggregation.AggregationPass, "_is_fenced", lambda *_: False
        )
        with no_fence:
            counted, expected = self.counts()
        self.assertEqual(expected + 4, counted)


class AggregationTest(testtools.TestCase):
    """Check individual outcomes of aggregation."""

    def test_late_segment_becomes_a_dated_correction(self) -> None:
        """Guard against figures that change after the month is closed."""
        fleet = aggregationfleet.Fleet()
        daemon = fleet.start()
        fleet.record(daemon, 2)
        fleet.flush(daemon)
        fleet.record(daemon)
        fleet.declare_dead(daemon)
        fleet.new_pass(1).finish()
        fleet.wall_s += 4 * DAY_S
        fleet.new_pass(1).finish()
        closed = fleet.month_data(aggregationfleet.MONTH)
        self.assertTrue(closed.closed_wall_s)
        self.assertEqual(1, len(closed.gaps))
        fleet.stop(daemon)
        fleet.new_pass(1).finish()
        data = fleet.month_data(aggregationfleet.MONTH)
        day = figures.day_of(fleet.wall_s)
        self.assertEqual([day], data.correction_days())
        self.assertEqual([1], [row.count for row in data.sections[day]])
        base = data.sections[monthobjects.BASE_SECTION]
        self.assertEqual(2, sum(row.count for row in base))
        self.assertEqual([], data.gaps)

    def test_daemon_that_wrote_nothing_is_a_gap(self) -> None:
        """Guard against a lost daemon that leaves no gap."""
        fleet = aggregationfleet.Fleet()
        daemon = fleet.start()
        fleet.record(daemon, 3)
        fleet.kill(daemon)
        fleet.finish_all(1)
        self.assertEqual(0, fleet.counted())
        self.assertEqual(
            [daemon.started_wall_s], [gap.from_wall_s for gap in fleet.gaps()]
        )

    def test_silent_daemons_are_dead_once(self) -> None:
        """Guard against missing a daemon that died between two segments.

        After the next pass it must not be declared dead again.
        """
        fleet = aggregationfleet.Fleet()
        stopped, rotated, live = (fleet.start() for _ in range(3))
        fleet.stop(stopped)
        fleet.flush(rotated)
        fleet.wall_s += DAY_S
        for daemon in (rotated, live):
            fleet.flush(daemon)
        fleet.wall_s += 60
        for dead_incarnations in ([2], []):
            found = steppedapi.run(
                aggregationplan.list_segments(fleet.api)
            ).unwrap()
            dead = aggregationplan.dead_daemons(found, {3}, fleet.wall_s, 30.0)
            self.assertEqual(
                dead_incarnations, [one.incarnation for one in dead]
            )
            fleet.dead = dead
            fleet.new_pass(1).finish()
        self.assertEqual(61, round(self.gap_s(fleet)))

    def gap_s(self, fleet: aggregationfleet.Fleet) -> float:
        """Return the length of the only gap in seconds."""
        (gap,) = fleet.gaps()
        return gap.to_wall_s - gap.from_wall_s

    def test_folded_list_is_bounded(self) -> None:
        """Guard against a month object that grows with each segment."""
        fleet = aggregationfleet.Fleet()
        for _ in range(20):
            daemon = fleet.start()
            fleet.record(daemon)
            fleet.stop(daemon)
            fleet.new_pass(1).finish()
        key = monthobjects.month_key(aggregationfleet.MONTH)
        value = fleet.store.stored(key).value
        self.assertEqual(20, value["folded_count"])
        self.assertEqual(1, len(value["folded"]))

    def test_pass_is_bounded(self) -> None:
        """Guard against a pass that takes any number of segments at once."""
        fleet = aggregationfleet.Fleet()
        for _ in range(5):
            daemon = fleet.start()
            fleet.record(daemon)
            fleet.stop(daemon)
        with mock.patch.object(aggregation, "SEGMENTS_PER_PASS_COUNT", 2):
            for left_count in (3, 1, 0):
                fleet.new_pass(1).finish()
                data = fleet.month_data(aggregationfleet.MONTH)
                self.assertThat(
                    data.live_until_wall_s, matchers.HasLength(left_count)
                )
                self.assertEqual(5, fleet.counted())

    def test_stopped_daemon_declared_dead_has_no_gap(self) -> None:
        """Guard against a gap reported after the last segment is deleted."""
        fleet = aggregationfleet.Fleet()
        daemon = fleet.start()
        fleet.record(daemon)
        fleet.declare_dead(daemon)
        fleet.stop(daemon)
        for _ in range(3):
            fleet.new_pass(1).finish()
            fleet.wall_s += 3 * DAY_S
        self.assertEqual([], fleet.gaps())

    def test_folded_segments_expire(self) -> None:
        """Guard against a list of segments that grows without limit."""
        fleet = aggregationfleet.Fleet()
        for stopped in (True, False):
            daemon = fleet.start()
            fleet.record(daemon)
            fleet.flush(daemon)
            (fleet.stop if stopped else fleet.kill)(daemon)
        fleet.new_pass(1).finish()
        for days, kept_count in ((1, 2), (3, 1), (40, 0)):
            fleet.wall_s += days * DAY_S
            fleet.dead.clear()
            fleet.new_pass(1).finish()
            keys = [
                key
                for key in fleet.store.objects
                if key.startswith(segments.SEGMENT_PREFIX)
            ]
            self.assertEqual((days, kept_count), (days, len(keys)))
        self.assertEqual(2, fleet.counted())


class SegmentTest(testtools.TestCase):
    """Check the writing of segments."""

    def test_few_histograms_are_decoded(self) -> None:
        """Guard against memory that grows with the slices of a month."""
        counted = tallies.TallyMap()
        for number in range(200):
            wall_s = aggregationfleet.START_WALL_S + number * 900
            counted.record(aggregationfleet.make_record(1, number, wall_s))
        decoded = [
            tally
            for tally in counted.tallies.values()
            if tally.latency.decoded
        ]
        self.assertThat(
            decoded, matchers.HasLength(tallies.DECODED_TALLIES_MAX_COUNT)
        )
        self.assertEqual(200, sum(row.count for row in counted.rows()))

    def test_large_segment_is_split(self) -> None:
        """Guard against values over the limit of the object API."""
        fleet = aggregationfleet.Fleet()
        daemon = fleet.start()
        fleet.wall_s += 40_000
        self.fill(daemon)
        steppedapi.run(daemon.writer.flush(fleet.wall_s)).unwrap()
        sizes = {
            key: len(stored.encoded)
            for key, stored in fleet.store.objects.items()
        }
        self.assertTrue(sum(sizes.values()) > objectapi.VALUE_LIMIT_BYTES)
        self.assertTrue(max(sizes.values()) <= objectapi.VALUE_LIMIT_BYTES)
        self.assertEqual(8_000, fleet.counted())
        self.fill(daemon)
        steppedapi.run(daemon.writer.flush(fleet.wall_s)).unwrap()
        self.assertEqual(16_000, fleet.counted())

    def fill(self, daemon: aggregationfleet.Daemon) -> None:
        """Count records of 200 kinds in 40 slices."""
        for number in range(8_000):
            wall_s = aggregationfleet.START_WALL_S + number // 200 * 900
            record = msgspec.structs.replace(
                aggregationfleet.make_record(1, number, wall_s),
                kind=f"kind-{number % 200}",
                arrived_wall_s=wall_s,
            )
            daemon.writer.record(record)

    def test_writer_continues_after_its_segment_was_deleted(self) -> None:
        """Guard against a close that never ends after a false declaration.

        The segment of a disconnected daemon is sealed, its daemon is declared
        dead twice, and the segment is aggregated and deleted before the daemon
        returns.
        """
        for was_stored in (False, True):
            fleet = aggregationfleet.Fleet()
            daemon = fleet.start()
            fleet.record(daemon, 2)
            fleet.flush(daemon)
            fleet.record(daemon, 3)
            fleet.store.lost_ratio = 1.0
            fleet.store.unavailable = not was_stored
            fleet.flush(daemon)
            fleet.store.lost_ratio = 0.0
            fleet.store.unavailable = False
            fleet.store.apply_late_writes()
            for declared in (True, True, False):
                if declared:
                    fleet.declare_dead(daemon)
                fleet.new_pass(1).finish()
                fleet.dead.clear()
                fleet.wall_s += 3 * DAY_S
            key = segments.segment_key(daemon.writer.incarnation, 0)
            self.assertNotIn(key, fleet.store.objects)
            fleet.record(daemon)
            close = daemon.writer.close(fleet.wall_s)
            steppedapi.run(close).unwrap()
            fleet.daemons.remove(daemon)
            fleet.finish_all(1)
            self.assertEqual(6, fleet.expected())
            self.assertEqual((was_stored, 6), (was_stored, fleet.counted()))

    def test_cancelled_flush_keeps_records(self) -> None:
        """Guard against records lost while a write is prepared."""
        fleet = aggregationfleet.Fleet()
        daemon = fleet.start()
        fleet.record(daemon, 2)
        flush = steppedapi.Stepper(daemon.writer.flush(fleet.wall_s))
        flush.step(1)
        flush.crash()
        fleet.record(daemon, 3)
        fleet.stop(daemon)
        self.assertEqual(5, fleet.counted())

    def test_foreign_write_is_an_error(self) -> None:
        """Guard against two writers of one segment."""
        fleet = aggregationfleet.Fleet()
        daemon = fleet.start()
        fleet.flush(daemon)
        second_writer = segments.SegmentWriter(
            fleet.api, "daemon-1", 1, fleet.wall_s, steppedapi.pause
        )
        error = steppedapi.run(second_writer.flush(fleet.wall_s)).unwrap_err()
        self.assertIsInstance(error, errors.ObjectConflictError)
