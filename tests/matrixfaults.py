"""Brings about each fault of the matrix in a world.

``BRING_ABOUT`` has one entry for each member of ``faults.Fault``. A fault
that ends by itself is healed by a task of the world.
"""

import typing
from collections import abc

import trio

from plantainhook import admission, faults, schema
from tests import matrixlayout, matrixworld

OUTAGE_S: typing.Final = 5.0
SLOW_S: typing.Final = 3.0
PAUSE_S: typing.Final = 20.0
JUMP_S: typing.Final = 3600.0
LEAF: typing.Final = "a1"

Inject = abc.Callable[[matrixworld.World], abc.Awaitable[None]]

BRING_ABOUT: typing.Final[dict[faults.Fault, Inject]] = {}


def brings_about(fault: faults.Fault) -> abc.Callable[[Inject], Inject]:
    """Return a decorator that registers how a fault is brought about."""

    def add(inject: Inject) -> Inject:
        if fault in BRING_ABOUT:
            raise ValueError(f"{fault} is brought about twice")
        BRING_ABOUT[fault] = inject
        return inject

    return add


def heal_later(
    world: matrixworld.World, heal: abc.Callable[[], None], after_s: float
) -> None:
    """End a fault after a time."""

    async def wait() -> None:
        await trio.sleep(after_s)
        heal()

    world.nursery.start_soon(wait)


@brings_about(faults.Fault.STRAGGLER)
async def straggler(world: matrixworld.World) -> None:
    """Slow one leaf down."""
    world.leafs[LEAF].update({"service_median_ms": 1500.0})


@brings_about(faults.Fault.REPLICA_LOST)
async def replica_lost(world: matrixworld.World) -> None:
    """Lose one leaf for good."""
    world.leafs[LEAF].crash()


@brings_about(faults.Fault.REPARTITION)
async def repartition(world: matrixworld.World) -> None:
    """Move a shard away from one leaf within the index version."""
    world.leafs[LEAF].set_versions({1: {"s1"}})


@brings_about(faults.Fault.VERSION_CHANGE)
async def version_change(world: matrixworld.World) -> None:
    """Replace the index version on every leaf, one after another."""

    async def change() -> None:
        key = f"t{schema.INDEX_KEY_SEPARATOR}2"
        spec = matrixlayout.index_of(2).model_dump(mode="json")
        await world.apply_in_race({f"index/{key}": spec})
        for name, (_, _, shards) in matrixlayout.LEAF_SHARDS.items():
            world.leafs[name].set_versions({2: set(shards)})
            await trio.sleep(0.002)

    world.nursery.start_soon(change)


@brings_about(faults.Fault.STORE_DOWN)
async def store_down(world: matrixworld.World) -> None:
    """Take the object API down for some seconds."""
    world.api.faults.outage = True

    def heal() -> None:
        world.api.faults.outage = False

    heal_later(world, heal, OUTAGE_S)


@brings_about(faults.Fault.STORE_SLOW)
async def store_slow(world: matrixworld.World) -> None:
    """Slow every call of the object API down."""
    world.api.faults.delay_s = SLOW_S

    def heal() -> None:
        world.api.faults.delay_s = 0.0

    heal_later(world, heal, OUTAGE_S)


@brings_about(faults.Fault.STORE_REPLY_LOST)
async def store_reply_lost(world: matrixworld.World) -> None:
    """Lose the replies of the next writes after they took effect."""
    world.api.faults.lost_replies_count = 3


@brings_about(faults.Fault.STORE_STALE_READ)
async def store_stale_read(world: matrixworld.World) -> None:
    """Answer the next reads with old values."""
    world.api.faults.stale_reads_count = 5


@brings_about(faults.Fault.HOLDER_PAUSED)
async def holder_paused(world: matrixworld.World) -> None:
    """Pause every process; timers fire late when they resume."""
    world.jump(PAUSE_S)


@brings_about(faults.Fault.OPERATOR_RACE)
async def operator_race(world: matrixworld.World) -> None:
    """Let two operators change the same object at once."""

    async def change(value: int) -> None:
        await world.try_apply({"defaults": {"hedge_delay_ms": value}})

    world.nursery.start_soon(change, 31)
    world.nursery.start_soon(change, 32)


@brings_about(faults.Fault.POISON_REQUEST)
async def poison_request(world: matrixworld.World) -> None:
    """Send a request that crashes leafs, and send it again."""
    for leaf in world.leafs.values():
        leaf.update({"crash_param": "poison"})

    async def send() -> None:
        for node in world.nodes:
            if node.is_alive():
                await world.query("poison", 0, node)

    world.nursery.start_soon(send)


@brings_about(faults.Fault.LEAF_DRAINS)
async def leaf_drains(world: matrixworld.World) -> None:
    """Let one leaf leave."""
    world.drain_leaf(LEAF)


