"""Run a small cluster on a virtual clock, for the fault matrix.

The cluster has three complete daemons, four stand-in leafs, an in-memory
object API and an in-memory VM list. What the daemons talk to is wrapped
(``matrixwrappers``, ``matrixsteps``), so that ``Cluster.record_step`` is
called when a query, a settings change or a stop reaches a step. A test case
adds a hook to a step; the hook injects a fault from ``matrixfaults``. Every
random generator and trio's scheduling are seeded, so a case is repeatable.
"""

import dataclasses
import errno
import json
import random
import typing
from collections import abc

import result
import trio
import trio.testing

from plantainhook import (
    callerapi,
    daemon,
    daemonenvironment,
    errors,
    leafprotocol,
    leaftransport,
    memorynet,
    objectapifake,
    options,
    peers,
    schema,
    settingsapply,
    settingschunks,
    settingsobjects,
    settingsstore,
    standin_leaf,
    standin_model,
    steps,
    wire,
)
from tests import leafhelp, matrixlayout, matrixsteps, matrixwrappers

DEADLINE_MS: typing.Final = 2000
# The deadline of the request kinds, plus a second for delays that a real
# network would add.
ANSWER_LIMIT_S: typing.Final = 3.0
DAEMON_COUNT: typing.Final = 3
APPLY_RETRY_S: typing.Final = 1.0
READY_TIMEOUT_S: typing.Final = 60.0


