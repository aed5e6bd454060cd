"""Texts that users see.

They stand together so that the wording stays even and tests can name a
message. Placeholders are filled with ``str.format``.
"""

import typing

TARGET_UNKNOWN: typing.Final = "there is no query target {target!r}"
KIND_UNKNOWN: typing.Final = "there is no request kind {kind!r}"
TICKET_REQUIRED: typing.Final = (
    "requests of kind {kind!r} run at most once and need a ticket; "
    "send the request again with the ticket of this refusal"
)
OUTCOME_UNKNOWN: typing.Final = (
    "the request may have run; it will not be run again"
)
DRAINING: typing.Final = "this daemon is stopping and takes no new requests"
OVERLOADED: typing.Final = "the queue of class {request_class} is full"
DEADLINE_TOO_SHORT: typing.Final = (
    "the deadline of {deadline_ms} ms cannot be met"
)
COVERAGE_TOO_LOW: typing.Final = (
    "coverage is {coverage:.4f}; the request kind needs {minimum:.4f}"
)
AREA_HAS_GAPS: typing.Final = "the area lacks the tiles {tiles}"
QUARANTINED: typing.Final = (
    "this request crashed backend servers and is in quarantine "
    "for another {left_s:.0f} s"
)
NO_SNAPSHOT: typing.Final = (
    "no index version of target {target!r} is served by any leaf"
)
NOT_AUTHORISED: typing.Final = "the token does not have the role {role!r}"
PLOTS_MISSING: typing.Final = (
    "The plots are missing because matplotlib is not installed; "
    "install plantainhook with the extra 'plots'."
)
