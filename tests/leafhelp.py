"""Helpers for tests of leaf calls: settings, network and fixtures.

The network connects client and stand-in by socket pairs. The kernel delivers
bytes on a socket pair at once, so with a mock clock that advances only when
all tasks wait, a test gives the same result on every run.
"""

import contextlib
import random
import socket
import typing
from collections import abc

import prometheus_client
import trio

from plantainhook import (
    blackboard,
    leafconnect,
    leafgateway,
    leaftransport,
    metrics,
    querytypes,
    schema,
    standin_leaf,
    standin_model,
)

SHARDS: typing.Final = ("s0", "s1")
NO_JITTER: typing.Final = leafconnect.PoolOptions(warm_up_jitter_s=0.0)


class Servable(typing.Protocol):
    """Anything that serves connections of the test network."""

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends."""


class Network:
    """Connect to the stand-in at an address by a socket pair.

    ``connects`` lists the addresses of all connection attempts.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.servers: dict[str, Servable] = {}
        self.connects: list[str] = []
        self.connect_delay_s = 0.0
        self.connecting_count = 0
        self.connecting_max_count = 0
        self.unreachable: set[str] = set()
        self._nursery = nursery

    async def connect(self, address: str) -> leaftransport.SocketTransport:
        """Open a connection as ``leaftransport.connect`` does."""
        self.connects.append(address)
        self.connecting_count += 1
        self.connecting_max_count = max(
            self.connecting_max_count, self.connecting_count
        )
        try:
            await trio.sleep(self.connect_delay_s)
        finally:
            self.connecting_count -= 1
        server = self.servers.get(address)
        if server is None or address in self.unreachable:
            raise ConnectionRefusedError("connection refused")
        if isinstance(server, standin_model.LeafModel) and server.down:
            raise ConnectionRefusedError("connection refused")
        client_end, server_end = socket.socketpair(socket.AF_UNIX)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(server_end))
        self._nursery.start_soon(server.serve_stream, stream)
        return leaftransport.SocketTransport(client_end)


def settings(count: int, limit_count: int = 8) -> schema.Settings:
    """Return settings with one group of leafs ``leaf-0``, ``leaf-1``..."""
    leafs = [
        schema.Leaf(
            name=f"leaf-{number}",
            address=f"10.0.0.{number}:80",
            data_centre="dc-1",
            slot_count=2,
            connection_limit_count=limit_count,
        )
        for number in range(count)
    ]
    return schema.Settings(group={"g": schema.Group(service="s", leafs=leafs)})


def build_board(content: schema.Settings) -> blackboard.Blackboard:
    """Return a blackboard with a view of the given settings."""
    board = blackboard.Blackboard(1)
    board.settings = blackboard.build_settings_view(1, content, 0.0, "test")
    return board


def send(
    attempt_id: int = 0, shards: tuple[str, ...] = SHARDS
) -> querytypes.Send:
    """Return the action that sends shards of snapshot 1 to leaf-0."""
    return querytypes.Send(
        attempt_id, "leaf-0", shards, 1, 0.0, querytypes.AttemptReason.FIRST
    )


def fields(request_id: str = "q1", fingerprint: str = "f") -> typing.Any:
    """Return the fields that the attempts of a query share."""
    return leafgateway.RequestFields(request_id, "search", fingerprint, b"{}")


class Rig:
    """Set up a gateway and the stand-in leafs that it calls.

    ``behaviour`` holds fields of ``standin_model.Behaviour``.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        leaf_count: int = 1,
        allotment_count: int = 2,
        options: leafconnect.PoolOptions = NO_JITTER,
        **behaviour: typing.Any,
    ) -> None:
        self.allotment_count = allotment_count
        self.network = Network(nursery)
        self.board = build_board(settings(leaf_count))
        self.leafs: list[standin_leaf.StandinLeaf] = []
        for info in self.board.settings.leafs.values():
            leaf = standin_leaf.StandinLeaf(
                info.name,
                {1: set(SHARDS)},
                standin_model.Behaviour(service_sigma=0.0, **behaviour),
            )
            self.network.servers[info.address] = leaf
            self.leafs.append(leaf)
        self.metrics = metrics.LeafMetrics(
            prometheus_client.CollectorRegistry()
        )
        self.gateway = leafgateway.LeafGateway(
            self.board,
            lambda info: self.allotment_count,
            self.metrics,
            random.Random(0),
            self.network.connect,
            options,
        )

    def change_allotment(self, count: int) -> None:
        """Change the allotment of connections to every leaf."""
        self.allotment_count = count
        self.board.notify(blackboard.Topic.SHARES)

    async def call(
        self, timeout_s: float = 1.0, **arguments: typing.Any
    ) -> leafgateway.ReplyResult:
        """Call the first leaf with a deadline from now."""
        deadline_s = trio.current_time() + timeout_s
        shards = arguments.pop("shards", SHARDS)
        attempt_id = arguments.pop("attempt_id", 0)
        return await self.gateway.call(
            "leaf-0", send(attempt_id, shards), fields(**arguments), deadline_s
        )


@contextlib.asynccontextmanager
async def running_rig(**arguments: typing.Any) -> abc.AsyncIterator[Rig]:
    """Run a gateway against stand-ins and stop both afterwards."""
    async with trio.open_nursery() as nursery:
        rig = Rig(nursery, **arguments)
        await nursery.start(rig.gateway.run)
        await trio.sleep(0.01)
        yield rig
        nursery.cancel_scope.cancel()
