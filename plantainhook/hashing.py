"""Rendezvous hashing: stable choices on which all daemons agree.

All daemons with the same candidates choose the same ones, and a candidate that
is added or removed changes few choices. It is used to choose watchers, the
shares that connect to a leaf and the links between data centres.

The hash function is part of the protocol. Daemons that hash differently
disagree on which shares connect to a leaf, so a change of the function needs
a new generation of the share plan.
"""

import heapq
import typing
from collections import abc

import xxhash

T = typing.TypeVar("T", int, str)


def score(key: str, candidate: int | str) -> int:
    """Return the 64-bit rendezvous score of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def choose(key: str, candidates: abc.Iterable[T], count: int) -> list[T]:
    """Return the ``count`` candidates with the highest scores, highest first.

    See Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998.
    """
    return heapq.nlargest(
        count, candidates, key=lambda candidate: score(key, candidate)
    )


def bucket(name: str, bucket_count: int) -> int:
    """Return the bucket of a name, from 0 to ``bucket_count - 1``."""
    return xxhash.xxh3_64_intdigest(name.encode()) % bucket_count
