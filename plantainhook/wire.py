"""Messages between daemons, and their encoding in frames.

A frame consists of its body length, as four bytes in big-endian order, and a
msgpack body. Every message is a tagged msgspec struct, so one decoder
validates all types. The first frame on a connection is a ``HelloFrame``; a
daemon closes a connection whose protocol version differs from its own.

The tag of a body is the name of its class, and fields are encoded by position,
so a new class name or another order of fields changes the protocol.
"""

import struct
import typing

import msgspec
import result

from plantainhook import errors, steps

PROTOCOL_VERSION: typing.Final = 2
NO_SHARE: typing.Final = -1
# Feature bits of daemons that handle ``BranchWork``, ``LimitReport`` and
# ``QuotaReport``. A daemon that does not know a message closes the link on
# which it arrives.
FEATURE_BRANCHES: typing.Final = 1
FEATURE_LIMITS: typing.Final = 2
FEATURE_QUOTAS: typing.Final = 4
# The details of refusals after which another gatherer is asked at once.
OVERLOADED: typing.Final = "this daemon is overloaded"
OLDER_CONFIGURATION: typing.Final = "this daemon has an older configuration"
FRAME_HEADER: typing.Final = struct.Struct(">I")


# The owner of an entry refutes others with a higher counter, which has to fit
# into 64 bits.
COUNTER_MAX: typing.Final = 1 << 53


# Rates and counts of peers are checked, because a granter adds them up.
RatePerS = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
TokenCount = typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]
# The rank of a request; NaN fulfils no bound.
Rank = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
# CPU time that requests in a queue need.
QueuedMs = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
# Ages and remaining times of quarantines; NaN fulfils no bound.
QuarantineS = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
CrashesCount = typing.Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
# It is also the name of an object in the store.
Fingerprint = typing.Annotated[
    str, msgspec.Meta(pattern="^[A-Za-z0-9._~-]{1,100}\\Z")
]
AgeMs = typing.Annotated[int, msgspec.Meta(ge=0, le=COUNTER_MAX)]


