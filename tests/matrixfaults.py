"""Inject each fault of the matrix into a cluster.

``INJECTORS`` has one entry for each member of ``faults.Fault``; the matrix
driver calls it when a case reaches its step. A fault that ends by itself is
ended by a task in the nursery of the cluster.
"""

import typing
from collections import abc

import trio

from plantainhook import admission, faults, schema
from tests import matrixcluster, matrixlayout

OUTAGE_S: typing.Final = 5.0
STORE_DELAY_S: typing.Final = 3.0
PAUSE_S: typing.Final = 20.0
CLOCK_JUMP_S: typing.Final = 3600.0
FAULTY_LEAF: typing.Final = "a1"

Injector = abc.Callable[[matrixcluster.Cluster], abc.Awaitable[None]]

INJECTORS: typing.Final[dict[faults.Fault, Injector]] = {}


def injects(fault: faults.Fault) -> abc.Callable[[Injector], Injector]:
    """Return a decorator that registers the injector of a fault."""

    def add(inject: Injector) -> Injector:
        if fault in INJECTORS:
            raise ValueError(f"fault {fault} has two injectors")
        INJECTORS[fault] = inject
        return inject

    return add


def schedule_recovery(
    cluster: matrixcluster.Cluster,
    recover: abc.Callable[[], None],
    delay_s: float,
) -> None:
    """Call a function that ends a fault after a delay."""

    async def wait_and_recover() -> None:
        await trio.sleep(delay_s)
        recover()

    cluster.nursery.start_soon(wait_and_recover)


@injects(faults.Fault.STRAGGLER)
async def straggler(cluster: matrixcluster.Cluster) -> None:
    """Slow one leaf down."""
    cluster.leafs[FAULTY_LEAF].update({"service_median_ms": 1500.0})


@injects(faults.Fault.REPLICA_LOST)
async def replica_lost(cluster: matrixcluster.Cluster) -> None:
    """Crash one leaf, which does not come back."""
    cluster.leafs[FAULTY_LEAF].crash()


@injects(faults.Fault.REPARTITION)
async def repartition(cluster: matrixcluster.Cluster) -> None:
    """Remove a shard from one leaf, without a new index version."""
    cluster.leafs[FAULTY_LEAF].set_versions({1: {"s1"}})


@injects(faults.Fault.VERSION_CHANGE)
async def version_change(cluster: matrixcluster.Cluster) -> None:
    """Replace the index version on all leafs, one after another."""

    async def change_version() -> None:
        key = f"t{schema.INDEX_KEY_SEPARATOR}2"
        spec = matrixlayout.build_index(2).model_dump(mode="json")
        await cluster.apply_with_retries({f"index/{key}": spec})
        for name, (_, _, shards) in matrixlayout.LEAF_PLACEMENTS.items():
            cluster.leafs[name].set_versions({2: set(shards)})
            await trio.sleep(0.002)

    cluster.nursery.start_soon(change_version)


@injects(faults.Fault.STORE_DOWN)
async def store_down(cluster: matrixcluster.Cluster) -> None:
    """Make the object API unavailable for some seconds."""
    cluster.api.faults.outage = True

    def recover() -> None:
        cluster.api.faults.outage = False

    schedule_recovery(cluster, recover, OUTAGE_S)


@injects(faults.Fault.STORE_SLOW)
async def store_slow(cluster: matrixcluster.Cluster) -> None:
    """Slow every call of the object API down."""
    cluster.api.faults.delay_s = STORE_DELAY_S

    def recover() -> None:
        cluster.api.faults.delay_s = 0.0

    schedule_recovery(cluster, recover, OUTAGE_S)


@injects(faults.Fault.STORE_REPLY_LOST)
async def store_reply_lost(cluster: matrixcluster.Cluster) -> None:
    """Lose the replies to the next writes, which do take effect."""
    cluster.api.faults.lost_replies_count = 3


@injects(faults.Fault.STORE_STALE_READ)
async def store_stale_read(cluster: matrixcluster.Cluster) -> None:
    """Return stale values from the next reads."""
    cluster.api.faults.stale_reads_count = 5


@injects(faults.Fault.HOLDER_PAUSED)
async def holder_paused(cluster: matrixcluster.Cluster) -> None:
    """Pause all processes; their timers fire late after that."""
    cluster.pause_processes(PAUSE_S)


@injects(faults.Fault.OPERATOR_RACE)
async def operator_race(cluster: matrixcluster.Cluster) -> None:
    """Change the same settings object from two operators at once."""

    async def apply_change(value: int) -> None:
        await cluster.try_apply({"defaults": {"hedge_delay_ms": value}})

    cluster.nursery.start_soon(apply_change, 31)
    cluster.nursery.start_soon(apply_change, 32)


@injects(faults.Fault.POISON_REQUEST)
async def poison_request(cluster: matrixcluster.Cluster) -> None:
    """Send a request that crashes leafs to each daemon in turn."""
    for leaf in cluster.leafs.values():
        leaf.update({"crash_param": "poison"})

    async def send() -> None:
        for node in cluster.nodes:
            if node.is_alive():
                await cluster.query("poison", 0, node)

    cluster.nursery.start_soon(send)


@injects(faults.Fault.LEAF_DRAINS)
async def leaf_drains(cluster: matrixcluster.Cluster) -> None:
    """Drain one leaf."""
    cluster.drain_leaf(FAULTY_LEAF)


@injects(faults.Fault.LEAF_COLD)
async def leaf_cold(cluster: matrixcluster.Cluster) -> None:
    """Restart one leaf, which refuses searches while it is cold."""
    leaf = cluster.leafs[FAULTY_LEAF]
    leaf.update({"cold_ms": 3000.0, "cold_refuses": True})
    leaf.start_cold()


