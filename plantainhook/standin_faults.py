"""Build the faulty replies of the stand-in leaf, by the name of a fault.

Each fault function receives the body of the correct reply and returns what is
sent instead. The search has been executed before the fault applies.
"""

import typing
from collections import abc

from plantainhook import standinhttp

OVERSIZED_BYTES: typing.Final = 5_000_000
ReplyFault = typing.Literal[
    "none",
    "delay",
    "drop",
    "malformed",
    "not_json",
    "truncated",
    "oversized",
    "wrong_id",
    "wrong_snapshot",
    "missing_shard",
]
Body = dict[str, typing.Any]
FaultFunction = abc.Callable[[Body], standinhttp.HttpReply]

_FAULTS: typing.Final[dict[str, FaultFunction]] = {}


def fault(name: str) -> abc.Callable[[FaultFunction], FaultFunction]:
    """Return a decorator that registers a fault function under a name."""

    def add(function: FaultFunction) -> FaultFunction:
        _FAULTS[name] = function
        return function

    return add


def build_reply(name: ReplyFault, body: Body) -> standinhttp.HttpReply:
    """Return the reply of a fault, given the body of the correct reply."""
    return _FAULTS[name](body)


@fault("none")
@fault("delay")
def correct(body: Body) -> standinhttp.HttpReply:
    """Send the correct reply; ``standin_model`` applies the delay before."""
    return standinhttp.json_reply(200, body)


@fault("drop")
def drop(body: Body) -> standinhttp.HttpReply:
    """Close the connection without a reply."""
    return standinhttp.HttpReply(200, raw=b"")


@fault("malformed")
def malformed(body: Body) -> standinhttp.HttpReply:
    """Send bytes that are not HTTP."""
    return standinhttp.HttpReply(200, raw=b"\x00\x01 no http\r\n\r\n")


@fault("not_json")
def not_json(body: Body) -> standinhttp.HttpReply:
    """Send a body that is not JSON."""
    return standinhttp.HttpReply(200, b"{")


@fault("truncated")
def truncated(body: Body) -> standinhttp.HttpReply:
    """Close the connection in the middle of the body."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
    return standinhttp.HttpReply(200, raw=head + b'{"request_id"')


@fault("oversized")
def oversized(body: Body) -> standinhttp.HttpReply:
    """Send a body that exceeds the size limit of the client."""
    return standinhttp.HttpReply(200, b" " * OVERSIZED_BYTES)


@fault("wrong_id")
def wrong_id(body: Body) -> standinhttp.HttpReply:
    """Send the reply with the id of another request."""
    return standinhttp.json_reply(200, {**body, "request_id": "other.0"})


@fault("wrong_snapshot")
def wrong_snapshot(body: Body) -> standinhttp.HttpReply:
    """Send the reply with the number of another snapshot."""
    snapshot = body["snapshot"] + 1
    return standinhttp.json_reply(200, {**body, "snapshot": snapshot})


@fault("missing_shard")
def missing_shard(body: Body) -> standinhttp.HttpReply:
    """Send the reply without the last shard."""
    results = dict(list(body["results"].items())[:-1])
    return standinhttp.json_reply(200, {**body, "results": results})
