"""Define the texts that users see.

They are in one module so that their wording is consistent and tests can refer
to a message by name. Placeholders are filled with ``str.format``.
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
STARTING: typing.Final = "this daemon has no settings yet"
DRAINING: typing.Final = "this daemon is stopping and accepts no new requests"
OVERLOADED: typing.Final = "the queue of class {request_class} is full"
DEADLINE_TOO_SHORT: typing.Final = (
    "the deadline of {deadline_ms} ms cannot be met"
)
COVERAGE_TOO_LOW: typing.Final = (
    "coverage is {coverage:.4f}, but the request kind needs {minimum:.4f}; "
    "missing shards: {shards}"
)
OUT_OF_SERVICE: typing.Final = (
    "{count} shards are unavailable ({shards}); "
    "the request kind needs a coverage of {minimum:.4f}"
)
OVER_LIMIT: typing.Final = (
    "the leafs of {count} shards accept no more requests now ({shards})"
)
AREA_HAS_GAPS: typing.Final = "tiles missing in the area: {tiles}"
QUARANTINED: typing.Final = (
    "this request crashed backend servers and is in quarantine "
    "for another {left_s:.0f} s"
)
NO_SNAPSHOT: typing.Final = (
    "no index version of target {target!r} is served by any leaf"
)
NOT_AUTHORISED: typing.Final = "the token does not have the role {role!r}"
UNDO_CHANGED_LATER: typing.Final = (
    "revision {revision} cannot be undone: later revisions changed {names}; "
    "apply the values that you want instead"
)
CONFLICT: typing.Final = (
    "revision {current} is the newest, and the change was made for "
    "revision {base}; nothing was changed"
)
CONFLICT_REDO_SAME: typing.Final = (
    "Both changed {names}. Get the newest objects with\n"
    "  plantainhook settings show {names} > new.toml\n"
    "put the change into new.toml and run\n"
    "  plantainhook settings apply new.toml --base {current}"
)
CONFLICT_REDO_OTHER: typing.Final = (
    "The other change is to other objects. To apply this one after it, run "
    "the same command with\n"
    "  --base {current}"
)
OBJECT_TOO_LARGE: typing.Final = (
    "expected at most {limit_bytes} bytes, found {size_bytes}"
)
OBJECT_UNKNOWN: typing.Final = "expected an existing object to remove"
REVISION_UNKNOWN: typing.Final = "there is no revision {revision}"
REVISION_NOT_KEPT: typing.Final = "revision {revision} is no longer kept"
OUTCOME_OF_APPLY_UNKNOWN: typing.Final = (
    "the platform did not confirm the change, which may have been accepted; "
    "look for request {request_id} in: plantainhook settings history"
)
REVISION_NOT_READABLE: typing.Final = (
    "this version of the program cannot read the revision: {detail}"
)
OBJECT_NOT_IN_REVISION: typing.Final = (
    "there is no object {name!r} in revision {revision}"
)
FILE_VALID: typing.Final = "{file}: {count} objects, no errors"
NOTHING_TO_CHANGE: typing.Final = (
    "nothing to change: revision {revision} already holds these objects"
)
ACCEPTED: typing.Final = "revision {revision} is accepted:"
APPLY_NEEDS_OBJECTS: typing.Final = (
    "error: name a file to apply or objects to --remove"
)
NO_SHARD_ANSWERED: typing.Final = "no shard answered before the deadline"
NO_SHARD_LEFT: typing.Final = "no leaf could answer for any shard"
QUEUE_TOO_LONG: typing.Final = (
    "the queries ahead of tenant rank {tenant_rank} and route rank "
    "{route_rank} take longer than the time until the deadline"
)
SHARDS_UNKNOWN: typing.Final = (
    "index version {snapshot} does not have the shards {shards}"
)
SUSPECT_RUNNING: typing.Final = (
    "this request may have crashed a backend server and is already running"
)
PLOTS_MISSING: typing.Final = (
    "The plots are missing because matplotlib is not installed; "
    "install plantainhook with the extra 'plots'."
)
NOT_ACCEPTED: typing.Final = "the change was not accepted: {detail}"
INTERRUPTED: typing.Final = (
    "interrupted; check the settings history for whether the change was "
    "accepted"
)
LEAF_MOVED: typing.Final = (
    "expected a higher generation, because {name} changes the daemons that "
    "hold its connections"
)