@injects(faults.Fault.HEALTH_MISLEADS)
async def health_misleads(cluster: matrixcluster.Cluster) -> None:
    """Drain one leaf while its health endpoint still reports live."""
    cluster.leafs[FAULTY_LEAF].update({"health_says": "live"})
    cluster.drain_leaf(FAULTY_LEAF)


@injects(faults.Fault.DAEMON_DIES)
async def daemon_dies(cluster: matrixcluster.Cluster) -> None:
    """Kill the first daemon."""
    cluster.nodes[0].scope.cancel()


@injects(faults.Fault.DAEMON_DRAINS)
async def daemon_drains(cluster: matrixcluster.Cluster) -> None:
    """Start the planned stop of the first daemon."""
    cluster.nodes[0].daemon.request_drain()


@injects(faults.Fault.PARTITION)
async def partition(cluster: matrixcluster.Cluster) -> None:
    """Partition the first daemon from the others for some seconds."""
    isolated = cluster.nodes[0].daemon.options.peer_address
    cluster.network.is_reachable = lambda a, b: (
        (a == isolated) == (b == isolated)
    )

    def recover() -> None:
        cluster.network.is_reachable = lambda a, b: True

    schedule_recovery(cluster, recover, OUTAGE_S)


@injects(faults.Fault.CONNECTION_REFUSED)
async def connection_refused(cluster: matrixcluster.Cluster) -> None:
    """Refuse new connections to one leaf and drop the existing ones."""
    unreachable = cluster.leaf_network.unreachable
    address = matrixlayout.leaf_address(0)
    unreachable.add(address)
    cluster.reset_connections(FAULTY_LEAF)
    schedule_recovery(cluster, lambda: unreachable.discard(address), OUTAGE_S)


@injects(faults.Fault.CONNECTION_RESET)
async def connection_reset(cluster: matrixcluster.Cluster) -> None:
    """Drop the connections of one leaf."""
    cluster.reset_connections(FAULTY_LEAF)


@injects(faults.Fault.HALF_OPEN)
async def half_open(cluster: matrixcluster.Cluster) -> None:
    """Make one leaf keep its connections open without replying."""
    cluster.leafs[FAULTY_LEAF].update(
        {
            "reply_fault": "delay",
            "reply_delay_ms": 1e9,
            "state_delay_ms": 1e9,
        }
    )


@injects(faults.Fault.SLOW_READER)
async def slow_reader(cluster: matrixcluster.Cluster) -> None:
    """Make all leafs read only a few bytes at a time."""
    cluster.writes_slowly = True


@injects(faults.Fault.CORRUPT_MESSAGE)
async def corrupt_message(cluster: matrixcluster.Cluster) -> None:
    """Make one leaf send replies that are not HTTP."""
    cluster.leafs[FAULTY_LEAF].update({"reply_fault": "malformed"})


@injects(faults.Fault.OVERSIZED_MESSAGE)
async def oversized_message(cluster: matrixcluster.Cluster) -> None:
    """Make one leaf send replies that exceed the size limit."""
    cluster.leafs[FAULTY_LEAF].update({"reply_fault": "oversized"})


@injects(faults.Fault.DUPLICATE_REPLY)
async def duplicate_reply(cluster: matrixcluster.Cluster) -> None:
    """Deliver every reply twice."""
    cluster.duplicates_replies = True


@injects(faults.Fault.REORDERED_REPLY)
async def reordered_reply(cluster: matrixcluster.Cluster) -> None:
    """Make one leaf reply with the id of another request."""
    cluster.leafs[FAULTY_LEAF].update({"reply_fault": "wrong_id"})


@injects(faults.Fault.LATE_REPLY)
async def late_reply(cluster: matrixcluster.Cluster) -> None:
    """Make one leaf reply after the deadline."""
    cluster.leafs[FAULTY_LEAF].update(
        {"reply_fault": "delay", "reply_delay_ms": 2500.0}
    )


@injects(faults.Fault.CALLER_CANCELS)
async def caller_cancels(cluster: matrixcluster.Cluster) -> None:
    """Cancel the request on the caller's side."""
    if cluster.caller_scope is not None:
        cluster.caller_scope.cancel()


@injects(faults.Fault.CLOCK_JUMP)
async def clock_jump(cluster: matrixcluster.Cluster) -> None:
    """Set the wall clock an hour ahead, then an hour behind."""
    cluster.clock.wall_offset_s += CLOCK_JUMP_S

    def jump_back() -> None:
        cluster.clock.wall_offset_s -= 2 * CLOCK_JUMP_S

    schedule_recovery(cluster, jump_back, 1.0)


@injects(faults.Fault.QUEUE_FULL)
async def queue_full(cluster: matrixcluster.Cluster) -> None:
    """Set the admission limits of the first daemon to zero for a second."""
    queue = cluster.nodes[0].daemon.service.dependencies.gate.queue
    limits = queue.limits
    queue.limits = admission.Limits(0, 0, 0)

    def recover() -> None:
        queue.limits = limits

    schedule_recovery(cluster, recover, 1.0)


@injects(faults.Fault.NO_FILE_DESCRIPTORS)
async def no_file_descriptors(cluster: matrixcluster.Cluster) -> None:
    """Fail every new connection for lack of file descriptors."""
    cluster.descriptors_used_up = True
    cluster.reset_connections(FAULTY_LEAF)

    def recover() -> None:
        cluster.descriptors_used_up = False

    schedule_recovery(cluster, recover, OUTAGE_S)
