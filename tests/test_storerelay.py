"""Tests of the copies of the store and of their relay between daemons."""

import dataclasses
import functools
import random
import typing
from unittest import mock

import hypothesis
import result
import testtools
import trio
from hypothesis import strategies as st

from plantainhook import (
    blackboard,
    clock,
    errors,
    memorynet,
    objectsource,
    peers,
    steps,
    storerelay,
    storereplica,
    storeupdate,
    wire,
)
from plantainhook.platform import store
from tests import storebuilders, virtualtime

KIND: typing.Final = "things"


class RecordingConsumer:
    """Record the objects and the availability that a copy reports."""

    def __init__(self) -> None:
        self.objects: dict[str, object] = {}
        self.is_unavailable = False

    def on_listing(self, listing: objectsource.Listing) -> None:
        """Replace all objects."""
        self.objects = {item.name: item.spec for item in listing.objects}

    def on_changes(self, changes: list[objectsource.Change]) -> None:
        """Apply changes."""
        for change in changes:
            if change.deleted:
                self.objects.pop(change.object.name, None)
            else:
                self.objects[change.object.name] = change.object.spec

    def on_restored(self) -> None:
        """Do nothing: the store of these tests keeps its history."""

    def on_unavailable(self, error: errors.ObjectApiError) -> None:
        """Record that the store does not answer."""
        self.is_unavailable = True

    def on_available(self) -> None:
        """Record that the store answers."""
        self.is_unavailable = False


class Store:
    """Simulate a store; count the calls and keep the whole history."""

    kind = KIND

    def __init__(self) -> None:
        self.revision = 1
        self.history: list[tuple[int, objectsource.Change]] = []
        self.is_down = False
        # Calls that are made while it is set are never answered.
        self.is_silent = False
        self.calls = 0
        self.changed = trio.Event()

    def put(self, name: str, deleted: bool = False) -> None:
        """Change an object."""
        self.revision += 1
        item = storebuilders.item(name, self.revision, at=self.revision)
        change = objectsource.Change(item, deleted)
        self.history.append((self.revision, change))
        self.changed.set()
        self.changed = trio.Event()

    def state(self) -> dict[str, object]:
        """Return the current objects by name."""
        consumer = RecordingConsumer()
        consumer.on_changes([change for _, change in self.history])
        return consumer.objects


class Source:
    """Read the store for one daemon, which may be disconnected from it.

    ``silence`` makes the calls in flight wait for ever; later ones work.
    """

    kind = KIND

    def __init__(self, store: Store) -> None:
        self.store = store
        self.is_disconnected = False
        self._silence_count = 0
        self._probe_silence_count = 0

    def silence(self) -> None:
        """Lose the replies of the calls in flight without an error."""
        self._silence_count += 1

    def _failure(self) -> result.Err[errors.ObjectApiError]:
        return result.Err(
            errors.ObjectApiUnavailableError(
                steps.Step.SETTINGS_SPREAD,
                "store",
                "the daemon is disconnected",
            )
        )

    async def list(self) -> objectsource.ListResult:
        """Return all objects."""
        self.store.calls += 1
        if self.store.is_silent:
            await trio.sleep(store.CALL_TIMEOUT_S)
            return self._failure()
        await trio.sleep(0.004)
        if self.is_disconnected:
            return self._failure()
        objects = [
            storebuilders.item(name, 1, **typing.cast(dict[str, int], spec))
            for name, spec in self.store.state().items()
        ]
        return result.Ok(
            objectsource.Listing(
                objects, storebuilders.at(self.store.revision)
            )
        )

    async def watch(
        self, position: objectsource.Position, wait_s: float
    ) -> objectsource.WatchResult:
        """Return the changes after a position."""
        revision = position.revision
        self.store.calls += 1
        silence_count = self._silence_count
        if self.store.is_silent:
            await trio.sleep(wait_s + store.CALL_TIMEOUT_S)
            return self._failure()
        await trio.sleep(0.004)
        with trio.move_on_after(wait_s):
            while self.store.revision <= revision and not self.is_disconnected:
                with trio.move_on_after(0.5):
                    await self.store.changed.wait()
        if self._silence_count != silence_count:
            await trio.sleep_forever()
        if self.is_disconnected:
            return self._failure()
        changes = [c for at, c in self.store.history if at > revision]
        return result.Ok(
            objectsource.Changes(
                changes, storebuilders.at(self.store.revision)
            )
        )

    async def probe(
        self, position: objectsource.Position, timeout_s: float
    ) -> objectsource.ProbeOutcome:
        """Call the store on another connection, which also falls silent."""
        if self.store.is_silent:
            await trio.sleep(timeout_s)
            return objectsource.ProbeOutcome.SILENT
        await trio.sleep(0.004)
        if self._silence_count != self._probe_silence_count:
            self._probe_silence_count = self._silence_count
            await trio.sleep(timeout_s)
            return objectsource.ProbeOutcome.SILENT
        if self.store.revision > position.revision:
            return objectsource.ProbeOutcome.CHANGED
        return objectsource.ProbeOutcome.CURRENT


