"""Translation of HTTP messages of the platform's callers and leafs.

It implements ``forwardtypes.Dialect``. Header names are in lower case.
"""

import dataclasses
import math
import typing

from plantainhook import forwardtypes, httpconnection
from plantainhook.platform import names

# Headers of a caller that are not copied to a leaf: the daemon sets the host,
# the body length, the time left and the expected leaf itself, and the headers
# of one connection do not apply to the other.
_REPLACED_HEADERS: typing.Final = names.CONNECTION_HEADERS | {
    b"content-length",
    b"expect",
    b"host",
    names.DEADLINE_MS,
    names.EXPECTED_LEAF,
}
# A leaf gets the name of the tenant in place of the caller's credentials.
_CREDENTIAL_HEADERS: typing.Final = frozenset(
    {names.AUTHORIZATION, names.TENANT}
)
MS_PER_S: typing.Final = 1000.0
# Running and waiting requests, slots and pace.
LOAD_PARTS_COUNT: typing.Final = 4
NORMAL_PACE: typing.Final = 100.0
# Larger numbers in headers count as this. It is more than any rate, time in
# milliseconds or number of requests, and their sums stay finite.
NUMBER_MAX: typing.Final = 1e9
_DROPPED_REPLY_HEADERS: typing.Final = names.CONNECTION_HEADERS | {
    b"content-length"
}


class PlatformDialect:
    """Translate between HTTP messages and the types of ``forwardtypes``."""

    def read_request(
        self,
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
    ) -> forwardtypes.ForwardRequest:
        """Return the request of a caller.

        The host is in lower case and without a port. Headers that the daemon
        replaces, or that apply to the connection only, are left out.
        """
        by_name = dict(headers)
        dropped = _connection_options(by_name) | _REPLACED_HEADERS
        host = by_name.get(b"host", b"").decode("latin-1").lower()
        return forwardtypes.ForwardRequest(
            method=method,
            target=target,
            host=host.partition(":")[0],
            headers=[pair for pair in headers if pair[0] not in dropped],
            body=body,
            request_id=by_name.get(names.REQUEST_ID, b"").decode("latin-1"),
            left_ms=_parse_ms(by_name.get(names.DEADLINE_MS)),
            api_key=_parse_key(by_name.get(names.AUTHORIZATION)),
        )

    def with_tenant(
        self, request: forwardtypes.ForwardRequest, tenant: str | None
    ) -> forwardtypes.ForwardRequest:
        """Return a request that names its tenant and has no credentials.

        A tenant that the caller named itself is removed too.
        """
        headers = [
            pair
            for pair in request.headers
            if pair[0] not in _CREDENTIAL_HEADERS
        ]
        if tenant is not None:
            headers.append((names.TENANT, tenant.encode()))
        return dataclasses.replace(
            request, headers=headers, api_key=None, tenant=tenant
        )

    def leaf_headers(
        self, request: forwardtypes.ForwardRequest, leaf: str, left_ms: int
    ) -> forwardtypes.Headers:
        """Return the headers of the request to a leaf.

        They state the time left and which leaf is expected at the address,
        so that another leaf there rejects the request.
        """
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
        """Decode the reply of a leaf.

        It counts as refused if the leaf states that it did not run the
        request, or if another leaf has the address.
        """
        by_name = dict(raw.headers)
        request_id = None
        if names.REQUEST_ID in by_name:
            request_id = by_name[names.REQUEST_ID].decode("latin-1")
        misdirected = raw.status == names.STATUS_MISDIRECTED
        return forwardtypes.LeafAnswer(
            status=raw.status,
            headers=raw.headers,
            body=raw.body,
            request_id=request_id,
            signature=by_name.get(names.SIGNATURE),
            encoded=b"content-encoding" in by_name,
            refused=names.NOT_RUN in by_name or misdirected,
            misdirected=misdirected,
            pause_s=_parse_pause(raw.status, by_name),
            leaving=by_name.get(names.LEAVING, b"").strip() == b"1",
            limit_per_s=_parse_number(by_name.get(names.REQUEST_LIMIT)),
            cold_left_s=_parse_warmup(by_name.get(names.WARMUP_MS)),
            load=_parse_load(by_name.get(names.LOAD)),
        )

    def answer_headers(
        self, answer: forwardtypes.LeafAnswer
    ) -> forwardtypes.Headers:
        """Return the headers of a leaf's answer as the caller gets them."""
        listed = _connection_options(dict(answer.headers))
        dropped = listed | _DROPPED_REPLY_HEADERS
        return [pair for pair in answer.headers if pair[0] not in dropped]

    def gathered_headers(
        self, signatures: list[bytes], missing_count: int
    ) -> forwardtypes.Headers:
        """Return the headers of an answer merged from several leafs."""
        return [
            (names.PART_SIGNATURES, b", ".join(signatures)),
            (names.MISSING_PARTS, b"%d" % missing_count),
        ]

    def challenge_headers(self) -> forwardtypes.Headers:
        """Return the headers that state which credentials are expected."""
        return [(names.CHALLENGE, names.KEY_SCHEME)]

    def retry_headers(self, retry_after_s: float) -> forwardtypes.Headers:
        """Return the headers that state when to send the request again."""
        return [(names.RETRY_AFTER, b"%.3f" % retry_after_s)]


def _connection_options(by_name: dict[bytes, bytes]) -> set[bytes]:
    """Return the header names that the Connection header lists."""
    listed = by_name.get(b"connection", b"").lower().split(b",")
    return {name.strip() for name in listed}


def _parse_ms(value: bytes | None) -> float | None:
    """Parse whole milliseconds; None if the header is absent or invalid."""
    if value is None or not value.strip().isdigit():
        return None
    return min(float(value), NUMBER_MAX)


def _parse_key(value: bytes | None) -> str | None:
    """Return the key of an Authorization header; None if it is malformed."""
    scheme, _, key = (value or b"").strip().partition(b" ")
    if scheme.lower() != names.KEY_SCHEME.lower():
        return None
    return key.strip().decode("latin-1") or None


def _parse_pause(status: int, by_name: dict[bytes, bytes]) -> float | None:
    """Return the pause in seconds that a refusal asks for, or None."""
    if status != forwardtypes.STATUS_UNAVAILABLE:
        return None
    return _parse_number(by_name.get(names.RETRY_AFTER))


def _parse_load(value: bytes | None) -> forwardtypes.LeafLoad | None:
    """Return the load that a leaf states; None if absent or invalid."""
    parts = [_parse_number(part) for part in (value or b"").split(b",")]
    if len(parts) != LOAD_PARTS_COUNT:
        return None
    running, waiting, slots, pace = parts
    if running is None or waiting is None or not slots or not pace:
        return None
    return forwardtypes.LeafLoad(running, waiting, slots, pace / NORMAL_PACE)


def _parse_warmup(value: bytes | None) -> float:
    """Return how many seconds a leaf remains cold; 0 if it does not say."""
    return (_parse_number(value) or 0.0) / MS_PER_S


def _parse_number(value: bytes | None) -> float | None:
    """Parse a number that is not negative; None if absent or invalid."""
    try:
        number = float(value) if value is not None else math.nan
    except ValueError:
        return None
    valid = math.isfinite(number) and number >= 0.0
    return min(number, NUMBER_MAX) if valid else None
