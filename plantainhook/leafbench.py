"""Benchmark of the CPU time of leaf calls through ``LeafGateway``.

Run ``plantainhook standin leaf`` in one process and
``python -m plantainhook.leafbench --address HOST:PORT`` in another. Only the
CPU time of the second process is reported.
"""

import argparse
import cProfile
import dataclasses
import pstats
import random
import sys
import time
import typing

import prometheus_client
import trio

from plantainhook import (
    blackboard,
    leafgateway,
    metrics,
    querytypes,
    schema,
)

PROFILE_LINES_COUNT: typing.Final = 30


@dataclasses.dataclass(slots=True)
class CallStats:
    """Count the calls of a run and collect their latencies."""

    ok_count: int = 0
    failed_count: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m plantainhook.leafbench")
    parser.add_argument("--address", required=True, metavar="HOST:PORT")
    parser.add_argument("--shards", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--concurrency", type=int, default=8)
    parser.add_argument("--profile", action="store_true")
    return parser


def build_board(address: str, limit_count: int) -> blackboard.Blackboard:
    """Return a blackboard whose settings contain one leaf."""
    leaf = schema.Leaf(
        name="leaf-0",
        address=address,
        data_centre="dc-1",
        slot_count=2,
        connection_limit_count=limit_count,
    )
    group = schema.Group(service="s", leafs=[leaf])
    board = blackboard.Blackboard(1)
    board.settings = blackboard.build_settings_view(
        1, schema.Settings(group={"g": group}), 0.0, "bench"
    )
    return board


async def run_worker(
    gateway: leafgateway.LeafGateway,
    shards: tuple[str, ...],
    worker: int,
    end_s: float,
    stats: CallStats,
) -> None:
    """Make calls one after another until a time on the trio clock."""
    number = 0
    while trio.current_time() < end_s:
        number += 1
        started_s = trio.current_time()
        send = querytypes.Send(
            0, "leaf-0", shards, 1, 0.0, querytypes.AttemptReason.FIRST
        )
        fields = leafgateway.RequestFields(
            f"{worker}-{number}", "search", "f", b"{}"
        )
        outcome = await gateway.call("leaf-0", send, fields, started_s + 5)
        if outcome.is_ok():
            stats.ok_count += 1
            stats.latencies_s.append(trio.current_time() - started_s)
        else:
            stats.failed_count += 1


async def measure(arguments: argparse.Namespace) -> None:
    """Run the calls of all workers and print the results."""
    count = arguments.concurrency
    shards = tuple(f"s{number}" for number in range(arguments.shards))
    gateway = leafgateway.LeafGateway(
        build_board(arguments.address, count),
        lambda info: count,
        metrics.LeafMetrics(prometheus_client.CollectorRegistry()),
        random.Random(0),
    )
    stats = CallStats()
    async with trio.open_nursery() as nursery:
        await nursery.start(gateway.run)
        await trio.sleep(1)
        cpu_s = time.process_time()
        end_s = trio.current_time() + arguments.seconds
        async with trio.open_nursery() as workers:
            for worker in range(count):
                workers.start_soon(
                    run_worker, gateway, shards, worker, end_s, stats
                )
        cpu_s = time.process_time() - cpu_s
        nursery.cancel_scope.cancel()
    print_results(stats, cpu_s, arguments.seconds)


def print_results(stats: CallStats, cpu_s: float, seconds: float) -> None:
    """Write one line with the results of a run to standard output."""
    ordered = sorted(stats.latencies_s) or [0.0]
    p50_ms = ordered[len(ordered) // 2] * 1000
    p99_ms = ordered[len(ordered) * 99 // 100] * 1000
    per_call_us = cpu_s / max(1, stats.ok_count) * 1e6
    sys.stdout.write(
        f"ok={stats.ok_count} failed={stats.failed_count} "
        f"calls_per_s={stats.ok_count / seconds:.0f} "
        f"cpu_us_per_call={per_call_us:.0f} "
        f"p50_ms={p50_ms:.2f} p99_ms={p99_ms:.2f}\n"
    )


def main() -> None:
    """Run the benchmark, with a CPU profile if asked for."""
    arguments = build_parser().parse_args()
    if not arguments.profile:
        trio.run(measure, arguments)
        return
    profiler = cProfile.Profile()
    profiler.runcall(trio.run, measure, arguments)
    stats = pstats.Stats(profiler)
    stats.sort_stats("tottime").print_stats(PROFILE_LINES_COUNT)


if __name__ == "__main__":
    main()
