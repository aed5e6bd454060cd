"""Stand-in for the platform's object API over HTTP and JSON.

It serves the HTTP protocol described in docs/design.md from the in-memory
store of ``objectapifake``, with the same faults. ``PUT /admin/faults`` sets
faults by the field names of ``objectapifake.Faults``, and
``GET /admin/counters`` returns the counts of calls and bytes.
"""

import dataclasses
import json
import typing
from collections import abc

import hypercorn.config
import hypercorn.trio
import msgspec
import quart
import quart_trio
import result
import trio

from plantainhook import errors, objectapi, objectapifake

WATCH_MAX_MS: typing.Final = 60_000
BODY_LIMIT_BYTES: typing.Final = 4 * objectapi.VALUE_LIMIT_BYTES
# A lost reply is held back for longer than any client waits.
LOST_REPLY_HOLD_S: typing.Final = 3600.0
SHUTDOWN_TIMEOUT_S: typing.Final = 1.0
JSON_TYPE: typing.Final = "application/json"


class BadRequestError(ValueError):
    """Report a request that violates the protocol."""


def build_app(
    api: objectapifake.FakeObjectApi, token: str = ""
) -> quart_trio.QuartTrio:
    """Build the HTTP application over a fake object API.

    If ``token`` is not empty, each call must send it as a bearer token.
    """
    app = quart_trio.QuartTrio("plantainhook.standin_platform")
    app.config["MAX_CONTENT_LENGTH"] = BODY_LIMIT_BYTES
    handlers = _Handlers(api)
    app.before_request(_token_check(token))
    app.register_error_handler(BadRequestError, _bad_request_response)
    app.add_url_rule("/v1/objects", view_func=handlers.list_objects)
    app.add_url_rule("/v1/watch", view_func=handlers.watch)
    path = "/v1/objects/<path:key>"
    app.add_url_rule(path, view_func=handlers.get)
    app.add_url_rule(path, view_func=handlers.put, methods=["PUT"])
    app.add_url_rule(path, view_func=handlers.delete, methods=["DELETE"])
    faults = "/admin/faults"
    app.add_url_rule(faults, view_func=handlers.set_faults, methods=["PUT"])
    app.add_url_rule("/admin/counters", view_func=handlers.counters)
    return app


def _token_check(token: str) -> typing.Any:
    """Return a function that checks the token before each request."""

    async def check() -> quart.Response | None:
        if token and quart.request.headers.get("Authorization") != (
            f"Bearer {token}"
        ):
            return _json_response(
                401, {"error": "the bearer token is not valid"}
            )
        return None

    return check


async def _bad_request_response(error: BadRequestError) -> quart.Response:
    """Answer a request that violates the protocol."""
    return _json_response(400, {"error": str(error)})


