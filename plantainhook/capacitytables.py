"""Command ``capacity``: build the tables of ``docs/CAPACITY.md``.

The measurements come from the module ``capacity``. In the page, each table
stands between a begin comment and an end comment with its name. The command
replaces the text between them and leaves the rest of the page as it is.
"""

import argparse
import dataclasses
import pathlib
import sys
import typing
from collections import abc

import loguru

from plantainhook import capacity, commands

BEGIN: typing.Final = "<!-- begin {} -->"
END: typing.Final = "<!-- end {} -->"
# Half of the objects of ``settingscost`` are groups of four leafs.
LEAFS_PER_OBJECT_COUNT: typing.Final = 2
US_PER_S: typing.Final = 1e6
MS_PER_S: typing.Final = 1e3


@dataclasses.dataclass(frozen=True, slots=True)
class ScaleTarget:
    """Describe the scale to support and the limits of one daemon.

    The last three fields are limits of a daemon: the share of a core, the
    network traffic of the control plane and the size of a message.
    """

    daemon_count: int = 4_900
    leaf_count: int = 21_000
    queries_per_s: float = 700_000.0
    fan_out: int = 160
    cpu_ratio: float = 0.048
    bytes_per_s: float = 4_096.0
    message_bytes: float = 4_194_304.0

    @property
    def vm_count(self) -> int:
        """Return the number of VMs in the VM list: daemons and leafs."""
        return self.daemon_count + self.leaf_count

    @property
    def queries_per_daemon_s(self) -> float:
        """Return the queries that one daemon receives per second."""
        return self.queries_per_s / self.daemon_count

    @property
    def shard_requests_per_daemon_s(self) -> float:
        """Return the leaf requests that one daemon sends per second."""
        return self.queries_per_daemon_s * self.fan_out


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Describe a row of the table of slopes.

    ``per`` is the unit of the size, ``size`` the size to support and
    ``limit`` the highest allowed cost, or None.
    """

    name: str
    per: str
    points: tuple[capacity.Point, ...]
    size: float
    limit: float | None


def required_cores(calls_per_s: float, cost_us: float) -> float:
    """Return the CPU cores that calls of a given cost need."""
    return calls_per_s * cost_us / US_PER_S


def size_at_limit(line: capacity.Line, limit: float) -> float | None:
    """Return the size at which a line reaches a limit.

    Returns None if the cost does not grow with the size.
    """
    if line.slope <= 0:
        return None
    return max(0.0, (limit - line.intercept) / line.slope)


def build_control_points(
    measured: capacity.Measurements, read: abc.Callable[[typing.Any], float]
) -> tuple[capacity.Point, ...]:
    """Return one figure of the control plane by number of daemons.

    ``read`` returns the figure from a report.
    """
    return tuple(
        capacity.Point(report.options.daemon_count, read(report))
        for report in measured.control
    )


def build_slopes(
    measured: capacity.Measurements, target: ScaleTarget
) -> list[Slope]:
    """Return the rows of the table of slopes in order."""
    daemons = float(target.daemon_count)
    return [
        Slope(
            "decision CPU, us per query",
            "shards of a query",
            measured.decision_us,
            target.fan_out,
            None,
        ),
        Slope(
            "peer frame CPU, us (line over 1/n)",
            "1/(frames in a write)",
            invert_sizes(measured.frame_us),
            1 / 16,
            None,
        ),
        Slope(
            "whole copy of the settings, bytes",
            "leafs",
            measured.settings_bytes,
            target.leaf_count,
            target.message_bytes,
        ),
        Slope(
            "load of all settings, calls",
            "objects",
            tuple(
                capacity.Point(cost.objects_count, cost.load_calls_count)
                for cost in measured.settings
            ),
            target.leaf_count / LEAFS_PER_OBJECT_COUNT,
            None,
        ),
        Slope(
            "VM list reply, bytes a second",
            "VMs",
            measured.vm_list_bytes,
            target.vm_count,
            target.bytes_per_s,
        ),
        Slope(
            "VM list decoding, CPU ms a second",
            "VMs",
            measured.vm_list_ms,
            target.vm_count,
            target.cpu_ratio * MS_PER_S,
        ),
        Slope(
            "membership and gossip, bytes a second",
            "daemons",
            build_control_points(measured, lambda r: r.steady.bytes_per_s),
            daemons,
            target.bytes_per_s,
        ),
        Slope(
            "membership and gossip, messages a second",
            "daemons",
            build_control_points(measured, lambda r: r.steady.messages_per_s),
            daemons,
            None,
        ),
        Slope(
            "membership and gossip, CPU ms a second",
            "daemons",
            build_control_points(
                measured, lambda r: r.steady.cpu_ratio * MS_PER_S
            ),
            daemons,
            target.cpu_ratio * MS_PER_S,
        ),
    ]


def invert_sizes(
    points: abc.Iterable[capacity.Point],
) -> tuple[capacity.Point, ...]:
    """Return points with each size replaced by its reciprocal."""
    return tuple(capacity.Point(1 / p.size, p.cost) for p in points)


def build_slopes_table(
    measured: capacity.Measurements, target: ScaleTarget
) -> str:
    """Build the table of slopes."""
    rows = [
        "| cost | per | measured (size: cost) | slope | R2 | largest "
        "deviation | at the target | limit | reached at |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    rows += [
        build_slope_row(slope) for slope in build_slopes(measured, target)
    ]
    return "\n".join(rows)


def build_slope_row(slope: Slope) -> str:
    """Build the row of a slope."""
    line = capacity.fit_line(slope.points)
    points = ", ".join(f"{p.size:.4g}: {p.cost:.4g}" for p in slope.points)
    limit = "-" if slope.limit is None else f"{slope.limit:.7g}"
    size_limit = (
        None if slope.limit is None else size_at_limit(line, slope.limit)
    )
    reached = "-" if size_limit is None else f"{size_limit:,.0f} {slope.per}"
    return (
        f"| {slope.name} | {slope.per} | {points} | {line.slope:.4g} "
        f"| {line.r_squared:.4f} | {line.deviation_ratio:.0%} "
        f"| {line.cost_at(slope.size):,.4g} | {limit} | {reached} |"
    )


def build_cores_table(
    measured: capacity.Measurements, target: ScaleTarget
) -> str:
    """Build the table of cores that decisions and frames need."""
    queries_per_s = target.queries_per_daemon_s
    frames_per_s = 2 * target.shard_requests_per_daemon_s
    rows = ["| work | a second | us each | cores |", "|---|---|---|---|"]
    by_size = {int(p.size): p.cost for p in measured.decision_us}
    cost_us = by_size[target.fan_out]
    rows.append(
        f"| decisions at fan-out {target.fan_out} | {queries_per_s:,.0f} "
        f"| {cost_us:,.0f} | {required_cores(queries_per_s, cost_us):.2f} |"
    )
    rows += [
        f"| peer frames, {p.size:.0f} in a write | {frames_per_s:,.0f} "
        f"| {p.cost:.1f} | {required_cores(frames_per_s, p.cost):.2f} |"
        for p in measured.frame_us
    ]
    return "\n".join(rows)


def load_text(measured: capacity.Measurements) -> str:
    """Return the sentence about the load of the machine."""
    return f"Load average at the last run: {measured.load_average:.1f}."


TABLES: typing.Final[
    dict[str, abc.Callable[[capacity.Measurements, ScaleTarget], str]]
] = {
    "load": lambda measured, _target: load_text(measured),
    "slopes": build_slopes_table,
    "cores": build_cores_table,
}


def replace_table(page: str, name: str, text: str) -> str:
    """Return the page with a table replaced.

    Raises ValueError if the page lacks the comments around the table.
    """
    head, found_begin, rest = page.partition(BEGIN.format(name))
    _, found_end, tail = rest.partition(END.format(name))
    if not found_begin or not found_end:
        raise ValueError(
            f"the page has no begin and end comments for table {name!r}"
        )
    return f"{head}{found_begin}\n{text}\n{found_end}{tail}"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument(
        "--write", metavar="PAGE", help="replace the tables of this page"
    )


@commands.command(
    "capacity", "Measure the slopes of docs/CAPACITY.md.", add_arguments
)
def run_capacity(arguments: argparse.Namespace) -> int:
    """Run the measurements; print the tables or write them into the page.

    The page is checked first, because the measurements take minutes.
    """
    loguru.logger.disable("plantainhook")
    page = ""
    if arguments.write:
        try:
            page = pathlib.Path(arguments.write).read_text("utf-8")
            for name in TABLES:
                replace_table(page, name, "")
        except (OSError, ValueError) as error:
            sys.stderr.write(f"capacity: {error}\n")
            return commands.EXIT_USAGE
    measured = capacity.measure()
    for name, build in TABLES.items():
        text = build(measured, ScaleTarget())
        if arguments.write:
            page = replace_table(page, name, text)
        else:
            sys.stdout.write(text + "\n\n")
    if arguments.write:
        pathlib.Path(arguments.write).write_text(page, "utf-8")
    return commands.EXIT_DONE
