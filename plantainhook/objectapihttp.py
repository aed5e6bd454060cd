"""Call the platform's object API over HTTP.

Every call first takes a token from the client's rate limit, and has one
timeout for the whole exchange. A call that is refused with 429 is sent again
after the time in Retry-After, because a refused call has no effect. A write
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

RATE_LIMITED_ATTEMPTS_COUNT: typing.Final = 4
RETRY_AFTER_DEFAULT_S: typing.Final = 1.0
RETRY_AFTER_MAX_S: typing.Final = 30.0
BURST_S: typing.Final = 2.0
CONNECTIONS_COUNT: typing.Final = 32
HTTP_CONFLICT: typing.Final = httpx.codes.PRECONDITION_FAILED
# A reply with another status is damaged.
STATUSES: typing.Final = range(100, 600)
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
        self._rate_limit = ratelimit.TokenBucket(
            calls_per_s, max(1.0, calls_per_s * BURST_S)
        )

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Return an object, or ObjectNotFoundError."""
        outcome = await self._call("GET", key, _path(key))
        return outcome.and_then(lambda reply: self._decode_object(key, reply))

    async def list(
        self, prefix: str
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Return all objects whose key starts with the prefix."""
        path = f"/v1/objects?{urllib.parse.urlencode({'prefix': prefix})}"
        outcome = await self._call("GET", prefix, path)
        return outcome.and_then(
            lambda reply: self._decode_listing(prefix, reply)
        )

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Write a JSON value if the object has version ``if_version``."""
        outcome = await self._call(
            "PUT",
            key,
            _path(key),
            headers=_condition_headers(if_version, request_id),
            content=msgspec.json.encode(value),
        )
        return outcome.and_then(lambda reply: self._decode_object(key, reply))

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Delete an object if it has version ``if_version``."""
        outcome = await self._call(
            "DELETE",
            key,
            _path(key),
            headers=_condition_headers(if_version, request_id),
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
        listing = outcome.and_then(
            lambda reply: self._decode_listing(prefix, reply)
        )
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
        """Send a call within the rate limit; repeat it after a 429.

        ``extra_s`` is added to the timeout.
        """
        request = self._client.build_request(
            method, path, headers=headers, content=content
        )
        for _ in range(RATE_LIMITED_ATTEMPTS_COUNT):
            await self._wait_for_token()
            outcome = await self._send(request, key, self.timeout_s + extra_s)
            if not isinstance(outcome, result.Err):
                return outcome
            error = outcome.err_value
            if not isinstance(error, errors.ObjectRateLimitedError):
                return outcome
            self._rate_limit.pause(self._clock.now_s(), error.retry_after_s)
        return outcome

    async def _wait_for_token(self) -> None:
        """Take a token of the rate limit and wait until it may be used."""
        wait_s = self._rate_limit.reserve(self._clock.now_s())
        if wait_s > 0:
            await trio.sleep(wait_s)

    async def _send(
        self, request: httpx.Request, key: str, timeout_s: float
    ) -> Outcome:
        """Send one request and classify its outcome."""
        is_write = request.method in ("PUT", "DELETE")
        with trio.move_on_after(timeout_s):
            try:
                reply = await self._client.send(request)
            except NOT_SENT_ERRORS as error:
                return result.Err(self._no_effect_error(key, str(error)))
            except httpx.HTTPError as error:
                detail = f"{type(error).__name__}: {error}"
                return result.Err(
                    self._lost_reply_error(key, is_write, detail)
                )
            return self._check_status(reply, key, is_write)
        detail = f"no reply within {timeout_s:g} s"
        return result.Err(self._lost_reply_error(key, is_write, detail))

    def _check_status(
        self, reply: httpx.Response, key: str, is_write: bool
    ) -> Outcome:
        """Return a successful reply, or the error of its HTTP status."""
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
            return result.Err(self._conflict_error(key, reply))
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
        return result.Err(self._other_error(key, reply, is_write))

    def _other_error(
        self, key: str, reply: httpx.Response, is_write: bool
    ) -> errors.ObjectApiError:
        """Build the error of a status without an error class of its own."""
        detail = f"{key}: HTTP status {reply.status_code}"
        if reply.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            return self._no_effect_error(
                key, f"{detail}: the object API is down"
            )
        if reply.is_server_error or reply.status_code not in STATUSES:
            return self._lost_reply_error(key, is_write, detail)
        return errors.ObjectApiError(objectapi.step_of(key), self.url, detail)

    def _no_effect_error(
        self, key: str, detail: str
    ) -> errors.ObjectApiUnavailableError:
        """Build the error of a call that had no effect."""
        return errors.ObjectApiUnavailableError(
            objectapi.step_of(key), self.url, detail
        )

    def _lost_reply_error(
        self, key: str, is_write: bool, detail: str
    ) -> errors.ObjectApiError:
        """Build the error of a call without a usable reply.

        A write may have taken effect.
        """
        if not is_write:
            return self._no_effect_error(key, detail)
        return errors.ObjectOutcomeUnknownError(
            objectapi.step_of(key), self.url, f"{key}: {detail}"
        )

    def _conflict_error(
        self, key: str, reply: httpx.Response
    ) -> errors.ObjectApiError:
        """Build the error of a 412, which carries the current object."""
        current = self._decode_object(key, reply)
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

    def _decode_object(
        self, key: str, reply: httpx.Response
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Decode a reply that contains one object."""
        try:
            return result.Ok(
                msgspec.json.decode(reply.content, type=WireObject).stored()
            )
        except msgspec.MsgspecError as error:
            return result.Err(self._malformed_error(key, error))

    def _decode_listing(
        self, prefix: str, reply: httpx.Response
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Decode a reply that contains several objects."""
        try:
            listing = msgspec.json.decode(reply.content, type=WireListing)
        except msgspec.MsgspecError as error:
            return result.Err(self._malformed_error(prefix, error))
        objects = tuple(entry.stored() for entry in listing.objects)
        return result.Ok(objectapi.Listing(objects, listing.version))

    def _malformed_error(
        self, key: str, error: Exception
    ) -> errors.ObjectOutcomeUnknownError:
        """Build the error of a reply that cannot be decoded."""
        return errors.ObjectOutcomeUnknownError(
            objectapi.step_of(key), self.url, f"{key}: {error}"
        )


class WireObject(msgspec.Struct, frozen=True):
    """Represent an object in the JSON form of the protocol."""

    key: str
    version: int
    value: typing.Any
    request_id: str

    def stored(self) -> objectapi.StoredObject:
        """Convert to the form that callers of the client receive."""
        return objectapi.StoredObject(
            self.key, self.version, self.value, self.request_id
        )


class WireListing(msgspec.Struct, frozen=True):
    """Represent a list of objects in the JSON form of the protocol."""

    objects: list[WireObject]
    version: int


def _path(key: str) -> str:
    """Return the URL path of an object."""
    return f"/v1/objects/{urllib.parse.quote(key)}"


def _condition_headers(if_version: int, request_id: str) -> dict[str, str]:
    """Return the headers of a conditional write."""
    if if_version == objectapi.ABSENT_VERSION:
        return {"If-None-Match": "*", "Request-Id": request_id}
    return {"If-Match": f'"{if_version}"', "Request-Id": request_id}


def _retry_after_s(reply: httpx.Response) -> float:
    """Return the seconds of Retry-After, limited; or the default."""
    try:
        seconds = float(reply.headers.get("Retry-After", ""))
    except ValueError:
        return RETRY_AFTER_DEFAULT_S
    return min(max(seconds, 0.0), RETRY_AFTER_MAX_S)


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

    ``transport`` replaces the network, for programs that embed the platform.
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
