"""Define and validate the messages of the HTTP interface for callers.

``docs/openapi.json`` is generated from these models, including their
docstrings, and a test compares the two.
"""

import dataclasses
import json
import typing

import pydantic
import result
import xxhash

from plantainhook import errors, querytypes, schema, steps

HTTP_STATUS: typing.Final[dict[errors.RefusalKind, int]] = {
    errors.RefusalKind.BAD_REQUEST: 400,
    errors.RefusalKind.NOT_AUTHORISED: 403,
    errors.RefusalKind.UNKNOWN_TARGET: 404,
    errors.RefusalKind.UNKNOWN_KIND: 404,
    errors.RefusalKind.OUTCOME_UNKNOWN: 409,
    errors.RefusalKind.TICKET_REQUIRED: 428,
    errors.RefusalKind.OVERLOADED: 429,
    errors.RefusalKind.COVERAGE: 503,
    errors.RefusalKind.QUARANTINED: 503,
    errors.RefusalKind.STARTING: 503,
    errors.RefusalKind.DRAINING: 503,
    errors.RefusalKind.NO_SNAPSHOT: 503,
    errors.RefusalKind.DEADLINE: 504,
}


class QueryBody(schema.Model):
    """Represent the body of ``POST /v1/query``.

    ``area`` names tiles that a complete answer must contain. ``shards``
    restricts the query to some shards of the target. ``ticket`` makes the
    request run at most once.
    """

    target: schema.Name
    kind: schema.Name
    params: dict[str, typing.Any] = {}
    area: list[str] = []
    shards: list[str] = []
    deadline_ms: int | None = pydantic.Field(default=None, ge=1, le=600_000)
    ticket: str = pydantic.Field(default="", max_length=200)


class TicketsBody(schema.Model):
    """Represent the body of ``POST /v1/tickets``."""

    count: int = pydantic.Field(default=1, ge=1, le=1000)


class AnswerBody(schema.Model):
    """Represent a complete or partial answer.

    ``snapshot`` is the index version of the results. ``coverage`` is the
    weight of the merged shards divided by the weight of all requested shards.
    """

    request_id: str
    status: typing.Literal["complete", "partial"]
    snapshot: int
    coverage: float
    missing_shards: list[str]
    missing_tiles: list[str]
    results: dict[str, list[typing.Any]]
    ran: errors.Ran = errors.Ran.YES


class RefusalBody(schema.Model):
    """Represent a refusal; ``ran`` states whether the request may have run."""

    refusal: errors.RefusalKind
    ran: errors.Ran
    step: steps.Step
    peer: str
    detail: str
    retry_after_ms: int = 0
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Represent the HTTP status and the encoded JSON body of a response."""

    http_status: int
    body: bytes


def parse_query(
    body: bytes,
) -> result.Result[QueryBody, errors.RefusalError]:
    """Parse and validate the body of a query."""
    return _parse(QueryBody, body)


def parse_tickets(
    body: bytes,
) -> result.Result[TicketsBody, errors.RefusalError]:
    """Parse and validate the body of a request for tickets."""
    return _parse(TicketsBody, body or b"{}")


M = typing.TypeVar("M", bound=schema.Model)


def _parse(
    model: type[M], body: bytes
) -> result.Result[M, errors.RefusalError]:
    try:
        return result.Ok(model.model_validate_json(body))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        key_path = ".".join(str(part) for part in first["loc"])
        detail = f"{key_path}: {first['msg']}" if key_path else first["msg"]
        return result.Err(bad_request_refusal(detail))


def bad_request_refusal(detail: str) -> errors.RefusalError:
    """Build the refusal of an invalid request."""
    return errors.RefusalError(
        steps.Step.QUERY_ACCEPT,
        "caller",
        detail,
        errors.RefusalKind.BAD_REQUEST,
        errors.Ran.NO,
    )


def fingerprint_of(body: QueryBody) -> str:
    """Return a hash of the target, kind, parameters, area and shards."""
    parts = [body.target, body.kind, body.params, body.area, body.shards]
    text = json.dumps(parts, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_64_hexdigest(text.encode())


def answer_response(answer: querytypes.Answer) -> Response:
    """Build the response of a complete or partial answer."""
    body = AnswerBody(
        request_id=answer.request_id,
        status="complete" if answer.complete else "partial",
        snapshot=answer.snapshot,
        coverage=answer.coverage_ratio,
        missing_shards=list(answer.missing_shards),
        missing_tiles=list(answer.missing_tiles),
        results=answer.results,
    )
    return Response(200, body.model_dump_json().encode())


def refusal_response(
    refusal: errors.RefusalError, ticket: str = ""
) -> Response:
    """Build the response of a refusal."""
    body = RefusalBody(
        refusal=refusal.kind,
        ran=refusal.ran,
        step=refusal.step,
        peer=refusal.peer,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
        ticket=ticket,
    )
    return Response(HTTP_STATUS[refusal.kind], body.model_dump_json().encode())
