"""How much memory the copies of the store's objects may take.

All copies of a daemon share one account, in bytes. The newest content of the
objects always stays, because callers are served by it. What can be made again
is given up when the account is full: first packed updates, then the record of
removed objects, after which peers that are far behind get all objects.
"""

import enum
import typing
from collections import abc

from plantainhook import clientaccount, logs

LOGGER: typing.Final = logs.part_logger("store")
# The part of a VM's memory, without that of the process in normal work.
STORE_MEMORY_RATIO: typing.Final = 0.1
STORE_MEMORY_MIN_BYTES: typing.Final = 4 * clientaccount.BYTES_PER_MB
# What an object takes beside its name and its text.
OBJECT_BYTES: typing.Final = 400
REMOVED_BYTES: typing.Final = 200


class Kind(enum.Enum):
    """List what is counted, in the order in which it is given up."""

    PACKED = "packed"
    REMOVED = "removed"
    OBJECTS = "objects"


Release = abc.Callable[[], None]


class StoreAccount:
    """Count what the copies hold; have it given up when there is no room."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.bytes_by_kind = dict.fromkeys(Kind, 0)
        self._releases: dict[Kind, list[Release]] = {kind: [] for kind in Kind}
        self._is_full = False

    def on_full(self, kind: Kind, release: Release) -> None:
        """Call a function when bytes of a kind have to be given up."""
        self._releases[kind].append(release)

    def held_bytes(self) -> int:
        """Return what the copies hold."""
        return sum(self.bytes_by_kind.values())

    def is_over(self) -> bool:
        """Return whether the copies hold more than they may."""
        return self.held_bytes() > self.limit_bytes

    def add(self, kind: Kind, change_bytes: int) -> None:
        """Count bytes that are held more, or less, of a kind."""
        self.bytes_by_kind[kind] += change_bytes
        if change_bytes <= 0:
            return
        for given_up in Kind:
            if not self.is_over():
                break
            for release in self._releases[given_up]:
                release()
        self._record()

    def _record(self) -> None:
        """Log when the content of the objects alone is over the limit."""
        is_full = self.is_over()
        if is_full and not self._is_full:
            LOGGER.warning(
                "The objects of the store take {} bytes, of {} for copies.",
                self.held_bytes(),
                self.limit_bytes,
            )
        self._is_full = is_full


def build_account(
    memory_limit_mb: float = clientaccount.DEFAULT_MEMORY_MB,
) -> StoreAccount:
    """Return the account for the memory of a VM."""
    spare_mb = memory_limit_mb - clientaccount.PROCESS_MB
    spare_bytes = spare_mb * clientaccount.BYTES_PER_MB
    return StoreAccount(
        max(STORE_MEMORY_MIN_BYTES, int(spare_bytes * STORE_MEMORY_RATIO))
    )
