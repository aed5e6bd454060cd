"""Data of HTTP requests that a daemon forwards, and the seam to their dialect.

``Dialect`` translates between the messages of a platform and these types; the
folder ``platform`` implements it. Header names are in lower case.
"""

import dataclasses
import typing

from plantainhook import httpconnection, routetable, shardmap

Headers = list[tuple[bytes, bytes]]

STATUS_OK: typing.Final = 200
STATUS_NOT_FOUND: typing.Final = 404
STATUS_BAD_GATEWAY: typing.Final = 502
STATUS_UNAVAILABLE: typing.Final = 503
STATUS_TIMEOUT: typing.Final = 504


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Hold a request of a caller as it was received.

    ``target`` is the path with its query; ``headers`` are those that a leaf
    is to see unchanged. ``left_ms`` is the time that the caller will wait.
    """

    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    request_id: str
    left_ms: float | None

    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Hold what a caller receives."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LeafAnswer:
    """Hold a reply of a leaf, decoded and not yet checked.

    ``signature`` proves which leaf ran which request. ``refused`` is set
    where the leaf states that it has not run the request, and ``misdirected``
    where another leaf has the address. ``headers`` are all that came.
    """

    status: int
    headers: httpconnection.Headers
    body: bytes
    request_id: str | None
    signature: bytes | None
    encoded: bool
    refused: bool
    misdirected: bool

    def is_success(self) -> bool:
        """Return whether the leaf reports success."""
        return 200 <= self.status < 300


class LeafEntry(typing.NamedTuple):
    """Hold what a leaf registered about itself.

    ``born_ms`` and ``sequence`` order the reports of a leaf: the first is the
    wall time of its start, the second counts its reports since then.
    """

    info: shardmap.LeafInfo
    draining: bool
    cold_left_s: float
    born_ms: int
    sequence: int


class Dialect(typing.Protocol):
    """Translate HTTP messages between a platform and the product."""

    def read_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> ForwardRequest:
        """Return the request that a caller sent."""

    def leaf_headers(
        self, request: ForwardRequest, leaf: str, left_ms: int
    ) -> Headers:
        """Return the headers of the request to a leaf."""

    def read_answer(self, raw: httpconnection.RawReply) -> LeafAnswer:
        """Return the reply of a leaf."""

    def answer_headers(self, answer: LeafAnswer) -> Headers:
        """Return the headers with which a leaf's answer is passed on."""

    def gathered_headers(
        self, signatures: list[bytes], missing_count: int
    ) -> Headers:
        """Return the headers of an answer made of several leafs' answers."""

    def retry_headers(self, retry_after_s: float) -> Headers:
        """Return the headers that tell when to send a request again."""


class Documents(typing.Protocol):
    """Decode the objects that the platform's store holds."""

    def read_routes(self, spec: object) -> routetable.RouteTable:
        """Return the route table of a configuration, or raise ValueError."""

    def read_leaf(self, name: str, spec: object) -> LeafEntry:
        """Return the entry of a leaf, or raise ValueError."""