Hook = abc.Callable[[], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Node:
    """Represent a running daemon.

    Cancelling ``scope`` kills it. ``revisions`` lists the settings revisions
    it had in force, sampled at short intervals.
    """

    daemon: daemon.Daemon
    scope: trio.CancelScope
    revisions: list[int] = dataclasses.field(default_factory=list)

    def is_alive(self) -> bool:
        """Return whether the daemon was not killed and has not stopped."""
        return not (self.scope.cancel_called or self.daemon.stopped.is_set())


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Record a request and what its caller received.

    ``may_lack_reply`` is set if the caller cancelled or its daemon was
    killed; otherwise a missing response is a fault.
    """

    body: callerapi.QueryBody
    response: callerapi.Response | None
    may_lack_reply: bool
    duration_s: float


class Cluster:
    """Build and run the cluster in the running trio loop.

    Fault injectors change its attributes and call its methods.
    ``violations`` lists the violations that scenarios find, ``paused_s`` is
    the total time of all pauses, and ``draining_since_s`` maps the names of
    draining leafs to the time at which they began.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        mock_clock: trio.testing.MockClock,
        seed: int,
    ) -> None:
        self.nursery = nursery
        self.mock_clock = mock_clock
        self.paused_s = 0.0
        self.violations: list[str] = []
        self.draining_since_s: dict[str, float] = {}
        self.rng = random.Random(seed)
        self.clock = matrixwrappers.AdjustableClock()
        self.api = objectapifake.FakeObjectApi()
        self.vms: dict[str, leafprotocol.VmEntry] = {}
        self.network = memorynet.MemoryNetwork(
            nursery, random.Random(seed + 1)
        )
        self.leaf_network = leafhelp.Network(nursery)
        self.leafs: dict[str, standin_leaf.StandinLeaf] = {}
        self.nodes: list[Node] = []
        self.exchanges: list[Exchange] = []
        self.reached_steps: set[steps.Step] = set()
        self.writes_slowly = False
        self.duplicates_replies = False
        self.descriptors_used_up = False
        self.caller_scope: trio.CancelScope | None = None
        self.settings = schema.Settings()
        self.store = settingsstore.SettingsStore(self.api, self.clock)
        self._hooks: dict[steps.Step, list[Hook]] = {}

    # Steps

    def add_hook(self, step: steps.Step, hook: Hook) -> None:
        """Run a hook the first time the step is reached."""
        self._hooks.setdefault(step, []).append(hook)

    async def record_step(self, step: steps.Step) -> None:
        """Record that a step is reached, and run its hooks."""
        self.reached_steps.add(step)
        for hook in self._hooks.pop(step, []):
            await hook()

    # Set-up

    async def start(self) -> None:
        """Start leafs and daemons, apply the settings, wait until ready.

        Raises trio.TooSlowError if a daemon does not become ready.
        """
        for number, name in enumerate(matrixlayout.LEAF_PLACEMENTS):
            self._add_leaf(name, number)
        self.settings = self._build_settings()
        await self.apply(settingsobjects.specs_of(self.settings))
        for number in range(DAEMON_COUNT):
            await self.start_daemon(number)
        with trio.fail_after(READY_TIMEOUT_S):
            while not all(self._is_ready(node) for node in self.nodes):
                await trio.sleep(0.1)

    def _add_leaf(self, name: str, number: int) -> None:
        _, _, shards = matrixlayout.LEAF_PLACEMENTS[name]
        leaf = standin_leaf.StandinLeaf(
            name,
            {1: set(shards)},
            standin_model.Behaviour(connection_limit_count=8),
            seed=number,
        )
        start = leaf.journal.start

        def recorded_start(*args: typing.Any) -> typing.Any:
            self.nursery.start_soon(self.record_step, steps.Step.QUERY_WAIT)
            return start(*args)

        journal: typing.Any = leaf.journal
        journal.start = recorded_start
        self.leafs[name] = leaf
        self.leaf_network.servers[matrixlayout.leaf_address(number)] = leaf

    def _build_settings(self) -> schema.Settings:
        groups: dict[str, schema.Group] = {}
        for number, (name, placement) in enumerate(
            matrixlayout.LEAF_PLACEMENTS.items()
        ):
            data_centre, group, _ = placement
            leaf = schema.Leaf(
                name=name,
                address=matrixlayout.leaf_address(number),
                data_centre=data_centre,
                slot_count=2,
                connection_limit_count=8,
            )
            group_settings = groups.setdefault(
                group, schema.Group.model_construct(service="s", leafs=[])
            )
            group_settings.leafs.append(leaf)
        record_rules = schema.Rules(
            idempotent=False,
            deadline_ms=DEADLINE_MS,
            min_coverage_ratio=1.0,
            below_min=schema.BelowMin.REFUSE,
        )
        return schema.Settings(
            defaults=schema.Defaults(deadline_ms=DEADLINE_MS),
            data_centre={f"dc-{n}": schema.DataCentre() for n in (1, 2, 3)},
            service={"s": schema.Service()},
            request_kind={
                "search": schema.RequestKind(),
                "record": schema.RequestKind(rules=record_rules),
            },
            group=groups,
            target={"t": schema.Target(groups=sorted(groups))},
            index={
                f"t{schema.INDEX_KEY_SEPARATOR}1": matrixlayout.build_index(1)
            },
            share_plan=schema.SharePlan(share_count=4, holders_per_leaf=4),
        )

    async def start_daemon(self, number: int) -> Node:
        """Start a daemon on the VM with this number."""
        run_options = options.Options(
            name=f"d{number}",
            vm_id=f"vm-{number}",
            # Two daemons share a data centre, and one of them watches the
            # object API for both. The other one receives new revisions
            # from its peer.
            data_centre=f"dc-{number // 2 + 1}",
            watcher_count=1,
            watch_timeout_s=1.0,
            peer_address=f"10.1.0.{number}:7080",
            seed_peers=["10.1.0.0:7080", "10.1.0.1:7080"],
            drain_notice_s=0.5,
        )
        self.vms[run_options.vm_id] = leafprotocol.VmEntry(
            run_options.vm_id,
            run_options.peer_address,
            run_options.data_centre,
            "live",
        )
        node: Node = await self.nursery.start(
            self._run_daemon, run_options, self.rng.getrandbits(32)
        )
        self.nodes.append(node)
        return node

    async def _run_daemon(
        self,
        run_options: options.Options,
        seed: int,
        task_status: trio.TaskStatus[Node],
    ) -> None:
        environment = daemonenvironment.Environment(
            api=matrixwrappers.InstrumentedObjectApi(self.api, self),
            vm_list=matrixwrappers.FakeVmList(self.vms),
            connector=self._connect,
            build_links=self._build_links,
            serve_http=False,
            time_source=self.clock,
            seed=seed,
        )
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                running = daemon.Daemon(run_options, environment, nursery)
                node = Node(running, scope)
                matrixsteps.instrument_query_steps(self, running)
                matrixsteps.instrument_control_steps(self, running)
                nursery.start_soon(self._sample_revisions, node)
                await nursery.start(running.run)
                task_status.started(node)
                await running.stopped.wait()
                nursery.cancel_scope.cancel()

    def expect(self, condition: bool, violation: str) -> None:
        """Record a violation if a condition does not hold."""
        if not condition:
            self.violations.append(violation)

    async def load_default(self, revision: int, name: str) -> typing.Any:
        """Load the value of a default rule in a revision of the settings."""
        loaded = (await self.store.load_settings(revision)).unwrap()
        settings = settingsobjects.settings_of(loaded.records)
        return getattr(settings.defaults, name)

    def _build_links(
        self, hello: wire.HelloFrame, handlers: peers.Handlers
    ) -> daemonenvironment.PeerLinks:
        return matrixwrappers.MemoryLinks(self.network, hello, handlers)

    async def _connect(self, address: str) -> leaftransport.Transport:
        await self.record_step(steps.Step.QUERY_CONNECT)
        if self.descriptors_used_up:
            raise OSError(errno.EMFILE, "too many open files")
        return matrixwrappers.InstrumentedTransport(
            await self.leaf_network.connect(address), self
        )

    def _is_ready(self, node: Node) -> bool:
        board = node.daemon.board
        knows_leafs = len(board.leafs) == len(self.leafs)
        return knows_leafs and len(board.members) == DAEMON_COUNT

    async def _sample_revisions(self, node: Node) -> None:
        while True:
            node.revisions.append(node.daemon.board.settings.revision)
            await trio.sleep(0.05)

    def record_step_soon(self, step: steps.Step) -> None:
        """Record a step from code that is not async, in a new task."""
        self.nursery.start_soon(self.record_step, step)

    # Actions of operators and callers, and faults

    async def apply(self, specs: dict[str, settingsobjects.Spec]) -> int:
        """Apply settings objects and return the new revision."""
        request = settingsapply.Request(
            settingsobjects.Change(specs), author="operator"
        )
        applied = await self.store.apply(request)
        return applied.unwrap().revision.info.revision

    async def apply_with_retries(
        self, specs: dict[str, settingsobjects.Spec]
    ) -> None:
        """Apply settings objects, and retry after a conflict or an outage."""
        while isinstance(
            await self.try_apply(specs), errors.PlantainhookError
        ):
            await trio.sleep(APPLY_RETRY_S)

    async def try_apply(
        self, specs: dict[str, settingsobjects.Spec]
    ) -> settingsapply.Applied | errors.PlantainhookError:
        """Apply settings objects as one of several operators.

        Returns the error if that fails, for example on a conflict.
        """
        store = settingsstore.SettingsStore(
            matrixwrappers.InstrumentedObjectApi(self.api, self), self.clock
        )
        request = settingsapply.Request(
            settingsobjects.Change(specs), author="operator"
        )
        applied = await store.apply(request)
        if isinstance(applied, result.Err):
            return applied.err_value
        return applied.ok_value

    def drain_leaf(self, name: str) -> None:
        """Start to drain a leaf, and record when."""
        self.leafs[name].drain()
        self.draining_since_s.setdefault(name, trio.current_time())

    def record_crashes(
        self, leaf: standin_leaf.StandinLeaf, crashes: list[str]
    ) -> None:
        """Record each crash by leaf name, and restart the leaf afterwards.

        The server of a real leaf would do the restart.
        """
        crash = leaf.crash

        def recorded_crash() -> None:
            crashes.append(leaf.name)
            crash()
            self.nursery.start_soon(leaf.recover)

        patched_leaf: typing.Any = leaf
        patched_leaf.crash = recorded_crash

    def reset_connections(self, name: str) -> None:
        """Drop every connection of a leaf."""
        leaf: typing.Any = self.leafs[name]
        for scope in list(leaf._connection_scopes):
            scope.cancel()

    def pause_processes(self, seconds: float) -> None:
        """Advance the clock as if all processes were paused meanwhile."""
        self.mock_clock.jump(seconds)
        self.paused_s += seconds

    def head_revision(self) -> int:
        """Return the revision that is in force in the object API."""
        revision: int = self.stored_value(settingschunks.HEAD_KEY)["revision"]
        return revision

    def stored_value(self, key: str) -> typing.Any:
        """Return a value stored in the object API, whatever its faults are.

        Raises KeyError if there is no such object.
        """
        entry = self.api.store.current(key)
        if entry is None or entry.text is None:
            raise KeyError(key)
        return json.loads(entry.text)

    def clear_store_faults(self) -> None:
        """End every fault of the object API."""
        self.api.faults = objectapifake.Faults()

    def live_nodes(self) -> list[Node]:
        """Return the daemons that are running."""
        return [node for node in self.nodes if node.is_alive()]

    async def query(self, kind: str, number: int, node: Node) -> Exchange:
        """Send one query as a caller and record the exchange.

        ``kind`` is "search" or "record" (not idempotent, needs a ticket), or
        "poison" or "poison-record" for the same with a parameter on which
        leafs can be set to crash.
        """
        params: dict[str, typing.Any] = {"number": number}
        if kind.startswith("poison"):
            params = {"poison": True}
            kind = "record" if kind == "poison-record" else "search"
        body = callerapi.QueryBody(target="t", kind=kind, params=params)
        if kind == "record":
            ticket = node.daemon.service.issue_tickets(1)[0]
            body = body.model_copy(update={"ticket": ticket})
        await self.record_step(steps.Step.QUERY_ACCEPT)
        return await self.send(body, node)

    async def send(self, body: callerapi.QueryBody, node: Node) -> Exchange:
        """Send a query body to a daemon and record the exchange.

        There is no response if the daemon dies.
        """
        responses: list[callerapi.Response] = []
        done = trio.Event()
        started_s = trio.current_time()

        async def answer() -> None:
            if not node.scope.cancel_called:
                responses.append(await node.daemon.service.query(body))
            done.set()

        async def give_up_if_dead() -> None:
            # A daemon that is no longer running never answers.
            while node.is_alive() and not done.is_set():
                await trio.sleep(0.01)
            done.set()

        with trio.CancelScope() as caller:
            self.caller_scope = caller
            async with trio.open_nursery() as nursery:
                nursery.start_soon(answer)
                nursery.start_soon(give_up_if_dead)
                await done.wait()
                nursery.cancel_scope.cancel()
        exchange = Exchange(
            body,
            responses[0] if responses else None,
            node.scope.cancel_called or caller.cancel_called,
            trio.current_time() - started_s,
        )
        self.exchanges.append(exchange)
        return exchange
