"""Build what carries and limits the calls from a daemon to leafs."""

import dataclasses
import random
import typing
from collections import abc

from plantainhook import (
    blackboard,
    fleetdivision,
    leafconnect,
    leaflimits,
    leafnotices,
    leafpools,
    limitsync,
    metrics,
    peers,
)

POOL_OPTIONS: typing.Final = leafconnect.PoolOptions(
    late_reply_timeout_s=0.15,
    close_timeout_s=0.0,
    checks_health=False,
    keeps_spare=False,
)


class LeafCalls:
    """Collect the connections of one daemon, and the limits of its calls.

    ``on_nothing_listens`` is called with a leaf that refuses connections.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        division: fleetdivision.FleetDivision,
        links: peers.PeerTransport,
        handlers: peers.Handlers,
        instruments: metrics.LeafMetrics,
        on_nothing_listens: abc.Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self.pools = leafpools.LeafPools(
            board,
            division.allotment_of,
            instruments,
            rng,
            options=dataclasses.replace(
                POOL_OPTIONS, on_nothing_listens=on_nothing_listens
            ),
        )
        self.limits = leaflimits.LeafLimits()
        self.notices = leafnotices.LeafNotices()
        instruments.limited_leafs.set_function(lambda: len(self.limits.leafs))
        self.tokens = limitsync.LimitSync(
            board, self.limits, links, handlers, division.fleet.count, rng
        )
