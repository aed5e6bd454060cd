"""Faults of the soak, by name. Each changes something and takes it back.

They are drawn at random and overlap. ``run_faults`` starts them in series.
"""

import random
import signal
import typing
from collections import abc

import trio

from plantainhook import registry
from tests import soakcallers, soakdaemons, soakledger, soakworld

START_INTERVAL_S: typing.Final = 0.7
CRASHING_PREFIXES: typing.Final = ("/one/", "/once/", "/all/")
REPEATED_AFTER_S: typing.Final = 14.0


class Context(typing.NamedTuple):
    """Collect what faults act on."""

    world: soakworld.World
    daemons: list[soakdaemons.SoakDaemon]
    rng: random.Random

    def daemon(self) -> soakdaemons.SoakDaemon:
        """Return a daemon drawn at random."""
        return self.rng.choice(self.daemons)

    def sound_leaf(self) -> soakworld.SoakLeaf | None:
        """Return a leaf that can be disturbed, as another serves its shard."""
        leafs = [
            leaf
            for leaf in self.world.leafs.values()
            if soakworld.is_sound(leaf) and self.world.peers_of(leaf)
        ]
        return self.rng.choice(leafs) if leafs else None


FAULTS: typing.Final[registry.Registry[abc.Awaitable[None]]] = (
    registry.Registry("fault")
)


@FAULTS.register("stop")
async def _stop(context: Context) -> None:
    daemon = context.daemon()
    daemon.send(signal.SIGTERM)
    if context.rng.random() < 0.3:
        await trio.sleep(context.rng.uniform(0.0, 2.0))
        daemon.send(signal.SIGTERM)


@FAULTS.register("kill")
async def _kill(context: Context) -> None:
    context.daemon().send(signal.SIGKILL)


@FAULTS.register("reload")
async def _reload(context: Context) -> None:
    for _ in range(context.rng.randint(1, 4)):
        context.daemon().send(signal.SIGHUP)
        await trio.sleep(context.rng.uniform(0.0, 0.3))


@FAULTS.register("freeze")
async def _freeze(context: Context) -> None:
    daemon = context.daemon()
    daemon.send(signal.SIGSTOP)
    await trio.sleep(context.rng.uniform(0.3, 2.0))
    daemon.send(signal.SIGCONT)


@FAULTS.register("store away")
async def _store_away(context: Context) -> None:
    store = context.world.store
    if store.model.is_down:
        return
    for_s = context.rng.uniform(0.5, 4.0)
    context.world.ledger.disturb("store", for_s + 2.0)
    store.model.is_down = True
    await trio.sleep(for_s)
    store.model.is_down = False


@FAULTS.register("store returns older")
async def _store_restored(context: Context) -> None:
    world = context.world
    if world.store.model.is_down:
        return
    backup = world.store.model.backup()
    await trio.sleep(context.rng.uniform(1.0, 6.0))
    if world.store.model.is_down:
        return
    away_s = context.rng.uniform(0.2, 2.0)
    rewrite_s = context.rng.uniform(0.1, 1.5)
    world.ledger.disturb("store", away_s + rewrite_s + 2.0)
    world.store.model.is_down = True
    await trio.sleep(away_s)
    world.store.model.restore(backup)
    await trio.sleep(rewrite_s)
    world.write_configuration()
    for leaf in list(world.leafs.values()):
        leaf.register()


@FAULTS.register("store slow")
async def _store_slow(context: Context) -> None:
    for_s = context.rng.uniform(1.0, 4.0)
    context.world.ledger.disturb("store", for_s)
    context.world.store.delay_s = context.rng.uniform(0.05, 0.3)
    await trio.sleep(for_s)
    context.world.store.delay_s = 0.0


@FAULTS.register("store connections silent")
async def _store_silent(context: Context) -> None:
    context.world.ledger.disturb("store")
    context.world.store.silent_before_s = trio.current_time()


@FAULTS.register("store calls lost")
async def _store_calls_lost(context: Context) -> None:
    context.world.ledger.disturb("store")
    context.world.store.lost_before_s = trio.current_time()


@FAULTS.register("configuration")
async def _configuration(context: Context) -> None:
    context.world.change_configuration()


