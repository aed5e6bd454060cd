"""Leases with epoch fencing in the object API.

A lease is an object ``{holder, epoch, expires_wall_s}`` that is changed by
conditional updates. The holder stops at its own monotonic deadline, counted
from before it sent the request. A contender takes a lease over once
``expires_wall_s`` is past by ``MAX_CLOCK_SKEW_S``: the wall clocks of two
daemons are assumed to differ by less than that. Where they differ by more,
two daemons may hold the lease at the same time, but fencing still keeps the
writes of the older epoch out. A holder whose clock is far ahead does not
block the lease: a contender also takes it over once it has seen the object
unchanged for a whole duration and the skew on its own monotonic clock.

Objects written under a lease hold ``{epoch, value}``. A holder raises the
epoch of an object before it first reads or writes it, and every write is
conditional on the version that the holder last saw at its own epoch. A
paused holder has an older version, so its update fails. ``leaserunner``
waits for a lease and runs a job under it.
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
    """Hold the lease object; an empty holder stands for a free lease."""

    holder: str
    epoch: int
    expires_wall_s: float

    def value(self) -> dict[str, typing.Any]:
        """Return the lease as it is stored."""
        return dataclasses.asdict(self)


class LeaseHeldError(Failure):
    """Report a lease that another daemon holds for ``remaining_s`` seconds."""

    def __init__(self, peer: str, detail: str, left_s: float) -> None:
        super().__init__(steps.Step.LEASE_TAKE_OVER, peer, detail)
        self.remaining_s = left_s


FREE: typing.Final = LeaseState("", 0, 0.0)


class Lease:
    """Hold one lease on behalf of one holder.

    ``epoch`` is 0 until the lease was acquired. An instance is used by one
    task at a time.
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
        self._seen: dict[str, int] = {}
        self._watched_version = objectapi.ABSENT_VERSION
        self._watched_since_s = 0.0

    @property
    def key(self) -> str:
        """Return the key of the lease object."""
        return f"{LEASE_PREFIX}{self.name}"

    def is_held(self, now_s: float) -> bool:
        """Tell whether the holder may still act, by its monotonic clock."""
        return self._deadline_s is not None and now_s < self._deadline_s

    def remaining_s(self) -> float:
        """Return the seconds for which the holder may still act."""
        if self._deadline_s is None:
            return 0.0
        return max(0.0, self._deadline_s - self._clock.now_s())

    async def acquire(self, keys: abc.Sequence[str] = ()) -> Outcome:
        """Take the lease if it is free, and raise the epoch on ``keys``.

        Returns LeaseHeldError where another daemon holds the lease. The
        lease counts as held only once the epoch is raised on all keys.
        """
        self._forget()
        read = await self._read(self.key)
        if isinstance(read, result.Err):
            return read
        state = _parse(read.ok_value)
        wait_s = self._left_to_others_s(state, read.ok_value.version)
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
                return await self._pass_epoch(fenced)
        self._deadline_s = taken.ok_value
        return result.Ok(None)

    async def _pass_epoch(self, fenced: result.Err[Failure]) -> Outcome:
        """Raise the epoch of the lease above that of an object.

        This lets a lease object that was deleted start again: the next
        attempt to acquire it has an epoch that the objects accept.
        """
        self._forget()
        error = fenced.err_value
        if isinstance(error, errors.FencedError):
            await self._write_lease(error.object_epoch, self._version)
        return fenced

    async def renew(self) -> Outcome:
        """Extend the lease; a lease that another daemon took is lost.

        After any other failure the lease is held until the old deadline.
        """
        if self._deadline_s is None:
            return result.Err(self._not_held())
        written = await self._write_lease(self.epoch, self._version)
        if isinstance(written, result.Ok):
            self._deadline_s = written.ok_value
            return result.Ok(None)
        if isinstance(written.err_value, errors.ObjectConflictError):
            self._forget()
        return written

    async def release(self) -> Outcome:
        """Give the lease up, so that another daemon can take it at once."""
        if self._deadline_s is None:
            return result.Ok(None)
        state = LeaseState("", self.epoch, 0.0)
        version = self._version
        self._forget()
        written = await objectapi.write_resolved(
            self._api,
            self.key,
            state.value(),
            version,
            objectapi.new_request_id(),
        )
        return written.map(lambda _: None)

    async def fenced_get(self, key: str) -> result.Result[typing.Any, Failure]:
        """Read the value of an object; None where it has no value yet.

        The epoch of the object is raised first where it is lower.
        """
        if not self.is_held(self._clock.now_s()):
            return result.Err(self._not_held())
        return await self._fence(key)

    async def fenced_put(self, key: str, value: typing.Any) -> Outcome:
        """Replace the value that this holder last read or wrote.

        Returns FencedError where a holder with a higher epoch has the
        object, and ObjectConflictError where it changed otherwise.
        """
        if not self.is_held(self._clock.now_s()):
            return result.Err(self._not_held())
        if key not in self._seen:
            fenced = await self._fence(key)
            if isinstance(fenced, result.Err):
                return fenced
        written = await self._put_enveloped(key, value, self._seen[key])
        if isinstance(written, result.Ok):
            return result.Ok(None)
        del self._seen[key]
        if isinstance(written.err_value, errors.ObjectConflictError):
            return await self._conflict(key, written.err_value)
        return written

    async def _fence(self, key: str) -> result.Result[typing.Any, Failure]:
        """Raise the epoch of an object to the own one; return its value."""
        failure: Failure = self._not_held()
        for _ in range(FENCE_ATTEMPTS_COUNT):
            read = await self._read(key)
            if isinstance(read, result.Err):
                return read
            stored = read.ok_value
            epoch, value = _open(stored)
            if epoch > self.epoch:
                return result.Err(self._fenced(key, epoch))
            if epoch == self.epoch:
                self._seen[key] = stored.version
                return result.Ok(value)
            raised = await self._put_enveloped(key, value, stored.version)
            if isinstance(raised, result.Ok):
                return result.Ok(value)
            failure = raised.err_value
            if not isinstance(failure, errors.ObjectConflictError):
                return raised
            await trio.sleep(RETRY_WAIT_S)
        return result.Err(failure)

    async def _put_enveloped(
        self, key: str, value: typing.Any, if_version: int
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Write a value with the own epoch and note the new version."""
        written = await objectapi.write_resolved(
            self._api,
            key,
            {"epoch": self.epoch, "value": value},
            if_version,
            objectapi.new_request_id(),
        )
        if isinstance(written, result.Ok):
            self._seen[key] = written.ok_value.version
        return written

    async def _write_lease(
        self, epoch: int, if_version: int
    ) -> result.Result[float, Failure]:
        """Write the lease object and return the own deadline."""
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
        """Read an object; one that is absent has ``ABSENT_VERSION``."""
        read = await self._api.get(key)
        if isinstance(read, result.Ok):
            return read
        if isinstance(read.err_value, errors.ObjectNotFoundError):
            absent = objectapi.StoredObject(
                key, objectapi.ABSENT_VERSION, None, ""
            )
            return result.Ok(absent)
        return result.Err(read.err_value)

    async def _conflict(
        self, key: str, conflict: errors.ObjectConflictError
    ) -> Outcome:
        """Tell a write that was fenced from one that met another change."""
        read = await self._read(key)
        if isinstance(read, result.Err):
            return result.Err(conflict)
        epoch, _ = _open(read.ok_value)
        if epoch <= self.epoch:
            return result.Err(conflict)
        self._forget()
        return result.Err(self._fenced(key, epoch))

    def _left_to_others_s(self, state: LeaseState, version: int) -> float:
        """Return how long another daemon may still hold the lease."""
        if state.holder in ("", self.holder):
            return 0.0
        now_s = self._clock.now_s()
        if version != self._watched_version:
            self._watched_version = version
            self._watched_since_s = now_s
        unchanged_s = now_s - self._watched_since_s
        by_monotonic_s = self.duration_s + MAX_CLOCK_SKEW_S - unchanged_s
        free_wall_s = state.expires_wall_s + MAX_CLOCK_SKEW_S
        by_wall_s = free_wall_s - self._clock.wall_s()
        return min(by_monotonic_s, by_wall_s)

    def _forget(self) -> None:
        """Count the lease as not held."""
        self._deadline_s = None
        self._seen.clear()

    def _not_held(self) -> Failure:
        """Build the error of an action without the lease."""
        return errors.FencedError(
            steps.Step.LEASE_EXPIRE,
            self.holder,
            f"the lease {self.name} is not held any more",
        )

    def _fenced(self, key: str, epoch: int) -> Failure:
        """Build the error of a write with a lower epoch."""
        return errors.FencedError(
            steps.Step.LEASE_RESUME,
            self.holder,
            f"{key} has epoch {epoch}, the lease has {self.epoch}",
            epoch,
        )


def _parse(stored: objectapi.StoredObject) -> LeaseState:
    """Read a lease object; one that is absent or damaged is free."""
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


def _open(stored: objectapi.StoredObject) -> tuple[int, typing.Any]:
    """Return the epoch and the value of an object under a lease."""
    value = stored.value
    if isinstance(value, dict) and isinstance(value.get("epoch"), int):
        return value["epoch"], value.get("value")
    return 0, None
