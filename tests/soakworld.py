"""Stand-ins for the soak: leafs that register themselves, and the operator.

They run in the process of the soak and serve real connections of the daemons
on loopback.
"""

import random
import time
import typing

import h11
import trio
import xxhash

from plantainhook import (
    forwardtypes,
    httpserver,
    routetable,
)
from plantainhook.platform import names
from tests import platformfleet, soakledger, soakstore

HOST: typing.Final = "soak.example"
SHARDS: typing.Final = ("shard-0", "shard-1", "shard-2", "shard-3")
SINGLE: typing.Final = "single"
ADDED: typing.Final = "added"
TOP_COUNT: typing.Final = 6
RECORDS_COUNT: typing.Final = 5
ADDED_ROUTES_COUNT: typing.Final = 3
SERVICE_TIME_MEAN_S: typing.Final = 0.01
# Some requests of the single service take as long as a planned stop allows.
LONG_WORK_RATIO: typing.Final = 0.1
LONG_WORK_MAX_S: typing.Final = 1.8
HEARTBEAT_S: typing.Final = 1.2
EXPIRY_S: typing.Final = 3.6
# Bounds of the users' platform.
DRAIN_S: typing.Final = 3.0
IN_TOUCH_S: typing.Final = soakledger.IN_TOUCH_S
# How long a leaf is away after a request crashed it.
AWAY_MIN_S: typing.Final = 0.3
AWAY_MAX_S: typing.Final = 5.0
NEW_NAME_RATIO: typing.Final = 0.5


