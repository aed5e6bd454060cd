"""Represent one answered request, the input of the monthly figures.

The daemon creates a record for each answer or refusal that it sends, and
passes it to ``segments.SegmentWriter.record``. A log of records, with one JSON
object per line, is the input of ``report replay``.
"""

import enum
import typing
from collections import abc

import msgspec

from plantainhook import errors, steps


class Status(enum.StrEnum):
    """Classify how a request was answered."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    REFUSED = "refused"


class RequestRecord(msgspec.Struct, frozen=True):
    """Describe one answered request.

    ``coverage_ratio`` and ``latency_ms`` of a refused request are not counted.
    For a resend, ``resend_of`` is the id of the original request or its
    ticket; otherwise it is empty. The first record of a request precedes those
    of its resends and comes from the same incarnation.
    """

    daemon: str
    incarnation: int
    request_id: str
    kind: str
    request_class: str
    arrived_wall_s: float
    answered_wall_s: float
    status: Status
    coverage_ratio: float
    latency_ms: float
    deadline_met: bool
    resend_of: str = ""


_ENCODER: typing.Final = msgspec.json.Encoder()
_DECODER: typing.Final = msgspec.json.Decoder(RequestRecord)


def encode_line(record: RequestRecord) -> bytes:
    """Return the record as one line of a log, with its line feed."""
    return _ENCODER.encode(record) + b"\n"


def read_lines(
    lines: abc.Iterable[bytes], file: str
) -> abc.Iterator[RequestRecord]:
    """Yield the records of a log; raise MessageError for an invalid line."""
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            yield _DECODER.decode(line)
        except msgspec.DecodeError as error:
            raise errors.MessageError(
                steps.Step.FIGURES_COUNT, file, f"line {number}: {error}"
            ) from None
