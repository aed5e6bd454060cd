"""Data that describes a benchmark scenario."""

import dataclasses
import enum
import typing

from plantainhook import admission, querytypes, schema, shardmap

SETTLE_S: typing.Final = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTimes:
    """Describe how long a fake leaf works on one call.

    The median comes from the request kind. A share of the calls is slow:
    ``slow_ms`` long, or ``slow_factor`` times longer where that is 0.
    """

    sigma: float = 0.3
    slow_ratio: float = 0.0
    slow_factor: float = 10.0
    slow_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Network:
    """Describe one-way delays between data centres and their variation."""

    near_ms: float = 0.2
    far_ms: float = 5.0
    jitter_ratio: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class KindSpec:
    """Describe the load of one request kind.

    ``area_count`` tiles are asked for as the area of each request.
    """

    name: str
    target: str
    rate_per_s: float
    work_ms: float
    rules: dict[str, typing.Any]
    area_count: int = 0
    poison_count: int = 0
    fingerprint_count: int = 50


class FaultKind(enum.StrEnum):
    """Name what happens to leafs or links at a time of a scenario."""

    SLOW = "slow"
    REFUSE_CONNECTIONS = "refuse_connections"
    HANG = "hang"
    CRASH = "crash"
    DRAIN = "drain"
    COLD = "cold"
    RECOVER = "recover"
    SERVE = "serve"
    LINK_LOSS = "link_loss"
    DECLARE = "declare"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Change leafs at a time.

    ``value`` is the slow factor, the loss ratio, or the index version;
    ``versions`` lists what the leafs serve from then on.
    """

    at_s: float
    kind: FaultKind
    leafs: tuple[str, ...] = ()
    value: float = 0.0
    versions: tuple[int, ...] = ()
    data_centre: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Describe leafs, targets, load, network and faults.

    ``declared`` lists the versions of each target known at the start. A
    share of replies, ``reply_fault_ratio``, is duplicated, crossed or of
    another version. ``admission_limits`` bounds the queries that run at
    once; None starts each query when it arrives.
    """

    leafs: tuple[shardmap.LeafInfo, ...]
    maps: dict[str, dict[int, shardmap.ShardMap]]
    kinds: tuple[KindSpec, ...]
    request_count: int
    service: ServiceTimes = ServiceTimes()
    network: Network = Network()
    faults: tuple[Fault, ...] = ()
    declared_versions: tuple[int, ...] = (1,)
    data_centre: str = "dc-1"
    reply_fault_ratio: float = 0.001
    connect_ms: float = 1.0
    queue_limit_count: int = 32
    admission_limits: admission.Limits | None = None

    def rate_per_s(self) -> float:
        """Return the request rate of all kinds together."""
        return sum(kind.rate_per_s for kind in self.kinds)

    def duration_s(self) -> float:
        """Return how long requests arrive."""
        return self.request_count / self.rate_per_s()


def build_rules(
    overrides: dict[str, typing.Any], policy: str
) -> querytypes.EffectiveRules:
    """Build the rules of a kind from the defaults."""
    values = {**overrides, "hedge_policy": policy}
    return querytypes.EffectiveRules(**schema.Defaults(**values).model_dump())
