"""Define and validate the objects that operators create.

All settings from settings files, the object API and peers are validated by
these models. Names of classes and fields are part of the file format and of
stored settings. Rules are inherited from the defaults through data centre,
service and request kind; a rule that is None is inherited. See
``settingstree`` for the inheritance and ``settingschecks`` for checks across
objects.
"""

import decimal
import enum
import typing
import zoneinfo

import pydantic

NAME_PATTERN: typing.Final = r"^[a-z0-9][a-z0-9._-]{0,62}$"
HEDGE_POLICIES: typing.Final = ("adaptive", "fixed", "plain")
INDEX_KEY_SEPARATOR: typing.Final = "@"
ADDRESS_PATTERN: typing.Final = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"

Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Address = typing.Annotated[str, pydantic.Field(pattern=ADDRESS_PATTERN)]
Ratio = typing.Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
# Upper bounds keep numbers within the range of floats and of messages.
Count = typing.Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
TimeMs = typing.Annotated[int, pydantic.Field(ge=1, le=600_000)]
RatePerS = typing.Annotated[float, pydantic.Field(ge=0.0, le=1e9)]
Version = typing.Annotated[int, pydantic.Field(ge=1, le=1 << 53)]


class RequestClass(enum.StrEnum):
    """List the classes of request, from most to least urgent."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    SEARCH = "search"
    ARCHIVE = "archive"


class BelowMin(enum.StrEnum):
    """State what the caller of a query with too little coverage receives."""

    REFUSE = "refuse"
    PARTIAL = "partial"


class Model(pydantic.BaseModel):
    """Reject unknown keys and values of wrong types."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=False)


class Rules(Model):
    """Represent the rules that a level overrides; None is inherited."""

    request_class: RequestClass | None = None
    idempotent: bool | None = None
    deadline_ms: int | None = pydantic.Field(default=None, ge=1, le=600_000)
    min_coverage_ratio: Ratio | None = None
    below_min: BelowMin | None = None
    hedge_policy: str | None = None
    hedge_quantile: Ratio | None = None
    hedge_delay_ms: TimeMs | None = None
    max_hedges_count: int | None = pydantic.Field(default=None, ge=0, le=4)
    max_retries_count: int | None = pydantic.Field(default=None, ge=0, le=5)
    extra_load_ratio: Ratio | None = None
    extra_load_floor_per_s: RatePerS | None = None
    cross_zone_max_ratio: Ratio | None = None
    queue_limit_count: Count | None = None


class Defaults(Rules):
    """Represent the rules of the outermost level; every rule has a value."""

    request_class: RequestClass = RequestClass.SEARCH
    idempotent: bool = True
    deadline_ms: int = pydantic.Field(default=1000, ge=1, le=600_000)
    min_coverage_ratio: Ratio = 0.0
    below_min: BelowMin = BelowMin.PARTIAL
    hedge_policy: str = "adaptive"
    hedge_quantile: Ratio = 0.95
    hedge_delay_ms: TimeMs = 20
    max_hedges_count: int = pydantic.Field(default=2, ge=0, le=4)
    max_retries_count: int = pydantic.Field(default=2, ge=0, le=5)
    extra_load_ratio: Ratio = 0.03
    extra_load_floor_per_s: RatePerS = 1.0
    cross_zone_max_ratio: Ratio = 0.2
    queue_limit_count: Count = 1000


class DataCentre(Model):
    """Describe a data centre and the rules it overrides."""

    region: Name = "default"
    rules: Rules = Rules()


class Service(Model):
    """Describe a service and the rules it overrides."""

    rules: Rules = Rules()


class RequestKind(Model):
    """Describe a kind of request and the rules it overrides."""

    rules: Rules = Rules()


class Leaf(Model):
    """Describe one backend server.

    ``slot_count`` is the number of requests that it runs at the same time.
    """

    name: Name
    address: Address
    data_centre: Name
    slot_count: Count
    connection_limit_count: Count
    connect_ms: float = pydantic.Field(default=1.0, ge=0, le=600_000)


class Group(Model):
    """Describe a shard group by the leafs that replicate its shards."""

    service: Name
    leafs: list[Leaf] = pydantic.Field(min_length=1)


class Target(Model):
    """Describe a query target by the shard groups that a query is sent to."""

    groups: list[Name] = pydantic.Field(min_length=1)


