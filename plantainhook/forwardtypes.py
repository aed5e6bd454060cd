"""Types of forwarded HTTP requests, and the interfaces to the platform.

``Dialect`` translates between the HTTP messages of a platform and these types,
and ``Documents`` decodes the objects in the platform's store. The package
``platform`` implements both. Header names are in lower case.
"""

import dataclasses
import typing

from plantainhook import httpconnection, routetable, shardmap, urgency

Headers = list[tuple[bytes, bytes]]

STATUS_OK: typing.Final = 200
STATUS_UNAUTHORIZED: typing.Final = 401
STATUS_NOT_FOUND: typing.Final = 404
STATUS_TOO_MANY_REQUESTS: typing.Final = 429
STATUS_BAD_GATEWAY: typing.Final = 502
STATUS_UNAVAILABLE: typing.Final = 503
STATUS_TIMEOUT: typing.Final = 504


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Represent a request as the caller sent it.

    ``target`` is the path with the query string. ``headers`` are those that
    are sent to a leaf unchanged. ``left_ms`` is how long the caller will wait,
    or None if it did not state a time. ``api_key`` is the caller's key, and
    ``tenant`` the name of the tenant that holds it, once it is verified.
    ``caller`` is a hash that differs between the callers of an ambiguous
    request, see ``quarantine``; otherwise it is empty.
    ``ranks`` and ``rank`` are those that ``urgency`` determines for it, or
    None before that.
    """

    method: bytes
    target: bytes
    host: str
    headers: Headers = dataclasses.field(repr=False)
    body: bytes
    request_id: str
    left_ms: float | None
    api_key: str | None = dataclasses.field(default=None, repr=False)
    tenant: str | None = None
    ranks: urgency.Urgency | None = None
    rank: float | None = None
    caller: str = ""

    def path(self) -> str:
        """Return the path without the query string."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclasses.dataclass(slots=True)
class Progress:
    """Track a request that runs.

    ``passed_on`` is set once a leaf or another daemon may have received it.
    """

    passed_on: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Represent the response to a caller."""

    status: int
    headers: Headers
    body: bytes


class LeafLoad(typing.NamedTuple):
    """Represent the load that a leaf states in a reply.

    It has running and waiting requests and slots. ``pace_ratio`` is how long
    work takes on its machine now; 1 is normal.
    """

    running_count: float
    waiting_count: float
    slot_count: float
    pace_ratio: float

    def cost_factor(self) -> float:
        """Return how much longer a call takes than on an idle leaf."""
        queued_count = self.running_count + self.waiting_count
        return self.pace_ratio * (
            1.0 + queued_count / max(1.0, self.slot_count)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class LeafAnswer:
    """Represent the decoded reply of a leaf, which is not checked yet.

    ``headers`` are all headers of the reply. ``signature`` proves which leaf
    ran which request. ``encoded`` is set if the body has a content encoding,
    ``refused`` if the leaf states that it has not run the request, and
    ``misdirected`` if another leaf has the address. ``leaving`` is set if the
    leaf states that it leaves. ``pause_s`` is how long the leaf wants no
    request from this daemon, or None. ``limit_per_s`` is how many requests a
    second the leaf accepts from all daemons, or None. ``cold_left_s`` is how
    long the leaf remains cold, and ``load`` its load, if it states one.
    """

    status: int
    headers: httpconnection.Headers
    body: bytes
    request_id: str | None
    signature: bytes | None
    encoded: bool
    refused: bool
    misdirected: bool
    leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    cold_left_s: float = 0.0
    load: LeafLoad | None = None

    def is_success(self) -> bool:
        """Return whether the status is one of success."""
        return 200 <= self.status < 300


class LeafEntry(typing.NamedTuple):
    """Describe a leaf as it registered itself.

    ``cold_left_s`` is how long the leaf will stay slow. The reports of a leaf
    are ordered by ``born_ms``, the wall time of its start, and then by
    ``sequence``, which counts its reports since then.
    """

    info: shardmap.LeafInfo
    draining: bool
    cold_left_s: float
    born_ms: int
    sequence: int


class Dialect(typing.Protocol):
    """Translate between the HTTP messages of a platform and these types."""

    def read_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> ForwardRequest:
        """Decode the request of a caller."""

    def with_tenant(
        self, request: ForwardRequest, tenant: str | None
    ) -> ForwardRequest:
        """Return a request that names its tenant and has no credentials."""

    def leaf_headers(
        self, request: ForwardRequest, leaf: str, left_ms: int
    ) -> Headers:
        """Return the headers for the request to a leaf."""

    def read_answer(self, raw: httpconnection.RawReply) -> LeafAnswer:
        """Decode the reply of a leaf."""

    def answer_headers(self, answer: LeafAnswer) -> Headers:
        """Return the headers of a leaf's answer as the caller gets them."""

    def gathered_headers(
        self, signatures: list[bytes], missing_count: int
    ) -> Headers:
        """Return the headers of an answer merged from several leafs."""

    def challenge_headers(self) -> Headers:
        """Return the headers that state which credentials are expected."""

    def retry_headers(self, retry_after_s: float) -> Headers:
        """Return the headers that state when to send the request again."""


class Documents(typing.Protocol):
    """Decode the objects in the platform's store."""

    def read_routes(self, spec: object) -> routetable.RouteTable:
        """Decode a configuration; raise ValueError if it is invalid."""

    def read_leaf(self, name: str, spec: object) -> LeafEntry:
        """Decode the entry of a leaf; raise ValueError if it is invalid."""
