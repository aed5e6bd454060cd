"""Messages between daemons and their frames.

A frame is a four-byte big-endian length and a msgpack body. Every message
is a tagged msgspec struct, so one decoder checks all types. The first frame
on a connection is a ``HelloFrame``; a daemon closes a connection whose
protocol version differs.
"""

import struct
import typing

import msgspec
import result

from plantainhook import errors, steps

PROTOCOL_VERSION: typing.Final = 2
NO_SHARE: typing.Final = -1
FRAME_HEADER: typing.Final = struct.Struct(">I")


class Body(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of the bodies of requests and replies."""


class Refused(Body, frozen=True, tag=True, array_like=True):
    """Refuse a request that the receiver did not act on."""

    detail: str


class Failed(Body, frozen=True, tag=True, array_like=True):
    """Report a request that failed after the receiver began to act."""

    detail: str


class RevisionNotice(Body, frozen=True, tag=True, array_like=True):
    """Tell the sender's settings revision."""

    revision: int


class RevisionPull(Body, frozen=True, tag=True, array_like=True):
    """Ask for the difference from a revision to the receiver's own."""

    have_revision: int


class RevisionDelta(Body, frozen=True, tag=True, array_like=True):
    """Carry the objects that differ between two revisions.

    ``objects`` maps object names to JSON text; ``removed`` lists names.
    ``from_revision`` is 0 for a whole copy.
    """

    from_revision: int
    to_revision: int
    manifest_hash: str
    objects: dict[str, bytes]
    removed: list[str]


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """Describe a member in a message.

    ``share`` is the connection share that the member says it holds;
    ``capacity`` is its processor in hundredths of a core, 0 where unknown.
    """

    incarnation: int
    name: str
    vm_id: str
    data_centre: str
    peer_address: str
    http_address: str
    state: int
    counter: int
    share: int = NO_SHARE
    capacity: int = 0


class StorePull(Body, frozen=True, tag=True, array_like=True):
    """Ask for the changes of objects of the platform's store.

    ``have`` maps kinds to the revision that the sender knows. The receiver
    replies at once where it knows more, and after ``wait_ms`` otherwise.
    """

    have: dict[str, int]
    wait_ms: int


class StoreReply(Body, frozen=True, tag=True, array_like=True):
    """Answer a pull.

    ``fresh`` states that the store answers the sender, and ``revisions`` what
    it knows by kind. ``packed`` holds the news of each kind in the form of
    ``storeupdate``.
    """

    fresh: bool
    revisions: dict[str, int]
    packed: list[bytes]


class Probe(Body, frozen=True, tag=True, array_like=True):
    """Ask whether the receiver is alive."""

    members: list[MemberEntry]


class ProbeAck(Body, frozen=True, tag=True, array_like=True):
    """Answer a probe."""

    incarnation: int
    members: list[MemberEntry]


class IndirectProbe(Body, frozen=True, tag=True, array_like=True):
    """Ask the receiver to probe another member."""

    peer_address: str
    incarnation: int


class IndirectResult(Body, frozen=True, tag=True, array_like=True):
    """Tell the outcome of an indirect probe."""

    alive: bool


class Digest(Body, frozen=True, tag=True, array_like=True):
    """Summarise the sender's state for anti-entropy."""

    revision: int
    member_hash: int
    quarantine_hash: int


class MemberBuckets(Body, frozen=True, tag=True, array_like=True):
    """Carry one hash per bucket of the sender's live members."""

    hashes: list[int]


class MemberSummary(Body, frozen=True, tag=True, array_like=True):
    """Carry the versions of the members in the buckets that differ.

    ``versions`` maps incarnations to ``counter << 3 | state``.
    """

    buckets: list[int]
    versions: dict[int, int]


class MemberSync(Body, frozen=True, tag=True, array_like=True):
    """Carry members that the receiver lacks and ask for others."""

    members: list[MemberEntry]
    wanted: list[int]


class CrashEntry(msgspec.Struct, frozen=True, array_like=True):
    """Describe the crash for which a fingerprint is under suspicion.

    ``fingerprints`` names the requests that the leaf was running; times are
    ages, so that clocks need not agree.
    """

    fingerprint: str
    leaf: str
    age_s: float
    confirmed_age_s: float
    fingerprints: list[str]


class QuarantineSync(Body, frozen=True, tag=True, array_like=True):
    """Carry quarantine entries as fingerprint to seconds left."""

    left_s: dict[str, float]
    cleared_left_s: dict[str, float]
    crashes: list[CrashEntry] = []


class StatusQuery(Body, frozen=True, tag=True, array_like=True):
    """Ask for the revisions of the daemons of the receiver's data centre."""


class StatusReport(Body, frozen=True, tag=True, array_like=True):
    """Tell a watcher of the data centre the sender's revision."""

    revision: int


class StatusCounts(Body, frozen=True, tag=True, array_like=True):
    """Count the daemons of a data centre by revision.

    ``silent_count`` counts live daemons that have not reported.
    """

    data_centre: str
    counts: dict[int, int]
    silent_count: int


class ClaimMemory(Body, frozen=True, tag=True, array_like=True):
    """Carry a share claim for the receiver to remember; JSON text.

    ``order`` is the version of the claim and a count of the sender's
    messages; a message of lower order than one before is ignored.
    """

    key: str
    order: tuple[int, int]
    vm_id: str
    peer_address: str
    value: bytes


class ClaimForget(Body, frozen=True, tag=True, array_like=True):
    """Ask the receiver to forget a share claim."""

    key: str
    order: tuple[int, int]


class ClaimRecall(Body, frozen=True, tag=True, array_like=True):
    """Ask for the claims remembered for a VM and address."""

    vm_id: str
    peer_address: str


class ClaimRecalled(Body, frozen=True, tag=True, array_like=True):
    """Carry the remembered claims of a VM."""

    claims: list[ClaimMemory]


class LeafWork(Body, frozen=True, tag=True, array_like=True):
    """Ask a holder of connections to run work on a leaf."""

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
    """Carry the result of leaf work; ``results`` is JSON text."""

    snapshot: int
    results: bytes


class LeafWorkFailed(Body, frozen=True, tag=True, array_like=True):
    """Carry the failure of leaf work.

    ``served`` names the index versions of a leaf that lacks the one asked.
    """

    kind: str
    ran: str
    detail: str
    served: list[int] = []


class CancelWork(Body, frozen=True, tag=True, array_like=True):
    """Cancel leaf work by its request id."""

    request_id: str


class HttpWork(Body, frozen=True, tag=True, array_like=True):
    """Ask a daemon to answer an HTTP request that the sender received.

    ``left_ms`` is what the caller stated at its arrival, ``elapsed_ms`` the
    time since then.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    left_ms: float | None
    elapsed_ms: float


class HttpAnswer(Body, frozen=True, tag=True, array_like=True):
    """Hold the answer to an HTTP request."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class TicketQuery(Body, frozen=True, tag=True, array_like=True):
    """Forward a ticketed query to the daemon that issued the ticket."""

    query: bytes


class TicketAnswer(Body, frozen=True, tag=True, array_like=True):
    """Carry the answer to a ticketed query as JSON text."""

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
    | StorePull
    | StoreReply
    | Ack
)


class RequestFrame(msgspec.Struct, frozen=True, tag="q", array_like=True):
    """Carry a request and the id that its reply repeats."""

    request_id: int
    body: AnyBody


class ReplyFrame(msgspec.Struct, frozen=True, tag="r", array_like=True):
    """Carry the reply to a request."""

    request_id: int
    body: AnyBody


class HelloFrame(msgspec.Struct, frozen=True, tag="h", array_like=True):
    """Open a connection and name the sender."""

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
    """Return the length header and the encoded frame."""
    body = _ENCODER.encode(frame)
    return FRAME_HEADER.pack(len(body)) + body


def decode_body(
    body: bytes, peer: str, step: steps.Step
) -> result.Result[AnyFrame, errors.MessageError]:
    """Decode the body of a frame; the header is already removed."""
    try:
        return result.Ok(_DECODER.decode(body))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return result.Err(errors.MessageError(step, peer, str(error)))
