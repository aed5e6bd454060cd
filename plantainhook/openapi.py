"""OpenAPI description of the caller interface, built from its models.

The command ``plantainhook openapi`` prints it. The file docs/openapi.json has
the same text; a test fails if the two differ, so generate the file again
after a change of a model or of its docstring.
"""

import argparse
import json
import typing

from plantainhook import callerapi, commands, schema

TITLE: typing.Final = "plantainhook"
VERSION: typing.Final = "1"
SCHEMA_PREFIX: typing.Final = "#/components/schemas/"
MODELS: typing.Final[tuple[type[schema.Model], ...]] = (
    callerapi.QueryBody,
    callerapi.AnswerBody,
    callerapi.RefusalBody,
    callerapi.TicketsBody,
)
REFUSAL_TEXTS: typing.Final = {
    400: "The request is not valid.",
    403: "The token does not have the role.",
    404: "The target or the request kind does not exist.",
    409: "The request may have run before; it will not be run again.",
    428: "The kind runs at most once and needs a ticket.",
    429: "The daemon is overloaded; retry after the time given.",
    503: "There is no acceptable answer now.",
    504: "The deadline cannot be met or has passed.",
}

Json = dict[str, typing.Any]


def build_document() -> Json:
    """Return the OpenAPI document."""
    return {
        "openapi": "3.1.0",
        "info": {"title": TITLE, "version": VERSION},
        "paths": {
            "/v1/query": {"post": _query_operation()},
            "/v1/tickets": {"post": _tickets_operation()},
            "/healthz": {"get": _state_operation("The process runs.")},
            "/readyz": {"get": _state_operation("Ready for requests.")},
        },
        "components": {"schemas": _schemas()},
    }


def document_text() -> str:
    """Return the document in the text form of docs/openapi.json."""
    return json.dumps(build_document(), indent=2, sort_keys=True) + "\n"


def _schemas() -> Json:
    schemas: Json = {}
    for model in MODELS:
        model_schema = model.model_json_schema(
            ref_template=SCHEMA_PREFIX + "{model}"
        )
        schemas.update(model_schema.pop("$defs", {}))
        schemas[model.__name__] = model_schema
    return schemas


def _content(model: type[schema.Model]) -> Json:
    reference = {"$ref": SCHEMA_PREFIX + model.__name__}
    return {"application/json": {"schema": reference}}


def _refusal_responses() -> Json:
    return {
        str(status): {
            "description": text,
            "content": _content(callerapi.RefusalBody),
        }
        for status, text in REFUSAL_TEXTS.items()
    }


def _query_operation() -> Json:
    answer = {
        "description": "The answer, complete or partial.",
        "content": _content(callerapi.AnswerBody),
    }
    return {
        "summary": "Run one query over the shards of a target.",
        "requestBody": {
            "required": True,
            "content": _content(callerapi.QueryBody),
        },
        "responses": {"200": answer, **_refusal_responses()},
    }


def _tickets_operation() -> Json:
    return {
        "summary": "Issue tickets for requests that run at most once.",
        "requestBody": {"content": _content(callerapi.TicketsBody)},
        "responses": {"200": {"description": "The tickets."}},
    }


def _state_operation(summary: str) -> Json:
    return {
        "summary": summary,
        "responses": {
            "200": {"description": "Yes."},
            "503": {"description": "No."},
        },
    }


def add_no_arguments(parser: argparse.ArgumentParser) -> None:
    """Add nothing, since ``openapi`` takes no arguments."""


@commands.command(
    "openapi",
    "Print the OpenAPI description of the caller interface.",
    add_no_arguments,
)
def run_openapi(arguments: argparse.Namespace) -> int:
    """Print the document."""
    print(document_text(), end="")
    return commands.EXIT_DONE
