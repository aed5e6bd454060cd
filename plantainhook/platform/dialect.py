"""HTTP headers of callers and leafs."""

import typing

from plantainhook import forwardtypes, httpconnection
from plantainhook.platform import names

# Replaced on the way to a leaf: the connection and the body have their own.
_OWN_HEADERS: typing.Final = names.CONNECTION_HEADERS | {
    b"content-length",
    b"expect",
    b"host",
    names.DEADLINE_MS,
    names.EXPECTED_LEAF,
}
_REPLY_HEADERS: typing.Final = names.CONNECTION_HEADERS | {b"content-length"}


class PlatformDialect:
    """Translate between the platform's headers and the product's types."""

    def read_request(
        self,
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
    ) -> forwardtypes.ForwardRequest:
        """Return the request that a caller sent."""
        found = dict(headers)
        dropped = _named_by_connection(found) | _OWN_HEADERS
        host = found.get(b"host", b"").decode("latin-1").lower()
        return forwardtypes.ForwardRequest(
            method=method,
            target=target,
            host=host.partition(":")[0],
            headers=[pair for pair in headers if pair[0] not in dropped],
            body=body,
            request_id=found.get(names.REQUEST_ID, b"").decode("latin-1"),
            left_ms=_number(found.get(names.DEADLINE_MS)),
        )

    def leaf_headers(
        self, request: forwardtypes.ForwardRequest, leaf: str, left_ms: int
    ) -> forwardtypes.Headers:
        """Return the headers of the request to a leaf."""
        headers = [
            (b"host", request.host.encode("latin-1")),
            *request.headers,
            (names.DEADLINE_MS, b"%d" % left_ms),
            (names.EXPECTED_LEAF, leaf.encode("latin-1")),
        ]
        if request.body:
            headers.append((b"content-length", b"%d" % len(request.body)))
        return headers

    def read_answer(
        self, raw: httpconnection.RawReply
    ) -> forwardtypes.LeafAnswer:
        """Return the reply of a leaf."""
        found = dict(raw.headers)
        request_id = None
        if names.REQUEST_ID in found:
            request_id = found[names.REQUEST_ID].decode("latin-1")
        misdirected = raw.status == names.STATUS_MISDIRECTED
        return forwardtypes.LeafAnswer(
            status=raw.status,
            headers=raw.headers,
            body=raw.body,
            request_id=request_id,
            signature=found.get(names.SIGNATURE),
            encoded=b"content-encoding" in found,
            refused=names.NOT_RUN in found or misdirected,
            misdirected=misdirected,
        )

    def answer_headers(
        self, answer: forwardtypes.LeafAnswer
    ) -> forwardtypes.Headers:
        """Return the headers with which a leaf's answer is passed on."""
        named = _named_by_connection(dict(answer.headers))
        dropped = named | _REPLY_HEADERS
        return [pair for pair in answer.headers if pair[0] not in dropped]

    def gathered_headers(
        self, signatures: list[bytes], missing_count: int
    ) -> forwardtypes.Headers:
        """Return the headers of an answer made of several leafs' answers."""
        return [
            (names.PART_SIGNATURES, b", ".join(signatures)),
            (names.MISSING_PARTS, b"%d" % missing_count),
        ]

    def retry_headers(self, retry_after_s: float) -> forwardtypes.Headers:
        """Return the headers that tell when to send a request again."""
        return [(names.RETRY_AFTER, b"%.3f" % retry_after_s)]


def _named_by_connection(found: dict[bytes, bytes]) -> set[bytes]:
    """Return the headers that a message limits to its connection."""
    named = found.get(b"connection", b"").lower().split(b",")
    return {name.strip() for name in named}


def _number(value: bytes | None) -> float | None:
    """Return a number of milliseconds, or None where there is none."""
    if value is None or not value.strip().isdigit():
        return None
    return float(value)
