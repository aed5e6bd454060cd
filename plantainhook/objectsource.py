"""Follow the objects of one kind in a store: list once, then watch.

``follow`` keeps a ``Replica`` up to date. It passes a full listing if the
replica has no revision yet or the store no longer has the history after that
revision, and changes otherwise. Failed calls are repeated with increasing
pauses. Meanwhile the replica keeps its objects; it is notified when the store
fails and when it answers again.

A store may come back from a copy that is some seconds old. Its revisions then
go back and are given out again, and its era rises. All orders over the history
of a store therefore compare positions, which are pairs of era and revision.
"""

import dataclasses
import enum
import random
import typing

import msgspec
import result
import trio

from plantainhook import errors, logs

# Operators write an object that a restored store has lost again within this
# time, which is longer than any that the users' platform allows for a change.
REWRITE_LIMIT_S: typing.Final = 30.0
LOGGER: typing.Final = logs.part_logger("store")
# Larger numbers don't fit the arithmetic with floats, nor the messages to
# peers. A time of day in Unix milliseconds, and a count, are far below.
INTEGER_MAX: typing.Final = 1 << 53
REVISION_MAX: typing.Final = (1 << 63) - 1
RETRY_FIRST_S: typing.Final = 0.1
RETRY_MAX_S: typing.Final = 0.8
# The first watch after a failure is short, so that the recovery is seen soon:
# a store without changes answers a long watch only at its end.
FIRST_WAIT_S: typing.Final = 0.05


class Position(typing.NamedTuple):
    """Represent a point in the history of a store.

    ``era`` counts how often the store came back from a copy; it is 0 if the
    store does not tell.
    """

    era: int
    revision: int


NO_POSITION: typing.Final = Position(0, 0)


class SourceObject(typing.NamedTuple):
    """Represent an object of a store; ``spec`` is not validated yet."""

    name: str
    revision: int
    spec: object


class Listing(typing.NamedTuple):
    """Represent all objects of one kind at a position."""

    objects: list[SourceObject]
    position: Position


class Change(typing.NamedTuple):
    """Represent one object that was changed or deleted."""

    object: SourceObject
    deleted: bool


class Changes(typing.NamedTuple):
    """Represent the changes up to a position, in their order."""

    changes: list[Change]
    position: Position


class ProbeOutcome(enum.Enum):
    """State what a probe shows of the watch after a position.

    ``CHANGED`` means that the store has changes after the position. ``SILENT``
    means that there was neither a reply nor an error in time.
    """

    CURRENT = "current"
    CHANGED = "changed"
    FAILED = "failed"
    SILENT = "silent"


UnixMs = typing.Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)]
Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=REVISION_MAX)]
ListResult = result.Result[Listing, errors.ObjectApiError]
WatchResult = result.Result[Changes, errors.ObjectApiError]
WriteResult = result.Result[None, errors.ObjectApiError]


class ObjectSource(typing.Protocol):
    """Read the objects of one kind from a store."""

    kind: str

    async def list(self) -> ListResult:
        """Return all objects and the position at which they were read."""

    async def watch(self, position: Position, wait_s: float) -> WatchResult:
        """Return the changes after a position.

        Waits up to ``wait_s`` for the first change. Returns
        ObjectNotFoundError if the store no longer has the history after the
        position, or is in another era.
        """

    async def probe(
        self, position: Position, timeout_s: float
    ) -> ProbeOutcome:
        """Make a cheap call on another connection than that of the watch."""


class ObjectWriter(typing.Protocol):
    """Write the objects of one kind to a store.

    A write that returns an error may have taken effect.
    """

    async def put(self, name: str, spec: object) -> WriteResult:
        """Create an object, or replace its spec if it exists."""

    async def delete(self, name: str, revision: int) -> WriteResult:
        """Remove an object unless it has changed since a revision.

        One that does not exist counts as removed.
        """


class Consumer(typing.Protocol):
    """Receive the objects and changes that reach a replica.

    After ``on_restored``, the next listing or changes lead to the state of
    the copy from which the store came back.
    """

    def on_restored(self) -> None:
        """Record that the store came back from an older copy."""

    def on_listing(self, listing: Listing) -> None:
        """Accept all objects; those that are absent do not exist."""

    def on_changes(self, changes: list[Change]) -> None:
        """Accept changes in their order."""

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Record that the store does not answer."""

    def on_available(self) -> None:
        """Record that the store answers."""


class Replica(typing.Protocol):
    """Store a copy of the objects at a position.

    The position is ``NO_POSITION`` before the first listing.
    """

    @property
    def position(self) -> Position:
        """Return the position of the copy."""

    def on_listing(self, listing: Listing) -> None:
        """Replace all objects by those of a listing."""

    def on_changes(
        self, changes: list[Change], position: Position, after: Position
    ) -> None:
        """Apply the changes after one position up to another."""

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Record that the store does not answer."""

    def on_available(self) -> None:
        """Record that the store answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class FollowOptions:
    """Set the longest wait of a watch and the pause after changes.

    Changes come in bursts and each call has a cost, so a short pause lets one
    call return several changes.
    """

    watch_wait_s: float = 30.0
    coalesce_s: float = 0.35


async def follow(
    source: ObjectSource,
    replica: Replica,
    options: FollowOptions,
    rng: random.Random,
) -> None:
    """Keep a copy up to date until cancelled."""
    pause_s = RETRY_FIRST_S
    listed = replica.position > NO_POSITION
    wait_s = FIRST_WAIT_S
    answered_s = trio.current_time()
    while True:
        error = await _step(source, replica, options, listed, wait_s)
        if error is None:
            answered_s = trio.current_time()
            listed = True
            wait_s = options.watch_wait_s
            pause_s = RETRY_FIRST_S
            replica.on_available()
            continue
        if isinstance(error, errors.ObjectNotFoundError):
            LOGGER.info("Listing all {} again: {}", source.kind, error)
            listed = False
            continue
        LOGGER.info(
            "Reading {} failed, {:.1f} s after the last reply: {}",
            source.kind,
            trio.current_time() - answered_s,
            error,
        )
        replica.on_unavailable(error)
        wait_s = FIRST_WAIT_S
        await trio.sleep(pause_s * rng.uniform(0.7, 1.3))
        pause_s = min(RETRY_MAX_S, pause_s * 2)


async def _step(
    source: ObjectSource,
    replica: Replica,
    options: FollowOptions,
    listed: bool,
    wait_s: float,
) -> errors.ObjectApiError | None:
    """List or watch once; return the error, or None on success."""
    if not listed:
        listing = await source.list()
        if isinstance(listing, result.Err):
            return listing.err_value
        replica.on_available()
        replica.on_listing(listing.ok_value)
        await trio.sleep(options.coalesce_s)
        return None
    after = replica.position
    watched = await source.watch(after, wait_s)
    if isinstance(watched, result.Err):
        return watched.err_value
    changes, position = watched.ok_value
    replica.on_available()
    replica.on_changes(changes, position, after)
    if changes:
        await trio.sleep(options.coalesce_s)
    return None