@FAULTS.register("storm")
async def _storm(context: Context) -> None:
    for _ in range(context.rng.randint(3, 8)):
        context.world.change_configuration()
        await trio.sleep(context.rng.uniform(0.1, 0.5))


@FAULTS.register("leaf crash")
async def _leaf_crash(context: Context) -> None:
    leaf = context.sound_leaf()
    if leaf is None:
        return
    context.world.crash_leaf(leaf)
    await trio.sleep(context.rng.uniform(0.3, 5.0))
    context.world.forget_told(leaf.leaf)
    context.world.restart_leaf(leaf)


@FAULTS.register("leaf drains")
async def _leaf_drains(context: Context) -> None:
    leaf = context.sound_leaf()
    if leaf is None or context.world.store.model.is_down:
        return
    leaf.drains_since_s = trio.current_time()
    leaf.tells_leaving = context.rng.random() < 0.7
    leaf.register()
    context.world.add_leaf(leaf.service)
    await trio.sleep(context.rng.uniform(5.0, 8.0))
    context.world.remove_leaf(leaf)


@FAULTS.register("leaf leaves unheard")
async def _leaf_leaves_unheard(context: Context) -> None:
    """Let a leaf tell that it leaves only in its answers."""
    leaf = context.sound_leaf()
    if leaf is None:
        return
    leaf.tells_leaving = True
    await trio.sleep(context.rng.uniform(5.0, 8.0))
    context.world.crash_leaf(leaf)
    await trio.sleep(context.rng.uniform(0.2, 1.0))
    context.world.forget_told(leaf.leaf)
    context.world.restart_leaf(leaf)


@FAULTS.register("leaf fails")
async def _leaf_fails(context: Context) -> None:
    leaf = context.sound_leaf()
    if leaf is None:
        return
    leaf.fault = context.rng.choice(("hang", "lose", "shed"))
    await trio.sleep(context.rng.uniform(0.5, 3.0))
    leaf.fault = ""


@FAULTS.register("leaf pauses")
async def _leaf_pauses(context: Context) -> None:
    leaf = context.sound_leaf()
    if leaf is not None:
        for_s = context.rng.uniform(0.5, 4.0)
        leaf.paused_until_s = trio.current_time() + for_s


async def run_fault(name: str, context: Context) -> None:
    """Run one fault to its end."""
    await FAULTS.create(name, context)


async def run_faults(
    context: Context, end_s: float, some_names: abc.Sequence[str] = ()
) -> None:
    """Start faults until a time, and return when all have ended.

    They are drawn from the names given, or from all.
    """
    names = some_names or FAULTS.names()
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            name = context.rng.choice(names)
            counts = context.world.ledger.faults
            counts[name] = counts.get(name, 0) + 1
            context.world.ledger.note(name)
            nursery.start_soon(run_fault, name, context)
            await trio.sleep(context.rng.expovariate(1.0 / START_INTERVAL_S))


async def run_crashing_requests(context: Context, end_s: float) -> None:
    """Send requests that crash leafs; return with all leafs up.

    Each is sent again and again for some seconds, to any daemon; the last one
    also after the given time.
    """
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            number += 1
            prefix = context.rng.choice(CRASHING_PREFIXES)
            path = f"{prefix}crashes-{number}"
            crashing = context.world.ledger.crashing
            crashing[path] = soakledger.CrashingRequest()
            for_s = context.rng.uniform(8.0, 14.0)
            await _repeat(context, nursery, prefix, path, for_s)
        # All machines are in touch in a part of this time.
        await _repeat(context, nursery, prefix, path, REPEATED_AFTER_S)
    while context.world.away_count:
        await trio.sleep(0.1)


async def _repeat(
    context: Context,
    nursery: trio.Nursery,
    prefix: str,
    path: str,
    for_s: float,
) -> None:
    """Send a request again and again for some seconds, to any daemon."""
    end_s = trio.current_time() + for_s
    while trio.current_time() < end_s:
        count = len(context.world.ledger.sent)
        caller = soakcallers.Caller(
            f"{path.strip('/').replace('/', '-')}-{count}",
            context.daemon(),
            context.world,
            context.rng,
        )
        nursery.start_soon(caller.send_once, prefix, path)
        await trio.sleep(context.rng.uniform(0.3, 0.9))
