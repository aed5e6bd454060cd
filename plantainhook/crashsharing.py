"""Build the parts that share the quarantine of requests in the fleet.

Crashes of leafs are reported to the quarantine, its entries are exchanged
with the other daemons, and the platform's store keeps them.
"""

import random
import typing
from collections import abc

from plantainhook import (
    blackboard,
    clock,
    crashwatch,
    membership,
    objectsource,
    peers,
    quarantine,
    quarantinegossip,
    quarantinestore,
)


class CrashParts(typing.NamedTuple):
    """Collect the parts around the quarantine of one daemon."""

    gossip: quarantinegossip.QuarantineGossip
    store: quarantinestore.QuarantineStore
    crashes: crashwatch.CrashWatch


def build_parts(
    board: blackboard.Blackboard,
    shared: quarantine.Quarantine,
    members: membership.Membership,
    links: peers.PeerTransport,
    handlers: peers.Handlers,
    writer: objectsource.ObjectWriter,
    check_leaf: abc.Callable[[str], None],
    time_source: clock.Clock,
    rng: random.Random,
) -> CrashParts:
    """Build the parts and connect them to a quarantine."""
    gossip = quarantinegossip.QuarantineGossip(
        board, members, links, handlers, time_source, rng
    )
    gossip.share(shared)
    store = quarantinestore.QuarantineStore(board, gossip.sync, writer, rng)
    shared.on_quarantine = store.on_quarantine
    gossip.on_unreached = store.on_unreached
    crashes = crashwatch.CrashWatch(board, shared, time_source, check_leaf)
    return CrashParts(gossip, store, crashes)
