"""Brings about each fault of the matrix in a world.

``INJECTORS`` has one entry for each member of ``faults.Fault``. A fault
that ends by itself is healed by a task of the world.
"""

import typing
from collections import abc

import trio

from plantainhook import admission, faults, schema
from tests import matrixcluster, matrixlayout

OUTAGE_S: typing.Final = 5.0
SLOW_S: typing.Final = 3.0
PAUSE_S: typing.Final = 20.0
JUMP_S: typing.Final = 3600.0
LEAF: typing.Final = "a1"

Injector = abc.Callable[[matrixcluster.Cluster], abc.Awaitable[None]]

INJECTORS: typing.Final[dict[faults.Fault, Injector]] = {}


def injects(fault: faults.Fault) -> abc.Callable[[Injector], Injector]:
    """Return a decorator that registers how a fault is brought about."""

    def add(inject: Injector) -> Injector:
        if fault in INJECTORS:
            raise ValueError(f"{fault} is brought about twice")
        INJECTORS[fault] = inject
        return inject

    return add


def schedule_recovery(
    world: matrixcluster.Cluster, heal: abc.Callable[[], None], after_s: float
) -> None:
    """End a fault after a time."""

    async def wait() -> None:
        await trio.sleep(after_s)
        heal()

    world.nursery.start_soon(wait)


@injects(faults.Fault.STRAGGLER)
async def straggler(world: matrixcluster.Cluster) -> None:
    """Slow one leaf down."""
    world.leafs[LEAF].update({"service_median_ms": 1500.0})


@injects(faults.Fault.REPLICA_LOST)
async def replica_lost(world: matrixcluster.Cluster) -> None:
    """Lose one leaf for good."""
    world.leafs[LEAF].crash()


@injects(faults.Fault.REPARTITION)
async def repartition(world: matrixcluster.Cluster) -> None:
    """Move a shard away from one leaf within the index version."""
    world.leafs[LEAF].set_versions({1: {"s1"}})


@injects(faults.Fault.VERSION_CHANGE)
async def version_change(world: matrixcluster.Cluster) -> None:
    """Replace the index version on every leaf, one after another."""

    async def change() -> None:
        key = f"t{schema.INDEX_KEY_SEPARATOR}2"
        spec = matrixlayout.build_index(2).model_dump(mode="json")
        await world.apply_with_retries({f"index/{key}": spec})
        for name, (_, _, shards) in matrixlayout.LEAF_SHARDS.items():
            world.leafs[name].set_versions({2: set(shards)})
            await trio.sleep(0.002)

    world.nursery.start_soon(change)


@injects(faults.Fault.STORE_DOWN)
async def store_down(world: matrixcluster.Cluster) -> None:
    """Take the object API down for some seconds."""
    world.api.faults.outage = True

    def heal() -> None:
        world.api.faults.outage = False

    schedule_recovery(world, heal, OUTAGE_S)


@injects(faults.Fault.STORE_SLOW)
async def store_slow(world: matrixcluster.Cluster) -> None:
    """Slow every call of the object API down."""
    world.api.faults.delay_s = SLOW_S

    def heal() -> None:
        world.api.faults.delay_s = 0.0

    schedule_recovery(world, heal, OUTAGE_S)


@injects(faults.Fault.STORE_REPLY_LOST)
async def store_reply_lost(world: matrixcluster.Cluster) -> None:
    """Lose the replies of the next writes after they took effect."""
    world.api.faults.lost_replies_count = 3


@injects(faults.Fault.STORE_STALE_READ)
async def store_stale_read(world: matrixcluster.Cluster) -> None:
    """Answer the next reads with old values."""
    world.api.faults.stale_reads_count = 5


@injects(faults.Fault.HOLDER_PAUSED)
async def holder_paused(world: matrixcluster.Cluster) -> None:
    """Pause every process; timers fire late when they resume."""
    world.pause_processes(PAUSE_S)


@injects(faults.Fault.OPERATOR_RACE)
async def operator_race(world: matrixcluster.Cluster) -> None:
    """Let two operators change the same object at once."""

    async def change(value: int) -> None:
        await world.try_apply({"defaults": {"hedge_delay_ms": value}})

    world.nursery.start_soon(change, 31)
    world.nursery.start_soon(change, 32)


@injects(faults.Fault.POISON_REQUEST)
async def poison_request(world: matrixcluster.Cluster) -> None:
    """Send a request that crashes leafs, and send it again."""
    for leaf in world.leafs.values():
        leaf.update({"crash_param": "poison"})

    async def send() -> None:
        for node in world.nodes:
            if node.is_alive():
                await world.query("poison", 0, node)

    world.nursery.start_soon(send)


@injects(faults.Fault.LEAF_DRAINS)
async def leaf_drains(world: matrixcluster.Cluster) -> None:
    """Let one leaf leave."""
    world.drain_leaf(LEAF)


@injects(faults.Fault.LEAF_COLD)
async def leaf_cold(world: matrixcluster.Cluster) -> None:
    """Restart one leaf, which is cold then."""
    leaf = world.leafs[LEAF]
    leaf.update({"cold_ms": 3000.0, "cold_refuses": True})
    leaf.start_cold()


