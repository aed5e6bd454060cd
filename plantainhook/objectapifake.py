"""Provide an in-memory object API with faults and call counters.

Tests, demos and the stand-in of the platform use it. ``VersionedStore``
contains the objects. ``FakeObjectApi`` implements ``objectapi.ObjectApi`` over
it, with the faults of ``Faults``, and counts calls. Several fakes may share
one store, each with its own faults. Values are stored as JSON text, so no
caller can change what another one reads.

``memorystore`` is the simpler one for simulated fleets: its faults are chosen
by key, and it also delays writes.
"""

import dataclasses
import typing
from collections import abc

import msgspec
import result
import trio

from plantainhook import errors, objectapi, ratelimit

PEER: typing.Final = "object API"
OVER_LIMIT_WAIT_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """Represent one version of an object; ``text`` is None if deleted."""

    version: int
    text: bytes | None
    request_id: str


@dataclasses.dataclass(slots=True)
class VersionedStore:
    """Store the last two versions of every object.

    ``log``, unless it is None, lists every write that took effect.
    ``changed`` is set and replaced at every write.
    """

    version: int = 0
    entries: dict[str, _Entry] = dataclasses.field(default_factory=dict)
    previous: dict[str, _Entry] = dataclasses.field(default_factory=dict)
    log: list[objectapi.StoredObject] | None = None
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)

    def write(self, key: str, text: bytes | None, request_id: str) -> _Entry:
        """Store a new version of an object and notify the watches."""
        self.version += 1
        if key in self.entries:
            self.previous[key] = self.entries[key]
        entry = _Entry(self.version, text, request_id)
        self.entries[key] = entry
        if self.log is not None:
            self.log.append(_stored(key, entry))
        self.changed.set()
        self.changed = trio.Event()
        return entry

    def current(self, key: str) -> _Entry | None:
        """Return the newest version of an object, or None if deleted."""
        entry = self.entries.get(key)
        return entry if entry is not None and entry.text is not None else None

    def stale(self, key: str) -> _Entry | None:
        """Return the version before the newest one, if there was one."""
        entry = self.previous.get(key)
        return entry if entry is not None and entry.text is not None else None

    def changes(
        self, prefix: str, from_version: int
    ) -> list[objectapi.StoredObject]:
        """Return the newest version of each object changed after a version.

        The objects are sorted by version.
        """
        found = [
            _stored(key, entry)
            for key, entry in self.entries.items()
            if entry.version > from_version and key.startswith(prefix)
        ]
        return sorted(found, key=lambda stored: stored.version)


@dataclasses.dataclass(slots=True)
class Faults:
    """Set the faults of a fake; each affected call decrements its count.

    The next ``lost_replies_count`` writes take effect without a reply, and
    the next ``lost_requests_count`` writes get no reply and have no effect.
    The next ``stale_reads_count`` reads return the previous version. A
    ``calls_per_s`` of 0 means no rate limit.
    """

    outage: bool = False
    delay_s: float = 0.0
    lost_replies_count: int = 0
    lost_requests_count: int = 0
    stale_reads_count: int = 0
    calls_per_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Counters:
    """Count the calls of a fake by method and the bytes of their values."""

    calls: dict[str, int] = dataclasses.field(default_factory=dict)
    written_bytes: int = 0
    read_bytes: int = 0
    limited_count: int = 0

    def add(self, method: str) -> None:
        """Count one call."""
        self.calls[method] = self.calls.get(method, 0) + 1

    def total(self) -> int:
        """Return the number of calls of all methods."""
        return sum(self.calls.values())


def _stored(key: str, entry: _Entry) -> objectapi.StoredObject:
    """Decode a version of an object."""
    value = None if entry.text is None else msgspec.json.decode(entry.text)
    return objectapi.StoredObject(key, entry.version, value, entry.request_id)


