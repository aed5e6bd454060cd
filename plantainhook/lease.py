"""Leases with epoch fencing in the object API.

A lease is an object ``{holder, epoch, expires_wall_s}`` that is changed by
conditional updates. ``leaserunner`` waits for a lease and runs a job under
it.

Expiry: the holder stops at a deadline on its own monotonic clock, which counts
from before it sent the request. A contender takes the lease over once
``expires_wall_s`` is more than ``MAX_CLOCK_SKEW_S`` in the past, because the
wall clocks of two daemons are assumed to differ by less than that. Where they
differ by more, two daemons may hold the lease at the same time, but fencing
still rejects the writes of the older epoch. A holder whose wall clock is far
ahead doesn't block the lease: a contender also takes it over once its own
monotonic clock shows that the object stayed unchanged for a whole duration
plus the skew.

Fencing: objects written under a lease hold ``{epoch, value}``. A holder raises
the epoch of an object before it first reads or writes it, and every write is
conditional on the version that the holder last saw at its own epoch. A holder
that was paused and replaced has an older version, so its write fails.
"""

import dataclasses
import typing
from collections import abc

import result
import trio

from plantainhook import clock, errors, objectapi, steps

LEASE_PREFIX: typing.Final = "lease/"
MAX_CLOCK_SKEW_S: typing.Final = 2.0
FENCE_ATTEMPTS_COUNT: typing.Final = 6
RETRY_WAIT_S: typing.Final = 0.05