@injects(faults.Fault.HEALTH_MISLEADS)
async def health_misleads(world: matrixcluster.Cluster) -> None:
    """Let a leaf leave whose health endpoint says that it is live."""
    world.leafs[LEAF].update({"health_says": "live"})
    world.drain_leaf(LEAF)


@injects(faults.Fault.DAEMON_DIES)
async def daemon_dies(world: matrixcluster.Cluster) -> None:
    """Kill the first daemon."""
    world.nodes[0].scope.cancel()


@injects(faults.Fault.DAEMON_DRAINS)
async def daemon_drains(world: matrixcluster.Cluster) -> None:
    """Start the planned stop of the first daemon."""
    world.nodes[0].daemon.request_drain()


@injects(faults.Fault.PARTITION)
async def partition(world: matrixcluster.Cluster) -> None:
    """Cut the first daemon off from the others."""
    cut = world.nodes[0].daemon.options.peer_address
    world.network.is_reachable = lambda a, b: (a == cut) == (b == cut)

    def heal() -> None:
        world.network.is_reachable = lambda a, b: True

    schedule_recovery(world, heal, OUTAGE_S)


@injects(faults.Fault.CONNECTION_REFUSED)
async def connection_refused(world: matrixcluster.Cluster) -> None:
    """Refuse new connections to one leaf and drop those it has."""
    unreachable = world.leaf_network.unreachable
    address = matrixlayout.address_of(0)
    unreachable.add(address)
    world.reset_connections(LEAF)
    schedule_recovery(world, lambda: unreachable.discard(address), OUTAGE_S)


@injects(faults.Fault.CONNECTION_RESET)
async def connection_reset(world: matrixcluster.Cluster) -> None:
    """Drop the connections of one leaf."""
    world.reset_connections(LEAF)


@injects(faults.Fault.HALF_OPEN)
async def half_open(world: matrixcluster.Cluster) -> None:
    """Let one leaf keep its connections and answer nothing."""
    world.leafs[LEAF].update(
        {
            "reply_fault": "delay",
            "reply_delay_ms": 1e9,
            "state_delay_ms": 1e9,
        }
    )


@injects(faults.Fault.SLOW_READER)
async def slow_reader(world: matrixcluster.Cluster) -> None:
    """Let leafs read a few bytes at a time."""
    world.writes_slowly = True


@injects(faults.Fault.CORRUPT_MESSAGE)
async def corrupt_message(world: matrixcluster.Cluster) -> None:
    """Let one leaf send replies that are no HTTP."""
    world.leafs[LEAF].update({"reply_fault": "malformed"})


@injects(faults.Fault.OVERSIZED_MESSAGE)
async def oversized_message(world: matrixcluster.Cluster) -> None:
    """Let one leaf send replies over the size limit."""
    world.leafs[LEAF].update({"reply_fault": "oversized"})


@injects(faults.Fault.DUPLICATE_REPLY)
async def duplicate_reply(world: matrixcluster.Cluster) -> None:
    """Deliver every reply twice."""
    world.duplicates_replies = True


@injects(faults.Fault.REORDERED_REPLY)
async def reordered_reply(world: matrixcluster.Cluster) -> None:
    """Let one leaf answer with the id of another request."""
    world.leafs[LEAF].update({"reply_fault": "wrong_id"})


@injects(faults.Fault.LATE_REPLY)
async def late_reply(world: matrixcluster.Cluster) -> None:
    """Let one leaf answer after the deadline."""
    world.leafs[LEAF].update(
        {"reply_fault": "delay", "reply_delay_ms": 2500.0}
    )


@injects(faults.Fault.CALLER_CANCELS)
async def caller_cancels(world: matrixcluster.Cluster) -> None:
    """Let the caller leave."""
    if world.caller_scope is not None:
        world.caller_scope.cancel()


@injects(faults.Fault.CLOCK_JUMP)
async def clock_jump(world: matrixcluster.Cluster) -> None:
    """Set the wall clock forward, and back beyond the start."""
    world.clock.wall_offset_s += JUMP_S

    def back() -> None:
        world.clock.wall_offset_s -= 2 * JUMP_S

    schedule_recovery(world, back, 1.0)


@injects(faults.Fault.QUEUE_FULL)
async def queue_full(world: matrixcluster.Cluster) -> None:
    """Leave no room in the queues of the first daemon."""
    queue = world.nodes[0].daemon.service.dependencies.gate.queue
    limits = queue.limits
    queue.limits = admission.Limits(0, 0, 0)

    def heal() -> None:
        queue.limits = limits

    schedule_recovery(world, heal, 1.0)


@injects(faults.Fault.NO_FILE_DESCRIPTORS)
async def no_file_descriptors(world: matrixcluster.Cluster) -> None:
    """Let every new connection fail for want of file descriptors."""
    world.descriptors_used_up = True
    world.reset_connections(LEAF)

    def heal() -> None:
        world.descriptors_used_up = False

    schedule_recovery(world, heal, OUTAGE_S)
