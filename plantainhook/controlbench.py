"""Measure the control plane: membership and gossip of many daemons.

``run`` takes ``BenchOptions`` and returns a ``Report``, which the command
``bench-control`` prints and ``capacity`` evaluates. The real code of all
daemons runs in one process on a virtual clock, over the in-memory transport
(``controlfleet``). Bytes are those of the encoded frames, without TCP, TLS
and IP headers. CPU time is the process time of the code including the
in-memory transport, but without sockets.
"""

import dataclasses
import pathlib
import statistics
import time
import typing
from collections import abc

import trio
import trio.testing

from plantainhook import controlfleet, gossip, membership

SETTLE_S: typing.Final = 10.0
CHANGE_INTERVAL_S: typing.Final = 10.0
CHANGE_COUNT: typing.Final = 3
PARTITION_S: typing.Final = 40.0
WAIT_TIMEOUT_S: typing.Final = 120.0
CHECK_INTERVAL_S: typing.Final = 0.05
MEMBERS_CHECK_INTERVAL_S: typing.Final = 1.0
PAGE_BYTES: typing.Final = 4096
SMALL_FLEET_MAX_COUNT: typing.Final = 21
LARGE_FLEET_CENTRE_COUNT: typing.Final = 14
SMALL_FLEET_CENTRE_COUNT: typing.Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class BenchOptions:
    """Define the parameters of one run."""

    daemon_count: int = 7
    loss_ratio: float = 0.0
    seed: int = 0
    spread: str = "push"
    digest_interval_s: float = 2.0
    partition: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Represent the cost of one phase; rates are per virtual second.

    ``bytes_per_s`` counts sent and received bytes and is the mean over all
    daemons, ``bytes_per_s_max`` is the highest of any daemon.
    ``messages_per_s`` and ``cpu_ratio`` are means per daemon.
    """

    virtual_s: float
    bytes_per_s: float
    bytes_per_s_max: float
    messages_per_s: float
    cpu_ratio: float
    platform_calls_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Represent the result of one run.

    Times are in virtual seconds. They run from the acceptance of a revision,
    or from the end of the partition, until all daemons have the revision or
    know all members; -1 means that this never happened. During the partition
    only the daemons outside the isolated data centre count.
    """

    options: BenchOptions
    in_force_s: list[float]
    steady: Usage
    memory_mb_per_daemon: float
    partition_in_force_s: float
    partition: Usage | None
    heal_in_force_s: float
    heal_members_s: float
    heal: Usage | None


class _Meter:
    """Measure the cost of a phase, from its construction on."""

    def __init__(self, fleet: controlfleet.Fleet) -> None:
        self._fleet = fleet
        self._bytes = self._bytes_now()
        self._messages = self._messages_now()
        self._calls = fleet.store.call_count
        self._virtual_s = trio.current_time()
        self._cpu_s = time.process_time()

    def _bytes_now(self) -> list[int]:
        return [
            node.transport.traffic.sent_bytes
            + node.transport.traffic.received_bytes
            for node in self._fleet.nodes
        ]

    def _messages_now(self) -> int:
        return sum(
            node.transport.traffic.message_count for node in self._fleet.nodes
        )

    def usage(self) -> Usage:
        """Return what was used since the meter was created."""
        cpu_s = time.process_time() - self._cpu_s
        passed_s = trio.current_time() - self._virtual_s
        count = len(self._fleet.nodes)
        used = [
            after - before
            for after, before in zip(
                self._bytes_now(), self._bytes, strict=True
            )
        ]
        messages = self._messages_now() - self._messages
        calls = self._fleet.store.call_count - self._calls
        return Usage(
            virtual_s=round(passed_s, 2),
            bytes_per_s=round(statistics.fmean(used) / passed_s, 1),
            bytes_per_s_max=round(max(used) / passed_s, 1),
            messages_per_s=round(messages / count / passed_s, 2),
            cpu_ratio=round(cpu_s / count / passed_s, 5),
            platform_calls_per_s=round(calls / passed_s, 2),
        )


async def _wait_until(
    is_done: abc.Callable[[], bool], interval_s: float = CHECK_INTERVAL_S
) -> float:
    """Return the virtual seconds until a condition holds.

    Returns -1 if it does not hold within ``WAIT_TIMEOUT_S``.
    """
    started_s = trio.current_time()
    while not is_done():
        if trio.current_time() - started_s > WAIT_TIMEOUT_S:
            return -1.0
        await trio.sleep(interval_s)
    return round(trio.current_time() - started_s, 2)


