"""Merge the records of several shards and keep the highest ones.

A record is a byte string of a fixed size; records are ordered byte by byte.
Equal records are all kept. A remainder shorter than a record is ignored.
"""

import typing
from collections import abc

RECORD_BYTES: typing.Final = 16


def merge_top_records(parts: abc.Iterable[bytes], limit_count: int) -> bytes:
    """Return the highest records of all parts in descending order.

    At most ``limit_count`` records are returned, joined to one byte string.
    """
    merged = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    merged.sort(reverse=True)
    return b"".join(merged[:limit_count])
