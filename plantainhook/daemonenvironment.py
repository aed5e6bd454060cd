"""What joins a daemon to the world around it.

``serve`` fills it with sockets and real time; tests and the demo replace
single parts.
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
    """Send requests to other daemons and receive theirs."""

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen until cancelled; report the address."""


BuildLinks = abc.Callable[[wire.HelloFrame, peers.Handlers], PeerLinks]


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Hold what joins a daemon to the world around it.

    Tests replace the parts that use sockets or real time. ``build_links``
    is None for TCP links as the options say.
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
