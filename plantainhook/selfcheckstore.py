"""Simulate the object API in memory, with faults for the self-check.

Values are stored as JSON, so that a caller can't change a stored object in
place and the size limit is that of the platform.
"""

import random
import typing
from collections import abc

import msgspec
import result

from plantainhook import errors, objectapi, steps

STEP: typing.Final = steps.Step.FIGURES_WRITE
# A write without a reply that takes effect late does so within this many
# calls.
LATE_CALLS_COUNT: typing.Final = 20


class Write(typing.NamedTuple):
    """Describe a put, or a deletion if ``encoded`` is None."""

    key: str
    encoded: bytes | None
    if_version: int
    request_id: str


class StoredBytes(typing.NamedTuple):
    """Represent a stored object with its value as JSON."""

    version: int
    encoded: bytes
    request_id: str


class FaultyStore:
    """Store objects, lose replies at random and become unavailable on request.

    ``lost_ratio`` is the share of writes without a reply. Such a write takes
    effect at once, later or never. While ``unavailable`` is set, all calls
    fail.
    """

    version: int
    unavailable: bool
    lost_ratio: float
    objects: dict[str, StoredBytes]
    _random: random.Random
    _late_writes: list[tuple[int, Write]]
    _calls_count: int

    def __init__(self, seed: int, lost_ratio: float) -> None:
        self.version = 0
        self.unavailable = False
        self.lost_ratio = lost_ratio
        self.objects = {}
        self._random = random.Random(seed)
        self._late_writes = []
        self._calls_count = 0

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Return an object, or ObjectNotFoundError."""
        self._begin_call()
        if self.unavailable:
            return result.Err(_unavailable(key))
        if key not in self.objects:
            return result.Err(
                errors.ObjectNotFoundError(STEP, key, "does not exist")
            )
        return result.Ok(self.stored(key))

    async def list(
        self, prefix: str
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Return all objects whose key starts with the prefix."""
        self._begin_call()
        if self.unavailable:
            return result.Err(_unavailable(prefix))
        found = tuple(
            self.stored(key)
            for key in sorted(self.objects)
            if key.startswith(prefix)
        )
        return result.Ok(objectapi.Listing(found, self.version))

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Write a JSON value if the object still has the version."""
        self._begin_call()
        encoded = msgspec.json.encode(value)
        if self.unavailable:
            return result.Err(_unavailable(key))
        if len(encoded) > objectapi.VALUE_LIMIT_BYTES:
            detail = f"{len(encoded)} bytes exceed the limit of a value"
            return result.Err(errors.ObjectTooLargeError(STEP, key, detail))
        write = Write(key, encoded, if_version, request_id)
        outcome = self._with_faults(write)
        if isinstance(outcome, result.Err):
            return outcome
        return result.Ok(self.stored(key))

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Delete an object if it still has the version."""
        self._begin_call()
        if self.unavailable:
            return result.Err(_unavailable(key))
        return self._with_faults(Write(key, None, if_version, request_id))

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[
        abc.Sequence[objectapi.StoredObject], errors.ObjectApiError
    ]:
        """Return the existing objects that changed after a version."""
        listing = await self.list(prefix)
        return listing.map(
            lambda found: [
                item for item in found.objects if item.version > from_version
            ]
        )

    @classmethod
    def unreachable(cls) -> "FaultyStore":
        """Return a store that is always unavailable."""
        store = cls(0, 0.0)
        store.unavailable = True
        return store

    def stored(self, key: str) -> objectapi.StoredObject:
        """Return an object as callers of ``get`` receive it."""
        current = self.objects[key]
        value = msgspec.json.decode(current.encoded)
        return objectapi.StoredObject(
            key, current.version, value, current.request_id
        )

    def apply_late_writes(self) -> None:
        """Apply all delayed writes now."""
        late_writes, self._late_writes = self._late_writes, []
        for _, write in late_writes:
            self._apply(write)

    def _begin_call(self) -> None:
        self._calls_count += 1
        due_writes = [
            item for item in self._late_writes if item[0] <= self._calls_count
        ]
        self._late_writes = [
            item for item in self._late_writes if item not in due_writes
        ]
        for _, write in due_writes:
            self._apply(write)

    def _with_faults(
        self, write: Write
    ) -> result.Result[None, errors.ObjectApiError]:
        if self._random.random() >= self.lost_ratio:
            return self._apply(write)
        unknown = errors.ObjectOutcomeUnknownError(
            STEP, write.key, "the reply was lost"
        )
        effect = self._random.randrange(3)
        if effect == 0:
            self._apply(write)
        elif effect == 1:
            delay = self._random.randrange(1, LATE_CALLS_COUNT)
            self._late_writes.append((self._calls_count + delay, write))
        return result.Err(unknown)

    def _apply(
        self, write: Write
    ) -> result.Result[None, errors.ObjectApiError]:
        current = self.objects.get(write.key)
        version = current.version if current else objectapi.ABSENT_VERSION
        if version != write.if_version:
            return result.Err(
                errors.ObjectConflictError(
                    STEP, write.key, "the version differs", version
                )
            )
        self.version += 1
        if write.encoded is None:
            self.objects.pop(write.key, None)
            return result.Ok(None)
        self.objects[write.key] = StoredBytes(
            self.version, write.encoded, write.request_id
        )
        return result.Ok(None)


def _unavailable(key: str) -> errors.ObjectApiUnavailableError:
    return errors.ObjectApiUnavailableError(
        STEP, key, "the store is unavailable"
    )


class EpochWriter:
    """Write month objects under an epoch that the caller chooses."""

    epoch: int
    _api: objectapi.ObjectApi

    def __init__(self, api: objectapi.ObjectApi, epoch: int) -> None:
        self.epoch = epoch
        self._api = api

    async def fenced_put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.PlantainhookError]:
        """Write like ``ObjectApi.put``."""
        return await self._api.put(key, value, if_version, request_id)