class Fleet:
    """Run daemons that share a simulated store and an in-memory network."""

    def __init__(self, count: int, nursery: trio.Nursery) -> None:
        self.store = Store()
        self.network = memorynet.MemoryNetwork(nursery, random.Random(1))
        members = storebuilders.members(count)
        self.sources = [Source(self.store) for _ in range(count)]
        self.consumers = [RecordingConsumer() for _ in range(count)]
        self.relays = [self._build(number, members) for number in range(count)]

    def _build(
        self, number: int, members: dict[int, blackboard.MemberInfo]
    ) -> storerelay.StoreRelay:
        board = blackboard.Blackboard(number, members=members)
        handlers = peers.Handlers()
        hello = wire.HelloFrame(
            wire.PROTOCOL_VERSION, number, "", "", "dc-1", f"d{number}", ""
        )
        transport = memorynet.MemoryTransport(self.network, hello, handlers)
        replica = storereplica.StoreReplica(KIND, self.consumers[number])
        return storerelay.StoreRelay(
            board,
            f"dc-{number % 3}",
            {KIND: replica},
            {KIND: self.sources[number]},
            transport,
            handlers,
            storerelay.RelayOptions(),
            objectsource.FollowOptions(),
            clock.TrioClock(),
            random.Random(number),
        )

    def is_current(self) -> bool:
        """Return whether every daemon has the store's objects."""
        state = self.store.state()
        return all(consumer.objects == state for consumer in self.consumers)


def run_scenario(
    count: int, scenario: typing.Callable[[Fleet], typing.Awaitable[None]]
) -> Fleet:
    """Run a scenario on a fleet."""
    fleets: list[Fleet] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(count, nursery)
            fleets.append(fleet)
            for relay in fleet.relays:
                nursery.start_soon(relay.run)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    virtualtime.run(main)
    return fleets[0]


class CompareTest(testtools.TestCase):
    """Check the messages between daemons and distant watchers."""

    def test_calm_daemons_send_few_messages(self) -> None:
        """Guard against control traffic that grows with the watchers.

        Pattern: hundreds of daemons in several data centres, no change.
        """

        async def scenario(fleet: Fleet) -> None:
            await trio.sleep(5.0)
            nodes = fleet.network.nodes.values()
            before = sum(node.traffic.message_count for node in nodes)
            await trio.sleep(20.0)
            after = sum(node.traffic.message_count for node in nodes)
            # A pull and a comparison a second, each with its reply.
            self.assertTrue((after - before) / (20.0 * 40) < 4.5)

        run_scenario(40, scenario)

    def test_dead_watcher_is_replaced_as_fast(self) -> None:
        """Guard against a saving that delays changes when a watcher dies."""

        async def scenario(fleet: Fleet) -> None:
            await trio.sleep(5.0)
            dead = fleet.relays[0].watchers()[0]
            fleet.network.nodes[dead].close()
            number = int(dead[1:])
            fleet.sources[number].is_disconnected = True
            fleet.store.put("a")
            await trio.sleep(3.0)
            state = fleet.store.state()
            behind = [
                consumer
                for index, consumer in enumerate(fleet.consumers)
                if index != number and consumer.objects != state
            ]
            self.assertEqual([], behind)

        run_scenario(40, scenario)


