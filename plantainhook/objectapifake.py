"""In-memory object API with faults, for tests, demos and the stand-in.

``MemoryStore`` holds the objects; ``FakeObjectApi`` gives them the interface
of ``objectapi.ObjectApi`` with the faults of ``Faults`` and counts calls.
Several fakes may share one store, each with faults of its own. Values are
kept as JSON text, so no caller can change what another one reads.
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
    """Hold one version of an object; ``text`` is None once deleted."""

    version: int
    text: bytes | None
    request_id: str


@dataclasses.dataclass(slots=True)
class MemoryStore:
    """Hold the last two versions of every object.

    ``log`` lists every write that took effect, as key and version.
    """

    version: int = 0
    entries: dict[str, _Entry] = dataclasses.field(default_factory=dict)
    previous: dict[str, _Entry] = dataclasses.field(default_factory=dict)
    log: list[objectapi.StoredObject] | None = None
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)

    def write(self, key: str, text: bytes | None, request_id: str) -> _Entry:
        """Store a new version of an object and wake the watchers."""
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
        """Return the newest version of an object that exists."""
        entry = self.entries.get(key)
        return entry if entry is not None and entry.text is not None else None

    def stale(self, key: str) -> _Entry | None:
        """Return the version before the newest, if there was one."""
        entry = self.previous.get(key)
        return entry if entry is not None and entry.text is not None else None

    def changes(
        self, prefix: str, from_version: int
    ) -> list[objectapi.StoredObject]:
        """Return the newest version of each object changed since."""
        found = [
            _stored(key, entry)
            for key, entry in self.entries.items()
            if entry.version > from_version and key.startswith(prefix)
        ]
        return sorted(found, key=lambda stored: stored.version)


@dataclasses.dataclass(slots=True)
class Faults:
    """Switch the faults of a fake; counts are used up call by call.

    ``lost_replies_count`` writes take effect without a reply and
    ``lost_requests_count`` writes get no reply and take no effect. The rate
    limit is off at 0.
    """

    outage: bool = False
    delay_s: float = 0.0
    lost_replies_count: int = 0
    lost_requests_count: int = 0
    stale_reads_count: int = 0
    calls_per_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Counters:
    """Count the calls of a fake and the bytes of values moved."""

    calls: dict[str, int] = dataclasses.field(default_factory=dict)
    written_bytes: int = 0
    read_bytes: int = 0
    limited_count: int = 0

    def add(self, method: str) -> None:
        """Count one call."""
        self.calls[method] = self.calls.get(method, 0) + 1

    def total(self) -> int:
        """Return the number of calls of all kinds."""
        return sum(self.calls.values())


def _stored(key: str, entry: _Entry) -> objectapi.StoredObject:
    """Decode a version of an object."""
    value = None if entry.text is None else msgspec.json.decode(entry.text)
    return objectapi.StoredObject(key, entry.version, value, entry.request_id)


class FakeObjectApi:
    """Implement ``objectapi.ObjectApi`` over a memory store."""

    store: MemoryStore
    faults: Faults
    counters: Counters

    def __init__(
        self, store: MemoryStore | None = None, faults: Faults | None = None
    ) -> None:
        self.store = store if store is not None else MemoryStore()
        self.faults = faults if faults is not None else Faults()
        self.counters = Counters()
        self._bucket: ratelimit.TokenBucket | None = None

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Return an object, or ObjectNotFoundError."""
        refusal = await self._begin("get", key)
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
        refusal = await self._begin("list", prefix)
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
        """Write a JSON value if the object still has the version."""
        refusal = await self._begin("put", key)
        if refusal is not None:
            return result.Err(refusal)
        text = msgspec.json.encode(value)
        if len(text) > objectapi.VALUE_LIMIT_BYTES:
            detail = f"{key}: {len(text)} bytes are over the limit"
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
        """Delete an object if it still has the version."""
        refusal = await self._begin("delete", key)
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
        refusal = await self._begin("watch", prefix)
        if refusal is not None:
            return result.Err(refusal)
        changes: list[objectapi.StoredObject] = []
        with trio.move_on_after(timeout_s):
            while not changes:
                changes = self.store.changes(prefix, from_version)
                if not changes:
                    await self.store.changed.wait()
        if self.faults.outage:
            return result.Err(self._unavailable(prefix))
        return result.Ok(changes)

    async def _begin(
        self, method: str, key: str
    ) -> errors.ObjectApiError | None:
        """Count a call and apply delay, outage and rate limit."""
        self.counters.add(method)
        await trio.sleep(self.faults.delay_s)
        if self.faults.outage:
            return self._unavailable(key)
        if self._over_limit():
            self.counters.limited_count += 1
            return errors.ObjectRateLimitedError(
                objectapi.step_of(key),
                PEER,
                "the rate limit is exceeded",
                OVER_LIMIT_WAIT_S,
            )
        return None

    def _over_limit(self) -> bool:
        """Take a call from the rate limit."""
        rate = self.faults.calls_per_s
        if rate <= 0:
            return False
        if self._bucket is None or self._bucket.rate_per_s != rate:
            self._bucket = ratelimit.TokenBucket(rate, rate)
        return not self._bucket.try_take(trio.current_time())

    def _unavailable(self, key: str) -> errors.ObjectApiUnavailableError:
        """Build the error of a call during an outage."""
        return errors.ObjectApiUnavailableError(
            objectapi.step_of(key), PEER, "the object API is down"
        )

    def _use_up_stale_read(self) -> bool:
        """Tell whether this read is stale."""
        if self.faults.stale_reads_count <= 0:
            return False
        self.faults.stale_reads_count -= 1
        return True

    def _write(
        self, key: str, text: bytes | None, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Carry out a conditional write, or lose its request or reply."""
        if self.faults.lost_requests_count > 0:
            self.faults.lost_requests_count -= 1
            return result.Err(self._lost(key))
        current = self.store.current(key)
        version = (
            objectapi.ABSENT_VERSION if current is None else current.version
        )
        if version != if_version:
            return result.Err(_conflict(key, if_version, current))
        entry = self.store.write(key, text, request_id)
        if self.faults.lost_replies_count > 0:
            self.faults.lost_replies_count -= 1
            return result.Err(self._lost(key))
        return result.Ok(_stored(key, entry))

    def _lost(self, key: str) -> errors.ObjectOutcomeUnknownError:
        """Build the error of a write without a reply."""
        return errors.ObjectOutcomeUnknownError(
            objectapi.step_of(key), PEER, f"{key}: no reply to the write"
        )


def _conflict(
    key: str, if_version: int, current: _Entry | None
) -> errors.ObjectConflictError:
    """Build the error of a condition that does not hold."""
    version = objectapi.ABSENT_VERSION if current is None else current.version
    return errors.ObjectConflictError(
        objectapi.step_of(key),
        PEER,
        f"{key} has version {version}, not {if_version}",
        version,
        "" if current is None else current.request_id,
    )