Failure = errors.PlantainhookError
Outcome = result.Result[None, Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseState:
    """Represent the lease object; an empty holder means a free lease."""

    holder: str
    epoch: int
    expires_wall_s: float

    def value(self) -> dict[str, typing.Any]:
        """Return the JSON value that is stored."""
        return dataclasses.asdict(self)


class LeaseHeldError(Failure):
    """Report a lease that another daemon holds.

    ``remaining_s`` is the longest time until the lease can be taken over, if
    it is not renewed.
    """

    def __init__(self, peer: str, detail: str, remaining_s: float) -> None:
        super().__init__(steps.Step.LEASE_TAKE_OVER, peer, detail)
        self.remaining_s = remaining_s


FREE: typing.Final = LeaseState("", 0, 0.0)


class Lease:
    """Acquire, renew and release one lease on behalf of one holder.

    ``epoch`` is 0 until the lease was first acquired. Only one task at a time
    may use an instance.
    """

    name: str
    holder: str
    duration_s: float
    epoch: int

    def __init__(
        self,
        api: objectapi.ObjectApi,
        name: str,
        holder: str,
        duration_s: float,
        own_clock: clock.Clock,
    ) -> None:
        self.name = name
        self.holder = holder
        self.duration_s = duration_s
        self.epoch = 0
        self._api = api
        self._clock = own_clock
        self._version = objectapi.ABSENT_VERSION
        self._deadline_s: float | None = None
        self._seen_versions: dict[str, int] = {}
        self._observed_version = objectapi.ABSENT_VERSION
        self._observed_since_s = 0.0

    @property
    def key(self) -> str:
        """Return the key of the lease object."""
        return f"{LEASE_PREFIX}{self.name}"

    def is_held(self, now_s: float) -> bool:
        """Return whether the lease is held at a monotonic time."""
        return self._deadline_s is not None and now_s < self._deadline_s

    def remaining_s(self) -> float:
        """Return the seconds until the holder's deadline, at least 0."""
        if self._deadline_s is None:
            return 0.0
        return max(0.0, self._deadline_s - self._clock.now_s())

    async def acquire(self, keys: abc.Sequence[str] = ()) -> Outcome:
        """Take the lease if it is free, and raise the epoch of ``keys``.

        A lease that has expired is free too. Returns LeaseHeldError if
        another daemon holds the lease. The lease counts as held only once the
        epoch is raised on all keys.
        """
        self._mark_lost()
        read = await self._read(self.key)
        if isinstance(read, result.Err):
            return read
        state = _parse(read.ok_value)
        wait_s = self._time_until_free_s(state, read.ok_value.version)
        if wait_s > 0:
            detail = f"{state.holder} holds the lease {self.name}"
            return result.Err(LeaseHeldError(state.holder, detail, wait_s))
        taken = await self._write_lease(state.epoch + 1, read.ok_value.version)
        if isinstance(taken, result.Err):
            return taken
        self.epoch = state.epoch + 1
        for key in keys:
            fenced = await self._fence(key)
            if isinstance(fenced, result.Err):
                return await self._raise_own_epoch(fenced)
        self._deadline_s = taken.ok_value
        return result.Ok(None)

    async def _raise_own_epoch(self, fenced: result.Err[Failure]) -> Outcome:
        """Raise the epoch of the lease to that of an object; return the error.

        A lease object that was deleted starts again at a low epoch. With the
        raised epoch, the next attempt to acquire the lease gets an epoch that
        the objects accept.
        """
        self._mark_lost()
        error = fenced.err_value
        if isinstance(error, errors.FencedError):
            await self._write_lease(error.object_epoch, self._version)
        return fenced

    async def renew(self) -> Outcome:
        """Extend the lease.

        It is lost if another daemon has taken it. After any other failure
        it stays held until the previous deadline.
        """
        if self._deadline_s is None:
            return result.Err(self._not_held_error())
        written = await self._write_lease(self.epoch, self._version)
        if isinstance(written, result.Ok):
            self._deadline_s = written.ok_value
            return result.Ok(None)
        if isinstance(written.err_value, errors.ObjectConflictError):
            self._mark_lost()
        return written

    async def release(self) -> Outcome:
        """Release the lease, so that another daemon can take it at once."""
        if self._deadline_s is None:
            return result.Ok(None)
        state = LeaseState("", self.epoch, 0.0)
        version = self._version
        self._mark_lost()
        written = await objectapi.write_resolved(
            self._api,
            self.key,
            state.value(),
            version,
            objectapi.new_request_id(),
        )
        return written.map(lambda _: None)

    async def fenced_get(self, key: str) -> result.Result[typing.Any, Failure]:
        """Return the value of an object, or None if it has no value yet.

        The epoch of the object is raised first if it is lower than that of
        the lease. Returns FencedError if the lease is not held or the object
        has a higher epoch.
        """
        if not self.is_held(self._clock.now_s()):
            return result.Err(self._not_held_error())
        return await self._fence(key)

    async def fenced_put(self, key: str, value: typing.Any) -> Outcome:
        """Replace the value that this holder last read or wrote.

        Returns FencedError if the lease is not held or the object has a
        higher epoch, and ObjectConflictError if another write changed it.
        """
        if not self.is_held(self._clock.now_s()):
            return result.Err(self._not_held_error())
        if key not in self._seen_versions:
            fenced = await self._fence(key)
            if isinstance(fenced, result.Err):
                return fenced
        written = await self._put_with_epoch(
            key, value, self._seen_versions[key]
        )
        if isinstance(written, result.Ok):
            return result.Ok(None)
        del self._seen_versions[key]
        if isinstance(written.err_value, errors.ObjectConflictError):
            return await self._classify_conflict(key, written.err_value)
        return written

    async def _fence(self, key: str) -> result.Result[typing.Any, Failure]:
        """Raise the epoch of an object to the lease's; return its value."""
        failure: Failure = self._not_held_error()
        for _ in range(FENCE_ATTEMPTS_COUNT):
            read = await self._read(key)
            if isinstance(read, result.Err):
                return read
            stored = read.ok_value
            epoch, value = _unwrap(stored)
            if epoch > self.epoch:
                return result.Err(self._fenced_error(key, epoch))
            if epoch == self.epoch:
                self._seen_versions[key] = stored.version
                return result.Ok(value)
            raised = await self._put_with_epoch(key, value, stored.version)
            if isinstance(raised, result.Ok):
                return result.Ok(value)
            failure = raised.err_value
            if not isinstance(failure, errors.ObjectConflictError):
                return raised
            await trio.sleep(RETRY_WAIT_S)
        return result.Err(failure)

    async def _put_with_epoch(
        self, key: str, value: typing.Any, if_version: int
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Write a value with the lease's epoch and record its version."""
        written = await objectapi.write_resolved(
            self._api,
            key,
            {"epoch": self.epoch, "value": value},
            if_version,
            objectapi.new_request_id(),
        )
        if isinstance(written, result.Ok):
            self._seen_versions[key] = written.ok_value.version
        return written

    async def _write_lease(
        self, epoch: int, if_version: int
    ) -> result.Result[float, Failure]:
        """Write the lease object and return the monotonic deadline."""
        deadline_s = self._clock.now_s() + self.duration_s
        expires_wall_s = self._clock.wall_s() + self.duration_s
        written = await objectapi.write_resolved(
            self._api,
            self.key,
            LeaseState(self.holder, epoch, expires_wall_s).value(),
            if_version,
            objectapi.new_request_id(),
        )
        if isinstance(written, result.Err):
            return result.Err(written.err_value)
        self._version = written.ok_value.version
        return result.Ok(deadline_s)

    async def _read(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, Failure]:
        """Read an object; one that doesn't exist has ``ABSENT_VERSION``."""
        read = await self._api.get(key)
        if isinstance(read, result.Ok):
            return read
        if isinstance(read.err_value, errors.ObjectNotFoundError):
            absent = objectapi.StoredObject(
                key, objectapi.ABSENT_VERSION, None, ""
            )
            return result.Ok(absent)
        return result.Err(read.err_value)

    async def _classify_conflict(
        self, key: str, conflict: errors.ObjectConflictError
    ) -> Outcome:
        """Return the error of a write that met a conflict.

        If the object has a higher epoch, the lease is lost and the error is a
        FencedError; otherwise the error is the conflict itself.
        """
        read = await self._read(key)
        if isinstance(read, result.Err):
            return result.Err(conflict)
        epoch, _ = _unwrap(read.ok_value)
        if epoch <= self.epoch:
            return result.Err(conflict)
        self._mark_lost()
        return result.Err(self._fenced_error(key, epoch))

    def _time_until_free_s(self, state: LeaseState, version: int) -> float:
        """Return the seconds until the lease is free; at most 0 if it is now.

        It is free as soon as one of the clocks shows that it has expired.
        """
        if state.holder in ("", self.holder):
            return 0.0
        now_s = self._clock.now_s()
        if version != self._observed_version:
            self._observed_version = version
            self._observed_since_s = now_s
        unchanged_s = now_s - self._observed_since_s
        by_monotonic_s = self.duration_s + MAX_CLOCK_SKEW_S - unchanged_s
        free_wall_s = state.expires_wall_s + MAX_CLOCK_SKEW_S
        by_wall_s = free_wall_s - self._clock.wall_s()
        return min(by_monotonic_s, by_wall_s)

    def _mark_lost(self) -> None:
        """Mark the lease as not held."""
        self._deadline_s = None
        self._seen_versions.clear()

    def _not_held_error(self) -> Failure:
        """Build the error of a call that needs the lease."""
        return errors.FencedError(
            steps.Step.LEASE_EXPIRE,
            self.holder,
            f"the lease {self.name} is no longer held",
        )

    def _fenced_error(self, key: str, epoch: int) -> Failure:
        """Build the error of a write with a lower epoch."""
        return errors.FencedError(
            steps.Step.LEASE_RESUME,
            self.holder,
            f"{key} has epoch {epoch}, the lease has {self.epoch}",
            epoch,
        )


def _parse(stored: objectapi.StoredObject) -> LeaseState:
    """Decode a lease object; one that is absent or malformed is ``FREE``."""
    value = stored.value
    if not isinstance(value, dict):
        return FREE
    try:
        return LeaseState(
            str(value["holder"]),
            int(value["epoch"]),
            float(value["expires_wall_s"]),
        )
    except (KeyError, TypeError, ValueError):
        return FREE


def _unwrap(stored: objectapi.StoredObject) -> tuple[int, typing.Any]:
    """Return the epoch and the value of an object under a lease.

    An object without an epoch has epoch 0 and no value.
    """
    value = stored.value
    if isinstance(value, dict) and isinstance(value.get("epoch"), int):
        return value["epoch"], value.get("value")
    return 0, None
