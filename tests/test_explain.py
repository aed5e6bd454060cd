"""Tests of the timeline of a request and of the JSON log."""

import os
import typing

import loguru
import testtools

from plantainhook import explain, logs

LOG: typing.Final = """\
{"time":"2026-12-04T10:00:00.000+00:00","level":"INFO","part":"routes",\
"message":"Configuration 7 is in force.","omitted":0}
{"time":"2026-12-04T10:00:01.200+00:00","level":"INFO","part":"directory",\
"message":"Leaf i-1 of service s at 10.0.0.1:80 drains.","omitted":3}
{"time":"2026-12-04T10:00:01.400+00:00","level":"INFO","part":"forward",\
"message":"Request abc on route r was refused after 9 ms: coverage, \
ran no, no leaf is left.","omitted":0}
{"time":"2026-12-04T10:00:01.39
no json at all
{"time":"2026-12-04T10:00:01.300+00:00","level":"INFO","part":"attempt",\
"message":"Attempt 1 (first) of request abc on leaf i-1 of service s failed: \
refused, ran no, the leaf refused the request with 503.","omitted":0}
"""


class ExplainTest(testtools.TestCase):
    """Check the timeline of a request."""

    def timeline(
        self, request_id: str, around_s: float = 0.5
    ) -> explain.Timeline:
        """Build the timeline of a request from ``LOG``."""
        lines, unreadable_count = explain.read_lines("d1", LOG.splitlines())
        return explain.build_timeline(
            request_id, lines, unreadable_count, around_s
        )

    def test_lines_in_order(self) -> None:
        """Guard against a cause that is printed after its effect."""
        parts = [item.line.part for item in self.timeline("abc").lines]
        self.assertEqual(["directory", "attempt", "forward"], parts)

    def test_bad_lines_are_counted(self) -> None:
        """Guard against a truncated log that stops the reader."""
        self.assertEqual(2, self.timeline("abc").unreadable_count)
        self.assertEqual(3, self.timeline("abc").omitted_count)

    def test_unknown_request(self) -> None:
        """Guard against context lines without any line of the request."""
        self.assertEqual([], self.timeline("nobody").lines)

    def test_prefix(self) -> None:
        """Check that a line with a time and a name before it is parsed."""
        raw = "  1.2 vm-7 " + LOG.splitlines()[0]
        lines, unreadable_count = explain.read_lines("all.log", [raw])
        self.assertEqual(
            ("all.log vm-7", 0), (lines[0].source, unreadable_count)
        )


class SinkTest(testtools.TestCase):
    """Check that writing a line never blocks."""

    def test_full_pipe_loses_lines_and_counts_them(self) -> None:
        """Guard against requests that wait for the reader of a log."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        logger = loguru.logger
        handler = logger.add(logs.JsonSink(writer), format="{message}")
        self.addCleanup(logger.remove, handler)
        part_logger = logs.part_logger("test")
        for number in range(5_000):
            part_logger.info("line {}", number)
        data = os.read(reader, 1 << 20)
        part_logger.info("after")
        last = os.read(reader, 1 << 20).decode().splitlines()[-1]
        lines, unreadable_count = explain.read_lines(
            "x", data.decode().splitlines()
        )
        after, _ = explain.read_lines("x", [last])
        self.assertEqual(0, unreadable_count)
        self.assertTrue(0 < len(lines) < 5_000)
        self.assertEqual(5_000 - len(lines), after[0].line.omitted)
