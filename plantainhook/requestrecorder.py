"""Record answered requests for the monthly figures and the metrics."""

import typing

import prometheus_client

from plantainhook import (
    blackboard,
    options,
    queryservice,
    querytypes,
    requestrecord,
    segments,
)

LATENCY_BUCKETS_S: typing.Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class RequestRecorder:
    """Pass each answered request to the segment writer and the metrics."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        run_options: options.Options,
        writer: segments.SegmentWriter,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        self._board = board
        self._options = run_options
        self._writer = writer
        self._requests = prometheus_client.Counter(
            "plantainhook_requests",
            "Answered requests by kind and status.",
            ["kind", "status"],
            registry=registry,
        )
        self._latency = prometheus_client.Histogram(
            "plantainhook_request_seconds",
            "Time from arrival to answer by kind.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._coverage = prometheus_client.Histogram(
            "plantainhook_request_coverage",
            "Coverage ratio of answers by kind.",
            ["kind"],
            buckets=(0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0),
            registry=registry,
        )

    def record(self, answered: queryservice.AnsweredRequest) -> None:
        """Count an answered request."""
        status = status_of(answered)
        coverage_ratio = 0.0
        if isinstance(answered.outcome, querytypes.Answer):
            coverage_ratio = answered.outcome.coverage_ratio
            self._coverage.labels(answered.kind).observe(coverage_ratio)
        self._requests.labels(answered.kind, status).inc()
        self._latency.labels(answered.kind).observe(answered.latency_s)
        self._writer.record(
            requestrecord.RequestRecord(
                daemon=self._options.name,
                incarnation=self._board.incarnation,
                request_id=answered.request_id,
                kind=answered.kind,
                request_class=answered.request_class,
                arrived_wall_s=answered.arrived_wall_s,
                answered_wall_s=answered.answered_wall_s,
                status=status,
                coverage_ratio=coverage_ratio,
                latency_ms=1000 * answered.latency_s,
                deadline_met=answered.deadline_met,
                resend_of=answered.resend_of,
            )
        )


def status_of(answered: queryservice.AnsweredRequest) -> requestrecord.Status:
    """Return how a request was answered."""
    if not isinstance(answered.outcome, querytypes.Answer):
        return requestrecord.Status.REFUSED
    if answered.outcome.complete:
        return requestrecord.Status.COMPLETE
    return requestrecord.Status.PARTIAL
