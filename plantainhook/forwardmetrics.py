"""Instruments of forwarded requests.

Labels are the urgency of a route and the outcome, which are few, so that the
exposition does not grow with routes, services or daemons.
"""

import prometheus_client

from plantainhook import errors, executor, metrics, routetable


class ForwardMetrics:
    """Count the answers of one daemon and their times."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._answers = prometheus_client.Counter(
            "plantainhook_forward_answers",
            "Answers by urgency of the route and by outcome.",
            ["urgency", "outcome"],
            registry=registry,
        )
        self._seconds = prometheus_client.Histogram(
            "plantainhook_forward_answer_seconds",
            "Time from the arrival of a request to its answer.",
            ["urgency"],
            buckets=metrics.LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._missing = prometheus_client.Counter(
            "plantainhook_forward_missing_parts",
            "Parts that answers lacked.",
            registry=registry,
        )
        self._in_flight = prometheus_client.Gauge(
            "plantainhook_forward_in_flight",
            "Requests in flight at the last answer.",
            registry=registry,
        )

    def count(
        self,
        route: routetable.Route,
        outcome: executor.Outcome,
        took_s: float,
        in_flight_count: int,
    ) -> None:
        """Count one answer."""
        urgency = str(route.urgency_rank)
        if isinstance(outcome, errors.RefusalError):
            name = f"{outcome.kind}, ran {outcome.ran}"
        else:
            name = "complete" if outcome.complete else "partial"
            self._missing.inc(len(outcome.missing_shards))
        self._answers.labels(urgency, name).inc()
        self._seconds.labels(urgency).observe(took_s)
        self._in_flight.set(in_flight_count)
