"""Client of the leaf protocol, for one connection.

``httpconnection`` exchanges the requests and replies; this module builds the
requests, decodes the replies and checks that a reply belongs to its request.
For a refusal or an error status, ``ran`` is what the leaf states in the
``Plantainhook-Ran`` header, and MAYBE without it; for a failure without a
reply it comes from ``httpconnection``.
"""

import dataclasses
import functools
import typing

import h11
import msgspec
import result
import trio

from plantainhook import (
    errors,
    httpconnection,
    leafprotocol,
    leaftransport,
    querytypes,
    steps,
)

_ENCODER: typing.Final = msgspec.json.Encoder()
_SEARCH_REPLY_DECODER: typing.Final = msgspec.json.Decoder(
    leafprotocol.SearchReply
)
_NOT_SERVED_DECODER: typing.Final = msgspec.json.Decoder(
    leafprotocol.NotServedReply
)
_REFUSAL_DECODER: typing.Final = msgspec.json.Decoder(leafprotocol.RefusalBody)

# Many leafs that send bodies without end at once must fit into the memory of
# a small VM.
LEAF_REPLY_LIMIT_BYTES: typing.Final = 1_048_576

T = typing.TypeVar("T")
Failure = errors.LeafFailureKind


class RefusedError(errors.LeafError):
    """Report that the leaf refused a request, with its reason."""

    def __init__(
        self,
        peer: str,
        reason: leafprotocol.Refusal,
        ran: errors.Ran,
    ) -> None:
        super().__init__(
            steps.Step.QUERY_WAIT,
            peer,
            f"the leaf refused the request: {reason}",
            Failure.REFUSED,
            ran,
        )
        self.reason = reason


@dataclasses.dataclass(frozen=True, slots=True)
class LeafCall:
    """Represent one search request to a leaf.

    ``request_id`` is unique per attempt, ``params`` is JSON text, and
    ``deadline_s`` is on the trio clock.
    """

    request_id: str
    kind: str
    fingerprint: str
    snapshot: int
    shards: tuple[str, ...]
    params: bytes
    deadline_s: float


@functools.lru_cache(maxsize=4096)
def request_head(
    method: str, host: str, path: str, length: int
) -> h11.Request:
    """Return the head of a request.

    Heads are cached because h11 validates each one that is built.
    """
    headers = [("Host", host)]
    if length:
        headers.append(("Content-Type", "application/json"))
        headers.append(("Content-Length", str(length)))
    return h11.Request(method=method, target=path, headers=headers)


