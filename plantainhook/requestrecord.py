"""Record of one answered request, the input of the monthly figures.

The daemon makes one record per answer or refusal that it sends and hands
it to ``segments.SegmentWriter.record``. A log of records, one JSON object a
line, is the input of ``report replay``.
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

    ``coverage_ratio`` and ``latency_ms`` of a refusal are not counted.
    ``resend_of`` names the request or ticket of which this is a resend and
    is empty otherwise; the first record of a request comes before those of
    its resends, from the same incarnation.
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
    """Return the record as one line of a log."""
    return _ENCODER.encode(record) + b"\n"


def read_lines(
    lines: abc.Iterable[bytes], file: str
) -> abc.Iterator[RequestRecord]:
    """Yield the records of a log; raise MessageError at a bad line."""
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            yield _DECODER.decode(line)
        except msgspec.DecodeError as error:
            raise errors.MessageError(
                steps.Step.FIGURES_COUNT, file, f"line {number}: {error}"
            ) from None