class Body(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of the bodies of requests and replies."""


class Refused(Body, frozen=True, tag=True, array_like=True):
    """Refuse a request that the receiver did not act on."""

    detail: str


class Failed(Body, frozen=True, tag=True, array_like=True):
    """Report a request that failed after the receiver began to act."""

    detail: str


class RevisionNotice(Body, frozen=True, tag=True, array_like=True):
    """Report the sender's settings revision."""

    revision: int


class RevisionPull(Body, frozen=True, tag=True, array_like=True):
    """Request the changes from a revision to that of the receiver."""

    have_revision: int


class RevisionDelta(Body, frozen=True, tag=True, array_like=True):
    """Carry the objects that differ between two revisions.

    ``objects`` maps the names of added or changed objects to JSON text, and
    ``removed`` lists the names of removed ones. ``from_revision`` is 0 for a
    complete copy.
    """

    from_revision: int
    to_revision: int
    manifest_hash: str
    objects: dict[str, bytes]
    removed: list[str]


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """Describe a member of the fleet in a message.

    ``memberentry`` explains ``state`` and ``counter``. ``share`` is the
    connection share that the member announces, or ``NO_SHARE``. ``capacity``
    is its CPU capacity in hundredths of a core, or 0 if it is unknown.
    ``features`` has one bit for each kind of message that older daemons do
    not handle.
    """

    incarnation: int
    name: str
    vm_id: str
    data_centre: str
    peer_address: str
    http_address: str
    state: typing.Annotated[int, msgspec.Meta(ge=0, le=7)]
    counter: typing.Annotated[int, msgspec.Meta(ge=0, le=COUNTER_MAX)]
    share: int = NO_SHARE
    capacity: int = 0
    features: int = 0


class StorePull(Body, frozen=True, tag=True, array_like=True):
    """Request the changes of objects in the platform's store.

    ``have`` maps kinds of objects to the revision that the sender has, and
    ``eras`` to its era, which older daemons leave out. The receiver replies at
    once if it has a newer one, and otherwise after ``wait_ms`` at the latest.
    """

    have: dict[str, int]
    wait_ms: int
    eras: dict[str, int] = {}


class StoreReply(Body, frozen=True, tag=True, array_like=True):
    """Reply to a ``StorePull``.

    ``fresh`` states that the store answers the sender, so that its copies are
    up to date. ``revisions`` maps kinds to the revisions that the sender has.
    ``packed`` lists the updates of each kind as encoded by ``storeupdate``.
    ``changed`` maps kinds to the revision of the last change that the sender
    has, and ``eras`` to the era of both; older daemons leave these out.
    """

    fresh: bool
    revisions: dict[str, int]
    packed: list[bytes]
    changed: dict[str, int] = {}
    eras: dict[str, int] = {}


class Probe(Body, frozen=True, tag=True, array_like=True):
    """Ask whether the receiver is alive."""

    members: list[MemberEntry]


class ProbeAck(Body, frozen=True, tag=True, array_like=True):
    """Reply to a probe.

    ``queued_ms`` is the CPU time that the gathered queries of the sender need.
    """

    incarnation: int
    members: list[MemberEntry]
    queued_ms: QueuedMs = 0.0


class IndirectProbe(Body, frozen=True, tag=True, array_like=True):
    """Ask the receiver to probe another member."""

    peer_address: str
    incarnation: int


class IndirectResult(Body, frozen=True, tag=True, array_like=True):
    """Report the result of an indirect probe."""

    alive: bool


class Digest(Body, frozen=True, tag=True, array_like=True):
    """Summarise the sender's state for anti-entropy."""

    revision: int
    member_hash: int
    quarantine_hash: int


class MemberBuckets(Body, frozen=True, tag=True, array_like=True):
    """Carry one hash for each bucket of the sender's live members."""

    hashes: list[int]


class MemberSummary(Body, frozen=True, tag=True, array_like=True):
    """Carry the versions of the members in the buckets that differ.

    ``versions`` maps incarnations to ``counter << 3 | state``.
    """

    buckets: list[int]
    versions: dict[int, int]


class MemberSync(Body, frozen=True, tag=True, array_like=True):
    """Carry members that the receiver lacks, and request others.

    ``wanted`` lists the incarnations of the requested members.
    """

    members: list[MemberEntry]
    wanted: list[int]


class CrashEntry(msgspec.Struct, frozen=True, array_like=True):
    """Describe a crash of which a request is suspected to be the cause.

    ``fingerprint`` is that of the suspected request, and ``fingerprints`` are
    those of all requests that the leaf was running. ``count`` is the number of
    crashes in a row. Times are sent as ages, so that clocks need not agree.
    """

    fingerprint: Fingerprint
    leaf: str
    age_s: QuarantineS
    confirmed_age_s: QuarantineS
    fingerprints: list[Fingerprint]
    count: CrashesCount = 1
    # Age of the start of the suspect's run; None if the sender is older.
    began_age_s: QuarantineS | None = None


class QuarantineSync(Body, frozen=True, tag=True, array_like=True):
    """Carry quarantine entries, clearings and suspected crashes.

    ``left_s`` maps the fingerprints of quarantined requests to the seconds
    that remain; ``cleared_left_s`` does the same for clearings.
    ``answered_age_s`` holds how long ago the runs began whose replies cleared
    a suspicion. The reply to a push is an ``Ack``, and otherwise contains all
    entries of the receiver.
    """

    left_s: dict[Fingerprint, QuarantineS]
    cleared_left_s: dict[Fingerprint, QuarantineS]
    crashes: list[CrashEntry] = []
    answered_age_s: dict[Fingerprint, QuarantineS] = {}
    is_push: bool = False


class StatusQuery(Body, frozen=True, tag=True, array_like=True):
    """Request the revisions of the daemons in the receiver's data centre."""


class StatusReport(Body, frozen=True, tag=True, array_like=True):
    """Report the sender's revision to a watcher of its data centre."""

    revision: int


class StatusCounts(Body, frozen=True, tag=True, array_like=True):
    """Count the daemons of a data centre by revision.

    ``silent_count`` counts live daemons that have not reported.
    """

    data_centre: str
    counts: dict[int, int]
    silent_count: int


class ClaimMemory(Body, frozen=True, tag=True, array_like=True):
    """Carry the copy of a share claim that the receiver keeps in memory.

    ``value`` is JSON text. ``order`` consists of the version of the claim and
    a count of the sender's messages. A message is ignored if its order is not
    higher than that of an earlier one.
    """

    key: str
    order: tuple[int, int]
    vm_id: str
    peer_address: str
    value: bytes


class ClaimForget(Body, frozen=True, tag=True, array_like=True):
    """Ask the receiver to drop its copy of a share claim."""

    key: str
    order: tuple[int, int]


class ClaimRecall(Body, frozen=True, tag=True, array_like=True):
    """Request the copies of the claims of a VM and peer address."""

    vm_id: str
    peer_address: str


class ClaimRecalled(Body, frozen=True, tag=True, array_like=True):
    """Carry the copies of the claims of a VM."""

    claims: list[ClaimMemory]


class LeafWork(Body, frozen=True, tag=True, array_like=True):
    """Ask a daemon that has connections to a leaf to run work on it.

    ``params`` is JSON text. ``deadline_ms`` is the time that remains.
    """

    leaf: str
    request_id: str
    kind: str
    fingerprint: str
    snapshot: int
    shards: list[str]
    params: bytes
    deadline_ms: int
    idempotent: bool


class LeafWorkDone(Body, frozen=True, tag=True, array_like=True):
    """Carry the result of leaf work.

    ``results`` is JSON text that maps shard names to items.
    """

    snapshot: int
    results: bytes


class LeafWorkFailed(Body, frozen=True, tag=True, array_like=True):
    """Report that leaf work has failed.

    ``kind`` and ``ran`` are values of ``errors.LeafFailureKind`` and
    ``errors.Ran``. ``served`` lists the index versions of a leaf that does not
    serve the requested one.
    """

    kind: str
    ran: str
    detail: str
    served: list[int] = []


class CancelWork(Body, frozen=True, tag=True, array_like=True):
    """Cancel work that the sender has requested, by its request id."""

    request_id: str


class HttpWork(Body, frozen=True, tag=True, array_like=True):
    """Ask a daemon to answer an HTTP request that the sender received.

    ``left_ms`` is how long the caller stated to wait when the request arrived,
    or None. ``elapsed_ms`` is the time since the arrival. ``tenant`` names the
    tenant whose key the sender has verified. ``urgency`` consists of the
    ranks of the tenant and the route, and ``rank`` is the resulting one; they
    are None if the sender is older. With ``may_refuse``, a busy receiver may
    refuse the request, because the sender knows another one.
    ``configuration`` is the version that the sender has; 0 if it is older.
    ``caller`` is as in ``ForwardRequest``.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    left_ms: float | None
    elapsed_ms: float
    tenant: str | None = None
    urgency: tuple[int, int] | None = None
    rank: Rank | None = None
    may_refuse: bool = False
    configuration: int = 0
    caller: str = ""


# Of a final answer; others would not be answers for callers.
HttpStatus = typing.Annotated[int, msgspec.Meta(ge=200, le=599)]


class HttpAnswer(Body, frozen=True, tag=True, array_like=True):
    """Carry the answer to an ``HttpWork``.

    ``queued_ms`` is the CPU time that the gathered queries of the sender need.
    """

    status: HttpStatus
    headers: list[tuple[bytes, bytes]]
    body: bytes
    queued_ms: QueuedMs = 0.0


class BranchWork(Body, frozen=True, tag=True, array_like=True):
    """Ask a daemon to run a request on one leaf of each of some services.

    The times are relative to the moment of sending. The receiver replies when
    all parts are merged or lost, or after ``wait_ms``, or when more than
    ``lost_limit_count`` parts are lost. It sends hedges with regard to
    ``goal_ms`` and ends the branch after ``deadline_ms``. ``tenant`` names the
    tenant whose key was verified. ``urgency``, ``rank`` and ``caller`` are as
    in ``HttpWork``.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    services: list[str]
    route: str
    path_prefix: str
    record_limit_count: int
    max_leafs_count: int
    lost_limit_count: int
    goal_ms: float
    deadline_ms: float
    wait_ms: float
    tenant: str | None = None
    urgency: tuple[int, int] | None = None
    rank: Rank | None = None
    caller: str = ""


class BranchMore(Body, frozen=True, tag=True, array_like=True):
    """Ask for the parts of a branch since the acknowledged reply.

    With ``wants_progress`` the receiver replies as soon as there is a new
    part, otherwise as for ``BranchWork``. ``acknowledged`` is the sequence of
    the last reply that has arrived.
    """

    request_id: str
    wait_ms: float
    wants_progress: bool
    acknowledged: int


class BranchResult(Body, frozen=True, tag=True, array_like=True):
    """Carry the parts of a branch that have not been acknowledged.

    ``records`` are the highest records of these parts. ``signatures`` has the
    signature of each part by the index of its service. ``lost`` lists the
    services without an answer and ``unknown`` those without a known leaf.
    ``ran`` states whether any leaf may have run the request. If the request
    is quarantined, ``quarantine_ms`` is the time that remains. ``sequence``
    counts the replies of the branch. ``limits`` has the request limits of
    leafs of the services, by leaf name.
    """

    records: bytes
    signatures: dict[int, bytes]
    lost: list[int]
    unknown: list[int]
    done: bool
    ran: bool
    quarantine_ms: int = 0
    sequence: int = 0
    limits: dict[str, RatePerS] = {}


class BranchCancel(Body, frozen=True, tag=True, array_like=True):
    """Cancel the branch of a request."""

    request_id: str


class LeafDemand(msgspec.Struct, frozen=True, array_like=True):
    """Describe a leaf with a request limit in a report.

    ``limit_per_s`` is None if the limit has ended. ``age_ms`` is the time
    since the leaf stated that. ``held``, ``returned`` and ``wanted`` count
    the tokens that the sender keeps, gives back and asks for.
    """

    leaf: str
    limit_per_s: RatePerS | None
    age_ms: AgeMs
    held: TokenCount = 0
    returned: TokenCount = 0
    wanted: TokenCount = 0


class LimitReport(Body, frozen=True, tag=True, array_like=True):
    """Report the limited leafs that the sender calls, and ask for tokens.

    ``since`` is the sequence of the receiver's last reply, or 0. ``queries``
    has the queries per second that need a service, before any is refused.
    """

    since: int
    leafs: list[LeafDemand]
    queries: dict[str, RatePerS]


class LeafGrant(msgspec.Struct, frozen=True, array_like=True):
    """Grant tokens for a leaf, or state that its limit has changed."""

    leaf: str
    limit_per_s: RatePerS | None
    age_ms: AgeMs
    count: TokenCount


class LimitGrants(Body, frozen=True, tag=True, array_like=True):
    """Reply to a ``LimitReport``.

    ``leafs`` contains grants and the limits that have changed since the
    sequence in the report. ``admitted`` has the share of queries that each
    overloaded service can serve.
    """

    sequence: int
    leafs: list[LeafGrant]
    admitted: dict[str, RatePerS]


class LimitNotice(Body, frozen=True, tag=True, array_like=True):
    """Tell a daemon the request limits of leafs, by leaf name."""

    limits: dict[str, RatePerS]


class TenantUse(msgspec.Struct, frozen=True, array_like=True):
    """Describe a tenant whose requests the sender has admitted or received.

    ``ages`` has the age in milliseconds and the number of the admissions of
    the last window. ``wanted`` counts the requests that wait for a grant, and
    ``admitted`` all admissions since the sender started.
    """

    tenant: str
    wanted: TokenCount
    admitted: AgeMs
    ages: list[tuple[AgeMs, TokenCount]]


class QuotaReport(Body, frozen=True, tag=True, array_like=True):
    """Report the admissions of tenants with quotas, and ask for more.

    ``sequence`` counts the reports of the sender. A report replaces the
    earlier ones.
    """

    sequence: int
    tenants: list[TenantUse]


class TenantGrant(msgspec.Struct, frozen=True, array_like=True):
    """Grant requests of a tenant.

    The first refused request has room after ``retry_ms``, and each further
    one ``step_ms`` later. While the tenant is open, the receiver admits up to
    ``open_count`` requests before it reports them.
    """

    tenant: str
    granted: TokenCount
    open_count: TokenCount
    retry_ms: AgeMs = 0
    step_ms: AgeMs = 0


class QuotaGrants(Body, frozen=True, tag=True, array_like=True):
    """Reply to a ``QuotaReport``, or tell which tenants are not open.

    ``sequence`` counts the messages of the sender. ``granter`` is the
    incarnation of the granter that the sender itself uses, or 0. ``closed``
    names the tenants that are not open. All others of the configuration
    ``version`` are, for the part ``ratio`` of their quotas.
    """

    sequence: int
    tenants: list[TenantGrant]
    granter: int = 0
    version: int = 0
    ratio: typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0
    closed: list[str] = []


class TicketQuery(Body, frozen=True, tag=True, array_like=True):
    """Forward a query with a ticket to the daemon that issued the ticket.

    ``query`` is JSON text.
    """

    query: bytes


class TicketAnswer(Body, frozen=True, tag=True, array_like=True):
    """Carry the answer to a forwarded query with a ticket as JSON text."""

    http_status: int
    answer: bytes


class Ack(Body, frozen=True, tag=True, array_like=True):
    """Confirm a message that has no other reply."""


AnyBody = (
    Refused
    | Failed
    | RevisionNotice
    | RevisionPull
    | RevisionDelta
    | Probe
    | ProbeAck
    | IndirectProbe
    | IndirectResult
    | Digest
    | MemberBuckets
    | MemberSummary
    | MemberSync
    | QuarantineSync
    | StatusQuery
    | StatusReport
    | StatusCounts
    | ClaimMemory
    | ClaimForget
    | ClaimRecall
    | ClaimRecalled
    | LeafWork
    | LeafWorkDone
    | LeafWorkFailed
    | CancelWork
    | TicketQuery
    | TicketAnswer
    | HttpWork
    | HttpAnswer
    | BranchWork
    | BranchMore
    | BranchResult
    | BranchCancel
    | LimitReport
    | LimitGrants
    | LimitNotice
    | QuotaReport
    | QuotaGrants
    | StorePull
    | StoreReply
    | Ack
)


class RequestFrame(msgspec.Struct, frozen=True, tag="q", array_like=True):
    """Carry a request; the reply has the same ``request_id``."""

    request_id: int
    body: AnyBody


class ReplyFrame(msgspec.Struct, frozen=True, tag="r", array_like=True):
    """Carry the reply to a request."""

    request_id: int
    body: AnyBody


class HelloFrame(msgspec.Struct, frozen=True, tag="h", array_like=True):
    """Start a connection and identify the sender."""

    version: int
    incarnation: int
    name: str
    vm_id: str
    data_centre: str
    peer_address: str
    http_address: str


AnyFrame = HelloFrame | RequestFrame | ReplyFrame

_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final[msgspec.msgpack.Decoder[AnyFrame]] = (
    msgspec.msgpack.Decoder(AnyFrame)
)


def encode_frame(frame: AnyFrame) -> bytes:
    """Return the encoded frame with its length header."""
    body = _ENCODER.encode(frame)
    return FRAME_HEADER.pack(len(body)) + body


def decode_body(
    body: bytes, peer: str, step: steps.Step
) -> result.Result[AnyFrame, errors.MessageError]:
    """Decode the body of a frame, without its length header.

    ``peer`` and ``step`` are for the error.
    """
    try:
        return result.Ok(_DECODER.decode(body))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return result.Err(errors.MessageError(step, peer, str(error)))
