"""HTTP/1.1 client for one connection to a leaf: h11 over a transport.

One request is in flight at a time. Every failure becomes a
``errors.LeafError`` whose ``ran`` is NO only where that is provable: the
connection was refused, no byte of the request was written, or the leaf says
so in the ``Plantainhook-Ran`` header. After a failure that leaves the stream
in an unknown state the client is not ``reusable`` and must be closed.
"""

import dataclasses
import enum
import functools
import typing

import h11
import msgspec
import result
import trio

from plantainhook import (
    errors,
    leafprotocol,
    leaftransport,
    querytypes,
    steps,
)

RECEIVE_BYTES: typing.Final = 65_536
REPLY_LIMIT_BYTES: typing.Final = 4_194_304
HEAD_LIMIT_BYTES: typing.Final = 16_384

_ENCODER: typing.Final = msgspec.json.Encoder()
_REPLY_DECODER: typing.Final = msgspec.json.Decoder(leafprotocol.SearchReply)
_NOT_SERVED_DECODER: typing.Final = msgspec.json.Decoder(
    leafprotocol.NotServedReply
)
_REFUSAL_DECODER: typing.Final = msgspec.json.Decoder(leafprotocol.RefusalBody)

T = typing.TypeVar("T")
LeafResult = result.Result[T, errors.LeafError]
Failure = errors.LeafFailureKind


class RefusedError(errors.LeafError):
    """Report a refusal of the leaf and its reason."""

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


class Phase(enum.Enum):
    """Order the phases of an exchange on a connection."""

    IDLE = "idle"
    SENDING = "sending"
    WAITING = "waiting"
    BROKEN = "broken"


