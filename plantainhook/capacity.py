"""Measure how costs grow with size, for ``docs/CAPACITY.md``.

``measure`` runs the real code at a few sizes and returns the costs, and
``fit_line`` fits a line to them; ``capacitytables`` prints both. CPU time is
the process time of this process. Each CPU figure is the minimum of several
rounds, because other work on the machine only adds to it.
"""

import dataclasses
import math
import pathlib
import statistics
import time
import typing
from collections import abc

import msgspec
import trio

from plantainhook import (
    benchcpu,
    controlbench,
    leafprotocol,
    objectapifake,
    peerframes,
    revisions,
    settingscost,
    settingsobjects,
    wire,
)

POLICY: typing.Final = "adaptive"
FRAMES_PER_WRITE: typing.Final = (1, 32, 160)
FRAMES_TOTAL_COUNT: typing.Final = 4_800
FRAME_ROUND_COUNT: typing.Final = 3
FRAME_LIMIT_BYTES: typing.Final = 4_194_304
SETTINGS_LEAF_COUNTS: typing.Final = (1_000, 5_000, 21_000)
CONTROL_DAEMON_COUNTS: typing.Final = (70, 140, 280)
SETTINGS_OBJECT_COUNTS: typing.Final = (500, 2_000, 8_000)
VM_COUNTS: typing.Final = (1_000, 5_000, 25_900)
VM_LIST_ROUND_COUNT: typing.Final = 7
LOOPBACK: typing.Final = "127.0.0.1"


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Represent one measurement: a size and the cost at that size."""

    size: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Represent a least-squares line and its goodness of fit.

    ``deviation_ratio`` is the largest distance of a point from the line,
    relative to the cost of the point. ``r_squared`` is 1 for a perfect fit.
    """

    intercept: float
    slope: float
    r_squared: float
    deviation_ratio: float

    def cost_at(self, size: float) -> float:
        """Return the cost that the line predicts for a size."""
        return self.intercept + self.slope * size


@dataclasses.dataclass(frozen=True, slots=True)
class Measurements:
    """Store all measurements of one run of the command.

    ``load_average`` is that of the last minute before the run.
    """

    decision_us: tuple[Point, ...]
    frame_us: tuple[Point, ...]
    settings_bytes: tuple[Point, ...]
    settings: tuple[settingscost.Cost, ...]
    vm_list_ms: tuple[Point, ...]
    vm_list_bytes: tuple[Point, ...]
    control: tuple[controlbench.Report, ...]
    load_average: float


def fit_line(points: abc.Sequence[Point]) -> Line:
    """Fit a line by least squares.

    Raises ValueError for fewer than three points, because a line through two
    points fits by construction.
    """
    if len(points) < 3:
        raise ValueError(f"a line needs 3 points, got {len(points)}")
    sizes = [point.size for point in points]
    costs = [point.cost for point in points]
    slope, intercept = statistics.linear_regression(sizes, costs)
    errors = [
        cost - intercept - slope * size
        for size, cost in zip(sizes, costs, strict=True)
    ]
    mean = statistics.fmean(costs)
    total = sum((cost - mean) ** 2 for cost in costs)
    r_squared = 1.0 - sum(e * e for e in errors) / total if total else 1.0
    deviation = max(
        abs(error / cost) if cost else 0.0
        for error, cost in zip(errors, costs, strict=True)
    )
    return Line(intercept, slope, r_squared, deviation)


def measure_decisions() -> tuple[Point, ...]:
    """Measure the CPU of a query's decisions in microseconds by fan-out."""
    return tuple(
        Point(
            fan_out,
            min(
                benchcpu.measure_fan_out(POLICY, fan_out)
                for _ in range(benchcpu.ROUND_COUNT)
            )
            * 1e6,
        )
        for fan_out in benchcpu.FAN_OUTS
    )


def measure_frames() -> tuple[Point, ...]:
    """Measure the CPU per frame in microseconds by frames per write.

    Each frame is encoded, written, read and decoded. Both ends of the TCP
    connection are in this process, over loopback and without TLS.
    """
    return tuple(
        Point(
            batch,
            min(
                trio.run(_measure_frame_us, batch)
                for _ in range(FRAME_ROUND_COUNT)
            ),
        )
        for batch in FRAMES_PER_WRITE
    )


async def _measure_frame_us(batch: int) -> float:
    listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, _reply_to_requests, listeners)
        async with await trio.open_tcp_stream(LOOPBACK, port) as stream:
            us_per_frame = await _exchange(stream, batch, nursery)
        nursery.cancel_scope.cancel()
    return us_per_frame


