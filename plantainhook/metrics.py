"""Prometheus metrics of leaf calls and connections.

Label values are few and fixed, so that the size of the page that Prometheus
reads does not grow with the number of leafs.
"""

import typing

import prometheus_client

from plantainhook import errors

LATENCY_BUCKETS_S: typing.Final = (
    0.001,
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
)
OUTCOME_OK: typing.Final = "ok"


class LeafMetrics:
    """Record one daemon's leaf calls, connections and waits for them."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._calls = prometheus_client.Counter(
            "plantainhook_leaf_calls",
            "Calls to leafs by outcome and by whether the request ran.",
            ["outcome", "ran"],
            registry=registry,
        )
        self.call_seconds = prometheus_client.Histogram(
            "plantainhook_leaf_call_seconds",
            "Time of successful leaf calls, with the wait for a connection.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.wait_seconds = prometheus_client.Histogram(
            "plantainhook_leaf_connection_wait_seconds",
            "Time that calls waited for a free connection.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._connects = prometheus_client.Counter(
            "plantainhook_leaf_connects",
            "Connections to leafs that were set up or failed.",
            ["outcome"],
            registry=registry,
        )
        self.resends = prometheus_client.Counter(
            "plantainhook_leaf_resends",
            "Calls sent again because nothing of the first try was written.",
            registry=registry,
        )
        self.limited_calls = prometheus_client.Counter(
            "plantainhook_leaf_limited_calls",
            "Calls to leafs that limit their requests, by reason.",
            ["reason"],
            registry=registry,
        )
        self.limited_leafs = prometheus_client.Gauge(
            "plantainhook_leaf_limits",
            "Leafs that limit their requests, as far as this daemon knows.",
            registry=registry,
        )
        self.leaving_replies = prometheus_client.Counter(
            "plantainhook_leaf_leaving_replies",
            "Replies that state that their leaf leaves.",
            registry=registry,
        )
        self.pauses = prometheus_client.Counter(
            "plantainhook_leaf_pauses",
            "Refusals in which a leaf asked this daemon for a pause.",
            registry=registry,
        )
        self.connections = prometheus_client.Gauge(
            "plantainhook_leaf_connections",
            "Connections to leafs that are open or being closed.",
            registry=registry,
        )
        self._ok = self._calls.labels(OUTCOME_OK, errors.Ran.YES)

    def count_ok(self, seconds: float) -> None:
        """Count a successful call and record its duration."""
        self._ok.inc()
        self.call_seconds.observe(seconds)

    def count_failure(self, error: errors.LeafError) -> None:
        """Count a failed call by the kind of its error."""
        self._calls.labels(error.kind, error.ran).inc()

    def count_connect(self, outcome: str) -> None:
        """Count an attempt to connect that was ``ok`` or ``failed``."""
        self._connects.labels(outcome).inc()