@dataclasses.dataclass(slots=True)
class RawReply:
    """Hold an HTTP reply."""

    status: int
    ran: errors.Ran | None
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LeafCall:
    """Hold one request to a leaf.

    ``request_id`` is unique per attempt; ``params`` is JSON text;
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
    """Return the head of a request; h11 validates each head only once."""
    headers = [("Host", host)]
    if length:
        headers.append(("Content-Type", "application/json"))
        headers.append(("Content-Length", str(length)))
    return h11.Request(method=method, target=path, headers=headers)


class LeafClient:
    """Exchange requests and replies on one connection."""

    leaf: str
    address: str
    phase: Phase

    def __init__(
        self, transport: leaftransport.Transport, leaf: str, address: str
    ) -> None:
        self.leaf = leaf
        self.address = address
        self.phase = Phase.IDLE
        self._transport = transport
        self._http = h11.Connection(h11.CLIENT, HEAD_LIMIT_BYTES)
        self._written_count = 0

    def reusable(self) -> bool:
        """Return whether another request may be sent."""
        return self.phase is Phase.IDLE

    def is_stale(self) -> bool:
        """Return whether an idle connection was closed by the leaf.

        Bytes that wait on an idle connection belong to no request, so they
        make it unusable too.
        """
        return self._transport.is_readable()

    def close(self) -> None:
        """Close the connection at once."""
        self.phase = Phase.BROKEN
        self._transport.close()

    async def close_gracefully(self, timeout_s: float) -> None:
        """Close and wait until the leaf has closed its side too."""
        self.phase = Phase.BROKEN
        with trio.move_on_after(timeout_s):
            try:
                self._transport.send_eof()
                while await self._transport.receive_some(RECEIVE_BYTES):
                    pass
            except (OSError, trio.BrokenResourceError):
                pass
        self._transport.close()

    async def search(self, call: LeafCall) -> LeafResult[querytypes.LeafReply]:
        """Run a search and return the checked reply of the leaf."""
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
    ) -> LeafResult[T]:
        """Read one of the state endpoints."""
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
    ) -> LeafResult[RawReply]:
        """Cancel a request that runs on another connection."""
        path = f"{leafprotocol.SEARCH_PATH}/{request_id}"
        return await self.request("DELETE", path, b"", deadline_s)

    async def request(
        self, method: str, path: str, body: bytes, deadline_s: float
    ) -> LeafResult[RawReply]:
        """Send a request and return the reply, whatever its status."""
        head = request_head(method, self.address, path, len(body))
        with trio.CancelScope(deadline=deadline_s):
            try:
                await self._send(head, body)
                return result.Ok(await self.finish_reply())
            except errors.LeafError as error:
                self.phase = Phase.BROKEN
                return result.Err(error)
        detail = "the deadline passed before the reply"
        return result.Err(self._error(Failure.TIMEOUT, detail))

    async def finish_reply(self) -> RawReply:
        """Read the reply of the request in flight.

        Raises LeafError.
        """
        reply = RawReply(0, None, b"")
        chunks: list[bytes] = []
        size_bytes = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                reply.status = event.status_code
                reply.ran = read_ran(event)
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                size_bytes += len(event.data)
                self._check_size(size_bytes)
            elif isinstance(event, h11.EndOfMessage):
                reply.body = b"".join(chunks)
                self._end_exchange()
                return reply

    def ran(self) -> errors.Ran:
        """Return what is certain of the request in flight by its bytes."""
        return errors.Ran.MAYBE if self._written_count else errors.Ran.NO

    async def _send(self, head: h11.Request, body: bytes) -> None:
        self._written_count = 0
        self.phase = Phase.SENDING
        data = self._http.send(head) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            while self._written_count < len(data):
                rest = data[self._written_count :]
                self._written_count += await self._transport.send_some(rest)
        except (OSError, trio.BrokenResourceError) as error:
            raise self._error(Failure.CONNECTION_LOST, str(error)) from error
        self.phase = Phase.WAITING

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise self._protocol_error(error) from error
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
            elif isinstance(event, h11.Event):
                return event
            else:
                raise self._error(Failure.MALFORMED, "the reply has no end")

    async def _receive(self) -> bytes:
        try:
            data = await self._transport.receive_some(RECEIVE_BYTES)
        except (OSError, trio.BrokenResourceError) as error:
            raise self._error(Failure.CONNECTION_LOST, str(error)) from error
        if not data:
            detail = "the leaf closed the connection before its reply ended"
            raise self._error(Failure.CONNECTION_LOST, detail)
        return data

    def _end_exchange(self) -> None:
        if self._http.our_state is h11.DONE is self._http.their_state:
            self._http.start_next_cycle()
            self.phase = Phase.IDLE
        else:
            self.phase = Phase.BROKEN

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > REPLY_LIMIT_BYTES:
            detail = f"the reply is larger than {REPLY_LIMIT_BYTES} bytes"
            raise self._error(Failure.MALFORMED, detail)

    def _read_search(
        self, call: LeafCall, raw: RawReply
    ) -> LeafResult[querytypes.LeafReply]:
        if raw.status == leafprotocol.STATUS_OK:
            return self._read_reply(call, raw)
        return result.Err(self._status_error(raw))

    def _read_reply(
        self, call: LeafCall, raw: RawReply
    ) -> LeafResult[querytypes.LeafReply]:
        try:
            reply = _REPLY_DECODER.decode(raw.body)
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
        """Fail a reply that contradicts the request."""
        self.phase = Phase.BROKEN
        return result.Err(self._error(Failure.MALFORMED, detail, ran))

    def _status_error(self, raw: RawReply) -> errors.LeafError:
        ran = raw.ran or errors.Ran.MAYBE
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

    def _protocol_error(
        self, error: h11.RemoteProtocolError
    ) -> errors.LeafError:
        return self._error(Failure.MALFORMED, str(error))

    def _error(
        self,
        kind: errors.LeafFailureKind,
        detail: str,
        ran: errors.Ran | None = None,
    ) -> errors.LeafError:
        """Build an error at the step that the phase implies."""
        sending = self.phase is Phase.SENDING
        step = steps.Step.QUERY_SEND if sending else steps.Step.QUERY_WAIT
        return errors.LeafError(
            step, self.address, detail, kind, ran or self.ran()
        )


def read_ran(response: h11.Response) -> errors.Ran | None:
    """Return what the leaf says in its header, or None without one."""
    for name, value in response.headers:
        if name == leafprotocol.RAN_HEADER:
            try:
                return errors.Ran(value.decode("ascii"))
            except ValueError:
                return errors.Ran.MAYBE
    return None


def read_served(body: bytes) -> tuple[int, ...]:
    """Return the versions that a 409 names; none where it is malformed."""
    try:
        return tuple(_NOT_SERVED_DECODER.decode(body).served)
    except msgspec.DecodeError:
        return ()


def read_refusal(body: bytes) -> leafprotocol.Refusal:
    """Return the reason in a refusal; a leaf need not give one."""
    try:
        return leafprotocol.Refusal(_REFUSAL_DECODER.decode(body).refusal)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
        return leafprotocol.Refusal.UNKNOWN