def _all_have_revision(
    nodes: abc.Sequence[controlfleet.Node], revision: int
) -> abc.Callable[[], bool]:
    return lambda: all(node.revision >= revision for node in nodes)


def _all_know_members(fleet: controlfleet.Fleet) -> bool:
    count = len(fleet.nodes)
    return all(node.live_count() == count for node in fleet.nodes)


def _resident_memory_mb() -> float:
    fields = pathlib.Path("/proc/self/statm").read_text("ascii").split()
    return int(fields[1]) * PAGE_BYTES / 1e6


def _fleet_options(options: BenchOptions) -> controlfleet.FleetOptions:
    is_large = options.daemon_count > SMALL_FLEET_MAX_COUNT
    return controlfleet.FleetOptions(
        daemon_count=options.daemon_count,
        data_centre_count=LARGE_FLEET_CENTRE_COUNT
        if is_large
        else SMALL_FLEET_CENTRE_COUNT,
        seed=options.seed,
        loss_ratio=options.loss_ratio,
        member_options=membership.MembershipOptions(),
        gossip_options=gossip.GossipOptions(
            strategy=options.spread,
            digest_interval_s=options.digest_interval_s,
            poll_interval_s=10.0 if options.spread == "poll" else 30.0,
        ),
    )


async def _measure(options: BenchOptions) -> Report:
    before_mb = _resident_memory_mb()
    async with trio.open_nursery() as nursery:
        fleet = controlfleet.Fleet(nursery, _fleet_options(options))
        await trio.sleep(SETTLE_S)
        in_force_s, steady = await _measure_steady(fleet)
        memory_mb = (_resident_memory_mb() - before_mb) / options.daemon_count
        report = Report(
            options=options,
            in_force_s=in_force_s,
            steady=steady,
            memory_mb_per_daemon=round(memory_mb, 2),
            partition_in_force_s=-1.0,
            partition=None,
            heal_in_force_s=-1.0,
            heal_members_s=-1.0,
            heal=None,
        )
        if options.partition:
            report = await _measure_partition(fleet, report)
        nursery.cancel_scope.cancel()
    return report


async def _measure_steady(
    fleet: controlfleet.Fleet,
) -> tuple[list[float], Usage]:
    """Write revisions at the target rate and time their dissemination.

    The target rate is one revision per ``CHANGE_INTERVAL_S``.
    """
    meter = _Meter(fleet)
    times = []
    for revision in range(1, CHANGE_COUNT + 1):
        await fleet.write_revision(revision)
        passed_s = await _wait_until(_all_have_revision(fleet.nodes, revision))
        times.append(passed_s)
        await trio.sleep(max(0.0, CHANGE_INTERVAL_S - passed_s))
    return times, meter.usage()


async def _measure_partition(
    fleet: controlfleet.Fleet, report: Report
) -> Report:
    """Partition a data centre from peers and platform, then reconnect it."""
    isolated_centre = fleet.nodes[0].hello.data_centre
    connected = [
        n for n in fleet.nodes if n.hello.data_centre != isolated_centre
    ]
    fleet.cut_addresses.update(
        node.hello.peer_address
        for node in fleet.nodes
        if node.hello.data_centre == isolated_centre
    )
    meter = _Meter(fleet)
    started_s = trio.current_time()
    await trio.sleep(PARTITION_S / 2)
    revision = CHANGE_COUNT + 1
    await fleet.write_revision(revision)
    in_force_s = await _wait_until(_all_have_revision(connected, revision))
    passed_s = trio.current_time() - started_s
    await trio.sleep(max(0.0, PARTITION_S - passed_s))
    partition = meter.usage()
    fleet.cut_addresses.clear()
    meter = _Meter(fleet)
    heal_s = await _wait_until(_all_have_revision(fleet.nodes, revision))
    members_s = await _wait_until(
        lambda: _all_know_members(fleet), MEMBERS_CHECK_INTERVAL_S
    )
    known_s = members_s if members_s < 0 else round(heal_s + members_s, 2)
    return dataclasses.replace(
        report,
        partition_in_force_s=in_force_s,
        partition=partition,
        heal_in_force_s=heal_s,
        heal_members_s=known_s,
        heal=meter.usage(),
    )


def run(options: BenchOptions) -> Report:
    """Run the benchmark on a virtual clock and return its report."""
    mock = trio.testing.MockClock(autojump_threshold=0)
    report: Report = trio.run(_measure, options, clock=mock)
    return report
