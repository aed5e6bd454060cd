"""Follow the objects of one kind in a store: list once, then watch.

``follow`` keeps a ``Replica`` up to date. It passes a full listing if the
replica has no revision yet or the store no longer has the history after that
revision, and changes otherwise. Failed calls are repeated with increasing
pauses. Meanwhile the replica keeps its objects; it is notified when the store
fails and when it answers again.
"""

import dataclasses
import random
import typing

import result
import trio

from plantainhook import errors, logs

LOGGER: typing.Final = logs.part_logger("store")
RETRY_FIRST_S: typing.Final = 0.1
RETRY_MAX_S: typing.Final = 0.8
# The first watch after a failure is short, so that the recovery is seen soon:
# a store without changes answers a long watch only at its end.
FIRST_WAIT_S: typing.Final = 0.05


class SourceObject(typing.NamedTuple):
    """Represent an object of a store; ``spec`` is not validated yet."""

    name: str
    revision: int
    spec: object


class Listing(typing.NamedTuple):
    """Represent all objects of one kind at a revision."""

    objects: list[SourceObject]
    revision: int


class Change(typing.NamedTuple):
    """Represent one object that was changed or deleted."""

    object: SourceObject
    deleted: bool


class Changes(typing.NamedTuple):
    """Represent the changes up to a revision, in their order."""

    changes: list[Change]
    revision: int


ListResult = result.Result[Listing, errors.ObjectApiError]
WatchResult = result.Result[Changes, errors.ObjectApiError]


class ObjectSource(typing.Protocol):
    """Read the objects of one kind from a store."""

    kind: str

    async def list(self) -> ListResult:
        """Return all objects and the revision at which they were read."""

    async def watch(self, revision: int, wait_s: float) -> WatchResult:
        """Return the changes after a revision.

        Waits up to ``wait_s`` for the first change. Returns
        ObjectNotFoundError if the store no longer has the history after the
        revision.
        """


class Consumer(typing.Protocol):
    """Receive the objects and changes that reach a replica."""

    def on_listing(self, listing: Listing) -> None:
        """Accept all objects; those that are absent do not exist."""

    def on_changes(self, changes: list[Change]) -> None:
        """Accept changes in their order."""

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Record that the store does not answer."""

    def on_available(self) -> None:
        """Record that the store answers."""


class Replica(typing.Protocol):
    """Store a copy of the objects at a revision; 0 before the first one."""

    @property
    def revision(self) -> int:
        """Return the revision of the copy."""

    def on_listing(self, listing: Listing) -> None:
        """Replace all objects by those of a listing."""

    def on_changes(
        self, changes: list[Change], revision: int, after_revision: int
    ) -> None:
        """Apply the changes after one revision up to another."""

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
    listed = replica.revision > 0
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
            LOGGER.info(
                "The store lost the history of {}; listing all.", source.kind
            )
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
    after_revision = replica.revision
    watched = await source.watch(after_revision, wait_s)
    if isinstance(watched, result.Err):
        return watched.err_value
    changes, revision = watched.ok_value
    replica.on_available()
    replica.on_changes(changes, revision, after_revision)
    if changes:
        await trio.sleep(options.coalesce_s)
    return None
