"""Tests of connection shares, with a stateful test of faults in any order.

The state machine runs the real controllers of several daemons over an
in-memory object API and direct calls between peers. After every step, and at
every call of the object API within a step, the allotments of all daemons for
a leaf must not exceed its limit. Further tests inject one defect each, which
the machine must find.
"""

import dataclasses
import random
import typing
from collections import abc

import hypothesis
import loguru
import testtools
import trio
from hypothesis import stateful, strategies

from plantainhook import (
    blackboard,
    claimmemory,
    claimstore,
    errors,
    memorystore,
    peers,
    schema,
    shareclaim,
    shareplan,
    shares,
    wire,
)

VM_COUNT: typing.Final = 4
SHARE_COUNT: typing.Final = 3
LIMITS: typing.Final = (4, 7, 12)
VMS: typing.Final = strategies.integers(0, VM_COUNT - 1)
FAULTS: typing.Final = strategies.lists(
    strategies.sampled_from(
        [memorystore.WriteFault.NONE] * 3 + list(memorystore.WriteFault)
    ),
    max_size=3,
)


def settings_of(plan: schema.SharePlan) -> schema.Settings:
    groups = {}
    for index, limit in enumerate(LIMITS):
        leaf = schema.Leaf(
            name=f"leaf-{index}",
            address=f"10.1.0.{index}:80",
            data_centre="dc-1",
            slot_count=2,
            connection_limit_count=limit,
        )
        group = schema.Group(service="maps", leafs=[leaf])
        groups[f"group-{index}"] = group
    return schema.Settings(group=groups, share_plan=plan)


@dataclasses.dataclass(eq=False)
class Daemon:
    """Represent one process; a paused one keeps its connections."""

    own: shareclaim.Claimant
    board: blackboard.Blackboard
    handlers: peers.Handlers
    claims: shares.ShareClaims
    paused: bool = False


@dataclasses.dataclass
class Cluster:
    """Track the daemons, their store, cut connections and late messages.

    ``daemons`` maps peer addresses to processes. Addresses in ``cut`` reach
    only each other.
    """

    store: "CheckedStore"
    daemons: dict[str, Daemon] = dataclasses.field(default_factory=dict)
    cut: set[str] = dataclasses.field(default_factory=set)
    late_messages: list[tuple[Daemon, wire.AnyBody]] = dataclasses.field(
        default_factory=list
    )
    delays_messages: bool = False

    def check(self) -> None:
        """Compare the allotments of all processes with the limits."""
        for index, limit in enumerate(LIMITS):
            total = sum(
                daemon.board.shares.allotments.get(f"leaf-{index}", 0)
                for daemon in self.daemons.values()
            )
            assert total <= limit, f"leaf-{index}: {total} > {limit}"


class CheckedStore(memorystore.MemoryStore):
    """Check the limits at every call.

    A hook runs when ``countdown`` reaches 0, so that the steps of two daemons
    interleave.
    """

    countdown: int = -1
    cluster: Cluster
    hook: abc.Callable[[], abc.Awaitable[None]]

    async def _call(self) -> None:
        self.cluster.check()
        await trio.lowlevel.checkpoint()
        self.countdown -= 1
        if self.countdown == 0:
            await self.hook()


@dataclasses.dataclass
class DirectTransport:
    """Call the handlers of a peer directly.

    Paused peers, and those on the other side of a cut, don't answer. While
    messages are delayed, they are stored and the sender gets no reply.
    """

    cluster: Cluster
    address: str

    async def request(
        self,
        peer_address: str,
        body: wire.AnyBody,
        timeout_s: float,
        lane: int = 0,
    ) -> peers.Reply:
        peer = self.cluster.daemons.get(peer_address)
        maybe = errors.Ran.MAYBE
        cut = self.cluster.cut
        if (
            peer is None
            or peer.paused
            or ((self.address in cut) != (peer_address in cut))
        ):
            return peers.error_result(body, peer_address, "no reply", maybe)
        if self.cluster.delays_messages:
            self.cluster.late_messages.append((peer, body))
            return peers.error_result(body, peer_address, "no reply", maybe)
        hello = wire.HelloFrame(1, 0, "", "", "", self.address, "")
        reply = await peer.handlers.handle(hello, body)
        return peers.reply_or_error(body, peer_address, reply)


