"""Fleets of forwarding daemons whose leafs crash on some requests.

The daemons are complete; peers, leafs and the store are in memory, on virtual
time. A leaf that begins to run a request whose path or a header of which
contains ``CRASHING`` crashes: all its connections are reset, its address
refuses connections, and its entry expires later. After some time it starts
again.
"""

import dataclasses
import random
import typing
from collections import abc
from unittest import mock

import trio

from plantainhook import (
    forwarddaemon,
    forwardtypes,
    httpserver,
    memorynet,
    options,
    peerlinks,
)
from plantainhook.platform import adapters, names
from tests import platformfleet, virtualtime

HOST: typing.Final = "h.example"
CRASHING: typing.Final = b"crash"
CRASHING_PATH: typing.Final = b"/one/crash"
# The rule counts from this long after the third crash.
SETTLE_S: typing.Final = 4.0
# With so many shards and records, queries are gathered in branches.
SHARDS_COUNT: typing.Final = 12
RECORDS_COUNT: typing.Final = 100
STORE_ADDRESS: typing.Final = "10.3.0.1:80"


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """Define how the leafs of a fleet work, crash and start again.

    With ``keeps_address`` a leaf starts again at its address, and with
    ``keeps_name`` under its name too. ``closes_late_s`` is how long a crashed
    leaf still accepts connections. With ``finishes_abandoned`` it goes on
    with a crashing request whose connection is closed.
    """

    work_s: float = 0.02
    crash_after_s: float = 0.01
    back_s: float = 2.0
    expiry_s: float = 3.6
    keeps_address: bool = False
    keeps_name: bool = False
    closes_late_s: float = 0.0
    finishes_abandoned: bool = False


class Arrival(typing.NamedTuple):
    """Represent a request that reached a leaf."""

    at_s: float
    target: bytes
    request_id: str
    leaf: str
    is_crashing: bool


class Answer(typing.NamedTuple):
    """Represent the answer of a daemon to a request."""

    at_s: float
    target: bytes
    status: int
    headers: forwardtypes.Headers
    is_crashing: bool


class Caller(typing.NamedTuple):
    """Describe who sends a request: a key, and headers that leafs get.

    ``is_crashing`` states that the requests crash leafs whatever their path.
    """

    key: str | None = None
    headers: forwardtypes.Headers = []
    is_crashing: bool = False


ANYONE: typing.Final = Caller()


class Leaf:
    """One process of a leaf; ``gone`` is set when it has crashed."""

    def __init__(
        self, fleet: "Fleet", name: str, service: str, place: str, address: str
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.service = service
        self.place = place
        self.address = address
        self.gone = trio.Event()
        self.born_ms = int(trio.current_time() * 1000) + 1

    def register(self) -> None:
        """Write the entry to the store."""
        self.fleet.model.put(
            names.LEAF_KIND,
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.place,
                "max-concurrency": 2,
                "state": "ready",
                "seq": 1,
                "born": self.born_ms,
            },
        )

    async def crash_later(self, target: bytes) -> None:
        """Crash after the work, whether anybody waits for it or not."""
        await trio.sleep(self.fleet.behaviour.crash_after_s)
        if not self.gone.is_set():
            self.fleet.crash(self, target)

    async def run(self, target: bytes, is_crashing: bool) -> None:
        """Do the work of a request; raise an error if the leaf crashes."""
        behaviour = self.fleet.behaviour
        wait_s = behaviour.crash_after_s if is_crashing else behaviour.work_s
        with trio.move_on_after(wait_s):
            await self.gone.wait()
        if is_crashing and not self.gone.is_set():
            self.fleet.crash(self, target)
        if self.gone.is_set():
            raise ConnectionResetError("the leaf crashed")


