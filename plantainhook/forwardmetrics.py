"""Prometheus metrics of forwarded requests.

The labels are the urgency of the route and the outcome. They have few values,
so the size of the exposition does not grow with the number of routes,
services or daemons.
"""

import functools
from collections import abc

import prometheus_client

from plantainhook import (
    errors,
    executor,
    gatheradmission,
    metrics,
    quarantine,
    recoverypace,
    routetable,
    storeaccount,
)


class ForwardMetrics:
    """Record the answers of one daemon and their latencies."""

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
        self.branches = prometheus_client.Counter(
            "plantainhook_forward_branches",
            "Branches at helpers: sent, repeated messages, lost helpers.",
            ["event"],
            registry=registry,
        )
        self.store_age = prometheus_client.Gauge(
            "plantainhook_forward_store_age_seconds",
            "Time since the store, or a peer that it answers, replied last.",
            ["kind"],
            registry=registry,
        )
        self._store_bytes = prometheus_client.Gauge(
            "plantainhook_forward_store_bytes",
            "Bytes that the copies of the store's objects take, by kind.",
            ["kind"],
            registry=registry,
        )
        self.crash_evidence = prometheus_client.Gauge(
            "plantainhook_forward_crash_evidence",
            "Leafs that lost runs, and suspected and quarantined requests.",
            ["kind"],
            registry=registry,
        )
        self._quotas = prometheus_client.Counter(
            "plantainhook_forward_quota_requests",
            "Requests of tenants with a quota: admitted, refused.",
            ["tenant", "outcome"],
            registry=registry,
        )
        self._ramps = prometheus_client.Gauge(
            "plantainhook_forward_recovering_leafs",
            "Leafs that have started or recovered and get fewer calls.",
            registry=registry,
        )
        self._shares = prometheus_client.Gauge(
            "plantainhook_forward_recovery_share",
            "Share of calls of the recovering leafs; 1 without any.",
            ["statistic"],
            registry=registry,
        )
        self._queue = prometheus_client.Gauge(
            "plantainhook_forward_queue",
            "Gathered queries that run here and that wait for the processor.",
            ["state"],
            registry=registry,
        )
        self._in_flight = prometheus_client.Gauge(
            "plantainhook_forward_in_flight",
            "Requests in flight at the last answer.",
            registry=registry,
        )

    def watch_quarantine(self, watched: quarantine.Quarantine) -> None:
        """Show the evidence that a quarantine holds."""
        evidence: dict[str, abc.Sized] = {
            "lost_leafs": watched.losses,
            "suspects": watched.suspicions,
            "quarantined": watched.until_s,
        }
        for kind, entries in evidence.items():
            self.crash_evidence.labels(kind).set_function(
                functools.partial(len, entries)
            )

    def watch_store(self, account: storeaccount.StoreAccount) -> None:
        """Show what the copies of the store's objects take."""
        for kind in storeaccount.Kind:
            self._store_bytes.labels(kind.value).set_function(
                functools.partial(account.bytes_by_kind.__getitem__, kind)
            )

    def watch_pace(self, pace: recoverypace.RecoveryPace) -> None:
        """Show how many leafs have a ramp, and their shares."""
        self._ramps.set_function(lambda: len(pace.ramps))
        self._shares.labels("least").set_function(pace.least_share)
        self._shares.labels("mean").set_function(pace.mean_share)

    def count_quota(self, tenant: str, is_admitted: bool) -> None:
        """Record a decision about a request of a tenant with a quota."""
        outcome = "admitted" if is_admitted else "refused"
        self._quotas.labels(tenant, outcome).inc()

    def watch_queue(self, queue: gatheradmission.AdmissionQueue) -> None:
        """Show how many gathered queries run and wait."""
        self._queue.labels("running").set_function(lambda: queue.running_count)
        self._queue.labels("waiting").set_function(lambda: len(queue.waiting))

    def count(
        self,
        route: routetable.Route,
        outcome: executor.Outcome,
        duration_s: float,
        in_flight_count: int,
    ) -> None:
        """Record one answer or refusal."""
        urgency = str(route.urgency_rank)
        if isinstance(outcome, errors.RefusalError):
            name = f"{outcome.kind}, ran {outcome.ran}"
        else:
            name = "complete" if outcome.complete else "partial"
            self._missing.inc(len(outcome.missing_shards))
        self._answers.labels(urgency, name).inc()
        self._seconds.labels(urgency).observe(duration_s)
        self._in_flight.set(in_flight_count)
