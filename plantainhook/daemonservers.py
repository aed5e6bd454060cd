"""Build the HTTP servers of a daemon: callers, readiness and metrics."""

from collections import abc

import prometheus_client

from plantainhook import (
    blackboard,
    clientguard,
    forwardservice,
    forwardtypes,
    httpserver,
    routetable,
)


def build_caller_server(
    board: blackboard.Blackboard,
    dialect: forwardtypes.Dialect,
    service: forwardservice.ForwardService,
    guard: clientguard.ClientGuard,
) -> httpserver.HttpServer:
    """Build the server that takes the requests of callers."""

    async def answer(
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
        arrived_s: float,
    ) -> forwardtypes.Response:
        return await service.answer(
            dialect.read_request(method, target, headers, body),
            arrived_s,
        )

    def find_limits() -> routetable.ClientLimits:
        return board.routes.limits

    return httpserver.HttpServer(answer, find_limits, guard)


def build_readiness_server(
    is_ready: abc.Callable[[], bool], guard: clientguard.ClientGuard
) -> httpserver.HttpServer:
    """Build the server that tells the load balancer of this daemon."""

    async def answer_ready(
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
        arrived_s: float,
    ) -> forwardtypes.Response:
        status = forwardtypes.STATUS_UNAVAILABLE
        if is_ready():
            status = forwardtypes.STATUS_OK
        return forwardtypes.Response(status, [], b"")

    return httpserver.HttpServer(answer_ready, default_limits, guard)


def build_metrics_server(
    registry: prometheus_client.CollectorRegistry,
    guard: clientguard.ClientGuard,
) -> httpserver.HttpServer:
    """Build the server that returns the metrics of a registry."""

    async def answer_metrics(
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
        arrived_s: float,
    ) -> forwardtypes.Response:
        content_type = (b"content-type", b"text/plain; version=0.0.4")
        text = prometheus_client.generate_latest(registry)
        return forwardtypes.Response(
            forwardtypes.STATUS_OK, [content_type], text
        )

    return httpserver.HttpServer(answer_metrics, default_limits, guard)


def default_limits() -> routetable.ClientLimits:
    """Return the limits for readiness checks and requests for metrics."""
    return routetable.ClientLimits()