class SoakLeaf:
    """One leaf, which registers itself and answers requests.

    ``born_ms`` tells its starts apart. ``fault`` names how it fails now.
    """

    def __init__(
        self, world: "World", leaf: str, service: str, address: str
    ) -> None:
        self.leaf = leaf
        self.service = service
        self.address = address
        self.born_ms = world.next_born_ms()
        self.sequence = 1
        self.fault = ""
        self.paused_until_s = float("-inf")
        self.drains_since_s: float | None = None
        self.tells_leaving = False
        self.is_down = False
        self.scope = trio.CancelScope()
        self._world = world

    async def run(self) -> None:
        """Serve until the scope is cancelled, which resets connections."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                server = httpserver.HttpServer(
                    self._answer, routetable.ClientLimits
                )
                await server.serve(self.address, nursery)

    def register(self) -> None:
        """Write the own entry to the store; lost while the store is away."""
        model = self._world.store.model
        if model.is_down or self.is_down:
            return
        self.sequence += 1
        draining = self.drains_since_s is not None
        model.put(
            names.LEAF_KIND,
            self.leaf,
            {
                "service": self.service,
                "address": self.address,
                "zone": "dc-1",
                "max-concurrency": 4,
                "state": names.STATE_DRAINING if draining else "ready",
                "seq": self.sequence,
                "born": self.born_ms,
            },
        )

    async def _answer(
        self,
        method: bytes,
        target: bytes,
        headers: forwardtypes.Headers,
        body: bytes,
        arrived_s: float,
    ) -> forwardtypes.Response:
        by_name = dict(headers)
        request_id = by_name.get(names.REQUEST_ID, b"").decode()
        refused = [
            (names.NOT_RUN, b"1"),
            (names.REQUEST_ID, request_id.encode()),
        ]
        if by_name.get(names.EXPECTED_LEAF) != self.leaf.encode():
            return forwardtypes.Response(421, refused, b"")
        self._world.check_arrival(self, request_id, target.decode())
        notices = []
        tells_leaving = self.tells_leaving
        if tells_leaving:
            notices.append((names.LEAVING, b"1"))
        left_s = self.paused_until_s - trio.current_time()
        if left_s > 0.0:
            notices.append((names.RETRY_AFTER, b"%.3f" % left_s))
        if left_s > 0.0 or self.fault == "shed":
            return forwardtypes.Response(503, [*refused, *notices], b"")
        self._world.ledger.start_run(request_id, self.leaf)
        rng = self._world.rng
        await trio.sleep(rng.expovariate(1.0 / SERVICE_TIME_MEAN_S))
        if target.decode() in self._world.ledger.crashing:
            self._world.crash_by_request(self, target.decode())
            # Ends here if the leaf has crashed.
            await trio.lowlevel.checkpoint()
            raise soakstore.NoAnswerError
        is_single = target.startswith(b"/one/")
        if is_single and rng.random() < LONG_WORK_RATIO:
            await trio.sleep(rng.uniform(0.0, LONG_WORK_MAX_S))
        if self.fault == "hang":
            await trio.sleep_forever()
        if self.fault == "lose":
            raise soakstore.NoAnswerError
        if tells_leaving:
            self._world.ledger.words.add((request_id, self.leaf))
        stamp = f"{self.leaf}.{request_id}".encode()
        return forwardtypes.Response(
            200,
            [
                (names.REQUEST_ID, request_id.encode()),
                (names.SIGNATURE, stamp),
                *notices,
            ],
            records_of(self.service, request_id),
        )


class World:
    """The store, the leafs and the operator of one soak."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.ledger = soakledger.Ledger()
        self.store = soakstore.SoakStore()
        self.leafs: dict[str, SoakLeaf] = {}
        self.version = 1
        # The time of the acknowledgement, by added route.
        self.added_s: dict[str, float] = {}
        # Leafs that requests crashed and that are not back yet.
        self.away_count = 0
        self._born_ms = 0
        self._leafs_count = 0
        self._service_of: dict[str, str] = {}

    def next_born_ms(self) -> int:
        """Return the start time of the next leaf process."""
        self._born_ms = max(self._born_ms + 1, int(time.time() * 1000))
        return self._born_ms

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the stand-ins until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.store.run)
            for service, count in (
                *((shard, 2) for shard in SHARDS),
                (SINGLE, 3),
                (ADDED, 2),
            ):
                for _ in range(count):
                    self.add_leaf(service)
            self.write_configuration()
            nursery.start_soon(self._heartbeats)
            task_status.started()
            await trio.sleep_forever()

    def add_leaf(self, service: str) -> SoakLeaf:
        """Start a leaf at a new address under a new name."""
        self._leafs_count += 1
        leaf = f"{service}-{self._leafs_count}"
        address = f"127.0.0.1:{soakstore.free_port()}"
        return self._start(SoakLeaf(self, leaf, service, address))

    def restart_leaf(self, old: SoakLeaf) -> SoakLeaf:
        """Start a leaf again under its name at its address."""
        return self._start(SoakLeaf(self, old.leaf, old.service, old.address))

    def _start(self, leaf: SoakLeaf) -> SoakLeaf:
        self.leafs[leaf.leaf] = leaf
        self._service_of[leaf.leaf] = leaf.service
        self._nursery.start_soon(leaf.run)
        leaf.register()
        return leaf

    def crash_leaf(self, leaf: SoakLeaf) -> None:
        """End a leaf without a notice."""
        leaf.is_down = True
        leaf.scope.cancel()

    def crash_by_request(self, leaf: SoakLeaf, path: str) -> None:
        """Crash a leaf; it is back some seconds later, maybe under a new name.

        A leaf that a fault acts on stays up.
        """
        if not is_sound(leaf):
            return
        self.ledger.crashing[path].crashes_s.append(trio.current_time())
        self.ledger.note(f"{path} crashes {leaf.leaf}")
        self.away_count += 1
        self.crash_leaf(leaf)
        self._nursery.start_soon(self._return_leaf, leaf)

    async def _return_leaf(self, leaf: SoakLeaf) -> None:
        await trio.sleep(self.rng.uniform(AWAY_MIN_S, AWAY_MAX_S))
        self.forget_told(leaf.leaf)
        if self.rng.random() < NEW_NAME_RATIO:
            del self.leafs[leaf.leaf]
            self.add_leaf(leaf.service)
        else:
            self.restart_leaf(leaf)
        self.away_count -= 1

    def remove_leaf(self, leaf: SoakLeaf) -> None:
        """End a leaf and remove its entry."""
        self.crash_leaf(leaf)
        self.leafs.pop(leaf.leaf, None)
        self._delete_entry(leaf.leaf)

    def peers_of(self, leaf: SoakLeaf) -> list[SoakLeaf]:
        """Return the other leafs of a service that serve normally."""
        return [
            other
            for other in self.leafs.values()
            if other.service == leaf.service
            and other is not leaf
            and is_sound(other)
        ]

    def change_configuration(self) -> None:
        """Add a route, and remove the oldest added one."""
        if self.store.model.is_down:
            return
        self.version += self.rng.randint(1, 3)
        self.added_s[f"/added-{self.version}/"] = trio.current_time()
        while len(self.added_s) > ADDED_ROUTES_COUNT:
            del self.added_s[next(iter(self.added_s))]
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the newest configuration, also again after a return."""
        shared: platformfleet.Spec = {
            "host": HOST,
            "kind": names.KIND_IDEMPOTENT,
            "timeout-ms": 2000,
            "max-attempts": 2,
        }
        routes: list[platformfleet.Spec] = [
            {
                **shared,
                "name": "all",
                "path-prefix": "/all/",
                "gather": SHARDS,
                "top-k": TOP_COUNT,
                "min-coverage": 0.5,
                "latency-goal-ms": 300,
            },
            {
                **shared,
                "name": "one",
                "path-prefix": "/one/",
                "service": SINGLE,
            },
            {
                **shared,
                "name": "once",
                "kind": "non_idempotent",
                "path-prefix": "/once/",
                "service": SINGLE,
            },
        ]
        routes += [
            {
                **shared,
                "name": prefix.strip("/"),
                "path-prefix": prefix,
                "service": ADDED,
            }
            for prefix in self.added_s
        ]
        services = [
            {"name": service, "max-conns": 100}
            for service in (*SHARDS, SINGLE, ADDED)
        ]
        self.store.model.put(
            names.CONFIGURATION_KIND,
            names.CONFIGURATION_NAME,
            {"version": self.version, "routes": routes, "services": services},
        )

    def service_of(self, leaf: str) -> str | None:
        """Return the service of a leaf, also of one that has ended."""
        return self._service_of.get(leaf)

    def check_arrival(
        self, leaf: SoakLeaf, request_id: str, path: str
    ) -> None:
        """Check that a request may reach a leaf now."""
        sent = self.ledger.sent.get(request_id)
        if sent is None or sent.path != path:
            self.ledger.report(f"UNASKED: {request_id} {path} at {leaf.leaf}")
            return
        told_s = self.ledger.told_s.get((sent.daemon, leaf.leaf))
        bound_s = DRAIN_S
        if told_s is not None and sent.sent_s - told_s > bound_s:
            self.ledger.report(
                f"DRAIN: {request_id} reaches {leaf.leaf} from daemon "
                f"{sent.daemon} {sent.sent_s - told_s:.1f} s after its word"
            )
        drains_s = leaf.drains_since_s
        if (
            drains_s is not None
            and trio.current_time() - drains_s > bound_s
            and self.ledger.calm_s(sent.daemon) > IN_TOUCH_S
        ):
            self.ledger.report(
                f"DRAIN: {request_id} reaches {leaf.leaf}, which drains"
            )

    def record_passed_on(
        self, daemon: int, request_id: str, leaf: str
    ) -> None:
        """Record that a daemon passed on the answer of a leaf to a request."""
        if (request_id, leaf) in self.ledger.words:
            key = (daemon, leaf)
            self.ledger.told_s.setdefault(key, trio.current_time())

    def forget_told(self, what: int | str) -> None:
        """Forget what a daemon, or about a leaf, was told: it restarted."""
        self.ledger.told_s = {
            key: at_s
            for key, at_s in self.ledger.told_s.items()
            if what not in key
        }

    def _delete_entry(self, leaf: str) -> None:
        model = self.store.model
        if model.has(names.LEAF_KIND, leaf) and not model.is_down:
            model.delete(names.LEAF_KIND, leaf)

    async def _heartbeats(self) -> None:
        """Write lost entries again, and let those of dead leafs expire."""
        silent_s: dict[str, float] = {}
        while True:
            await trio.sleep(HEARTBEAT_S)
            model = self.store.model
            if model.is_down:
                silent_s.clear()
                continue
            for leaf in self.leafs.values():
                if not leaf.is_down and not model.has(
                    names.LEAF_KIND, leaf.leaf
                ):
                    leaf.register()
            for name in model.names_of(names.LEAF_KIND):
                known = self.leafs.get(name)
                if known is not None and not known.is_down:
                    silent_s.pop(name, None)
                    continue
                began_s = silent_s.setdefault(name, trio.current_time())
                if trio.current_time() - began_s > EXPIRY_S:
                    self._delete_entry(name)


def is_sound(leaf: SoakLeaf) -> bool:
    """Return whether a leaf serves requests normally."""
    return not (
        leaf.is_down
        or leaf.fault
        or leaf.tells_leaving
        or leaf.drains_since_s is not None
        or leaf.paused_until_s > trio.current_time()
    )


def records_of(service: str, request_id: str) -> bytes:
    """Return the records with which the leafs of a service answer."""
    return b"".join(
        xxhash.xxh3_128_digest(f"{service}/{request_id}/{number}".encode())
        for number in range(RECORDS_COUNT)
    )


def get(path: str, *headers: tuple[str, str]) -> h11.Request:
    """Return the head of a request."""
    return h11.Request(
        method="GET", target=path, headers=[("host", HOST), *headers]
    )
