"""Status of a daemon and its fleet, as the command ``status`` prints it."""

import collections
import dataclasses
import typing

from plantainhook import (
    blackboard,
    clock,
    fleetstatus,
    options,
    queryservice,
)

Status = dict[str, typing.Any]


async def collect(
    run_options: options.Options,
    board: blackboard.Blackboard,
    fleet: fleetstatus.FleetStatus,
    service: queryservice.QueryService,
    own_clock: clock.Clock,
) -> Status:
    """Return the status as an object that can be encoded as JSON."""
    view = board.settings
    centres = await fleet.collect()
    leaf_states = collections.Counter(
        leaf.state.value for leaf in board.leafs.values()
    )
    return {
        "name": run_options.name,
        "incarnation": f"{board.incarnation:x}",
        "data_centre": run_options.data_centre,
        "life": board.lifecycle.value,
        "revision": view.revision,
        "settings_source": view.source,
        "settings_age_s": round(settings_age_s(view, own_clock), 1),
        "connection_share": board.shares.own_share,
        "in_flight_count": service.in_flight_count,
        "leafs": dict(leaf_states),
        "members": member_status(board),
        "fleet": {
            centre.data_centre: dataclasses.asdict(centre)
            for centre in centres
        },
        "quarantined": sorted(board.quarantine_until_s),
    }


def settings_age_s(
    view: blackboard.SettingsView, own_clock: clock.Clock
) -> float:
    """Return the seconds since this daemon adopted its settings."""
    if not view.adopted_wall_s:
        return 0.0
    return own_clock.wall_s() - view.adopted_wall_s


def member_status(board: blackboard.Blackboard) -> Status:
    """Return the state of all known members by name."""
    return {
        member.name: {
            "data_centre": member.data_centre,
            "http_address": member.http_address,
            "alive": member.alive,
            "draining": member.draining,
        }
        for member in board.members.values()
    }
