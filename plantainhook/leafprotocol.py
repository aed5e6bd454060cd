"""Messages of the leaf protocol and of the VM list.

The client and the stand-in of a leaf share them. Bodies are JSON, encoded
under the names of the fields. Unknown keys in replies are ignored, so that a
leaf may add some.
"""

import enum
import typing

import msgspec

SEARCH_PATH: typing.Final = "/v1/search"
HEALTH_PATH: typing.Final = "/v1/health"
LOAD_PATH: typing.Final = "/v1/load"
VERSIONS_PATH: typing.Final = "/v1/versions"
RAN_HEADER: typing.Final = b"plantainhook-ran"

STATUS_OK: typing.Final = 200
STATUS_NOT_SERVED: typing.Final = 409
STATUS_CANCELLED: typing.Final = 410
STATUS_REFUSED: typing.Final = 503
STATUS_DEADLINE: typing.Final = 504


class Refusal(enum.StrEnum):
    """Identify why a leaf refused a request; the values are sent."""

    DRAINING = "draining"
    COLD = "cold"
    OVERLOADED = "overloaded"
    UNKNOWN = "unknown"


class HealthState(enum.StrEnum):
    """Identify the state that a leaf reports of itself."""

    LIVE = "live"
    DRAINING = "draining"
    COLD = "cold"


class SearchRequest(msgspec.Struct, frozen=True):
    """Ask a leaf to search some of its shards, all at one snapshot.

    ``deadline_ms`` is the time left when the request is sent.
    """

    request_id: str
    kind: str
    fingerprint: str
    snapshot: int
    shards: tuple[str, ...]
    params: msgspec.Raw
    deadline_ms: int


class ShardItems(msgspec.Struct, frozen=True):
    """Carry the results of one shard."""

    items: list[typing.Any]
    weight: float = 1.0


class SearchReply(msgspec.Struct, frozen=True):
    """Carry the results of a search, by shard."""

    request_id: str
    snapshot: int
    results: dict[str, ShardItems]


class RefusalBody(msgspec.Struct, frozen=True):
    """State the reason of a 503 reply."""

    refusal: str = Refusal.UNKNOWN


class HealthReply(msgspec.Struct, frozen=True):
    """Carry the state of a leaf."""

    state: HealthState


class LoadReply(msgspec.Struct, frozen=True):
    """Carry how many requests a leaf is running and can run at once."""

    in_flight: int
    slots: int


class VersionsReply(msgspec.Struct, frozen=True):
    """List the shards of each index version that a leaf serves."""

    versions: dict[int, list[str]]


class NotServedReply(msgspec.Struct, frozen=True):
    """List the index versions that a leaf serves, in a 409 reply."""

    served: list[int] = []


class VmEntry(msgspec.Struct, frozen=True):
    """Describe one VM of the platform's VM list.

    A leaving VM is about to be removed from the platform.
    """

    vm_id: str
    address: str
    data_centre: str
    state: typing.Literal["live", "leaving"]


class VmListing(msgspec.Struct, frozen=True):
    """Carry the VM list as of a time on the platform's clock."""

    vms: tuple[VmEntry, ...]
    as_of_s: float
