"""Start the cluster of the demo: stand-ins, settings and daemons.

All of them run as tasks of one process and communicate over loopback sockets,
as they would between machines.
"""

import contextlib
import dataclasses
import socket
import typing
from collections import abc

import hypercorn.config
import hypercorn.trio
import result
import trio

from plantainhook import (
    blackboard,
    clock,
    daemon,
    daemonenvironment,
    demonetwork,
    deployments,
    errors,
    leafpools,
    leafprotocol,
    objectapifake,
    objectapihttp,
    options,
    schema,
    settingsapply,
    settingsobjects,
    settingsstore,
    standin_leaf,
    standin_model,
    standin_platform,
    standin_vmlist,
    steps,
    vmlist,
)

HOST: typing.Final = "127.0.0.1"
FIRST_VERSION: typing.Final = 1
START_TIMEOUT_S: typing.Final = 30.0
# All daemons and leafs share one process here, so leafs are polled less
# often than by default; a leaving leaf is still noticed within 3 s.
LEAF_POLL_S: typing.Final = 2.0
WARM_UP_S: typing.Final = 2.0
OBJECT_API_CALLS_PER_S: typing.Final = 100.0


@dataclasses.dataclass(slots=True)
class Cluster:
    """Run the stand-ins and daemons of one deployment.

    ``addresses`` maps the names of leafs to their addresses, and ``zones``
    maps these addresses to data centres.
    """

    deployment: deployments.Deployment
    nursery: trio.Nursery
    api: objectapifake.FakeObjectApi
    api_url: str = ""
    vm_list: standin_vmlist.StandinVmList | None = None
    vm_list_url: str = ""
    leafs: dict[str, standin_leaf.StandinLeaf] = dataclasses.field(
        default_factory=dict
    )
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)
    zones: dict[str, str] = dataclasses.field(default_factory=dict)
    daemons: list[daemon.Daemon] = dataclasses.field(default_factory=list)
    settings: schema.Settings = dataclasses.field(
        default_factory=schema.Settings
    )
    store: settingsstore.SettingsStore | None = None

    async def start(self, daemon_count: int) -> None:
        """Start the stand-ins, apply the settings and start the daemons.

        Raises trio.TooSlowError if a daemon is not ready within
        ``START_TIMEOUT_S``.
        """
        await self._start_platform()
        await self._start_leafs()
        self.settings = deployments.build_settings(
            self.deployment, self.addresses, FIRST_VERSION
        )
        await self.apply(settingsobjects.specs_of(self.settings))
        seeds: list[str] = []
        for number in range(daemon_count):
            started = await self._start_daemon(number, seeds)
            seeds.append(started.options.peer_address)
        with trio.fail_after(START_TIMEOUT_S):
            await self.wait_ready()
        await trio.sleep(WARM_UP_S)

    async def wait_ready(self) -> None:
        """Wait until every daemon is serving and knows all leafs."""
        for running in self.daemons:
            while not self._is_ready(running):
                lifecycle_change = running.board.change_event(
                    blackboard.Topic.LIFE
                )
                leafs_change = running.board.change_event(
                    blackboard.Topic.LEAFS
                )
                await leafpools.wait_any([lifecycle_change, leafs_change])

    async def apply(self, specs: dict[str, settingsobjects.Spec]) -> int:
        """Apply settings objects and return the new revision."""
        if self.store is None:
            self.store = settingsstore.SettingsStore(
                self.api, clock.TrioClock()
            )
        change = settingsobjects.Change(specs)
        applied = await self.store.apply(
            settingsapply.Request(change, author="demo")
        )
        if isinstance(applied, result.Err):
            raise applied.err_value
        return applied.ok_value.revision.info.revision

    def _is_ready(self, running: daemon.Daemon) -> bool:
        serving = running.board.lifecycle is blackboard.LifecycleState.SERVING
        return serving and len(running.board.leafs) == len(self.leafs)

    async def _start_platform(self) -> None:
        port = free_port()
        config = hypercorn.config.Config()
        config.bind = [f"{HOST}:{port}"]
        config.errorlog = None
        app: typing.Any = standin_platform.build_app(self.api)
        await self.nursery.start(
            lambda task_status: hypercorn.trio.serve(
                app,
                config,
                shutdown_trigger=trio.sleep_forever,
                task_status=task_status,
            )
        )
        self.api_url = f"http://{HOST}:{port}"
        self.vm_list = standin_vmlist.StandinVmList([])
        address = await self.nursery.start(self.vm_list.serve, HOST, 0)
        self.vm_list_url = f"http://{address}"

    async def _start_leafs(self) -> None:
        for number, plan in enumerate(deployments.plan_leafs(self.deployment)):
            behaviour = standin_model.Behaviour(
                slot_count=plan.slot_count,
                connection_limit_count=plan.connection_limit_count,
                connect_ms=plan.connect_ms,
            )
            leaf = standin_leaf.StandinLeaf(
                plan.name,
                {FIRST_VERSION: set(plan.shards)},
                behaviour,
                seed=number,
            )
            address = await self.nursery.start(leaf.serve, HOST, 0)
            self.leafs[plan.name] = leaf
            self.addresses[plan.name] = address
            self.zones[address] = plan.data_centre

    async def _start_daemon(
        self, number: int, seeds: abc.Sequence[str]
    ) -> daemon.Daemon:
        run_options = options.Options(
            name=f"daemon-{number + 1}",
            vm_id=f"vm-{number + 1}",
            data_centre=deployments.data_centre_name(self.deployment, number),
            http_address=f"{HOST}:{free_port()}",
            peer_address=f"{HOST}:{free_port()}",
            object_api_url=self.api_url,
            vm_list_url=self.vm_list_url,
            seed_peers=list(seeds),
            drain_notice_s=1.0,
            leaf_poll_interval_s=LEAF_POLL_S,
        )
        if self.vm_list is None:
            raise errors.PlantainhookError(
                steps.Step.QUERY_PLAN, "demo", "the VM list is not running"
            )
        self.vm_list.set_vms(
            [vm_entry(running.options) for running in self.daemons]
            + [vm_entry(run_options)]
        )
        vm_list_client = vmlist.VmListClient(self.vm_list_url)
        api = objectapihttp.open_object_api(
            self.api_url,
            "",
            run_options.object_api_timeout_s,
            OBJECT_API_CALLS_PER_S,
            clock.TrioClock(),
        )
        started: daemon.Daemon = await self.nursery.start(
            self._run_daemon, run_options, api, vm_list_client
        )
        self.daemons.append(started)
        return started

    async def _run_daemon(
        self,
        run_options: options.Options,
        api: contextlib.AbstractAsyncContextManager[
            objectapihttp.HttpObjectApi
        ],
        vm_list_client: vmlist.VmListClient,
        task_status: trio.TaskStatus[daemon.Daemon],
    ) -> None:
        connector = demonetwork.delayed_connector(
            run_options.data_centre,
            self.zones,
            self.deployment.zone_delay_ms / 1000,
        )
        async with api as client, trio.open_nursery() as nursery:
            environment = daemonenvironment.Environment(
                client, vm_list_client, connector
            )
            running = daemon.Daemon(run_options, environment, nursery)
            await nursery.start(running.run)
            task_status.started(running)
            await running.stopped.wait()
            nursery.cancel_scope.cancel()


def vm_entry(run_options: options.Options) -> leafprotocol.VmEntry:
    """Return the entry of a daemon's VM in the VM list."""
    return leafprotocol.VmEntry(
        run_options.vm_id,
        run_options.peer_address,
        run_options.data_centre,
        "live",
    )


def free_port() -> int:
    """Return a loopback port that was free when it was probed."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port