class LeafConnection:
    """One connection to a leaf; implements ``leaftransport.Transport``."""

    def __init__(self, leaf: Leaf) -> None:
        self._leaf = leaf
        self._is_closed = False
        self._target = b""
        self._request_id = b""
        self._is_crashing = False

    async def send_some(self, data: bytes) -> int:
        """Receive a request."""
        await trio.lowlevel.checkpoint()
        if self._leaf.gone.is_set():
            raise ConnectionResetError("the leaf crashed")
        self._target = data.split(b" ")[1]
        self._is_crashing = CRASHING in data
        (self._request_id,) = (
            line.partition(b":")[2].strip()
            for line in data.split(b"\r\n")
            if line.lower().startswith(b"request-id")
        )
        self._leaf.fleet.arrivals.append(
            Arrival(
                trio.current_time(),
                self._target,
                self._request_id.decode(),
                self._leaf.name,
                self._is_crashing,
            )
        )
        return len(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the reply once the leaf has done the work."""
        if not self._request_id:
            await trio.sleep_forever()
        leaf = self._leaf
        if leaf.fleet.behaviour.finishes_abandoned and self._is_crashing:
            leaf.fleet.nursery.start_soon(leaf.crash_later, self._target)
            await leaf.gone.wait()
        await leaf.run(self._target, self._is_crashing)
        request_id, self._request_id = self._request_id, b""
        return (
            b"HTTP/1.1 200 OK\r\nServer-Stamp: %s.%s\r\nRequest-Id: %s\r\n"
            b"Content-Length: 16\r\n\r\n%16d"
            % (self._leaf.name.encode(), request_id, request_id, 7)
        )

    def is_readable(self) -> bool:
        """Return whether the leaf has reset the connection."""
        return self._leaf.gone.is_set()

    def send_eof(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class MemoryLinks(memorynet.MemoryTransport):
    """Peer links in memory, which a daemon can run."""

    async def run(
        self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Be reachable until cancelled."""
        task_status.started("")
        try:
            await trio.sleep_forever()
        finally:
            self.close()


class Daemon:
    """A forwarding daemon that can be killed and started again."""

    def __init__(self, fleet: "Fleet", number: int, place: str) -> None:
        self.fleet = fleet
        self.number = number
        self.place = place
        self.runs_count = 0
        self.scope = trio.CancelScope()

    @property
    def address(self) -> str:
        """Return the address for peers."""
        return f"10.1.0.{self.number}:1"

    def start(self) -> None:
        """Start a process that remembers nothing."""
        self.runs_count += 1
        forward = options.ForwardOptions(
            front_address="127.0.0.1:1",
            ready_address="127.0.0.1:2",
            store_address=STORE_ADDRESS,
            fleet_least_count=1,
        )
        run_options = options.Options(
            name=f"daemon-{self.number}",
            data_centre=self.place,
            peer_address=self.address,
            seed_peers=[daemon.address for daemon in self.fleet.daemons[:3]],
            forward=forward,
        )
        seed = f"{self.number}/{self.runs_count}"
        seeded = mock.MagicMock(Random=lambda: random.Random(seed))
        with (
            mock.patch.object(forwarddaemon, "random", seeded),
            mock.patch.object(
                peerlinks,
                "TcpPeerTransport",
                lambda hello, handlers, *_: MemoryLinks(
                    self.fleet.network, hello, handlers
                ),
            ),
        ):
            self.process = forwarddaemon.ForwardDaemon(
                run_options,
                forward,
                adapters.build_adapters(forward, self.fleet.connect_to_store),
            )
        self.process.pools._connector = self.fleet.connect_to_leaf
        self.scope = trio.CancelScope()
        self.fleet.nursery.start_soon(self._run, self.process, self.scope)

    async def _run(
        self, process: forwarddaemon.ForwardDaemon, scope: trio.CancelScope
    ) -> None:
        with scope:
            await process.run()

    def kill(self) -> None:
        """End the process at once."""
        self.scope.cancel()


class Fleet:
    """Daemons, leafs and the store, and what the leafs and callers saw.

    ``places`` has one letter for each daemon, the name of its data centre.
    """

    def __init__(
        self, nursery: trio.Nursery, places: str, behaviour: Behaviour
    ) -> None:
        self.nursery = nursery
        self.behaviour = behaviour
        self.model = platformfleet.PlatformStoreModel()
        self.network = memorynet.MemoryNetwork(
            nursery, random.Random(1), delay_s=0.004
        )
        self.network.is_reachable = self._is_reachable
        self.are_peers_cut = False
        self.is_store_cut = False
        self.rng = random.Random(2)
        self.arrivals: list[Arrival] = []
        self.answers: list[Answer] = []
        self.crashes: list[tuple[float, bytes]] = []
        self._leafs_by_address: dict[str, Leaf] = {}
        self._leafs_count = 0
        self._sent_count = 0
        self.daemons: list[Daemon] = []
        self.daemons += [
            Daemon(self, number, place) for number, place in enumerate(places)
        ]

    def _is_reachable(self, sender: str, receiver: str) -> bool:
        return not self.are_peers_cut

    async def connect_to_store(
        self, address: str
    ) -> platformfleet.StoreConnection:
        """Connect to the store, as ``leaftransport.Connector``."""
        await trio.sleep(0.004)
        return platformfleet.StoreConnection(
            self.model, lambda: self.is_store_cut
        )

    async def connect_to_leaf(self, address: str) -> LeafConnection:
        """Connect to a leaf, as ``leaftransport.Connector``."""
        await trio.sleep(0.002)
        leaf = self._leafs_by_address.get(address)
        if leaf is None:
            raise ConnectionRefusedError(f"no listener at {address}")
        return LeafConnection(leaf)

    def add_leaf(
        self, service: str, place: str, name: str = "", address: str = ""
    ) -> Leaf:
        """Start a leaf, by default under a new name at a new address."""
        self._leafs_count += 1
        number = self._leafs_count
        leaf = Leaf(
            self,
            name or f"{service}-{number}",
            service,
            place,
            address or f"10.2.{number // 200}.{number % 200}:80",
        )
        self._leafs_by_address[leaf.address] = leaf
        leaf.register()
        return leaf

    def leafs_of(self, service: str) -> list[Leaf]:
        """Return the leafs of a service that are up."""
        return [
            leaf
            for leaf in self._leafs_by_address.values()
            if leaf.service == service and not leaf.gone.is_set()
        ]

    def crash(self, leaf: Leaf, target: bytes = b"") -> None:
        """End a leaf without a notice, and start it again later."""
        self.crashes.append((trio.current_time(), target))
        leaf.gone.set()
        self.nursery.start_soon(self._close_listener, leaf)
        self.nursery.start_soon(self._expire, leaf)
        self.nursery.start_soon(self._start_again, leaf)

    async def _close_listener(self, leaf: Leaf) -> None:
        await trio.sleep(self.behaviour.closes_late_s)
        if self._leafs_by_address.get(leaf.address) is leaf:
            del self._leafs_by_address[leaf.address]

    async def _expire(self, leaf: Leaf) -> None:
        await trio.sleep(self.behaviour.expiry_s)
        if not self.behaviour.keeps_name:
            self.model.delete(names.LEAF_KIND, leaf.name)

    async def _start_again(self, leaf: Leaf) -> None:
        behaviour = self.behaviour
        await trio.sleep(behaviour.back_s)
        self.add_leaf(
            leaf.service,
            leaf.place,
            leaf.name if behaviour.keeps_name else "",
            leaf.address if behaviour.keeps_address else "",
        )

    def configure(
        self, tenants: abc.Mapping[str, list[str]] | None = None
    ) -> None:
        """Write routes to one service and to all shards.

        ``tenants`` maps the names of tenants to their keys; without it no
        request needs a key.
        """
        shards = [f"shard-{number}" for number in range(SHARDS_COUNT)]
        shared = {"host": HOST, "timeout-ms": 3000, "max-attempts": 2}
        repeated = {**shared, "kind": "idempotent"}
        routes: list[platformfleet.Spec] = [
            {
                **repeated,
                "name": "one",
                "path-prefix": "/one/",
                "service": "one",
            },
            {
                **shared,
                "name": "once",
                "kind": "non_idempotent",
                "path-prefix": "/once/",
                "service": "one",
            },
            {
                **repeated,
                "name": "all",
                "path-prefix": "/all/",
                "gather": shards,
                "top-k": RECORDS_COUNT,
                "min-coverage": 0.5,
            },
        ]
        services = [
            {"name": service, "max-conns": 100} for service in ("one", *shards)
        ]
        configuration: platformfleet.Spec = {
            "version": 1,
            "routes": routes,
            "services": services,
        }
        if tenants is not None:
            configuration["tenants"] = [
                {"name": name, "api-keys": keys}
                for name, keys in tenants.items()
            ]
        self.model.put(
            names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, configuration
        )

    async def send(
        self,
        target: bytes,
        number: int | None = None,
        body: bytes = b"",
        caller: Caller = ANYONE,
    ) -> int:
        """Send a request to a daemon, by default a random one.

        Return the status.
        """
        self._sent_count += 1
        request_id = f"q{self._sent_count}"
        daemon = self.rng.choice(self.daemons)
        if number is not None:
            daemon = self.daemons[number]
        response = await daemon.process.service.answer(
            forwardtypes.ForwardRequest(
                b"POST" if body else b"GET",
                target,
                HOST,
                [(b"request-id", request_id.encode()), *caller.headers],
                body,
                request_id,
                2_000.0,
                caller.key,
            )
        )
        self.answers.append(
            Answer(
                trio.current_time(),
                target,
                response.status,
                response.headers,
                CRASHING in target or caller.is_crashing,
            )
        )
        return response.status

    async def send_often(
        self,
        targets: abc.Sequence[bytes],
        pause_s: float,
        body: bytes = b"",
        caller: Caller = ANYONE,
    ) -> None:
        """Send requests at random daemons until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                target = self.rng.choice(targets)
                nursery.start_soon(self.send, target, None, body, caller)
                await trio.sleep(pause_s * self.rng.uniform(0.7, 1.3))

    def late_arrivals(self, target: bytes = CRASHING_PATH) -> list[Arrival]:
        """Return the arrivals that the rule counts for a request."""
        crashes_s = [at_s for at_s, cause in self.crashes if cause == target]
        if len(crashes_s) < 3:
            return []
        counted_s = crashes_s[2] + SETTLE_S
        return [
            arrival
            for arrival in self.arrivals
            if arrival.target == target
            and arrival.is_crashing
            and arrival.at_s > counted_s
        ]

    def statuses(self, from_s: float = 0.0) -> dict[int, int]:
        """Count the answers to sound requests by status."""
        counts: dict[int, int] = {}
        for answer in self.answers:
            if not answer.is_crashing and answer.at_s >= from_s:
                counts[answer.status] = counts.get(answer.status, 0) + 1
        return counts


def run(
    places: str,
    scenario: abc.Callable[[Fleet], abc.Awaitable[None]],
    behaviour: Behaviour | None = None,
    leafs_count: int = 12,
    tenants: abc.Mapping[str, list[str]] | None = None,
) -> Fleet:
    """Run a scenario on virtual time; return what was seen.

    The service "one" has ``leafs_count`` leafs, and each shard two in one data
    centre. ``tenants`` are as for ``Fleet.configure``.
    """

    async def main() -> Fleet:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, places, behaviour or Behaviour())
            fleet.configure(tenants)
            for number in range(leafs_count):
                fleet.add_leaf("one", "abc"[number % 3])
            for number in range(2 * SHARDS_COUNT):
                fleet.add_leaf(
                    f"shard-{number // 2}", "abc"[(number // 2) % 3]
                )
            for daemon in fleet.daemons:
                daemon.start()
            await trio.sleep(6.0)
            await scenario(fleet)
            nursery.cancel_scope.cancel()
        return fleet

    with mock.patch.object(httpserver.HttpServer, "serve", _never_serve):
        return virtualtime.run(main)


async def _never_serve(*_: object) -> None:
    """Accept no connections; requests are passed to the service."""
    await trio.sleep_forever()
