"""Messages of the leaf protocol, shared by the client and the stand-in.

The bodies are JSON. Unknown keys of replies are ignored, so that a leaf may
add some.
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
    """State why a leaf refused a request."""

    DRAINING = "draining"
    COLD = "cold"
    OVERLOADED = "overloaded"
    UNKNOWN = "unknown"


class HealthState(enum.StrEnum):
    """Classify the states that a leaf reports."""

    LIVE = "live"
    DRAINING = "draining"
    COLD = "cold"


class SearchRequest(msgspec.Struct, frozen=True):
    """Ask a leaf for some shards of one snapshot."""

    request_id: str
    kind: str
    fingerprint: str
    snapshot: int
    shards: tuple[str, ...]
    params: msgspec.Raw
    deadline_ms: int


class ShardItems(msgspec.Struct, frozen=True):
    """Hold the items of one shard."""

    items: list[typing.Any]
    weight: float = 1.0


class SearchReply(msgspec.Struct, frozen=True):
    """Answer a search."""

    request_id: str
    snapshot: int
    results: dict[str, ShardItems]


class RefusalBody(msgspec.Struct, frozen=True):
    """Explain a 503."""

    refusal: str = Refusal.UNKNOWN


class HealthReply(msgspec.Struct, frozen=True):
    """Report the state of a leaf."""

    state: HealthState


class LoadReply(msgspec.Struct, frozen=True):
    """Report how many requests a leaf runs and can run."""

    in_flight: int
    slots: int


class VersionsReply(msgspec.Struct, frozen=True):
    """Report the shards of each index version that a leaf serves."""

    versions: dict[int, list[str]]


class NotServedReply(msgspec.Struct, frozen=True):
    """Name the index versions that a leaf serves instead."""

    served: list[int] = []


class VmEntry(msgspec.Struct, frozen=True):
    """Describe one VM of the VM list; the state is live or leaving."""

    vm_id: str
    address: str
    data_centre: str
    state: typing.Literal["live", "leaving"]


class VmListing(msgspec.Struct, frozen=True):
    """Hold the VM list as of a time of the platform's clock."""

    vms: tuple[VmEntry, ...]
    as_of_s: float
