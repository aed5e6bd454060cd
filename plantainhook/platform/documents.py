"""Decoding of the objects in the platform's store.

The ``*Document`` structs have the keys that operators and leafs write, in
kebab case. ``PlatformDocuments`` converts them to route tables and leaf
entries; it implements ``forwardtypes.Documents``.
"""

import re
import typing

import msgspec

from plantainhook import (
    forwardtypes,
    objectsource,
    routetable,
    shardmap,
    specreader,
)
from plantainhook.platform import names

MS_PER_S: typing.Final = 1000.0
PORT_MAX: typing.Final = 65_535
# The id of a leaf is sent as a header.
_LEAF_NAME: typing.Final = re.compile(r"[!-~]{1,256}")
_ADDRESS: typing.Final = re.compile(r"[!-~]{1,256}:([0-9]{1,5})")
# Numbers beyond what they can mean are replaced by these bounds, because the
# operator's store has accepted the configuration.
TIME_MAX_S: typing.Final = 86_400.0
TIME_MAX_MS: typing.Final = TIME_MAX_S * MS_PER_S
COUNT_MAX: typing.Final = 1_000_000
BYTES_MAX: typing.Final = 1 << 30
RATE_MAX_PER_S: typing.Final = 1e9
WEIGHT_MAX: typing.Final = 1e9

Number = typing.TypeVar("Number", int, float)


class Backend(msgspec.Struct):
    """Describe a service of a route and its weight."""

    service: str
    weight: float


class RouteDocument(msgspec.Struct, rename="kebab"):
    """Describe a route as the operator wrote it.

    ``kind`` states whether requests are idempotent. ``max_attempts`` is the
    number of leafs that may run a request. A route has a ``service``,
    several ``backends``, or the services of a ``gather``.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    latency_goal_ms: float | None = None
    max_attempts: int = 1
    priority: int = 0
    service: str | None = None
    backends: list[Backend] | None = None
    gather: list[str] | None = None
    top_k: int = 0
    min_coverage: float = 1.0
    public: bool = False


class ServiceDocument(msgspec.Struct, rename="kebab"):
    """Describe a service; ``max_conns`` limits connections to each leaf.

    A leaf is cold for ``warmup_s`` after its start, and then bears
    ``cold_per_s`` requests a second from all daemons; 0 is no limit.
    """

    name: str
    max_conns: int = 1
    cold_per_s: float | None = None
    warmup_s: float | None = None


class TenantDocument(msgspec.Struct, rename="kebab"):
    """Describe a tenant; a ``rate_per_s`` of 0 means that it has no quota."""

    name: str
    api_keys: list[str] = []
    priority: int = 0
    rate_per_s: float | None = None
    burst: float | None = None


class LimitsDocument(msgspec.Struct, rename="kebab"):
    """Limit the requests of callers and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class ConfigurationDocument(msgspec.Struct, rename="kebab"):
    """Represent one version of the configuration.

    Without ``tenants``, requests need no key. With an empty list no key is
    valid, because all tenants may be removed by one version.
    """

    version: objectsource.Revision
    routes: list[RouteDocument]
    services: list[ServiceDocument] = []
    limits: LimitsDocument = msgspec.field(default_factory=LimitsDocument)
    tenants: list[TenantDocument] | None = None


class LeafDocument(msgspec.Struct, rename="kebab"):
    """Describe a leaf as it registered itself.

    The id of the leaf is the name of the object. ``max_concurrency`` is how
    many requests it runs at once. ``born`` is its start in Unix
    milliseconds, and ``seq`` counts its registrations since then.
    """

    service: specreader.Name
    address: specreader.Name
    zone: specreader.Name
    max_concurrency: int
    state: typing.Literal["ready", "draining"]
    warmup_left_ms: float = 0.0
    seq: objectsource.Count = 0
    born: objectsource.UnixMs = 0


