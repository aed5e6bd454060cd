"""Serve the HTTP interface for callers and operators.

This is a quart application on hypercorn's trio worker. If the options define
tokens, the routes for queries, status and draining require a token with the
route's role. The health, readiness and metrics routes require none; the
platform's load balancer calls the first two.
"""

import dataclasses
import hmac
import typing
from collections import abc

import hypercorn.config
import hypercorn.trio
import prometheus_client
import quart
import quart_trio
import trio

from plantainhook import (
    blackboard,
    callerapi,
    errors,
    messages,
    options,
    queryservice,
    steps,
)

JSON_TYPE: typing.Final = "application/json"
METRICS_TYPE: typing.Final = "text/plain; version=0.0.4; charset=utf-8"
# A daemon drains before it stops, so when the server shuts down it only has to
# close idle connections.
SERVER_GRACE_S: typing.Final = 1.0

ReadStatus = abc.Callable[[], abc.Awaitable[dict[str, typing.Any]]]


@dataclasses.dataclass(frozen=True, slots=True)
class FrontendDependencies:
    """Collect the objects that the HTTP interface uses."""

    options: options.Options
    board: blackboard.Blackboard
    service: queryservice.QueryService
    status: ReadStatus
    request_drain: abc.Callable[[], None]
    registry: prometheus_client.CollectorRegistry


def build_app(dependencies: FrontendDependencies) -> quart_trio.QuartTrio:
    """Build the application with all routes."""
    app = quart_trio.QuartTrio("plantainhook")
    app.config["MAX_CONTENT_LENGTH"] = (
        dependencies.options.query_body_limit_bytes
    )
    _add_query_routes(app, dependencies)
    _add_operator_routes(app, dependencies)
    _add_health_routes(app, dependencies)
    return app


async def serve(
    app: quart_trio.QuartTrio,
    bind: str,
    shutdown: trio.Event,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``shutdown`` is set.

    Reports the bound addresses through ``task_status`` when it is ready.
    """
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.graceful_timeout = SERVER_GRACE_S
    config.accesslog = None
    config.errorlog = None
    app_any: typing.Any = app
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            lambda task_status: hypercorn.trio.serve(
                app_any,
                config,
                shutdown_trigger=shutdown.wait,
                task_status=task_status,
            )
        )
        task_status.started(binds)


def authorise(
    dependencies: FrontendDependencies, header: str, role: str
) -> errors.RefusalError | None:
    """Return a refusal unless the bearer token has the role.

    ``header`` is the Authorization header. Without tokens in the options
    every request is authorised.
    """
    if not dependencies.options.tokens:
        return None
    token = header.removeprefix("Bearer ").encode()
    for candidate in dependencies.options.tokens:
        is_equal = hmac.compare_digest(candidate.token.encode(), token)
        if is_equal and role in candidate.roles:
            return None
    return errors.RefusalError(
        steps.Step.QUERY_ACCEPT,
        "caller",
        messages.NOT_AUTHORISED.format(role=role),
        errors.RefusalKind.NOT_AUTHORISED,
        errors.Ran.NO,
    )


def _http_response(response: callerapi.Response) -> quart.Response:
    return quart.Response(
        response.body, status=response.http_status, content_type=JSON_TYPE
    )


async def _request_body() -> bytes:
    body = await quart.request.get_data(as_text=False)
    return body if isinstance(body, bytes) else body.encode()


def _refuse_unauthorised(
    dependencies: FrontendDependencies, role: str
) -> quart.Response | None:
    header = quart.request.headers.get("Authorization", "")
    refusal = authorise(dependencies, header, role)
    if refusal is None:
        return None
    return _http_response(callerapi.refusal_response(refusal))


def _add_query_routes(
    app: quart_trio.QuartTrio, dependencies: FrontendDependencies
) -> None:
    @app.post("/v1/query")
    async def query() -> quart.Response:
        denied = _refuse_unauthorised(dependencies, "query")
        if denied is not None:
            return denied
        parsed = callerapi.parse_query(await _request_body())
        if parsed.is_err():
            return _http_response(
                callerapi.refusal_response(parsed.unwrap_err())
            )
        return _http_response(
            await dependencies.service.query(parsed.unwrap())
        )

    @app.post("/v1/tickets")
    async def issue_tickets() -> quart.Response:
        denied = _refuse_unauthorised(dependencies, "query")
        if denied is not None:
            return denied
        parsed = callerapi.parse_tickets(await _request_body())
        if parsed.is_err():
            return _http_response(
                callerapi.refusal_response(parsed.unwrap_err())
            )
        texts = dependencies.service.issue_tickets(parsed.unwrap().count)
        return quart.jsonify({"tickets": texts})


def _add_operator_routes(
    app: quart_trio.QuartTrio, dependencies: FrontendDependencies
) -> None:
    @app.get("/v1/status")
    async def status() -> quart.Response:
        denied = _refuse_unauthorised(dependencies, "read")
        if denied is not None:
            return denied
        return quart.jsonify(await dependencies.status())

    @app.post("/v1/drain")
    async def drain() -> quart.Response:
        denied = _refuse_unauthorised(dependencies, "drain")
        if denied is not None:
            return denied
        dependencies.request_drain()
        return quart.jsonify({"life": dependencies.board.lifecycle})

    @app.get("/metrics")
    async def metrics() -> quart.Response:
        text = prometheus_client.generate_latest(dependencies.registry)
        return quart.Response(text, content_type=METRICS_TYPE)


def _add_health_routes(
    app: quart_trio.QuartTrio, dependencies: FrontendDependencies
) -> None:
    @app.get("/healthz")
    async def healthz() -> quart.Response:
        return quart.jsonify({"life": dependencies.board.lifecycle})

    @app.get("/readyz")
    async def readyz() -> quart.Response:
        lifecycle = dependencies.board.lifecycle
        ready = lifecycle is blackboard.LifecycleState.SERVING
        response = quart.jsonify({"life": lifecycle})
        response.status_code = 200 if ready else 503
        return response