class ShareMachine(stateful.RuleBasedStateMachine):
    """Apply steps and faults to daemons that claim shares.

    Faults are restarts, pauses, stale VM lists and settings, lost and late
    writes, plan changes and cut connections.
    """

    def __init__(self) -> None:
        super().__init__()
        store = CheckedStore()
        self.cluster = Cluster(store)
        store.cluster = self.cluster
        self.vm_ids = [f"vm-{index}" for index in range(VM_COUNT)]
        self.lists = [shareclaim.VmListing(frozenset(self.vm_ids), 1.0)]
        plan = schema.SharePlan(share_count=SHARE_COUNT, holders_per_leaf=1)
        self.revisions = [settings_of(plan)]
        self.start_count = 0

    def address(self, vm: int) -> str:
        return f"10.0.0.{vm}:7080"

    def data_centre(self, address: str) -> str:
        return "dc-1" if address[-6] in "01" else "dc-2"

    def daemon(self, vm: int) -> Daemon:
        """Return the running process on the VM, or else any running one."""
        running = {
            address: daemon
            for address, daemon in self.cluster.daemons.items()
            if not daemon.paused
        }
        if not running:
            self.start_on(vm, lag=0)
            return self.daemon(vm)
        return running.get(self.address(vm)) or next(iter(running.values()))

    @stateful.initialize(first=strategies.integers(1, VM_COUNT))
    def start_some(self, first: int) -> None:
        """Start a daemon on each VM, some of which hold a share."""
        for vm in range(VM_COUNT):
            self.start_on(vm, lag=0)
        for vm in range(VM_COUNT):
            self.copy_members(self.daemon(vm))
        for vm in range(first):
            trio.run(self.daemon(vm).claims.step)

    def set_revision(
        self, board: blackboard.Blackboard, revision: int
    ) -> None:
        board.settings = blackboard.build_settings_view(
            revision, self.revisions[revision - 1], 0.0, "test"
        )

    @stateful.rule(vm=VMS, lag=strategies.integers(0, 2))
    def start(self, vm: int, lag: int) -> None:
        """Start or restart a process, perhaps with older settings."""
        self.start_on(vm, lag)

    def start_on(self, vm: int, lag: int) -> None:
        address = self.address(vm)
        self.start_count += 1
        own = shareclaim.Claimant(self.start_count, self.vm_ids[vm], address)
        board = blackboard.Blackboard(own.incarnation)
        self.set_revision(board, max(1, len(self.revisions) - lag))
        handlers = peers.Handlers()
        transport = DirectTransport(self.cluster, address)
        claims = shares.ShareClaims(
            board,
            own,
            self.data_centre(address),
            claimstore.ClaimStore(self.cluster.store, own.incarnation),
            claimmemory.ClaimMemory(transport, handlers),
            lambda share: None,
            shares.ShareOptions(),
            random.Random(self.start_count),
        )
        daemon = Daemon(own, board, handlers, claims)
        self.cluster.daemons[address] = daemon
        self.cluster.store.countdown = -1
        claims.set_vm_list(self.lists[-1])
        self.copy_members(daemon)

    def copy_members(self, daemon: Daemon) -> None:
        daemon.board.members = {
            other.own.incarnation: blackboard.MemberInfo(
                other.own.incarnation,
                "",
                other.own.vm_id,
                self.data_centre(other.own.peer_address),
                other.own.peer_address,
                "",
                alive=True,
                draining=False,
            )
            for other in self.cluster.daemons.values()
        }

    @stateful.rule(vm=VMS)
    def kill(self, vm: int) -> None:
        del self.cluster.daemons[self.daemon(vm).own.peer_address]

    @stateful.rule(vm=VMS)
    def replace_vm(self, vm: int) -> None:
        """Replace a VM by a new one with the same address."""
        self.vm_ids[vm] = f"{self.vm_ids[vm]}+"
        self.start_on(vm, lag=0)
        trio.run(self.daemon(vm).claims.step)

    @stateful.rule(vm=VMS)
    def pause_or_resume(self, vm: int) -> None:
        daemon = self.cluster.daemons.get(self.address(vm))
        if daemon is not None:
            daemon.paused = not daemon.paused

    @stateful.rule(vm=VMS)
    def adopt(self, vm: int) -> None:
        daemon = self.daemon(vm)
        self.set_revision(daemon.board, len(self.revisions))
        daemon.claims.publish()
        self.copy_members(daemon)
        trio.run(daemon.claims.step)

    @stateful.rule(vm=VMS, lag=strategies.integers(0, 2))
    def read_vm_list(self, vm: int, lag: int) -> None:
        """Publish a new VM list; a daemon reads it or an older one."""
        as_of_s = self.lists[-1].as_of_s + 1
        ids = frozenset(self.vm_ids)
        self.lists.append(shareclaim.VmListing(ids, as_of_s))
        vms = self.lists[max(0, len(self.lists) - 1 - lag)]
        daemon = self.daemon(vm)
        daemon.claims.set_vm_list(vms)
        trio.run(daemon.claims.step)

    @stateful.rule(
        share_count=strategies.integers(1, 4),
        holders=strategies.integers(1, 2),
        cells=strategies.integers(1, 3),
        vm=VMS,
    )
    def change_plan(
        self, share_count: int, holders: int, cells: int, vm: int
    ) -> None:
        """Publish a new plan, which one daemon adopts."""
        plan = schema.SharePlan(
            generation=len(self.revisions) + 1,
            share_count=share_count,
            holders_per_leaf=holders,
            cells_per_group=cells,
        )
        self.revisions.append(settings_of(plan))
        self.adopt(vm)

    @stateful.rule(
        vm=VMS, other=VMS, at_call=strategies.integers(0, 6), faults=FAULTS
    )
    def step(
        self,
        vm: int,
        other: int,
        at_call: int,
        faults: list[memorystore.WriteFault],
    ) -> None:
        """Run a step of a daemon; at one of its calls another runs one."""
        daemon = self.daemon(vm)
        waiting = list(faults)
        store = self.cluster.store
        store.fault = lambda _key: (
            waiting.pop() if waiting else memorystore.WriteFault.NONE
        )
        second = self.cluster.daemons.get(self.address(other))
        store.countdown = -1
        if second is not None and second is not daemon and not second.paused:
            store.hook = second.claims.step
            store.countdown = at_call
        trio.run(daemon.claims.step)

    @stateful.rule(vm=VMS, other=VMS, at_call=strategies.integers(1, 3))
    def race(self, vm: int, other: int, at_call: int) -> None:
        """Let daemons on two new VMs claim shares at the same time."""
        for each in (vm, other):
            self.vm_ids[each] = f"{self.vm_ids[each]}+"
            self.start_on(each, lag=0)
            vms = frozenset(self.vm_ids)
            as_of_s = self.lists[-1].as_of_s + 1
            self.lists.append(shareclaim.VmListing(vms, as_of_s))
        for each in (vm, other):
            self.daemon(each).claims.set_vm_list(self.lists[-1])
        self.step(vm, other, at_call, [])

    @stateful.rule(vm=VMS, other=VMS, cut=strategies.sets(VMS))
    def release(self, vm: int, other: int, cut: set[int]) -> None:
        """Stop a process as planned; another one may claim its share."""
        daemon = self.daemon(vm)
        trio.run(daemon.claims.release)
        del self.cluster.daemons[daemon.own.peer_address]
        self.cluster.cut = {self.address(each) for each in cut}
        trio.run(self.daemon(other).claims.step)

    @stateful.rule(vm=VMS, other=VMS, cut=strategies.sets(VMS))
    def release_and_return(self, vm: int, other: int, cut: set[int]) -> None:
        """Stop as planned and start on the same VM in an outage."""
        self.release(vm, other, cut)
        self.restart_in_outage(vm, 0)

    @stateful.rule(vm=VMS, lag=strategies.integers(0, 1))
    def restart_in_outage(self, vm: int, lag: int) -> None:
        """Restart while the object API is down."""
        self.cluster.store.set_down(True)
        self.cluster.cut.clear()
        self.cluster.delays_messages = False
        self.start_on(vm, lag)
        trio.run(self.daemon(vm).claims.step)
        self.cluster.store.set_down(False)

    @stateful.rule(down=strategies.booleans())
    def outage(self, down: bool) -> None:
        self.cluster.store.set_down(down)

    @stateful.rule(vms=strategies.sets(VMS))
    def cut_off(self, vms: set[int]) -> None:
        self.cluster.cut = {self.address(vm) for vm in vms}

    @stateful.rule(delaying=strategies.booleans())
    def delay_messages(self, delaying: bool) -> None:
        self.cluster.delays_messages = delaying

    @stateful.rule()
    def deliver_late(self) -> None:
        """Apply the late writes and deliver the late messages."""
        self.cluster.store.apply_delayed()
        late, self.cluster.late_messages = self.cluster.late_messages, []
        for peer, body in late:
            running = self.cluster.daemons.get(peer.own.peer_address)
            # A connection ends with its process, so a late message never
            # reaches the next process at the address.
            if running is peer and not peer.paused:
                hello = wire.HelloFrame(1, 0, "", "", "", "", "")
                trio.run(peer.handlers.handle, hello, body)

    @stateful.invariant()
    def limits_hold(self) -> None:
        self.cluster.check()


