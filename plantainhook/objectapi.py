"""Client side of the platform's object API.

``ObjectApi`` is the seam: the HTTP client and the in-memory fake implement
it, and every controller that agrees on or keeps something goes through it.
A write whose reply was lost returns ``ObjectOutcomeUnknownError``; the
writer reads the object back and compares the request id.
"""

import dataclasses
import typing
from collections import abc

import result

from plantainhook import errors

ABSENT_VERSION: typing.Final = 0
VALUE_LIMIT_BYTES: typing.Final = 1_000_000


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
