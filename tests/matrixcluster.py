"""A small deployment on a virtual clock, for the fault matrix.

Three whole daemons, four stand-in leafs, an in-memory object API and VM
list. Seams are wrapped so that ``reach`` is called when a query comes to a
step; a case registers there what has to go wrong. Everything is seeded, so
a case repeats exactly.
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
# The deadline of the kinds, and a second for what a real network would add.
ANSWER_LIMIT_S: typing.Final = 3.0
DAEMON_COUNT: typing.Final = 3
APPLY_AGAIN_S: typing.Final = 1.0
READY_TIMEOUT_S: typing.Final = 60.0


Hook = abc.Callable[[], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Node:
    """Hold a running daemon and the scope that kills it."""

    daemon: daemon.Daemon
    scope: trio.CancelScope
    revisions: list[int] = dataclasses.field(default_factory=list)

    def is_alive(self) -> bool:
        """Return whether the daemon was not killed and has not stopped."""
        return not (self.scope.cancel_called or self.daemon.stopped.is_set())


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Hold a request and what its caller received.

    ``may_lack_reply`` is set where the caller left or its daemon was killed.
    """

    body: callerapi.QueryBody
    response: callerapi.Response | None
    may_lack_reply: bool
    duration_s: float


class Cluster:
    """Build, run and disturb the deployment in the running trio loop."""

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
        """Run a hook once when the step is reached."""
        self._hooks.setdefault(step, []).append(hook)

    async def record_step(self, step: steps.Step) -> None:
        """Note a step and run its hooks."""
        self.reached_steps.add(step)
        for hook in self._hooks.pop(step, []):
            await hook()

    # Set-up

    async def start(self) -> None:
        """Start leafs and daemons, apply the settings, wait until ready."""
        for number, name in enumerate(matrixlayout.LEAF_SHARDS):
            self._add_leaf(name, number)
        self.settings = self._settings()
        await self.apply(settingsobjects.specs_of(self.settings))
        for number in range(DAEMON_COUNT):
            await self.start_daemon(number)
        with trio.fail_after(READY_TIMEOUT_S):
            while not all(self._is_ready(node) for node in self.nodes):
                await trio.sleep(0.1)

    def _add_leaf(self, name: str, number: int) -> None:
        _, _, shards = matrixlayout.LEAF_SHARDS[name]
        leaf = standin_leaf.StandinLeaf(
            name,
            {1: set(shards)},
            standin_model.Behaviour(connection_limit_count=8),
            seed=number,
        )
        start = leaf.journal.start

        def watched(*given: typing.Any) -> typing.Any:
            self.nursery.start_soon(self.record_step, steps.Step.QUERY_WAIT)
            return start(*given)

        wrapped: typing.Any = leaf.journal
        wrapped.start = watched
        self.leafs[name] = leaf
        self.leaf_network.servers[matrixlayout.address_of(number)] = leaf

    def _settings(self) -> schema.Settings:
        groups: dict[str, schema.Group] = {}
        for number, (name, placed) in enumerate(
            matrixlayout.LEAF_SHARDS.items()
        ):
            data_centre, group, _ = placed
            leaf = schema.Leaf(
                name=name,
                address=matrixlayout.address_of(number),
                data_centre=data_centre,
                slot_count=2,
                connection_limit_count=8,
            )
            known = groups.setdefault(
                group, schema.Group.model_construct(service="s", leafs=[])
            )
            known.leafs.append(leaf)
        record = schema.Rules(
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
                "record": schema.RequestKind(rules=record),
            },
            group=groups,
            target={"t": schema.Target(groups=sorted(groups))},
            index={
                f"t{schema.INDEX_KEY_SEPARATOR}1": matrixlayout.build_index(1)
            },
            share_plan=schema.SharePlan(share_count=4, holders_per_leaf=4),
        )

    async def start_daemon(self, number: int) -> Node:
        """Start a daemon on the VM of this number."""
        run_options = options.Options(
            name=f"d{number}",
            vm_id=f"vm-{number}",
            # Two daemons share a data centre and one watches for both, so
            # the other learns revisions from its peer.
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
        outside = daemonenvironment.Environment(
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
                running = daemon.Daemon(run_options, outside, nursery)
                node = Node(running, scope)
                matrixsteps.instrument_query_steps(self, running)
                matrixsteps.instrument_control_steps(self, running)
                nursery.start_soon(self._watch_revisions, node)
                await nursery.start(running.run)
                task_status.started(node)
                await running.stopped.wait()
                nursery.cancel_scope.cancel()

    def expect(self, holds: bool, text: str) -> None:
        """Note a promise that a scenario found broken."""
        if not holds:
            self.violations.append(text)

    async def load_default(self, revision: int, name: str) -> typing.Any:
        """Return a default of a revision at the object API."""
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
        known = len(board.leafs) == len(self.leafs)
        return known and len(board.members) == DAEMON_COUNT

    async def _watch_revisions(self, node: Node) -> None:
        while True:
            node.revisions.append(node.daemon.board.settings.revision)
            await trio.sleep(0.05)

    def record_step_soon(self, step: steps.Step) -> None:
        """Reach a step from code that cannot wait."""
        self.nursery.start_soon(self.record_step, step)

    # What operators and callers do

    async def apply(self, specs: dict[str, settingsobjects.Spec]) -> int:
        """Put objects in force and return the revision."""
        request = settingsapply.Request(
            settingsobjects.Change(specs), author="operator"
        )
        applied = await self.store.apply(request)
        return applied.unwrap().revision.info.revision

    async def apply_with_retries(
        self, specs: dict[str, settingsobjects.Spec]
    ) -> None:
        """Put objects in force, again after each lost race or outage."""
        while isinstance(
            await self.try_apply(specs), errors.PlantainhookError
        ):
            await trio.sleep(APPLY_AGAIN_S)

    async def try_apply(
        self, specs: dict[str, settingsobjects.Spec]
    ) -> settingsapply.Applied | errors.PlantainhookError:
        """Put objects in force as one of several operators."""
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
        """Let a leaf leave, and note when."""
        self.leafs[name].drain()
        self.draining_since_s.setdefault(name, trio.current_time())

    def record_crashes(
        self, leaf: standin_leaf.StandinLeaf, crashes: list[str]
    ) -> None:
        """Note each crash, and start the leaf again as its server would."""
        crash = leaf.crash

        def watched() -> None:
            crashes.append(leaf.name)
            crash()
            self.nursery.start_soon(leaf.recover)

        watched_leaf: typing.Any = leaf
        watched_leaf.crash = watched

    def reset_connections(self, name: str) -> None:
        """Drop every connection of a leaf."""
        hidden: typing.Any = self.leafs[name]
        for scope in list(hidden._connections):
            scope.cancel()

    def pause_processes(self, seconds: float) -> None:
        """Let time pass in which no process runs."""
        self.mock_clock.jump(seconds)
        self.paused_s += seconds

    def head_revision(self) -> int:
        """Return the revision in force according to the object API."""
        revision: int = self.stored_value(settingschunks.HEAD_KEY)["revision"]
        return revision

    def stored_value(self, key: str) -> typing.Any:
        """Return what the object API holds, past all of its faults."""
        entry = self.api.store.current(key)
        if entry is None or entry.text is None:
            raise KeyError(key)
        return json.loads(entry.text)

    def clear_store_faults(self) -> None:
        """End every fault of the object API."""
        self.api.faults = objectapifake.Faults()

    def live_nodes(self) -> list[Node]:
        """Return the daemons that run."""
        return [node for node in self.nodes if node.is_alive()]

    async def query(self, kind: str, number: int, node: Node) -> Exchange:
        """Send one query as a caller does and keep the exchange."""
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
        """Send a body to a daemon; a daemon that dies gives no response."""
        responses: list[callerapi.Response] = []
        done = trio.Event()
        started_s = trio.current_time()

        async def answer() -> None:
            if not node.scope.cancel_called:
                responses.append(await node.daemon.service.query(body))
            done.set()

        async def follow() -> None:
            # A daemon that has ended answers nothing any more.
            while node.is_alive() and not done.is_set():
                await trio.sleep(0.01)
            done.set()

        with trio.CancelScope() as caller:
            self.caller_scope = caller
            async with trio.open_nursery() as nursery:
                nursery.start_soon(answer)
                nursery.start_soon(follow)
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
