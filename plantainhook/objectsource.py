"""Follows one kind of objects of a store: list once, then watch.

``follow`` calls the consumer with the whole listing where it has no revision
or the history is lost, and with changes otherwise. Calls that fail are
repeated with growing pauses; the consumer keeps what it knows meanwhile and
hears when the store failed and when it answers again.
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
# The first watch after a failure returns soon: a store without changes to
# tell answers a long one only at its end.
FIRST_WAIT_S: typing.Final = 0.05


class SourceObject(typing.NamedTuple):
    """Hold an object; ``spec`` is not validated yet."""

    name: str
    revision: int
    spec: object


class Listing(typing.NamedTuple):
    """Hold all objects of a kind as of a revision."""

    objects: list[SourceObject]
    revision: int


class Change(typing.NamedTuple):
    """Hold a changed or deleted object."""

    object: SourceObject
    deleted: bool


class Changes(typing.NamedTuple):
    """Hold the changes up to a revision."""

    changes: list[Change]
    revision: int


ListResult = result.Result[Listing, errors.ObjectApiError]
WatchResult = result.Result[Changes, errors.ObjectApiError]


class ObjectSource(typing.Protocol):
    """Read one kind of objects of a store."""

    kind: str

    async def list(self) -> ListResult:
        """Return all objects and the revision at which they were read."""

    async def watch(self, revision: int, wait_s: float) -> WatchResult:
        """Return the changes after a revision, waiting for the first.

        ObjectNotFoundError means that the history is gone.
        """


class Consumer(typing.Protocol):
    """Take what a copy of the objects tells."""

    def on_listing(self, listing: Listing) -> None:
        """Take all objects; those that are absent do not exist."""

    def on_changes(self, changes: list[Change]) -> None:
        """Take changes in their order."""

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Note that the store does not answer."""

    def on_available(self) -> None:
        """Note that the store answers."""


class Replica(typing.Protocol):
    """Hold a copy of the objects at a revision; 0 where there is none."""

    @property
    def revision(self) -> int:
        """Return the revision of the copy."""

    def on_listing(self, listing: Listing) -> None:
        """Take all objects as of a revision."""

    def on_changes(
        self, changes: list[Change], revision: int, after_revision: int
    ) -> None:
        """Take the changes after a revision up to another."""

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Note that the store does not answer."""

    def on_available(self) -> None:
        """Note that the store answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class FollowOptions:
    """Hold the longest wait of a watch and the pause after changes.

    Changes come in bursts, and each call has a price, so a short pause
    gathers several changes in one call.
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
    while True:
        error = await _step(source, replica, options, listed, wait_s)
        if error is None:
            listed = True
            wait_s = options.watch_wait_s
            pause_s = RETRY_FIRST_S
            replica.on_available()
            continue
        if isinstance(error, errors.ObjectNotFoundError):
            LOGGER.info("History of {} is gone; listing.", source.kind)
            listed = False
            continue
        LOGGER.info("Read of {} failed: {}", source.kind, error)
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
    """List or watch once; return what failed."""
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
