"""Build the links of a forwarding daemon to others, and its membership."""

import random

from plantainhook import (
    blackboard,
    clientguard,
    clock,
    membership,
    options,
    peerlinks,
    peers,
    wire,
)


class FleetLinks:
    """Connect one daemon to the others."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        run_options: options.Options,
        forward: options.ForwardOptions,
        guard: clientguard.ClientGuard,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.handlers = peers.Handlers()
        self.hello = build_hello(board, run_options, forward)
        self.links = peerlinks.TcpPeerTransport(
            self.hello,
            self.handlers,
            run_options.peer_message_limit_bytes,
            time_source,
            rng,
        )
        self.links.guard = guard
        self.members = build_members(
            board,
            self.hello,
            run_options,
            forward,
            self.links,
            self.handlers,
            time_source,
            rng,
        )


def build_hello(
    board: blackboard.Blackboard,
    run_options: options.Options,
    forward: options.ForwardOptions,
) -> wire.HelloFrame:
    """Return what this daemon tells a peer first."""
    return wire.HelloFrame(
        version=wire.PROTOCOL_VERSION,
        incarnation=board.incarnation,
        name=run_options.name,
        vm_id=run_options.vm_id,
        data_centre=run_options.data_centre,
        peer_address=run_options.peer_address,
        http_address=forward.front_address,
    )


def build_members(
    board: blackboard.Blackboard,
    hello: wire.HelloFrame,
    run_options: options.Options,
    forward: options.ForwardOptions,
    links: peers.PeerTransport,
    handlers: peers.Handlers,
    time_source: clock.Clock,
    rng: random.Random,
) -> membership.Membership:
    """Return the membership, with this daemon as its first member."""
    return membership.Membership(
        board,
        membership.own_entry(
            hello,
            capacity_of(forward),
            wire.FEATURE_BRANCHES | wire.FEATURE_LIMITS | wire.FEATURE_QUOTAS,
        ),
        links,
        handlers,
        membership.MembershipOptions(
            run_options.probe_interval_s,
            run_options.probe_timeout_s,
            run_options.suspicion_s,
            tuple(
                seed
                for seed in run_options.seed_peers
                if seed != run_options.peer_address
            ),
        ),
        time_source,
        rng,
    )


def capacity_of(forward: options.ForwardOptions) -> int:
    """Return the CPU capacity of the VM in hundredths of a core."""
    return round(100 * forward.cpu_share_ratio * forward.cpu_speed_factor)