class FakeObjectApi:
    """Implement ``objectapi.ObjectApi`` over a store in memory."""

    store: VersionedStore
    faults: Faults
    counters: Counters

    def __init__(
        self, store: VersionedStore | None = None, faults: Faults | None = None
    ) -> None:
        self.store = store if store is not None else VersionedStore()
        self.faults = faults if faults is not None else Faults()
        self.counters = Counters()
        self._bucket: ratelimit.TokenBucket | None = None

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Return an object, or ObjectNotFoundError."""
        refusal = await self._start_call("get", key)
        if refusal is not None:
            return result.Err(refusal)
        stale = self._use_up_stale_read()
        entry = self.store.stale(key) if stale else self.store.current(key)
        if entry is None or entry.text is None:
            return result.Err(
                errors.ObjectNotFoundError(
                    objectapi.step_of(key), PEER, f"{key} does not exist"
                )
            )
        self.counters.read_bytes += len(entry.text)
        return result.Ok(_stored(key, entry))

    async def list(
        self, prefix: str
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Return all objects whose key starts with the prefix."""
        refusal = await self._start_call("list", prefix)
        if refusal is not None:
            return result.Err(refusal)
        stale = self._use_up_stale_read()
        version = self.store.version - 1 if stale else self.store.version
        found = []
        for key in sorted(self.store.entries):
            entry = self.store.entries[key]
            if entry.version > version:
                entry = self.store.previous.get(key, _Entry(0, None, ""))
            if key.startswith(prefix) and entry.text is not None:
                self.counters.read_bytes += len(entry.text)
                found.append(_stored(key, entry))
        return result.Ok(objectapi.Listing(tuple(found), version))

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Write a JSON value if the object has version ``if_version``."""
        refusal = await self._start_call("put", key)
        if refusal is not None:
            return result.Err(refusal)
        text = msgspec.json.encode(value)
        if len(text) > objectapi.VALUE_LIMIT_BYTES:
            detail = f"{key}: {len(text)} bytes are over the size limit"
            return result.Err(
                errors.ObjectTooLargeError(
                    objectapi.step_of(key), PEER, detail
                )
            )
        written = self._write(key, text, if_version, request_id)
        if isinstance(written, result.Ok):
            self.counters.written_bytes += len(text)
        return written

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Delete an object if it has version ``if_version``."""
        refusal = await self._start_call("delete", key)
        if refusal is not None:
            return result.Err(refusal)
        written = self._write(key, None, if_version, request_id)
        if isinstance(written, result.Err):
            return written
        return result.Ok(None)

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[
        abc.Sequence[objectapi.StoredObject], errors.ObjectApiError
    ]:
        """Wait for changes after a version; return none at the timeout."""
        refusal = await self._start_call("watch", prefix)
        if refusal is not None:
            return result.Err(refusal)
        changes: list[objectapi.StoredObject] = []
        with trio.move_on_after(timeout_s):
            while not changes:
                changes = self.store.changes(prefix, from_version)
                if not changes:
                    await self.store.changed.wait()
        if self.faults.outage:
            return result.Err(self._unavailable_error(prefix))
        return result.Ok(changes)

    async def _start_call(
        self, method: str, key: str
    ) -> errors.ObjectApiError | None:
        """Count a call and apply delay, outage and rate limit.

        Returns the error of a refused call.
        """
        self.counters.add(method)
        await trio.sleep(self.faults.delay_s)
        if self.faults.outage:
            return self._unavailable_error(key)
        if self._exceeds_rate_limit():
            self.counters.limited_count += 1
            return errors.ObjectRateLimitedError(
                objectapi.step_of(key),
                PEER,
                "the rate limit is exceeded",
                OVER_LIMIT_WAIT_S,
            )
        return None

    def _exceeds_rate_limit(self) -> bool:
        """Count a call against the rate limit; return whether it exceeds."""
        rate = self.faults.calls_per_s
        if rate <= 0:
            return False
        if self._bucket is None or self._bucket.rate_per_s != rate:
            self._bucket = ratelimit.TokenBucket(rate, rate)
        return not self._bucket.try_take(trio.current_time())

    def _unavailable_error(self, key: str) -> errors.ObjectApiUnavailableError:
        """Build the error of a call during an outage."""
        return errors.ObjectApiUnavailableError(
            objectapi.step_of(key), PEER, "the object API is down"
        )

    def _use_up_stale_read(self) -> bool:
        """Return whether this read is stale; decrement the count."""
        if self.faults.stale_reads_count <= 0:
            return False
        self.faults.stale_reads_count -= 1
        return True

    def _write(
        self, key: str, text: bytes | None, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Execute a conditional write, or lose its request or reply."""
        if self.faults.lost_requests_count > 0:
            self.faults.lost_requests_count -= 1
            return result.Err(self._lost_error(key))
        current = self.store.current(key)
        version = (
            objectapi.ABSENT_VERSION if current is None else current.version
        )
        if version != if_version:
            return result.Err(_conflict_error(key, if_version, current))
        entry = self.store.write(key, text, request_id)
        if self.faults.lost_replies_count > 0:
            self.faults.lost_replies_count -= 1
            return result.Err(self._lost_error(key))
        return result.Ok(_stored(key, entry))

    def _lost_error(self, key: str) -> errors.ObjectOutcomeUnknownError:
        """Build the error of a write without a reply."""
        return errors.ObjectOutcomeUnknownError(
            objectapi.step_of(key), PEER, f"{key}: no reply to the write"
        )


def _conflict_error(
    key: str, if_version: int, current: _Entry | None
) -> errors.ObjectConflictError:
    """Build the error of a write whose condition is not met."""
    version = objectapi.ABSENT_VERSION if current is None else current.version
    return errors.ObjectConflictError(
        objectapi.step_of(key),
        PEER,
        f"{key} has version {version}, not {if_version}",
        version,
        "" if current is None else current.request_id,
    )