def run_machine(example_count: int, phases: list[hypothesis.Phase]) -> None:
    """Run the machine on a fixed series of examples."""
    stateful.run_state_machine_as_test(
        ShareMachine,
        settings=hypothesis.settings(
            max_examples=example_count,
            stateful_step_count=60,
            derandomize=True,
            database=None,
            deadline=None,
            phases=phases,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


class ShareTest(testtools.TestCase):
    """Run the machine on the code as it is and with each defect."""

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.disable("plantainhook")
        self.addCleanup(loguru.logger.enable, "plantainhook")

    def test_limits_hold(self) -> None:
        """Guard against an order of faults in which a limit is exceeded."""
        run_machine(60, [hypothesis.Phase.generate])

    def test_claims_at_once(self) -> None:
        """Guard against daemons that get no share when all start at once."""
        machine = ShareMachine()
        for vm in range(SHARE_COUNT):
            machine.start_on(vm, lag=0)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for daemon in machine.cluster.daemons.values():
                    nursery.start_soon(daemon.claims.step)

        trio.run(run)
        held = [
            daemon.board.shares.own_share
            for daemon in machine.cluster.daemons.values()
        ]
        self.assertEqual(list(range(SHARE_COUNT)), sorted(held, key=str))

    def assert_defect_is_found(self) -> None:
        """Check that the machine fails with the defect."""

        def run() -> None:
            run_machine(400, [hypothesis.Phase.generate])

        self.assertRaises(AssertionError, run)

    def test_finds_takeover_by_time(self) -> None:
        """Guard against a machine that misses claims that expire by time.

        The owner may be paused and still hold its connections.
        """
        rules = shareclaim.TAKEOVER_RULES

        @rules.register("expired")
        def is_expired(
            claim: shareclaim.Claim,
            claimant: shareclaim.Claimant,
            vms: shareclaim.VmListing,
        ) -> bool:
            return vms.as_of_s > claim.listed_as_of_s + 1

        self.addCleanup(rules._factories.pop, "expired")
        self.assert_defect_is_found()

    def test_finds_unlisted_vm_treated_as_gone(self) -> None:
        """Guard against a machine that uses no stale VM lists.

        The defect treats a VM that was never listed as one that is gone.
        """
        rules = shareclaim.TAKEOVER_RULES._factories
        self.addCleanup(rules.update, dict(rules))
        rules[shareclaim.TakeoverReason.VM_GONE] = (
            lambda claim, claimant, vms: claim.vm_id not in vms.vm_ids
        )
        self.assert_defect_is_found()

    def test_finds_plans_of_others_ignored(self) -> None:
        """Guard against a machine in which plans never overlap.

        The defect ignores the plans of other daemons.
        """
        self.patch(
            shareclaim, "active_plans", lambda claims, own, vms: frozenset()
        )
        self.assert_defect_is_found()

    def test_finds_release_before_confirmation(self) -> None:
        """Guard against a machine in which peers keep no stale copies.

        The defect releases a share before the peers have confirmed.
        """

        async def forget(*arguments: object) -> bool:
            return True

        self.patch(claimmemory.ClaimMemory, "forget", forget)
        self.assert_defect_is_found()

    def test_finds_unconfirmed_write(self) -> None:
        """Guard against a machine in which no replies are lost.

        The defect treats a write without a reply as successful.
        """
        write = claimstore.ClaimStore.write

        async def write_or_assume_success(
            store: claimstore.ClaimStore,
            scope: str,
            before: shareclaim.StoredClaim,
            claim: shareclaim.Claim,
        ) -> shareclaim.StoredClaim:
            written = await write(store, scope, before, claim)
            return written or dataclasses.replace(before, claim=claim)

        self.patch(claimstore.ClaimStore, "write", write_or_assume_success)
        self.patch(shares.ShareClaims, "_is_mine", lambda claims, each: True)
        self.assert_defect_is_found()


class PlanTest(testtools.TestCase):
    """Check the division of connection limits."""

    @hypothesis.given(
        strategies.integers(1, 40),
        strategies.integers(1, 12),
        strategies.integers(1, 200),
    )
    def test_sum_within_limit(
        self, share_count: int, holders: int, limit: int
    ) -> None:
        """Guard against allotments that add up to more than the limit."""
        plan = shareplan.Plan(1, share_count, holders, 1)
        view = blackboard.build_settings_view(
            1, settings_of(schema.SharePlan()), 0.0, "test"
        )
        leaf = dataclasses.replace(
            view.leafs["leaf-0"], connection_limit_count=limit
        )
        total = sum(
            shareplan.allotment(leaf, share, plan)
            for share in range(share_count)
        )
        self.assertLessEqual(total, limit)

    def test_moved_leafs(self) -> None:
        """Guard against a leaf whose holders change in one generation."""
        old = settings_of(schema.SharePlan())
        same = settings_of(schema.SharePlan())
        self.assertEqual([], shareplan.moved_leafs(old, same))
        moved = settings_of(schema.SharePlan())
        moved.group["other"] = moved.group.pop("group-1")
        self.assertEqual(["leaf-1"], shareplan.moved_leafs(old, moved))
        changed = settings_of(schema.SharePlan(share_count=9))
        self.assertEqual(["share_plan"], shareplan.moved_leafs(old, changed))
        raised = settings_of(schema.SharePlan(generation=2, share_count=9))
        self.assertEqual([], shareplan.moved_leafs(old, raised))