class SilentWatchTest(testtools.TestCase):
    """Check that a watch without replies is not taken for "no change"."""

    def check(
        self, count: int, is_silent: typing.Callable[[int], bool]
    ) -> None:
        """Silence some daemons' watches and check two later changes.

        The bound is that of configurations on the users' platform.
        """

        async def scenario(fleet: Fleet) -> None:
            await trio.sleep(5.0)
            for number, source in enumerate(fleet.sources):
                if is_silent(number):
                    source.silence()
            for name in ("a", "b"):
                fleet.store.put(name)
                await trio.sleep(3.0)
                state = fleet.store.state()
                behind = [
                    number
                    for number, consumer in enumerate(fleet.consumers)
                    if consumer.objects != state
                ]
                self.assertEqual([], behind)

        run_scenario(count, scenario)

    def test_daemons_with_silent_watches_learn_of_changes(self) -> None:
        """Guard against daemons that miss changes which their peers know.

        Pattern: the open connections of four of seven daemons to the store
        fall silent; new ones work.
        """
        self.check(7, lambda number: number % 2 == 0)

    def test_all_but_one_watch_of_a_large_fleet_are_silent(self) -> None:
        """Guard against followers of watchers with silent watches."""
        watchers: list[str] = []

        async def scenario(fleet: Fleet) -> None:
            watchers.extend(fleet.relays[0].watchers())

        run_scenario(20, scenario)
        self.check(20, lambda number: f"d{number}" in watchers[1:])

    def test_calls_made_in_a_silent_outage(self) -> None:
        """Guard against a call from an outage that is waited for after it.

        Pattern: the store is silent to all for some seconds. What was called
        in the last moments is never answered, while new calls work.
        """
        for outage_s in (0.5, 1.9, 3.3, 6.2):
            run_scenario(7, functools.partial(self.check_outage, outage_s))

    async def check_outage(self, outage_s: float, fleet: Fleet) -> None:
        """Silence the store for some time and check a later change."""
        await trio.sleep(5.0)
        fleet.store.is_silent = True
        for source in fleet.sources:
            source.silence()
        await trio.sleep(outage_s)
        fleet.store.is_silent = False
        await trio.sleep(1.0)
        fleet.store.put("a")
        await trio.sleep(3.0)
        self.assertTrue(fleet.is_current())

    def test_all_watches_are_silent(self) -> None:
        """Guard against a fleet in which no daemon has a watch that works."""
        for count in (7, 20):
            self.check(count, lambda number: True)

    def test_all_watches_miss_a_change(self) -> None:
        """Guard against watches that the store has lost.

        Pattern: only the calls in flight are lost; the connections work.
        """

        async def probe(
            source: Source, position: objectsource.Position, timeout_s: float
        ) -> objectsource.ProbeOutcome:
            if source.store.revision > position.revision:
                return objectsource.ProbeOutcome.CHANGED
            return objectsource.ProbeOutcome.CURRENT

        with mock.patch.object(Source, "probe", probe):
            for count in (7, 20):
                self.check(count, lambda number: True)

    def test_calm_watches_are_not_repeated(self) -> None:
        """Guard against a check that reads the store all the time.

        Pattern: objects of another kind raise the store's revision, and the
        watches of the daemons end at different moments.
        """

        async def scenario(fleet: Fleet) -> None:
            for number in range(7):
                fleet.store.put(f"o{number}")
                await trio.sleep(0.1)
            await trio.sleep(4.0)
            before = fleet.store.calls
            await trio.sleep(30.0)
            # Each daemon's watch ends once in this time.
            self.assertTrue(fleet.store.calls - before <= 2 * 7)

        run_scenario(7, scenario)


