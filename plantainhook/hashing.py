"""Rendezvous hashing: stable choices that every daemon computes alike.

Used for watchers, holders of connections and links between data centres.
The hash is part of the protocol: daemons that hash differently disagree on
holders, so a change of it needs a new share plan generation.
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
    """Return the candidates with the highest scores, highest first.

    Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998.
    """
    return heapq.nlargest(
        count, candidates, key=lambda candidate: score(key, candidate)
    )


def bucket(name: str, bucket_count: int) -> int:
    """Return the bucket of a name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % bucket_count
