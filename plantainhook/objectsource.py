"""Follows one kind of objects of a store: list once, then watch.

``follow`` calls the consumer with the whole listing after each loss of the
history and with single changes otherwise. Calls that fail are repeated with
growing pauses; the consumer keeps what it knows meanwhile and hears when the
store failed and when it answers again.
"""

import random
import typing

import result
import trio

from plantainhook import errors, logs

LOGGER: typing.Final = logs.part_logger("store")
# The longest wait that the platform grants; each watch is a priced call.
WATCH_WAIT_S: typing.Final = 30.0
RETRY_FIRST_S: typing.Final = 0.1
RETRY_MAX_S: typing.Final = 0.8


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
    """Take what a source tells."""

    def on_listing(self, listing: Listing) -> None:
        """Take all objects; those that are absent do not exist."""

    def on_changes(self, changes: list[Change]) -> None:
        """Take changes in their order."""

    def on_lost(self, error: errors.ObjectApiError) -> None:
        """Note that the store does not answer."""


async def follow(
    source: ObjectSource, consumer: Consumer, rng: random.Random
) -> None:
    """Keep a consumer up to date until cancelled."""
    revision: int | None = None
    pause_s = RETRY_FIRST_S
    while True:
        if revision is None:
            listed = await source.list()
            if isinstance(listed, result.Ok):
                revision = listed.ok_value.revision
                pause_s = RETRY_FIRST_S
                consumer.on_listing(listed.ok_value)
                continue
            error = listed.err_value
        else:
            watched = await source.watch(revision, WATCH_WAIT_S)
            if isinstance(watched, result.Ok):
                revision = watched.ok_value.revision
                pause_s = RETRY_FIRST_S
                consumer.on_changes(watched.ok_value.changes)
                continue
            error = watched.err_value
            if isinstance(error, errors.ObjectNotFoundError):
                LOGGER.info("History of {} is gone; listing.", source.kind)
                revision = None
                continue
        LOGGER.info("Read of {} failed: {}", source.kind, error)
        consumer.on_lost(error)
        await trio.sleep(pause_s * rng.uniform(0.7, 1.3))
        pause_s = min(RETRY_MAX_S, pause_s * 2)