class RelayTest(testtools.TestCase):
    """Check that all daemons receive changes with few calls to the store."""

    def test_large_fleet_reads_little(self) -> None:
        """Guard against a large fleet in which every daemon watches."""

        async def scenario(fleet: Fleet) -> None:
            await trio.sleep(5)
            before = fleet.store.calls
            for number in range(20):
                fleet.store.put(f"o{number}")
                await trio.sleep(1)
            self.assertTrue(fleet.is_current())
            self.assertTrue(
                fleet.store.calls - before <= 3 * 2 * 20,
                str(fleet.store.calls - before),
            )

        run_scenario(30, scenario)

    def test_largest_vms_watch(self) -> None:
        """Guard against watchers with too little bandwidth for their peers.

        Pattern: two of the ten VMs of each data centre are larger.
        """

        async def scenario(fleet: Fleet) -> None:
            board = fleet.relays[0]._board
            board.members = {
                number: dataclasses.replace(
                    member, capacity=215 if number < 6 else 52
                )
                for number, member in board.members.items()
            }
            largest = {f"d{number}" for number in range(6)}
            watchers = fleet.relays[0].watchers()
            self.assertEqual(3, len(watchers))
            self.assertEqual(set(), set(watchers) - largest)

        run_scenario(30, scenario)

    def test_each_change_is_sent_once(self) -> None:
        """Guard against pulling the same changes from every watcher.

        Pattern: a release changes hundreds of entries in a large fleet, and
        traffic between data centres is expensive.
        """

        async def scenario(fleet: Fleet) -> None:
            await trio.sleep(5)
            counts = [0]
            original = storereplica.StoreReplica.apply_update

            def count_items(
                replica: storereplica.StoreReplica,
                update: storeupdate.StoreUpdate,
                after: objectsource.Position,
            ) -> None:
                counts[0] += len(update.items)
                original(replica, update, after)

            with mock.patch.object(
                storereplica.StoreReplica, "apply_update", count_items
            ):
                for number in range(100):
                    fleet.store.put(f"o{number}")
                    await trio.sleep(0.1)
                await trio.sleep(2)
            self.assertTrue(fleet.is_current())
            followers = len(fleet.relays) - len(fleet.relays[0].watchers())
            self.assertTrue(counts[0] <= 1.1 * 100 * followers, str(counts))

        run_scenario(30, scenario)

    def test_all_daemons_of_a_small_fleet_read(self) -> None:
        """Guard against daemons of a small fleet that depend on watchers."""

        async def scenario(fleet: Fleet) -> None:
            await trio.sleep(5)
            self.assertTrue(all(r.is_reading_store() for r in fleet.relays))

        run_scenario(6, scenario)

    def test_change_reaches_all_without_the_watchers(self) -> None:
        """Guard against daemons that wait for watchers without a store.

        The store stops answering every watcher, without a notice to their
        peers. A change must still reach all other daemons within 3 s.
        """

        async def scenario(fleet: Fleet) -> None:
            await trio.sleep(5)
            watchers = fleet.relays[0].watchers()
            for address in watchers:
                fleet.sources[int(address[1:])].is_disconnected = True
            fleet.store.put("late")
            await trio.sleep(3)
            others = [
                consumer
                for number, consumer in enumerate(fleet.consumers)
                if f"d{number}" not in watchers
            ]
            state = fleet.store.state()
            self.assertTrue(
                all(consumer.objects == state for consumer in others)
            )

        run_scenario(20, scenario)

    def test_followers_learn_of_an_outage(self) -> None:
        """Guard against dropping leafs at once when their entries expire.

        Pattern: during an outage of the store entries expire, and a watcher
        relays the removals before the leafs have registered again.
        """

        async def scenario(fleet: Fleet) -> None:
            await trio.sleep(5)
            watchers = fleet.relays[0].watchers()
            followers = [
                consumer
                for number, consumer in enumerate(fleet.consumers)
                if f"d{number}" not in watchers
            ]
            for address in watchers:
                fleet.sources[int(address[1:])].is_disconnected = True
            await trio.sleep(1.7)
            self.assertTrue(
                all(consumer.is_unavailable for consumer in followers)
            )
            for address in watchers:
                fleet.sources[int(address[1:])].is_disconnected = False
            await trio.sleep(3)
            self.assertFalse(
                any(consumer.is_unavailable for consumer in followers)
            )
            reading = [relay.is_reading_store() for relay in fleet.relays]
            self.assertEqual(len(watchers), sum(reading))

        run_scenario(20, scenario)

    def test_refused_watcher_learns_from_its_peers(self) -> None:
        """Guard against missing changes while the store refuses a daemon.

        Pattern: the store refuses a third of the VMs for seconds and serves
        the others, in a small fleet and in a large one.
        """

        async def scenario(fleet: Fleet) -> None:
            await trio.sleep(5)
            refused = fleet.relays[0].watchers()[::3]
            for address in refused:
                fleet.sources[int(address[1:])].is_disconnected = True
            await trio.sleep(1)
            fleet.store.put("late")
            await trio.sleep(2.5)
            state = fleet.store.state()
            lagging = [
                number
                for number, consumer in enumerate(fleet.consumers)
                if consumer.objects != state
            ]
            self.assertEqual([], lagging)

        for count in (6, 20):
            run_scenario(count, scenario)

    def test_similar_entries_are_compressed(self) -> None:
        """Guard against a release that saturates the links of the watchers."""

        async def main() -> None:
            replica = storereplica.StoreReplica(KIND, RecordingConsumer())
            replica.on_listing(objectsource.Listing([], storebuilders.at(1)))
            rng = random.Random(1)
            changes = [
                storebuilders.changed(
                    f"i-{rng.getrandbits(40):010x}",
                    revision,
                    service="counter-app",
                    address=f"10.1.64.{revision % 250}:8500",
                    zone="suwon",
                    born=1_770_000_000_000 + revision,
                    state="ready",
                )
                for revision in range(2, 402)
            ]
            replica.on_changes(
                changes, storebuilders.at(401), storebuilders.at(1)
            )
            packed = replica.packed_update_after(storebuilders.at(1))
            update = replica.update_after(storebuilders.at(1))
            assert packed is not None and update is not None
            plain = sum(len(item.spec) for item in update.items)
            self.assertLess(len(packed), 0.4 * plain)
            self.assertIs(
                packed, replica.packed_update_after(storebuilders.at(1))
            )
            read = storeupdate.unpack_update(packed, "peer")
            self.assertEqual(update, read.unwrap())

        virtualtime.run(main)

    def test_truncated_update_is_an_error(self) -> None:
        """Guard against a daemon that crashes on the bytes of a peer."""
        packed = storeupdate.pack_update(
            storeupdate.StoreUpdate(KIND, 1, True, [])
        )
        for broken in (packed[:-2], b"", b"no update"):
            read = storeupdate.unpack_update(broken, "peer")
            self.assertTrue(read.is_err())

    def test_change_reaches_all_when_watchers_die(self) -> None:
        """Guard against daemons that follow a dead watcher."""

        async def scenario(fleet: Fleet) -> None:
            await trio.sleep(5)
            for address in fleet.relays[0].watchers():
                fleet.network.nodes[address].close()
            fleet.store.put("late")
            await trio.sleep(3)
            state = fleet.store.state()
            lagging = [
                consumer
                for consumer in fleet.consumers
                if consumer.objects != state
            ]
            self.assertEqual([], lagging)

        run_scenario(20, scenario)


