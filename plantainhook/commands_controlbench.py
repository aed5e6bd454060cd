"""Command ``bench-control``: measure the control plane of many daemons."""

import argparse
import dataclasses
import sys
import typing

import loguru
import msgspec

from plantainhook import commands, controlbench, dissemination

REPORT_TEXT: typing.Final = (
    "{daemon_count} daemons, {loss_ratio:.0%} loss, {spread}: "
    "in force after {in_force_s} s; {bytes_per_s} B/s and "
    "{messages_per_s} messages/s per daemon, CPU {cpu_ratio:.3%}, "
    "{memory} MB; {calls} platform calls/s"
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument("--daemons", type=int, default=70, metavar="N")
    parser.add_argument("--loss", type=float, default=0.0, metavar="RATIO")
    parser.add_argument("--seed", type=int, default=0, metavar="N")
    parser.add_argument(
        "--spread",
        default="push",
        choices=dissemination.STRATEGIES.names(),
        help="how revisions are disseminated",
    )
    parser.add_argument(
        "--digest-interval", type=float, default=2.0, metavar="SECONDS"
    )
    parser.add_argument(
        "--no-partition",
        action="store_true",
        help="skip the partition of a data centre",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


@commands.command(
    "bench-control",
    "Measure membership and gossip of many daemons on a virtual clock.",
    add_arguments,
)
def bench_control(arguments: argparse.Namespace) -> int:
    """Run the benchmark; fail if a revision did not reach all daemons."""
    if arguments.daemons < 1 or not 0.0 <= arguments.loss < 1.0:
        print("--daemons must be positive, --loss in [0, 1)", file=sys.stderr)
        return commands.EXIT_USAGE
    loguru.logger.disable("plantainhook")
    options = controlbench.BenchOptions(
        daemon_count=arguments.daemons,
        loss_ratio=arguments.loss,
        seed=arguments.seed,
        spread=arguments.spread,
        digest_interval_s=arguments.digest_interval,
        partition=not arguments.no_partition,
    )
    report = controlbench.run(options)
    if arguments.json:
        print(msgspec.json.encode(report).decode())
    else:
        print(_report_text(report))
    all_reached = all(passed_s >= 0 for passed_s in report.in_force_s)
    return commands.EXIT_DONE if all_reached else commands.EXIT_FAILED


def _report_text(report: controlbench.Report) -> str:
    return REPORT_TEXT.format(
        **dataclasses.asdict(report.options),
        in_force_s=report.in_force_s,
        bytes_per_s=report.steady.bytes_per_s,
        messages_per_s=report.steady.messages_per_s,
        cpu_ratio=report.steady.cpu_ratio,
        memory=report.memory_mb_per_daemon,
        calls=report.steady.platform_calls_per_s,
    )
