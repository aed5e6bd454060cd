"""Commands that call a running daemon over HTTP: query, status, drain."""

import argparse
import json
import sys
import typing
from collections import abc

import httpx

from plantainhook import commands, errors

DEFAULT_URL: typing.Final = "http://127.0.0.1:8080"
CALL_MARGIN_S: typing.Final = 5.0
DEFAULT_TIMEOUT_S: typing.Final = 600.0

JsonObject = dict[str, typing.Any]


def add_daemon_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that all commands of this module share."""
    parser.add_argument(
        "--url",
        default=DEFAULT_URL,
        help="address of the daemon (default: %(default)s)",
    )
    parser.add_argument("--token", default="", help="bearer token")
    parser.add_argument(
        "--json", action="store_true", help="print JSON on one line"
    )


def add_query_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``query``."""
    add_daemon_arguments(parser)
    parser.add_argument("target", help="query target")
    parser.add_argument("kind", help="request kind")
    parser.add_argument(
        "--params", default="{}", help="parameters as a JSON object"
    )
    parser.add_argument(
        "--area", default="", help="required tiles, separated by commas"
    )
    parser.add_argument(
        "--shards",
        default="",
        help="shards to query, separated by commas (default: all)",
    )
    parser.add_argument(
        "--deadline-ms", type=int, help="deadline in milliseconds"
    )
    parser.add_argument(
        "--ticket", default="", help="ticket of an earlier attempt"
    )
    parser.add_argument(
        "--results", action="store_true", help="print the results as well"
    )


@commands.command(
    "query", "Send one query and print its answer.", add_query_arguments
)
def run_query(arguments: argparse.Namespace) -> int:
    """Send one query, with a new ticket if the daemon requires one."""
    try:
        params = json.loads(arguments.params)
    except json.JSONDecodeError as error:
        return report_usage_error(f"--params is not JSON: {error}")
    body: JsonObject = {
        "target": arguments.target,
        "kind": arguments.kind,
        "params": params,
        "area": split_names(arguments.area),
        "shards": split_names(arguments.shards),
        "deadline_ms": arguments.deadline_ms,
        "ticket": arguments.ticket,
    }
    answer = send_request(arguments, "POST", "/v1/query", body)
    if answer is None:
        return commands.EXIT_FAILED
    needs_ticket = answer.get("refusal") == errors.RefusalKind.TICKET_REQUIRED
    if needs_ticket:
        body["ticket"] = answer["ticket"]
        print(f"ticket: {answer['ticket']}", file=sys.stderr)
        answer = send_request(arguments, "POST", "/v1/query", body)
        if answer is None:
            return commands.EXIT_FAILED
    print_answer(arguments, answer)
    if "refusal" in answer:
        is_bad_request = answer["refusal"] == errors.RefusalKind.BAD_REQUEST
        return commands.EXIT_USAGE if is_bad_request else commands.EXIT_FAILED
    return commands.EXIT_DONE


def print_answer(arguments: argparse.Namespace, answer: JsonObject) -> None:
    """Print an answer or a refusal."""
    if arguments.json:
        print(json.dumps(answer))
        return
    if "refusal" in answer:
        print(f"refused: {answer['refusal']} at {answer['step']}")
        print(f"ran: {answer['ran']}")
        print(f"detail: {answer['detail']}")
        if answer["retry_after_ms"]:
            print(f"retry after: {answer['retry_after_ms']} ms")
        return
    print(f"status: {answer['status']}")
    print(f"snapshot: {answer['snapshot']}")
    print(f"coverage: {answer['coverage']:.4f}")
    if answer["missing_shards"]:
        print(f"missing shards: {', '.join(answer['missing_shards'])}")
    if answer["missing_tiles"]:
        print(f"missing tiles: {', '.join(answer['missing_tiles'])}")
    items_count = sum(len(items) for items in answer["results"].values())
    print(f"results: {items_count} of {len(answer['results'])} shards")
    if arguments.results:
        for shard, items in sorted(answer["results"].items()):
            print(f"  {shard}: {json.dumps(items)}")


@commands.command(
    "status",
    "Print the state of a daemon and its fleet.",
    add_daemon_arguments,
)
def run_status(arguments: argparse.Namespace) -> int:
    """Print the status of a daemon."""
    status = send_request(arguments, "GET", "/v1/status", None)
    if status is None:
        return commands.EXIT_FAILED
    print_object(arguments, status)
    return commands.EXIT_FAILED if "refusal" in status else 0


@commands.command(
    "drain", "Start a planned stop of a daemon.", add_daemon_arguments
)
def run_drain(arguments: argparse.Namespace) -> int:
    """Ask a daemon to stop once its requests in flight have ended."""
    reply = send_request(arguments, "POST", "/v1/drain", None)
    if reply is None:
        return commands.EXIT_FAILED
    print_object(arguments, reply)
    return commands.EXIT_FAILED if "refusal" in reply else 0


def print_object(arguments: argparse.Namespace, value: JsonObject) -> None:
    """Print an object as JSON or as indented text."""
    if arguments.json:
        print(json.dumps(value))
        return
    for line in format_lines(value, ""):
        print(line)


def format_lines(
    value: abc.Mapping[str, typing.Any], indent: str
) -> abc.Iterator[str]:
    """Yield the lines of a nested object, indented by level."""
    for key, item in value.items():
        if isinstance(item, dict):
            yield f"{indent}{key}:"
            yield from format_lines(item, indent + "  ")
        else:
            yield f"{indent}{key}: {item}"


def split_names(text: str) -> list[str]:
    """Split a list separated by commas; leave out empty names."""
    return [name.strip() for name in text.split(",") if name.strip()]


def send_request(
    arguments: argparse.Namespace,
    method: str,
    path: str,
    body: JsonObject | None,
) -> JsonObject | None:
    """Send a request and return the JSON reply, whatever its status.

    Prints an error and returns None if there is no reply or it isn't JSON.
    """
    headers = {}
    if arguments.token:
        headers["Authorization"] = f"Bearer {arguments.token}"
    try:
        reply = httpx.request(
            method,
            f"{arguments.url}{path}",
            json=body,
            headers=headers,
            timeout=call_timeout_s(body),
            trust_env=False,
        )
        answer: JsonObject = reply.json()
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
        print(f"error: {arguments.url}: {error}", file=sys.stderr)
        return None
    return answer


def call_timeout_s(body: JsonObject | None) -> float:
    """Return how long to wait for the daemon's reply."""
    if body is None or body.get("deadline_ms") is None:
        return DEFAULT_TIMEOUT_S
    return float(body["deadline_ms"]) / 1000 + CALL_MARGIN_S


def report_usage_error(detail: str) -> int:
    """Print a usage error and return its exit code."""
    print(f"error: {detail}", file=sys.stderr)
    return commands.EXIT_USAGE
