"""Provide an in-memory object API for simulated fleets.

Tests and ``bench-control`` use it; one store serves all daemons of a run. A
callback decides what happens to each write: it can be refused, applied
without a reply, or delayed and applied later. ``objectapifake`` is the one
for single clients with counted faults.
"""

import dataclasses
import enum
import typing
from collections import abc

import result
import trio

from plantainhook import errors, objectapi, steps

STORE_PEER: typing.Final = "memory-store"


class WriteFault(enum.Enum):
    """Name the faults of a write."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    REPLY_LOST = "reply_lost"
    DELAYED = "delayed"


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """Represent a write or, if ``deletes`` is true, a deletion."""

    key: str
    value: typing.Any
    if_version: int
    request_id: str
    deletes: bool


class MemoryStore:
    """Implement ``objectapi.ObjectApi`` in memory.

    While ``down`` is true, every call fails. ``fault`` returns the fault of a
    write by its key.
    """

    def __init__(self) -> None:
        self.objects: dict[str, objectapi.StoredObject] = {}
        self.version = 0
        self.down = False
        self.call_count = 0
        self.fault: abc.Callable[[str], WriteFault] = lambda _key: (
            WriteFault.NONE
        )
        self._delayed: list[_Write] = []
        self._changed = trio.Event()

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Return an object, or ObjectNotFoundError."""
        await self._call()
        if self.down:
            return result.Err(_unavailable_error())
        found = self.objects.get(key)
        if found is None:
            step = steps.Step.SETTINGS_SPREAD
            return result.Err(
                errors.ObjectNotFoundError(step, STORE_PEER, key)
            )
        return result.Ok(found)

    async def list(
        self, prefix: str
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Return all objects whose key starts with the prefix."""
        await self._call()
        if self.down:
            return result.Err(_unavailable_error())
        found = tuple(self._find(prefix, objectapi.ABSENT_VERSION))
        return result.Ok(objectapi.Listing(found, self.version))

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Write a JSON value if the object has version ``if_version``."""
        write = _Write(key, value, if_version, request_id, deletes=False)
        return await self._write_with_fault(write)

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Delete an object if it has version ``if_version``."""
        write = _Write(key, None, if_version, request_id, deletes=True)
        return (await self._write_with_fault(write)).map(lambda _stored: None)

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[
        abc.Sequence[objectapi.StoredObject], errors.ObjectApiError
    ]:
        """Wait for changes after a version; return none at the timeout."""
        await self._call()
        with trio.move_on_after(timeout_s):
            while not self.down:
                found = list(self._find(prefix, from_version))
                if found:
                    return result.Ok(found)
                await self._changed.wait()
        if self.down:
            return result.Err(_unavailable_error())
        return result.Ok([])

    def apply_delayed(self) -> None:
        """Apply the delayed writes in their order."""
        delayed, self._delayed = self._delayed, []
        for write in delayed:
            self._apply(write)

    def set_down(self, down: bool) -> None:
        """Start or end an outage; at its start pending watches fail."""
        self.down = down
        self._notify()

    async def _call(self) -> None:
        """Count a call and let other tasks run."""
        self.call_count += 1
        await trio.lowlevel.checkpoint()

    async def _write_with_fault(
        self, write: _Write
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        await self._call()
        fault = self.fault(write.key)
        if self.down or fault is WriteFault.UNAVAILABLE:
            return result.Err(_unavailable_error())
        if fault is WriteFault.DELAYED:
            self._delayed.append(write)
            return result.Err(_unknown_error())
        written = self._apply(write)
        if fault is WriteFault.REPLY_LOST:
            return result.Err(_unknown_error())
        return written

    def _apply(
        self, write: _Write
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        current = self.objects.get(write.key)
        version = current.version if current else objectapi.ABSENT_VERSION
        if version != write.if_version:
            return result.Err(
                errors.ObjectConflictError(
                    steps.Step.SETTINGS_WRITE, STORE_PEER, write.key, version
                )
            )
        self.version += 1
        stored = objectapi.StoredObject(
            write.key, self.version, write.value, write.request_id
        )
        self.objects[write.key] = stored
        if write.deletes:
            del self.objects[write.key]
        self._notify()
        return result.Ok(stored)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _find(
        self, prefix: str, from_version: int
    ) -> abc.Iterator[objectapi.StoredObject]:
        return (
            stored
            for key, stored in self.objects.items()
            if key.startswith(prefix) and stored.version > from_version
        )


def _unavailable_error() -> errors.ObjectApiUnavailableError:
    return errors.ObjectApiUnavailableError(
        steps.Step.SETTINGS_SPREAD, STORE_PEER, "the store is down"
    )


def _unknown_error() -> errors.ObjectOutcomeUnknownError:
    return errors.ObjectOutcomeUnknownError(
        steps.Step.SETTINGS_WRITE, STORE_PEER, "the reply was lost"
    )