class Shard(Model):
    """Describe a shard of an index version and the leafs that serve it.

    ``weight`` is its part in the coverage, and ``tiles`` names the tiles to
    which it contributes.
    """

    name: Name
    group: Name
    leafs: list[Name] = pydantic.Field(min_length=1)
    weight: float = pydantic.Field(default=1.0, gt=0, le=1e9)
    tiles: list[str] = []


class Index(Model):
    """Describe one version of the index of a target."""

    target: Name
    version: Version
    shards: list[Shard] = pydantic.Field(min_length=1)


class SharePlan(Model):
    """Set how the connection limits of leafs are divided among daemons.

    A change of any value needs a higher generation. The scope can't change
    while daemons run, because claims of different scopes don't exclude each
    other. See ``shareplan`` for shares, holders and cells.
    """

    scope: typing.Literal["deployment", "data_centre"] = "deployment"
    generation: Version = 1
    share_count: int = pydantic.Field(default=8, ge=1, le=10_000)
    holders_per_leaf: Count = 8
    cells_per_group: Count = 1


class Measure(enum.StrEnum):
    """Name what a monthly figure measures."""

    COUNT = "count"
    COMPLETE = "complete"
    PARTIAL = "partial"
    REFUSED = "refused"
    COVERAGE_PERCENTILE = "coverage_percentile"
    LATENCY_PERCENTILE = "latency_percentile"
    URGENT_WITHIN_DEADLINE = "urgent_within_deadline"
    ARCHIVE_SERVED = "archive_served"


class CountedAt(enum.StrEnum):
    """State which time of a request determines its month."""

    ARRIVAL = "arrival"
    ANSWER = "answer"


class PercentileMethod(enum.StrEnum):
    """State how a percentile is computed from the sorted values."""

    NEAREST_RANK = "nearest_rank"
    LINEAR = "linear"


class Rounding(enum.StrEnum):
    """State how a value half-way between two results is rounded."""

    HALF_UP = "half_up"
    HALF_EVEN = "half_even"


class Resends(enum.StrEnum):
    """State whether each resend of a request counts as a request."""

    ONCE = "once"
    EACH = "each"


PERCENTILE_MEASURES: typing.Final = frozenset(
    {Measure.COVERAGE_PERCENTILE, Measure.LATENCY_PERCENTILE}
)


class Figure(Model):
    """Define how a monthly figure is computed.

    The options reproduce the rules of the system that this one replaces. An
    empty list of request kinds stands for all kinds. Latency is in
    milliseconds and coverage is a ratio.
    """

    request_kinds: list[Name] = []
    measure: Measure
    percentile: decimal.Decimal | None = pydantic.Field(
        default=None, gt=0, le=100
    )
    time_zone: str = "UTC"
    counted_at: CountedAt = CountedAt.ARRIVAL
    percentile_method: PercentileMethod = PercentileMethod.NEAREST_RANK
    digits: int = pydantic.Field(default=0, ge=0, le=9)
    rounding: Rounding = Rounding.HALF_UP
    resends: Resends = Resends.EACH

    @pydantic.field_validator("time_zone")
    @classmethod
    def check_time_zone(cls, value: str) -> str:
        """Reject a name that is not in the IANA time zone database."""
        try:
            zoneinfo.ZoneInfo(value)
        except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
            raise ValueError(f"there is no time zone {value!r}") from None
        return value

    @pydantic.model_validator(mode="after")
    def check_percentile(self) -> "Figure":
        """Require a percentile for percentile measures and no others."""
        is_percentile = self.measure in PERCENTILE_MEASURES
        if is_percentile and self.percentile is None:
            raise ValueError(f"measure {self.measure} needs a percentile")
        if not is_percentile and self.percentile is not None:
            raise ValueError(f"measure {self.measure} takes no percentile")
        return self


class Settings(Model):
    """Represent all operator objects of one revision, by kind and name."""

    defaults: Defaults = Defaults()
    data_centre: dict[Name, DataCentre] = {}
    service: dict[Name, Service] = {}
    request_kind: dict[Name, RequestKind] = {}
    group: dict[Name, Group] = {}
    target: dict[Name, Target] = {}
    index: dict[str, Index] = {}
    share_plan: SharePlan = SharePlan()
    figure: dict[Name, Figure] = {}
