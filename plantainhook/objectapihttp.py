"""HTTP client of the platform's object API.

Every call has one timeout over all its parts and takes a token of the
client's budget first. A call that is refused with 429 waits for the time in
Retry-After and is sent again, because a refused call has no effect. A write
that may have taken effect is never sent again here; see
``objectapi.write_resolved``.
"""

import contextlib
import typing
import urllib.parse
from collections import abc

import httpx
import msgspec
import result
import trio

from plantainhook import clock, errors, objectapi, ratelimit

LIMITED_ATTEMPTS_COUNT: typing.Final = 4
DEFAULT_RETRY_AFTER_S: typing.Final = 1.0
LONGEST_RETRY_AFTER_S: typing.Final = 30.0
BURST_S: typing.Final = 2.0
CONNECTIONS_COUNT: typing.Final = 32
HTTP_CONFLICT: typing.Final = httpx.codes.PRECONDITION_FAILED
NOT_SENT_ERRORS: typing.Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)

Outcome = result.Result[httpx.Response, errors.ObjectApiError]


class HttpObjectApi:
    """Implement ``objectapi.ObjectApi`` over HTTP and JSON."""

    url: str
    timeout_s: float

    def __init__(
        self,
        client: httpx.AsyncClient,
        timeout_s: float,
        calls_per_s: float,
        own_clock: clock.Clock,
    ) -> None:
        self.url = str(client.base_url)
        self.timeout_s = timeout_s
        self._client = client
        self._clock = own_clock
        self._budget = ratelimit.TokenBucket(
            calls_per_s, max(1.0, calls_per_s * BURST_S)
        )

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Return an object, or ObjectNotFoundError."""
        outcome = await self._call("GET", key, _path(key))
        return outcome.and_then(lambda reply: self._object(key, reply))

    async def list(
        self, prefix: str
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Return all objects whose key starts with the prefix."""
        path = f"/v1/objects?{urllib.parse.urlencode({'prefix': prefix})}"
        outcome = await self._call("GET", prefix, path)
        return outcome.and_then(lambda reply: self._listing(prefix, reply))

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Write a JSON value if the object still has the version."""
        outcome = await self._call(
            "PUT",
            key,
            _path(key),
            headers=_condition(if_version, request_id),
            content=msgspec.json.encode(value),
        )
        return outcome.and_then(lambda reply: self._object(key, reply))

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Delete an object if it still has the version."""
        outcome = await self._call(
            "DELETE",
            key,
            _path(key),
            headers=_condition(if_version, request_id),
        )
        return outcome.map(lambda _: None)

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[
        abc.Sequence[objectapi.StoredObject], errors.ObjectApiError
    ]:
        """Wait for changes after a version; return none at the timeout."""
        query = {
            "prefix": prefix,
            "from": from_version,
            "timeout_ms": int(timeout_s * 1000),
        }
        outcome = await self._call(
            "GET",
            prefix,
            f"/v1/watch?{urllib.parse.urlencode(query)}",
            extra_s=timeout_s,
        )
        listing = outcome.and_then(lambda reply: self._listing(prefix, reply))
        return listing.map(lambda found: found.objects)

    async def _call(
        self,
        method: str,
        key: str,
        path: str,
        headers: dict[str, str] | None = None,
        content: bytes | None = None,
        extra_s: float = 0.0,
    ) -> Outcome:
        """Send a call within the budget; wait and repeat after a 429."""
        request = self._client.build_request(
            method, path, headers=headers, content=content
        )
        for _ in range(LIMITED_ATTEMPTS_COUNT):
            await self._wait_for_budget()
            outcome = await self._send(request, key, self.timeout_s + extra_s)
            if not isinstance(outcome, result.Err):
                return outcome
            error = outcome.err_value
            if not isinstance(error, errors.ObjectRateLimitedError):
                return outcome
            self._budget.pause(self._clock.now_s(), error.retry_after_s)
        return outcome

    async def _wait_for_budget(self) -> None:
        """Take a token and wait until it may be used."""
        wait_s = self._budget.reserve(self._clock.now_s())
        if wait_s > 0:
            await trio.sleep(wait_s)

    async def _send(
        self, request: httpx.Request, key: str, timeout_s: float
    ) -> Outcome:
        """Send one request and classify what comes back."""
        writes = request.method in ("PUT", "DELETE")
        with trio.move_on_after(timeout_s):
            try:
                reply = await self._client.send(request)
            except NOT_SENT_ERRORS as error:
                return result.Err(self._not_sent(key, str(error)))
            except httpx.HTTPError as error:
                detail = f"{type(error).__name__}: {error}"
                return result.Err(self._lost(key, writes, detail))
            return self._judge(reply, key, writes)
        detail = f"no reply within {timeout_s:g} s"
        return result.Err(self._lost(key, writes, detail))

    def _judge(self, reply: httpx.Response, key: str, writes: bool) -> Outcome:
        """Turn an HTTP status into a typed error."""
        step = objectapi.step_of(key)
        status = reply.status_code
        if reply.is_success:
            return result.Ok(reply)
        if status == httpx.codes.NOT_FOUND:
            detail = f"{key} does not exist"
            return result.Err(
                errors.ObjectNotFoundError(step, self.url, detail)
            )
        if status == HTTP_CONFLICT:
            return result.Err(self._conflict(key, reply))
        if status == httpx.codes.REQUEST_ENTITY_TOO_LARGE:
            detail = f"{key}: the value is over the size limit"
            return result.Err(
                errors.ObjectTooLargeError(step, self.url, detail)
            )
        if status == httpx.codes.TOO_MANY_REQUESTS:
            return result.Err(
                errors.ObjectRateLimitedError(
                    step,
                    self.url,
                    "the rate limit is exceeded",
                    _retry_after_s(reply),
                )
            )
        return result.Err(self._other(key, reply, writes))

    def _other(
        self, key: str, reply: httpx.Response, writes: bool
    ) -> errors.ObjectApiError:
        """Classify a status that has no meaning of its own."""
        detail = f"{key}: HTTP status {reply.status_code}"
        if reply.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            return self._not_sent(key, f"{detail}: the object API is down")
        if reply.is_server_error:
            return self._lost(key, writes, detail)
        return errors.ObjectApiError(objectapi.step_of(key), self.url, detail)

    def _not_sent(
        self, key: str, detail: str
    ) -> errors.ObjectApiUnavailableError:
        """Build the error of a call that had no effect."""
        return errors.ObjectApiUnavailableError(
            objectapi.step_of(key), self.url, detail
        )

    def _lost(
        self, key: str, writes: bool, detail: str
    ) -> errors.ObjectApiError:
        """Build the error of a call without a usable reply."""
        if not writes:
            return self._not_sent(key, detail)
        return errors.ObjectOutcomeUnknownError(
            objectapi.step_of(key), self.url, f"{key}: {detail}"
        )

    def _conflict(
        self, key: str, reply: httpx.Response
    ) -> errors.ObjectApiError:
        """Read the current object out of a 412."""
        current = self._object(key, reply)
        if isinstance(current, result.Err):
            return current.err_value
        stored = current.ok_value
        return errors.ObjectConflictError(
            objectapi.step_of(key),
            self.url,
            f"{key} has version {stored.version}",
            stored.version,
            stored.request_id,
        )

    def _object(
        self, key: str, reply: httpx.Response
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Decode a reply that holds one object."""
        try:
            return result.Ok(
                msgspec.json.decode(reply.content, type=WireObject).stored()
            )
        except msgspec.MsgspecError as error:
            return result.Err(self._malformed(key, error))

    def _listing(
        self, prefix: str, reply: httpx.Response
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Decode a reply that holds several objects."""
        try:
            wire = msgspec.json.decode(reply.content, type=WireListing)
        except msgspec.MsgspecError as error:
            return result.Err(self._malformed(prefix, error))
        objects = tuple(entry.stored() for entry in wire.objects)
        return result.Ok(objectapi.Listing(objects, wire.version))

    def _malformed(
        self, key: str, error: Exception
    ) -> errors.ObjectOutcomeUnknownError:
        """Build the error of a reply that cannot be decoded."""
        return errors.ObjectOutcomeUnknownError(
            objectapi.step_of(key), self.url, f"{key}: {error}"
        )


class WireObject(msgspec.Struct, frozen=True):
    """Hold an object as the protocol carries it."""

    key: str
    version: int
    value: typing.Any
    request_id: str

    def stored(self) -> objectapi.StoredObject:
        """Return the object as the client hands it out."""
        return objectapi.StoredObject(
            self.key, self.version, self.value, self.request_id
        )


class WireListing(msgspec.Struct, frozen=True):
    """Hold a list of objects as the protocol carries it."""

    objects: list[WireObject]
    version: int


def _path(key: str) -> str:
    """Return the path of an object."""
    return f"/v1/objects/{urllib.parse.quote(key)}"


def _condition(if_version: int, request_id: str) -> dict[str, str]:
    """Return the headers of a conditional write."""
    if if_version == objectapi.ABSENT_VERSION:
        return {"If-None-Match": "*", "Request-Id": request_id}
    return {"If-Match": f'"{if_version}"', "Request-Id": request_id}


def _retry_after_s(reply: httpx.Response) -> float:
    """Return the seconds of Retry-After, within bounds."""
    try:
        seconds = float(reply.headers.get("Retry-After", ""))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    return min(max(seconds, 0.0), LONGEST_RETRY_AFTER_S)


@contextlib.asynccontextmanager
async def open_object_api(
    url: str,
    token: str,
    timeout_s: float,
    calls_per_s: float,
    own_clock: clock.Clock,
    transport: httpx.AsyncBaseTransport | None = None,
) -> abc.AsyncIterator[HttpObjectApi]:
    """Open a client of an object API; close its connections at the end.

    A transport replaces the network, for programs that embed the platform.
    """
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    limits = httpx.Limits(
        max_connections=CONNECTIONS_COUNT,
        max_keepalive_connections=CONNECTIONS_COUNT,
    )
    async with httpx.AsyncClient(
        base_url=url,
        headers=headers,
        timeout=httpx.Timeout(None),
        limits=limits,
        transport=transport,
        trust_env=False,
    ) as client:
        yield HttpObjectApi(client, timeout_s, calls_per_s, own_clock)
