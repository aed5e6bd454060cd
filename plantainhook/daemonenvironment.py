"""Environment of a daemon: clients, connectors, clock and seed.

The command ``serve`` passes clients with real sockets and the real clock;
tests and the demo replace some of them. ``daemon.Daemon`` takes everything
that crosses the process boundary from here.
"""

import dataclasses
import secrets
import typing
from collections import abc

import trio

from plantainhook import (
    clock,
    leafhealth,
    leaftransport,
    objectapi,
    peers,
    wire,
)

INCARNATION_BITS: typing.Final = 63


class PeerLinks(peers.PeerTransport, typing.Protocol):
    """Transport that sends requests to other daemons and receives theirs."""

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen until cancelled; ``task_status`` receives the address."""


BuildLinks = abc.Callable[[wire.HelloFrame, peers.Handlers], PeerLinks]


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Provide everything through which a daemon reaches other processes.

    If ``build_links`` is None, the daemon uses TCP links as configured in its
    options. ``serve_http`` is false if requests are passed to the daemon
    without HTTP. ``seed`` seeds the daemon's random generator, from which its
    incarnation is drawn too.
    """

    api: objectapi.ObjectApi
    vm_list: leafhealth.VmListReader
    connector: leaftransport.Connector = leaftransport.connect
    build_links: BuildLinks | None = None
    serve_http: bool = True
    time_source: clock.Clock = dataclasses.field(
        default_factory=clock.TrioClock
    )
    seed: int = dataclasses.field(
        default_factory=lambda: secrets.randbits(INCARNATION_BITS)
    )