class LeafClient(httpconnection.HttpConnection):
    """Send the requests of the leaf protocol over one connection.

    ``echoes_ids`` is set once a reply on this connection had a request id.
    """

    echoes_ids: bool = False
    reply_limit_bytes = LEAF_REPLY_LIMIT_BYTES

    def __init__(
        self, transport: leaftransport.Transport, peer: str, address: str
    ) -> None:
        super().__init__(transport, peer, address)
        # The deadlines of the requests that were sent, by request id; the
        # oldest request comes first.
        self._deadlines_s: dict[str, float] = {}

    def record_request(self, request_id: str, deadline_s: float) -> None:
        """Record that a request is sent on this connection.

        No attempt of it is sent after ``deadline_s``, so it is forgotten
        then.
        """
        now_s = trio.current_time()
        while self._deadlines_s:
            oldest_id = next(iter(self._deadlines_s))
            if self._deadlines_s[oldest_id] >= now_s:
                break
            del self._deadlines_s[oldest_id]
        if request_id:
            self._deadlines_s[request_id] = deadline_s

    def has_sent(self, request_id: str) -> bool:
        """Return whether a request was sent on this connection.

        A leaf may send a late copy of a reply. If the same request is sent
        again on the same connection, its id does not distinguish the copy
        from the reply to the new attempt.
        """
        return request_id in self._deadlines_s

    async def search(
        self, call: LeafCall
    ) -> httpconnection.LeafResult[querytypes.LeafReply]:
        """Run a search and return the checked reply of the leaf.

        A failure is a ``LeafError``; a refusal is a ``RefusedError``.
        """
        left_s = call.deadline_s - trio.current_time()
        if left_s <= 0:
            detail = "the deadline passed before the request was sent"
            error = self._error(Failure.TIMEOUT, detail, errors.Ran.NO)
            return result.Err(error)
        body = _ENCODER.encode(
            leafprotocol.SearchRequest(
                request_id=call.request_id,
                kind=call.kind,
                fingerprint=call.fingerprint,
                snapshot=call.snapshot,
                shards=call.shards,
                params=msgspec.Raw(call.params),
                deadline_ms=int(left_s * 1000),
            )
        )
        raw = await self.request(
            "POST", leafprotocol.SEARCH_PATH, body, call.deadline_s
        )
        if isinstance(raw, result.Err):
            return raw
        return self._read_search(call, raw.ok_value)

    async def get(
        self, path: str, decoder: "msgspec.json.Decoder[T]", deadline_s: float
    ) -> httpconnection.LeafResult[T]:
        """Read one of the state endpoints and decode its reply."""
        raw = await self.request("GET", path, b"", deadline_s)
        if isinstance(raw, result.Err):
            return raw
        if raw.ok_value.status != leafprotocol.STATUS_OK:
            detail = f"{path} answered {raw.ok_value.status}"
            return result.Err(self._error(Failure.MALFORMED, detail))
        try:
            return result.Ok(decoder.decode(raw.ok_value.body))
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return result.Err(self._error(Failure.MALFORMED, str(error)))

    async def cancel(
        self, request_id: str, deadline_s: float
    ) -> httpconnection.LeafResult[httpconnection.RawReply]:
        """Cancel a request that runs on another connection."""
        path = f"{leafprotocol.SEARCH_PATH}/{request_id}"
        return await self.request("DELETE", path, b"", deadline_s)

    async def request(
        self, method: str, path: str, body: bytes, deadline_s: float
    ) -> httpconnection.LeafResult[httpconnection.RawReply]:
        """Send a request and return the reply, whatever its status is."""
        head = request_head(method, self.address, path, len(body))
        return await self.exchange(head, body, deadline_s)

    def _read_search(
        self, call: LeafCall, raw: httpconnection.RawReply
    ) -> httpconnection.LeafResult[querytypes.LeafReply]:
        if raw.status == leafprotocol.STATUS_OK:
            return self._read_reply(call, raw)
        return result.Err(self._error_of_status(raw))

    def _read_reply(
        self, call: LeafCall, raw: httpconnection.RawReply
    ) -> httpconnection.LeafResult[querytypes.LeafReply]:
        try:
            reply = _SEARCH_REPLY_DECODER.decode(raw.body)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return self._reject(str(error), errors.Ran.MAYBE)
        if reply.request_id != call.request_id:
            detail = f"the reply is for request {reply.request_id!r}"
            return self._reject(detail, errors.Ran.MAYBE)
        if reply.snapshot != call.snapshot:
            detail = f"the reply is of snapshot {reply.snapshot}"
            return self._reject(detail, errors.Ran.YES)
        if reply.results.keys() != set(call.shards):
            detail = f"the reply has the shards {sorted(reply.results)}"
            return self._reject(detail, errors.Ran.YES)
        results = tuple(
            querytypes.ShardResult(shard, reply.results[shard].items)
            for shard in call.shards
        )
        return result.Ok(
            querytypes.LeafReply(reply.request_id, reply.snapshot, results)
        )

    def _reject(
        self, detail: str, ran: errors.Ran
    ) -> result.Err[errors.LeafError]:
        """Return the error for a reply that contradicts the request.

        The connection is not used again.
        """
        self.phase = httpconnection.Phase.BROKEN
        return result.Err(self._error(Failure.MALFORMED, detail, ran))

    def _error_of_status(
        self, raw: httpconnection.RawReply
    ) -> errors.LeafError:
        ran = read_ran(raw.headers) or errors.Ran.MAYBE
        if raw.status == leafprotocol.STATUS_REFUSED:
            return RefusedError(self.address, read_refusal(raw.body), ran)
        kinds = {
            leafprotocol.STATUS_NOT_SERVED: Failure.NOT_SERVED,
            leafprotocol.STATUS_CANCELLED: Failure.CANCELLED,
            leafprotocol.STATUS_DEADLINE: Failure.TIMEOUT,
        }
        kind = kinds.get(raw.status, Failure.MALFORMED)
        error = self._error(kind, f"the leaf answered {raw.status}", ran)
        if kind is Failure.NOT_SERVED:
            error.served = read_served(raw.body)
        return error


def read_ran(headers: httpconnection.Headers) -> errors.Ran | None:
    """Return the value of the leaf's ``Plantainhook-Ran`` header.

    It is None without the header and MAYBE for an unknown value.
    """
    for name, value in headers:
        if name == leafprotocol.RAN_HEADER:
            try:
                return errors.Ran(value.decode("ascii"))
            except ValueError:
                return errors.Ran.MAYBE
    return None


def read_served(body: bytes) -> tuple[int, ...]:
    """Return the versions in a 409 reply; none if it is malformed."""
    try:
        return tuple(_NOT_SERVED_DECODER.decode(body).served)
    except msgspec.DecodeError:
        return ()


def read_refusal(body: bytes) -> leafprotocol.Refusal:
    """Return the reason in a refusal, or UNKNOWN if it gives none."""
    try:
        return leafprotocol.Refusal(_REFUSAL_DECODER.decode(body).refusal)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
        return leafprotocol.Refusal.UNKNOWN