@brings_about(faults.Fault.LEAF_COLD)
async def leaf_cold(world: matrixworld.World) -> None:
    """Restart one leaf, which is cold then."""
    leaf = world.leafs[LEAF]
    leaf.update({"cold_ms": 3000.0, "cold_refuses": True})
    leaf.start_cold()


@brings_about(faults.Fault.HEALTH_MISLEADS)
async def health_misleads(world: matrixworld.World) -> None:
    """Let a leaf leave whose health endpoint says that it is live."""
    world.leafs[LEAF].update({"health_says": "live"})
    world.drain_leaf(LEAF)


@brings_about(faults.Fault.DAEMON_DIES)
async def daemon_dies(world: matrixworld.World) -> None:
    """Kill the first daemon."""
    world.nodes[0].scope.cancel()


@brings_about(faults.Fault.DAEMON_DRAINS)
async def daemon_drains(world: matrixworld.World) -> None:
    """Start the planned stop of the first daemon."""
    world.nodes[0].daemon.request_drain()


@brings_about(faults.Fault.PARTITION)
async def partition(world: matrixworld.World) -> None:
    """Cut the first daemon off from the others."""
    cut = world.nodes[0].daemon.options.peer_address
    world.network.reachable = lambda a, b: (a == cut) == (b == cut)

    def heal() -> None:
        world.network.reachable = lambda a, b: True

    heal_later(world, heal, OUTAGE_S)


@brings_about(faults.Fault.CONNECTION_REFUSED)
async def connection_refused(world: matrixworld.World) -> None:
    """Refuse new connections to one leaf and drop those it has."""
    unreachable = world.leaf_network.unreachable
    address = matrixlayout.address_of(0)
    unreachable.add(address)
    world.reset_connections(LEAF)
    heal_later(world, lambda: unreachable.discard(address), OUTAGE_S)


@brings_about(faults.Fault.CONNECTION_RESET)
async def connection_reset(world: matrixworld.World) -> None:
    """Drop the connections of one leaf."""
    world.reset_connections(LEAF)


@brings_about(faults.Fault.HALF_OPEN)
async def half_open(world: matrixworld.World) -> None:
    """Let one leaf keep its connections and answer nothing."""
    world.leafs[LEAF].update(
        {
            "reply_fault": "delay",
            "reply_delay_ms": 1e9,
            "state_delay_ms": 1e9,
        }
    )


@brings_about(faults.Fault.SLOW_READER)
async def slow_reader(world: matrixworld.World) -> None:
    """Let leafs read a few bytes at a time."""
    world.writes_slowly = True


@brings_about(faults.Fault.CORRUPT_MESSAGE)
async def corrupt_message(world: matrixworld.World) -> None:
    """Let one leaf send replies that are no HTTP."""
    world.leafs[LEAF].update({"reply_fault": "malformed"})


@brings_about(faults.Fault.OVERSIZED_MESSAGE)
async def oversized_message(world: matrixworld.World) -> None:
    """Let one leaf send replies over the size limit."""
    world.leafs[LEAF].update({"reply_fault": "oversized"})


@brings_about(faults.Fault.DUPLICATE_REPLY)
async def duplicate_reply(world: matrixworld.World) -> None:
    """Deliver every reply twice."""
    world.duplicates_replies = True


@brings_about(faults.Fault.REORDERED_REPLY)
async def reordered_reply(world: matrixworld.World) -> None:
    """Let one leaf answer with the id of another request."""
    world.leafs[LEAF].update({"reply_fault": "wrong_id"})


@brings_about(faults.Fault.LATE_REPLY)
async def late_reply(world: matrixworld.World) -> None:
    """Let one leaf answer after the deadline."""
    world.leafs[LEAF].update(
        {"reply_fault": "delay", "reply_delay_ms": 2500.0}
    )


@brings_about(faults.Fault.CALLER_CANCELS)
async def caller_cancels(world: matrixworld.World) -> None:
    """Let the caller leave."""
    if world.caller is not None:
        world.caller.cancel()


@brings_about(faults.Fault.CLOCK_JUMP)
async def clock_jump(world: matrixworld.World) -> None:
    """Set the wall clock forward, and back beyond the start."""
    world.clock.jump_s += JUMP_S

    def back() -> None:
        world.clock.jump_s -= 2 * JUMP_S

    heal_later(world, back, 1.0)


@brings_about(faults.Fault.QUEUE_FULL)
async def queue_full(world: matrixworld.World) -> None:
    """Leave no room in the queues of the first daemon."""
    queue = world.nodes[0].daemon.service.parts.gate.queue
    limits = queue.limits
    queue.limits = admission.Limits(0, 0, 0)

    def heal() -> None:
        queue.limits = limits

    heal_later(world, heal, 1.0)


@brings_about(faults.Fault.NO_FILE_DESCRIPTORS)
async def no_file_descriptors(world: matrixworld.World) -> None:
    """Let every new connection fail for want of file descriptors."""
    world.descriptors_used_up = True
    world.reset_connections(LEAF)

    def heal() -> None:
        world.descriptors_used_up = False

    heal_later(world, heal, OUTAGE_S)
