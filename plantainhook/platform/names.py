"""Names that the platform defines: headers, paths, kinds and states.

Each is defined here once; the other modules use these constants.
"""

import typing

REQUEST_ID: typing.Final = b"request-id"
DEADLINE_MS: typing.Final = b"deadline-ms"
SIGNATURE: typing.Final = b"server-stamp"
AUTHORIZATION: typing.Final = b"authorization"
TENANT: typing.Final = b"tenant"
EXPECTED_LEAF: typing.Final = b"expect-instance"
NOT_RUN: typing.Final = b"not-executed"
ERA: typing.Final = b"store-era"
LEAVING: typing.Final = b"server-leaving"
REQUEST_LIMIT: typing.Final = b"server-limit"
WARMUP_MS: typing.Final = b"warmup-ms"
LOAD: typing.Final = b"server-load"
RETRY_AFTER: typing.Final = b"retry-after"
PART_SIGNATURES: typing.Final = b"part-stamps"
MISSING_PARTS: typing.Final = b"missing-parts"

CHALLENGE: typing.Final = b"www-authenticate"

# Scheme of the Authorization header; the key follows it.
KEY_SCHEME: typing.Final = b"Token"

STATUS_MISDIRECTED: typing.Final = 421

OBJECTS_PATH: typing.Final = "/v1/objects"
LEAF_KIND: typing.Final = "servers"
CONFIGURATION_KIND: typing.Final = "config"
CONFIGURATION_NAME: typing.Final = "main"
QUARANTINE_KIND: typing.Final = "quarantined-requests"
EVACUATION_KIND: typing.Final = "evacuations"

STATE_DRAINING: typing.Final = "draining"
KIND_IDEMPOTENT: typing.Final = "idempotent"

# Headers that apply to one connection only and are not forwarded.
CONNECTION_HEADERS: typing.Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
