"""Define the client interface of the platform's object API.

``ObjectApi`` is implemented by the HTTP client and by the in-memory fakes.
All controllers that coordinate daemons or store something use it.

A write whose reply was lost returns ``ObjectOutcomeUnknownError``. Writers
therefore call ``write_resolved``, which reads the object back and compares
the request id. No writer may repeat a write without that check.
"""

import dataclasses
import typing
import uuid
from collections import abc

import result
import trio

from plantainhook import errors, steps

ABSENT_VERSION: typing.Final = 0
VALUE_LIMIT_BYTES: typing.Final = 1_000_000
RESOLVE_ATTEMPTS_COUNT: typing.Final = 6
RESOLVE_FIRST_WAIT_S: typing.Final = 0.05
RESOLVE_MAX_WAIT_S: typing.Final = 2.0

STEP_OF_PREFIX: typing.Final = (
    ("settings/head", steps.Step.SETTINGS_NOTICE),
    ("settings/", steps.Step.SETTINGS_WRITE),
    ("lease/", steps.Step.LEASE_RENEW),
    ("figures/", steps.Step.FIGURES_WRITE),
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """Represent a version of an object.

    In the result of a watch, a deleted object has the value None.
    ``request_id`` is that of the write which made the version.
    """

    key: str
    version: int
    value: typing.Any
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Represent the objects under a prefix at a version of the store."""

    objects: tuple[StoredObject, ...]
    version: int


class ObjectApi(typing.Protocol):
    """Read, write and watch versioned objects.

    ``if_version`` is the version that the object must have, and
    ``ABSENT_VERSION`` if it must not exist; otherwise a write returns
    ObjectConflictError.
    """

    async def get(
        self, key: str
    ) -> result.Result[StoredObject, errors.ObjectApiError]:
        """Return an object, or ObjectNotFoundError."""

    async def list(
        self, prefix: str
    ) -> result.Result[Listing, errors.ObjectApiError]:
        """Return all objects whose key starts with the prefix."""

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[StoredObject, errors.ObjectApiError]:
        """Write a JSON value if the object has version ``if_version``."""

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Delete an object if it has version ``if_version``."""

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[abc.Sequence[StoredObject], errors.ObjectApiError]:
        """Wait for changes after a version; return them in order.

        Returns none after ``timeout_s``.
        """


def step_of(key: str) -> steps.Step:
    """Return the step that errors of calls for a key name."""
    for prefix, step in STEP_OF_PREFIX:
        if key.startswith(prefix):
            return step
    return steps.Step.SETTINGS_NOTICE


def new_request_id() -> str:
    """Return a random id for a write."""
    return uuid.uuid4().hex


async def write_resolved(
    api: ObjectApi,
    key: str,
    value: typing.Any,
    if_version: int,
    request_id: str,
) -> result.Result[StoredObject, errors.ObjectApiError]:
    """Write an object, and determine the outcome if the reply is lost.

    The write is sent again only after a read shows that the object still
    has ``if_version``, and with the same condition and request id. So it
    takes effect at most once, even if that read is stale. Returns
    ObjectConflictError if another writer was first. Returns
    ObjectOutcomeUnknownError if the object cannot be read, or if another
    write has replaced the version that this one may have made.
    """
    wait_s = RESOLVE_FIRST_WAIT_S
    unknown = False
    for _ in range(RESOLVE_ATTEMPTS_COUNT):
        outcome = await api.put(key, value, if_version, request_id)
        if isinstance(outcome, result.Ok):
            return outcome
        error = outcome.err_value
        if isinstance(error, errors.ObjectConflictError):
            if error.current_request_id == request_id:
                version = error.current_version
                return result.Ok(StoredObject(key, version, value, request_id))
            if unknown:
                return result.Err(
                    _unknown_error(key, "another write has changed the object")
                )
            return outcome
        if isinstance(error, errors.ObjectOutcomeUnknownError):
            unknown = True
        elif not unknown:
            return outcome
        read = await _read_back(api, key, if_version, request_id)
        if read is not None:
            return read
        await trio.sleep(wait_s)
        wait_s = min(wait_s * 2, RESOLVE_MAX_WAIT_S)
    return result.Err(_unknown_error(key, "no attempt got a reply"))


async def _read_back(
    api: ObjectApi, key: str, if_version: int, request_id: str
) -> result.Result[StoredObject, errors.ObjectApiError] | None:
    """Return the outcome that a read shows, or None to send again.

    A read that fails is repeated after a pause.
    """
    wait_s = RESOLVE_FIRST_WAIT_S
    for _ in range(RESOLVE_ATTEMPTS_COUNT):
        read = await api.get(key)
        if isinstance(read, result.Ok):
            return _classify_read(read.ok_value, if_version, request_id)
        error = read.err_value
        if isinstance(error, errors.ObjectNotFoundError):
            absent = StoredObject(key, ABSENT_VERSION, None, "")
            return _classify_read(absent, if_version, request_id)
        await trio.sleep(wait_s)
        wait_s = min(wait_s * 2, RESOLVE_MAX_WAIT_S)
    return result.Err(
        _unknown_error(key, f"reading it back failed: {error.detail}")
    )


def _classify_read(
    current: StoredObject, if_version: int, request_id: str
) -> result.Result[StoredObject, errors.ObjectApiError] | None:
    """Derive the outcome of a write from the object read back."""
    if current.request_id == request_id:
        return result.Ok(current)
    if current.version <= if_version:
        return None
    return result.Err(
        _unknown_error(key=current.key, detail="a later write replaced it")
    )


def _unknown_error(key: str, detail: str) -> errors.ObjectOutcomeUnknownError:
    """Build the error of a write whose outcome is not known."""
    return errors.ObjectOutcomeUnknownError(
        step_of(key), key, f"the write may have taken effect; {detail}"
    )