class _Handlers:
    """Handle the calls of the protocol and the admin calls."""

    def __init__(self, api: objectapifake.FakeObjectApi) -> None:
        self._api = api

    async def get(self, key: str) -> quart.Response:
        """Return an object."""
        return await self._object_response(key, await self._api.get(key))

    async def list_objects(self) -> quart.Response:
        """Return the objects under a prefix."""
        outcome = await self._api.list(quart.request.args.get("prefix", ""))
        if isinstance(outcome, result.Err):
            return await self._error_response("", outcome.err_value)
        listing = outcome.ok_value
        return _json_response(
            200,
            {
                "objects": [dataclasses.asdict(o) for o in listing.objects],
                "version": listing.version,
            },
        )

    async def put(self, key: str) -> quart.Response:
        """Write an object if the condition in the headers holds."""
        body = await quart.request.get_data(as_text=False)
        if len(body) > objectapi.VALUE_LIMIT_BYTES:
            return _json_response(
                413, {"error": "the value is over the size limit"}
            )
        try:
            value = json.loads(body)
        except ValueError as error:
            raise BadRequestError("the body is not JSON") from error
        outcome = await self._api.put(key, value, _if_version(), _request_id())
        return await self._object_response(key, outcome)

    async def delete(self, key: str) -> quart.Response:
        """Delete an object if the condition in the headers holds."""
        outcome = await self._api.delete(key, _if_version(), _request_id())
        if isinstance(outcome, result.Err):
            return await self._error_response(key, outcome.err_value)
        return _json_response(200, {})

    async def watch(self) -> quart.Response:
        """Wait for changes under a prefix and return the changed objects."""
        from_version = _int_argument("from")
        timeout_ms = min(_int_argument("timeout_ms"), WATCH_MAX_MS)
        outcome = await self._api.watch(
            quart.request.args.get("prefix", ""),
            from_version,
            timeout_ms / 1000,
        )
        if isinstance(outcome, result.Err):
            return await self._error_response("", outcome.err_value)
        changes = [dataclasses.asdict(o) for o in outcome.ok_value]
        version = max([from_version, *(c["version"] for c in changes)])
        return _json_response(200, {"objects": changes, "version": version})

    async def set_faults(self) -> quart.Response:
        """Replace the faults by those in the body."""
        body = await quart.request.get_data(as_text=False)
        try:
            faults = msgspec.json.decode(body, type=objectapifake.Faults)
        except msgspec.MsgspecError as error:
            raise BadRequestError(str(error)) from error
        self._api.faults = faults
        return _json_response(200, dataclasses.asdict(faults))

    async def counters(self) -> quart.Response:
        """Return the counts of calls and bytes."""
        return _json_response(200, dataclasses.asdict(self._api.counters))

    async def _object_response(
        self,
        key: str,
        outcome: result.Result[objectapi.StoredObject, errors.ObjectApiError],
    ) -> quart.Response:
        """Answer with an object, or with the error of the call."""
        if isinstance(outcome, result.Err):
            return await self._error_response(key, outcome.err_value)
        stored = outcome.ok_value
        reply = _json_response(200, dataclasses.asdict(stored))
        reply.headers["ETag"] = f'"{stored.version}"'
        return reply

    async def _error_response(
        self, key: str, error: errors.ObjectApiError
    ) -> quart.Response:
        """Answer a call that failed.

        For an unknown outcome no answer is sent before the client gives up.
        """
        body = {"error": error.detail}
        match error:
            case errors.ObjectOutcomeUnknownError():
                await trio.sleep(LOST_REPLY_HOLD_S)
                return _json_response(504, body)
            case errors.ObjectConflictError():
                return _json_response(412, self._current_object(key, error))
            case errors.ObjectNotFoundError():
                return _json_response(404, body)
            case errors.ObjectTooLargeError():
                return _json_response(413, body)
            case errors.ObjectRateLimitedError():
                reply = _json_response(429, body)
                reply.headers["Retry-After"] = f"{error.retry_after_s:g}"
                return reply
        return _json_response(503, body)

    def _current_object(
        self, key: str, error: errors.ObjectConflictError
    ) -> dict[str, typing.Any]:
        """Return the stored object that a failed condition did not match."""
        for stored in self._api.store.changes(key, 0):
            if stored.key == key and stored.value is not None:
                return dataclasses.asdict(stored)
        absent = objectapi.StoredObject(key, error.current_version, None, "")
        return dataclasses.asdict(absent)


def _request_id() -> str:
    """Return the request id of a write, which the protocol requires."""
    request_id: str = quart.request.headers.get("Request-Id", "")
    if not request_id:
        raise BadRequestError("the header Request-Id is missing")
    return request_id


def _if_version() -> int:
    """Return the version that the object must have for a write."""
    if quart.request.headers.get("If-None-Match") == "*":
        return objectapi.ABSENT_VERSION
    tag = quart.request.headers.get("If-Match", "").strip('"')
    if not tag.isdecimal():
        raise BadRequestError(
            "a write needs If-Match with a version or If-None-Match: *"
        )
    return int(tag)


def _int_argument(name: str) -> int:
    """Return a query argument as an integer, 0 if it is missing."""
    text = quart.request.args.get(name, "0")
    if not text.isdecimal():
        raise BadRequestError(f"the argument {name} is not a whole number")
    return int(text)


def _json_response(status: int, body: typing.Any) -> quart.Response:
    """Build a JSON reply."""
    return quart.Response(
        msgspec.json.encode(body), status=status, content_type=JSON_TYPE
    )


async def serve(
    app: quart_trio.QuartTrio,
    bind: str,
    shutdown: abc.Callable[..., abc.Awaitable[None]] | None = None,
) -> None:
    """Serve the application on an address until it is shut down."""
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.errorlog = None
    config.graceful_timeout = SHUTDOWN_TIMEOUT_S
    await hypercorn.trio.serve(app, config, shutdown_trigger=shutdown)