class ReplicaTest(testtools.TestCase):
    """Check copies that receive batches from several sources."""

    @hypothesis.given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.booleans()),
            min_size=1,
            max_size=12,
        ),
        st.lists(
            st.tuples(st.integers(0, 12), st.integers(0, 12)), max_size=20
        ),
    )
    def test_batches_in_any_order(
        self,
        puts: list[tuple[str, bool]],
        batches: list[tuple[int, int]],
    ) -> None:
        """Guard against an old batch that undoes a newer change."""

        async def main() -> None:
            store = Store()
            for name, is_deleted in puts:
                store.put(name, is_deleted)
            consumer = RecordingConsumer()
            replica = storereplica.StoreReplica(KIND, consumer)
            replica.on_listing(objectsource.Listing([], storebuilders.at(1)))
            for first, last in [*batches, (replica.position.revision, 99)]:
                after, end = 1 + first, min(1 + last, store.revision)
                changes = [
                    change for at, change in store.history if after < at <= end
                ]
                replica.on_changes(
                    changes, storebuilders.at(end), storebuilders.at(after)
                )
                wanted = RecordingConsumer()
                wanted.on_changes(
                    [
                        change
                        for at, change in store.history
                        if at <= replica.position.revision
                    ]
                )
                self.assertEqual(wanted.objects, consumer.objects)

        virtualtime.run(main)

    def test_lagging_peer_gets_all_objects(self) -> None:
        """Guard against an update that leaves out changes."""

        async def main() -> None:
            replica = storereplica.StoreReplica(KIND, RecordingConsumer())
            replica.on_listing(
                objectsource.Listing(
                    [storebuilders.item("a", 5, x=1)], storebuilders.at(9)
                )
            )
            replica.on_changes(
                [storebuilders.changed("b", 10, x=2)],
                storebuilders.at(10),
                storebuilders.at(9),
            )
            update = replica.update_after(storebuilders.at(3))
            assert update is not None
            self.assertTrue(update.whole)
            other = storereplica.StoreReplica(KIND, RecordingConsumer())
            other.apply_update(update, storebuilders.at(3))
            self.assertEqual(storebuilders.at(10), other.position)
            recent = replica.update_after(storebuilders.at(9))
            assert recent is not None
            self.assertFalse(recent.whole)
            self.assertIs(None, replica.update_after(storebuilders.at(10)))

        virtualtime.run(main)