async def _exchange(
    stream: trio.abc.Stream, batch: int, nursery: trio.Nursery
) -> float:
    """Send batches of requests, read the replies, return us per frame."""
    queue = peerframes.WriteQueue(FRAME_LIMIT_BYTES)
    nursery.start_soon(queue.write_all, stream)
    reader = peerframes.FrameReader(stream, "bench", FRAME_LIMIT_BYTES)
    writes = FRAMES_TOTAL_COUNT // batch
    started_s = time.process_time()
    for _ in range(writes):
        for number in range(batch):
            queue.put(wire.RequestFrame(number, _build_leaf_work(number)))
        for _ in range(batch):
            received = await reader.next_frame()
            if received is None or received.is_err():
                raise RuntimeError(
                    "the peer closed the connection of the benchmark"
                )
    used_s = time.process_time() - started_s
    return used_s / (2 * writes * batch) * 1e6


async def _reply_to_requests(stream: trio.abc.Stream) -> None:
    """Reply to each request on a connection."""
    queue = peerframes.WriteQueue(FRAME_LIMIT_BYTES)
    reader = peerframes.FrameReader(stream, "bench", FRAME_LIMIT_BYTES)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(queue.write_all, stream)
        while (received := await reader.next_frame()) is not None:
            frame = received.unwrap()
            if isinstance(frame, wire.RequestFrame):
                done = wire.LeafWorkDone(1, b'{"s1":[{"id":1,"score":0.5}]}')
                queue.put(wire.ReplyFrame(frame.request_id, done))
        nursery.cancel_scope.cancel()


def _build_leaf_work(number: int) -> wire.LeafWork:
    return wire.LeafWork(
        f"leaf-{number}",
        f"q-{number}",
        "search",
        "0123456789abcdef",
        1,
        [f"s-{number}"],
        b'{"text":"archive","limit":10}',
        59,
        True,
    )


def measure_settings_frames() -> tuple[Point, ...]:
    """Measure the bytes of a frame with all settings by number of leafs."""
    return tuple(
        Point(count, settings_bytes(count)) for count in SETTINGS_LEAF_COUNTS
    )


def settings_bytes(leaf_count: int) -> int:
    """Return the bytes of the frame that carries a full copy of settings."""
    groups = leaf_count // settingscost.LEAFS_PER_GROUP_COUNT
    specs = settingscost.example_specs(2 * groups + 2)
    change = settingsobjects.Change(
        {
            name: spec
            for name, spec in specs.items()
            if "request_kind" not in name
        }
    )
    info = revisions.Info(1, "operator", 1.8e9, "request")
    records = settingsobjects.change_records({}, change, info)
    revision, _ = revisions.build(info, records)
    full_delta = revisions.delta(revisions.empty(), revision)
    return len(wire.encode_frame(wire.RequestFrame(1, full_delta)))


def measure_settings_costs() -> tuple[settingscost.Cost, ...]:
    """Measure the cost of settings operations by number of objects."""
    return tuple(
        trio.run(settingscost.measure, objectapifake.FakeObjectApi(), count)
        for count in SETTINGS_OBJECT_COUNTS
    )


def measure_vm_lists() -> tuple[Point, ...]:
    """Measure the CPU in ms to decode a VM list by number of VMs."""
    return tuple(Point(count, vm_list_ms(count)) for count in VM_COUNTS)


def vm_list_ms(vm_count: int) -> float:
    """Return the CPU time in ms to decode one reply of the VM list."""
    text = build_vm_list(vm_count)
    decoder = msgspec.json.Decoder(leafprotocol.VmListing)
    best_s = math.inf
    for _ in range(VM_LIST_ROUND_COUNT):
        started_s = time.process_time()
        decoder.decode(text)
        best_s = min(best_s, time.process_time() - started_s)
    return best_s * 1e3


def build_vm_list(vm_count: int) -> bytes:
    """Build a reply of the VM list with short names and addresses."""
    vms = tuple(
        leafprotocol.VmEntry(
            f"vm-{number}",
            f"10.{number // 62_500}.{number // 250 % 250}.{number % 250}:9000",
            f"dc-{number % 14}",
            "live",
        )
        for number in range(vm_count)
    )
    return msgspec.json.encode(leafprotocol.VmListing(vms, 1.0))


def measure_control_plane() -> tuple[controlbench.Report, ...]:
    """Measure the cost of the control plane by number of daemons."""
    return tuple(
        controlbench.run(
            controlbench.BenchOptions(daemon_count=count, partition=False)
        )
        for count in CONTROL_DAEMON_COUNTS
    )


def measure() -> Measurements:
    """Run all measurements, which takes a few minutes."""
    load = pathlib.Path("/proc/loadavg").read_text("ascii").split()
    return Measurements(
        measure_decisions(),
        measure_frames(),
        measure_settings_frames(),
        measure_settings_costs(),
        measure_vm_lists(),
        tuple(Point(n, len(build_vm_list(n))) for n in VM_COUNTS),
        measure_control_plane(),
        float(load[0]),
    )