class PlatformDocuments:
    """Decode configurations and leaf entries.

    Invalid content raises ValueError.
    """

    def read_routes(self, spec: object) -> routetable.RouteTable:
        """Return the route table of a configuration."""
        document = msgspec.convert(spec, ConfigurationDocument)
        limits = document.limits
        return routetable.build_route_table(
            document.version,
            [_build_route(route) for route in document.routes],
            [
                routetable.ServiceRules(
                    service.name,
                    _clamp(service.max_conns, -COUNT_MAX, COUNT_MAX),
                    _clamp(service.cold_per_s or 0.0, 0.0, RATE_MAX_PER_S),
                    _clamp(service.warmup_s or 0.0, 0.0, TIME_MAX_S),
                )
                for service in document.services
            ],
            routetable.ClientLimits(
                head_bytes=_clamp(limits.max_header_bytes, 0, BYTES_MAX),
                body_bytes=_clamp(limits.max_body_bytes, 0, BYTES_MAX),
                head_timeout_s=_to_seconds(limits.header_timeout_ms),
                idle_timeout_s=_to_seconds(limits.idle_timeout_ms),
            ),
            None
            if document.tenants is None
            else [_build_tenant(tenant) for tenant in document.tenants],
        )

    def read_leaf(self, name: str, spec: object) -> forwardtypes.LeafEntry:
        """Return the entry of the leaf that an object describes."""
        document = msgspec.convert(spec, LeafDocument)
        if _LEAF_NAME.fullmatch(name) is None:
            raise ValueError(f"{name!r} is not the id of a leaf")
        address = _ADDRESS.fullmatch(document.address)
        if address is None or int(address[1]) > PORT_MAX:
            raise ValueError(f"{document.address!r} is not host:port")
        info = shardmap.LeafInfo(
            name=name,
            address=document.address,
            data_centre=document.zone,
            group=document.service,
            service=document.service,
            slot_count=_clamp(document.max_concurrency, 1, COUNT_MAX),
            connection_limit_count=1,
        )
        return forwardtypes.LeafEntry(
            info,
            draining=document.state == names.STATE_DRAINING,
            cold_left_s=_to_seconds(document.warmup_left_ms),
            born_ms=document.born,
            sequence=document.seq,
        )


def _clamp(value: Number, least: Number, most: Number) -> Number:
    """Return the value of a range that is nearest to a number."""
    return min(max(least, value), most)


def _to_seconds(time_ms: float) -> float:
    return _clamp(time_ms, 0.0, TIME_MAX_MS) / MS_PER_S


def _build_tenant(document: TenantDocument) -> routetable.Tenant:
    return routetable.Tenant(
        document.name,
        tuple(document.api_keys),
        _clamp(document.priority, -COUNT_MAX, COUNT_MAX),
        _clamp(document.rate_per_s or 0.0, 0.0, RATE_MAX_PER_S),
        _clamp(document.burst or 0.0, 0.0, RATE_MAX_PER_S),
    )


def _build_route(document: RouteDocument) -> routetable.Route:
    services: tuple[routetable.WeightedService, ...] = ()
    if document.service is not None:
        services = (routetable.WeightedService(document.service, 1.0),)
    elif document.backends:
        services = tuple(
            routetable.WeightedService(
                backend.service, _clamp(backend.weight, 0.0, WEIGHT_MAX)
            )
            for backend in document.backends
        )
    gather = None
    if document.gather is not None:
        gather = routetable.Gather(
            tuple(document.gather),
            _clamp(document.top_k, -COUNT_MAX, COUNT_MAX),
            _clamp(document.min_coverage, 0.0, 1.0),
        )
    return routetable.Route(
        name=document.name,
        host=document.host.lower(),
        path_prefix=document.path_prefix,
        idempotent=document.kind == names.KIND_IDEMPOTENT,
        timeout_ms=_clamp(document.timeout_ms, 0.0, TIME_MAX_MS),
        goal_ms=_clamp(
            document.latency_goal_ms or document.timeout_ms, 0.0, TIME_MAX_MS
        ),
        max_leafs_count=_clamp(document.max_attempts, -COUNT_MAX, COUNT_MAX),
        urgency_rank=_clamp(document.priority, -COUNT_MAX, COUNT_MAX),
        services=services,
        gather=gather,
        is_public=document.public,
    )
