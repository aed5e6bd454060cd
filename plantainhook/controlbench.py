"""Measures the control plane: membership and gossip of many daemons.

Runs the real code in one process over the in-memory transport, on a virtual
clock. Bytes are the encoded frames without TCP, TLS and IP headers; CPU is
the process time of the code and the transport's own work, without sockets.
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
LIMIT_S: typing.Final = 120.0
LOOK_S: typing.Final = 0.05
LOOK_MEMBERS_S: typing.Final = 1.0
PAGE_BYTES: typing.Final = 4096
FEW_DAEMONS: typing.Final = 21
MANY_CENTRES: typing.Final = 14
FEW_CENTRES: typing.Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class BenchOptions:
    """Hold the shape of one run."""

    daemon_count: int = 7
    loss_ratio: float = 0.0
    seed: int = 0
    spread: str = "push"
    digest_interval_s: float = 2.0
    partition: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Hold what one phase cost; rates are per virtual second.

    ``bytes_per_s`` counts sent and received bytes of the mean daemon.
    """

    virtual_s: float
    bytes_per_s: float
    bytes_per_s_max: float
    messages_per_s: float
    cpu_ratio: float
    platform_calls_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold the result of one run.

    Times are virtual seconds from accept, or from healing, until all
    daemons have the revision or know all members; -1 means never.
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
    """Measure the cost of a phase."""

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
        """Return what was used since the meter was made."""
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


async def _wait(
    is_done: abc.Callable[[], bool], look_s: float = LOOK_S
) -> float:
    """Return the virtual seconds until a condition holds, or -1."""
    started_s = trio.current_time()
    while not is_done():
        if trio.current_time() - started_s > LIMIT_S:
            return -1.0
        await trio.sleep(look_s)
    return round(trio.current_time() - started_s, 2)


def _all_have(
    nodes: abc.Sequence[controlfleet.Node], revision: int
) -> abc.Callable[[], bool]:
    return lambda: all(node.revision >= revision for node in nodes)


def _all_know(fleet: controlfleet.Fleet) -> bool:
    count = len(fleet.nodes)
    return all(node.live_count() == count for node in fleet.nodes)


def _resident_mb() -> float:
    fields = pathlib.Path("/proc/self/statm").read_text("ascii").split()
    return int(fields[1]) * PAGE_BYTES / 1e6


def _fleet_options(options: BenchOptions) -> controlfleet.FleetOptions:
    many = options.daemon_count > FEW_DAEMONS
    return controlfleet.FleetOptions(
        daemon_count=options.daemon_count,
        data_centre_count=MANY_CENTRES if many else FEW_CENTRES,
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
    before_mb = _resident_mb()
    async with trio.open_nursery() as nursery:
        fleet = controlfleet.Fleet(nursery, _fleet_options(options))
        await trio.sleep(SETTLE_S)
        in_force_s, steady = await _steady(fleet)
        memory_mb = (_resident_mb() - before_mb) / options.daemon_count
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
            report = await _disturbed(fleet, report)
        nursery.cancel_scope.cancel()
    return report


async def _steady(
    fleet: controlfleet.Fleet,
) -> tuple[list[float], Usage]:
    """Accept revisions at the target's rate."""
    meter = _Meter(fleet)
    times = []
    for revision in range(1, CHANGE_COUNT + 1):
        await fleet.write_revision(revision)
        passed_s = await _wait(_all_have(fleet.nodes, revision))
        times.append(passed_s)
        await trio.sleep(max(0.0, CHANGE_INTERVAL_S - passed_s))
    return times, meter.usage()


async def _disturbed(fleet: controlfleet.Fleet, report: Report) -> Report:
    """Cut a data centre off from peers and platform, then heal it."""
    centre = fleet.nodes[0].hello.data_centre
    inside = [n for n in fleet.nodes if n.hello.data_centre != centre]
    fleet.cut_addresses.update(
        node.hello.peer_address
        for node in fleet.nodes
        if node.hello.data_centre == centre
    )
    meter = _Meter(fleet)
    started_s = trio.current_time()
    await trio.sleep(PARTITION_S / 2)
    revision = CHANGE_COUNT + 1
    await fleet.write_revision(revision)
    in_force_s = await _wait(_all_have(inside, revision))
    passed_s = trio.current_time() - started_s
    await trio.sleep(max(0.0, PARTITION_S - passed_s))
    partition = meter.usage()
    fleet.cut_addresses.clear()
    meter = _Meter(fleet)
    heal_s = await _wait(_all_have(fleet.nodes, revision))
    members_s = await _wait(lambda: _all_know(fleet), LOOK_MEMBERS_S)
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
    """Run one benchmark on a virtual clock."""
    mock = trio.testing.MockClock(autojump_threshold=0)
    report: Report = trio.run(_measure, options, clock=mock)
    return report
