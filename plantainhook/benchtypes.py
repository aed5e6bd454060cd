"""Define the data that describes a benchmark scenario."""

import dataclasses
import enum
import typing

from plantainhook import admission, querytypes, schema, shardmap

# This long after an outcome, no call of the request can be under way.
SETTLE_S: typing.Final = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTimes:
    """Describe the service times of fake leafs, which are lognormal.

    The median comes from the request kind. ``slow_ratio`` of the calls are
    slow: they take ``slow_ms``, or ``slow_factor`` times as long if
    ``slow_ms`` is 0.
    """

    sigma: float = 0.3
    slow_ratio: float = 0.0
    slow_factor: float = 10.0
    slow_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Network:
    """Describe the one-way network delays between daemon and leafs.

    ``near_ms`` applies within the daemon's data centre, ``far_ms`` between
    data centres. Each delay is increased by up to ``jitter_ratio``.
    """

    near_ms: float = 0.2
    far_ms: float = 5.0
    jitter_ratio: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class KindSpec:
    """Describe the load of one request kind.

    ``work_ms`` is the median service time of a call and ``rules`` overrides
    the default rules. Each request asks for an area of ``area_count`` random
    tiles. Up to ``poison_count`` requests crash the leafs that run them; all
    others share ``fingerprint_count`` fingerprints.
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
    """List what can happen to leafs or links during a scenario.

    ``SERVE`` changes the index versions that leafs serve. ``DECLARE`` makes
    versions known to the daemon.
    """

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
    """Describe a fault that is applied at a time of the scenario.

    ``value`` is the slow factor or the packet loss ratio. ``versions`` lists
    the index versions that the leafs serve from then on, or that are
    declared.
    """

    at_s: float
    kind: FaultKind
    leafs: tuple[str, ...] = ()
    value: float = 0.0
    versions: tuple[int, ...] = ()
    data_centre: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Describe the leafs, targets, load, network and faults of a run.

    ``maps`` holds the shard maps by target and index version.
    ``declared_versions`` lists the versions that the daemon knows at the
    start. ``reply_fault_ratio`` of the replies are duplicated, or carry
    results of another request or version. ``admission_limits`` limits the
    concurrent queries; with None each query starts when it arrives.
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
        """Return the total request rate of all kinds."""
        return sum(kind.rate_per_s for kind in self.kinds)

    def duration_s(self) -> float:
        """Return the expected time until the last request arrives."""
        return self.request_count / self.rate_per_s()


def build_rules(
    overrides: dict[str, typing.Any], policy: str
) -> querytypes.EffectiveRules:
    """Build the rules of a kind from the default rules and overrides."""
    values = {**overrides, "hedge_policy": policy}
    return querytypes.EffectiveRules(**schema.Defaults(**values).model_dump())
