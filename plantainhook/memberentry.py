"""Functions on member entries: state, precedence, hashes and ring neighbours.

``membertable`` stores the entries and ``membership`` exchanges them. Of two
entries of a member the one with the higher ``(counter, liveness)`` wins, but
an entry that says the member has left wins against all others.

The state of an entry holds the liveness in its two low bits and a flag for
draining in the third bit. The state, the versions and the hashes are part of
the peer protocol: daemons that compute them differently don't converge.
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
    """State the liveness of a member; at equal counters the highest wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


def liveness_of(entry: wire.MemberEntry) -> Liveness:
    """Return the liveness that is encoded in the state of an entry."""
    return Liveness(entry.state & LIVENESS_MASK)


def version_of(entry: wire.MemberEntry) -> int:
    """Return counter and state of an entry as one number.

    Versions are compared by ``rank_of``, not as numbers.
    """
    return entry.counter << VERSION_SHIFT | entry.state


def rank_of(version: int) -> tuple[bool, int, int]:
    """Return the precedence of a version; the highest one wins."""
    state = version & (LIVENESS_MASK | DRAINING_BIT)
    liveness = state & LIVENESS_MASK
    left = liveness == Liveness.LEFT
    return (left, version >> VERSION_SHIFT, liveness)


def is_up(entry: wire.MemberEntry) -> bool:
    """Return whether a member is alive or at most suspected."""
    return entry.state & LIVENESS_MASK <= Liveness.SUSPECT


def shortened(entry: wire.MemberEntry) -> wire.MemberEntry:
    """Return the entry without names and addresses.

    It is sent to receivers that have the full entry already.
    """
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
        entry.features,
    )


def with_state(
    entry: wire.MemberEntry, liveness: Liveness, counter: int
) -> wire.MemberEntry:
    """Return the entry with another liveness and counter.

    The draining flag is kept.
    """
    state = entry.state & DRAINING_BIT | liveness
    return msgspec.structs.replace(entry, state=state, counter=counter)


def hash_of(entry: wire.MemberEntry) -> int:
    """Return a 32-bit hash of the fields on which tables must agree.

    A suspicion is too short-lived to be compared, so it is left out. Members
    that are not up have the hash 0.
    """
    if not is_up(entry):
        return 0
    draining = entry.state & DRAINING_BIT
    text = f"{entry.incarnation}/{entry.counter}/{draining}"
    return xxhash.xxh3_64_intdigest(text.encode()) & 0xFFFFFFFF


def bucket_of(incarnation: int) -> int:
    """Return the bucket of an incarnation.

    Incarnations are random numbers, so they need no further hashing.
    """
    return incarnation % BUCKET_COUNT


def ring_neighbours(
    ring: abc.Sequence[int], own_incarnation: int
) -> list[int]:
    """Return the members at distances 1, 2, 4, ... on the sorted ring.

    Every member has about ``log2(n)`` such neighbours and is the neighbour of
    as many. A message that every receiver forwards reaches all members in
    ``log2(n)`` hops (Stoica et al., "Chord", 2001).
    """
    size = len(ring)
    own_index = bisect.bisect_left(ring, own_incarnation)
    neighbours = []
    distance = 1
    while distance < size:
        neighbours.append(ring[(own_index + distance) % size])
        distance *= 2
    return neighbours
