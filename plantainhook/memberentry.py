"""Entries of members: their state bits, precedence, hashes and ring.

Of two entries of a member the one with the higher ``(counter, liveness)``
wins, but a member that left stays left.
"""

import bisect
import enum
import typing
from collections import abc

import msgspec
import xxhash

from plantainhook import wire

BUCKET_COUNT: typing.Final = 64
DRAINING_BIT: typing.Final = 4
LIVENESS_MASK: typing.Final = 3
VERSION_SHIFT: typing.Final = 3


class Liveness(enum.IntEnum):
    """Order what can be known of a member; later wins at equal counter."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


def liveness_of(entry: wire.MemberEntry) -> Liveness:
    """Return the liveness in the state of an entry."""
    return Liveness(entry.state & LIVENESS_MASK)


def version_of(entry: wire.MemberEntry) -> int:
    """Return counter and state as one number."""
    return entry.counter << VERSION_SHIFT | entry.state


def rank_of(version: int) -> tuple[bool, int, int]:
    """Return the precedence of a version; the highest wins."""
    state = version & (LIVENESS_MASK | DRAINING_BIT)
    liveness = state & LIVENESS_MASK
    left = liveness == Liveness.LEFT
    return (left, version >> VERSION_SHIFT, liveness)


def is_up(entry: wire.MemberEntry) -> bool:
    """Return whether a member takes part: alive or only suspected."""
    return entry.state & LIVENESS_MASK <= Liveness.SUSPECT


def shortened(entry: wire.MemberEntry) -> wire.MemberEntry:
    """Return the entry without its texts, for receivers that know them."""
    return wire.MemberEntry(
        entry.incarnation,
        "",
        "",
        "",
        "",
        "",
        entry.state,
        entry.counter,
        entry.share,
        entry.capacity,
    )


def with_state(
    entry: wire.MemberEntry, liveness: Liveness, counter: int
) -> wire.MemberEntry:
    """Return the entry with another liveness and counter."""
    state = entry.state & DRAINING_BIT | liveness
    return msgspec.structs.replace(entry, state=state, counter=counter)


def hash_of(entry: wire.MemberEntry) -> int:
    """Hash what must agree; a suspicion is too short-lived to compare."""
    if not is_up(entry):
        return 0
    draining = entry.state & DRAINING_BIT
    text = f"{entry.incarnation}/{entry.counter}/{draining}"
    return xxhash.xxh3_64_intdigest(text.encode()) & 0xFFFFFFFF


def bucket_of(incarnation: int) -> int:
    """Return the bucket of an incarnation, which is random itself."""
    return incarnation % BUCKET_COUNT


def ring_neighbours(
    ring: abc.Sequence[int], own_incarnation: int
) -> list[int]:
    """Return the members at distances 1, 2, 4, ... on the ring.

    Every member has about ``log2(n)`` such neighbours in and out, and a
    message that each passes on reaches all in ``log2(n)`` hops (Stoica et
    al., "Chord", 2001).
    """
    size = len(ring)
    own = bisect.bisect_left(ring, own_incarnation)
    found = []
    distance = 1
    while distance < size:
        found.append(ring[(own + distance) % size])
        distance *= 2
    return found
