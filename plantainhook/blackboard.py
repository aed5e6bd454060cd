"""Store the state that the controllers of a daemon share.

The blackboard holds views, each of which belongs to a topic and has one
owner, named in its docstring. The owner replaces the view as a whole, and all
other controllers only read it. To wait for a new view, a controller waits for
the event that ``Blackboard.change_event`` returns for the topic.
"""

import dataclasses
import enum
import typing
from collections import abc

import trio

from plantainhook import quarantine, routetable, schema, shardmap


class Topic(enum.Enum):
    """Name the topics of the blackboard."""

    SETTINGS = "settings"
    LEAFS = "leafs"
    MEMBERS = "members"
    SHARES = "shares"
    QUARANTINE = "quarantine"
    LIFE = "life"
    ROUTES = "routes"


class LeafState(enum.StrEnum):
    """Classify a leaf by its last known state.

    A cold leaf answers, but slowly until it has warmed up. A leaf is
    evacuated while the data centre that it is in is.
    """

    LIVE = "live"
    COLD = "cold"
    DRAINING = "draining"
    DOWN = "down"
    EVACUATED = "evacuated"


# A leaf in one of these states gets new work.
USABLE_STATES: typing.Final = (LeafState.LIVE, LeafState.COLD)


class LifecycleState(enum.StrEnum):
    """Name the lifecycle states of a daemon, in order.

    A leaving daemon reports to the load balancer that it is not ready, but
    still admits requests, because the balancer keeps sending requests until
    it has noticed the change.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsView:
    """Represent the settings in effect; owned by ``gossip``.

    ``leafs`` is by leaf name, ``shard_maps`` by target and index version. In
    a forwarding daemon, ``leafdirectory`` owns the view and sets only
    ``leafs``.
    """

    revision: int = 0
    settings: schema.Settings = dataclasses.field(
        default_factory=schema.Settings
    )
    adopted_wall_s: float = 0.0
    source: str = "none"
    leafs: dict[str, shardmap.LeafInfo] = dataclasses.field(
        default_factory=dict
    )
    shard_maps: dict[str, dict[int, shardmap.ShardMap]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LeafView:
    """Describe the known state of one leaf.

    The owner is ``leafhealth``, or ``leafdirectory`` in a forwarding daemon.
    ``versions`` maps an index version to the names of the shards served.
    ``seen_s`` is when the state was last read. ``leaving_since_s`` is when a
    forwarding daemon learned that the leaf leaves, if it does.
    """

    state: LeafState
    versions: dict[int, frozenset[str]]
    seen_s: float
    leaving_since_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MemberInfo:
    """Describe a daemon of the fleet; owned by ``membership``."""

    incarnation: int
    name: str
    vm_id: str
    data_centre: str
    peer_address: str
    http_address: str
    alive: bool
    draining: bool
    share: int | None = None
    # CPU capacity in hundredths of a core; 0 if it is unknown.
    capacity: int = 0
    # Feature bits of ``wire``.
    features: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ShareView:
    """Describe this daemon's share of connections; owned by ``shares``.

    ``allotments`` holds, by leaf name, how many connections this daemon may
    open; it may open none to a leaf that is absent. ``owners`` maps a scope
    and a share to the incarnation of the daemon that claims the share; it is
    only a hint.
    """

    own_share: int | None = None
    allotments: dict[str, int] = dataclasses.field(default_factory=dict)
    owners: dict[str, dict[int, int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Blackboard:
    """Store all views of one daemon and notify of their changes."""

    incarnation: int
    settings: SettingsView = dataclasses.field(default_factory=SettingsView)
    leafs: dict[str, LeafView] = dataclasses.field(default_factory=dict)
    members: dict[int, MemberInfo] = dataclasses.field(default_factory=dict)
    shares: ShareView = dataclasses.field(default_factory=ShareView)
    quarantine_until_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    suspicions: dict[str, quarantine.Crash] = dataclasses.field(
        default_factory=dict
    )
    exonerated_s: dict[str, float] = dataclasses.field(default_factory=dict)
    lifecycle: LifecycleState = LifecycleState.STARTING
    # Data centres whose leafs get no work, and when evacuations of others
    # ended, on the trio clock; owned by ``evacuations``.
    evacuated_data_centres: frozenset[str] = frozenset()
    returning_since_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    # Routes of forwarded HTTP requests; owned by ``routecontroller``.
    routes: routetable.RouteTable = routetable.NO_ROUTES
    listeners: list[abc.Callable[[Topic], None]] = dataclasses.field(
        default_factory=list
    )
    _events: dict[Topic, trio.Event] = dataclasses.field(default_factory=dict)

    def share_quarantine(self, shared: quarantine.Quarantine) -> None:
        """Let a quarantine work on the mappings that daemons exchange."""
        shared.until_s = self.quarantine_until_s
        shared.suspicions = self.suspicions
        shared.exonerated_s = self.exonerated_s

    def usable_members(self) -> list[MemberInfo]:
        """Return the daemons that accept new work, including this one."""
        return [
            member
            for member in self.members.values()
            if member.alive and not member.draining
        ]

    def own_address(self) -> str:
        """Return this daemon's peer address; empty until it has joined."""
        own = self.members.get(self.incarnation)
        return own.peer_address if own is not None else ""

    def change_event(self, topic: Topic) -> trio.Event:
        """Return the event that is set at the next change of a topic."""
        return self._events.setdefault(topic, trio.Event())

    def notify(self, topic: Topic) -> None:
        """Call the listeners and wake all tasks that wait for a topic."""
        for listener in self.listeners:
            listener(topic)
        event = self._events.pop(topic, None)
        if event is not None:
            event.set()


def build_settings_view(
    revision: int, settings: schema.Settings, wall_s: float, source: str
) -> SettingsView:
    """Build the view of a validated revision of the settings."""
    shard_maps: dict[str, dict[int, shardmap.ShardMap]] = {}
    for index in settings.index.values():
        versions = shard_maps.setdefault(index.target, {})
        versions[index.version] = shardmap.build_shard_map(index)
    return SettingsView(
        revision=revision,
        settings=settings,
        adopted_wall_s=wall_s,
        source=source,
        leafs=shardmap.leafs_of(settings),
        shard_maps=shard_maps,
    )
