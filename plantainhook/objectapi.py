"""Client side of the platform's object API.

``ObjectApi`` is the seam: the HTTP client and the in-memory fake implement
it, and every controller that agrees on or keeps something goes through it.
A write whose reply was lost returns ``ObjectOutcomeUnknownError``. Every
writer goes through ``write_resolved``, which reads the object back and
compares the request id, so no writer repeats a write blindly.
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
RESOLVE_LAST_WAIT_S: typing.Final = 2.0

STEP_OF_PREFIX: typing.Final = (
    ("settings/head", steps.Step.SETTINGS_NOTICE),
    ("settings/", steps.Step.SETTINGS_WRITE),
    ("lease/", steps.Step.LEASE_RENEW),
    ("figures/", steps.Step.FIGURES_WRITE),
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold an object of the store; a deleted object has value None."""

    key: str
    version: int
    value: typing.Any
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Hold the objects under a prefix and the store's version."""

    objects: tuple[StoredObject, ...]
    version: int


class ObjectApi(typing.Protocol):
    """Read, write and watch versioned objects.

    ``if_version`` is the version that the object must have;
    ``ABSENT_VERSION`` means that it must not exist.
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
        """Write a JSON value if the object still has the version."""

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Delete an object if it still has the version."""

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[abc.Sequence[StoredObject], errors.ObjectApiError]:
        """Wait for changes after a version; return none at the timeout."""


def step_of(key: str) -> steps.Step:
    """Return the step that calls for a key belong to."""
    for prefix, step in STEP_OF_PREFIX:
        if key.startswith(prefix):
            return step
    return steps.Step.SETTINGS_NOTICE


def new_request_id() -> str:
    """Return an id that no other write has."""
    return uuid.uuid4().hex


async def write_resolved(
    api: ObjectApi,
    key: str,
    value: typing.Any,
    if_version: int,
    request_id: str,
) -> result.Result[StoredObject, errors.ObjectApiError]:
    """Write an object and find out the outcome where the reply is lost.

    The write is sent again only after a read shows that the object still
    has ``if_version``, and with the same condition and request id, so it
    takes effect at most once even where that read is stale. Returns
    ObjectConflictError where another writer was first, and
    ObjectOutcomeUnknownError where the object cannot be read or another
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
                return result.Err(_unknown(key, "another write came after"))
            return outcome
        if isinstance(error, errors.ObjectOutcomeUnknownError):
            unknown = True
        elif not unknown:
            return outcome
        read = await _read_back(api, key, if_version, request_id)
        if read is not None:
            return read
        await trio.sleep(wait_s)
        wait_s = min(wait_s * 2, RESOLVE_LAST_WAIT_S)
    return result.Err(_unknown(key, "no reply came to any attempt"))


async def _read_back(
    api: ObjectApi, key: str, if_version: int, request_id: str
) -> result.Result[StoredObject, errors.ObjectApiError] | None:
    """Return the outcome that a read shows, or None to send again."""
    wait_s = RESOLVE_FIRST_WAIT_S
    for _ in range(RESOLVE_ATTEMPTS_COUNT):
        read = await api.get(key)
        if isinstance(read, result.Ok):
            return _outcome_of(read.ok_value, if_version, request_id)
        error = read.err_value
        if isinstance(error, errors.ObjectNotFoundError):
            absent = StoredObject(key, ABSENT_VERSION, None, "")
            return _outcome_of(absent, if_version, request_id)
        await trio.sleep(wait_s)
        wait_s = min(wait_s * 2, RESOLVE_LAST_WAIT_S)
    return result.Err(_unknown(key, f"reading it back failed: {error.detail}"))


def _outcome_of(
    current: StoredObject, if_version: int, request_id: str
) -> result.Result[StoredObject, errors.ObjectApiError] | None:
    """Judge the object read back after a lost reply."""
    if current.request_id == request_id:
        return result.Ok(current)
    if current.version <= if_version:
        return None
    return result.Err(_unknown(key=current.key, detail="it was replaced"))


def _unknown(key: str, detail: str) -> errors.ObjectOutcomeUnknownError:
    """Build the error of a write whose outcome stays open."""
    return errors.ObjectOutcomeUnknownError(
        step_of(key), key, f"the write may have taken effect; {detail}"
    )
