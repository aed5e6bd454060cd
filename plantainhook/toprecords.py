"""Merge of the records of several parts: the greatest, greatest first.

Records have a fixed size and compare byte by byte. Equal records all count,
and a remainder shorter than a record is none.
"""

import typing
from collections import abc

RECORD_BYTES: typing.Final = 16


def merge_top_records(parts: abc.Iterable[bytes], limit_count: int) -> bytes:
    """Return the greatest records of all parts, falling."""
    found = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    found.sort(reverse=True)
    return b"".join(found[:limit_count])
