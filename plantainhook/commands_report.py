"""Command ``report``: print, compare and check the monthly figures."""

import argparse
import functools
import pathlib
import sys
import typing
from collections import abc

import result
import trio

from plantainhook import (
    commands,
    errors,
    figures,
    logs,
    objectapi,
    report,
    reportcompare,
    reportdata,
    reporthtml,
    reportmeasure,
    reportreplay,
    reportselfcheck,
    reportsource,
    requestrecord,
)

FORMATS: typing.Final = {
    "text": report.as_text,
    "json": report.as_json,
    "csv": report.as_csv,
}
SELFCHECK_TICK_S: typing.Final = 3600.0

T = typing.TypeVar("T")


class InputError(Exception):
    """Report an error in the arguments or in an input file."""


def month_argument(text: str) -> figures.Month:
    """Parse a month argument; argparse reports an invalid one."""
    try:
        return figures.parse_month(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def unwrap_input(outcome: "result.Result[T, errors.PlantainhookError]") -> T:
    """Return the value of a successful result, or raise InputError."""
    if isinstance(outcome, result.Err):
        raise InputError(str(outcome.err_value))
    return outcome.ok_value


def read_months(
    api: objectapi.ObjectApi, months: abc.Iterable[figures.Month]
) -> dict[figures.Month, reportdata.MonthData]:
    """Read the data of some months.

    Raises the PlantainhookError of a read that failed.
    """
    data_by_month = {}
    for month in months:
        read = trio.run(functools.partial(reportdata.read_month, api, month))
        if isinstance(read, result.Err):
            raise read.err_value
        data_by_month[month] = read.ok_value
    return data_by_month


def add_report_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``report`` and its subcommands."""
    parser.add_argument("--month", type=month_argument, metavar="YYYY-MM")
    parser.add_argument("--format", choices=sorted(FORMATS), default="text")
    parser.add_argument(
        "--html",
        type=pathlib.Path,
        metavar="FILE",
        help="write an HTML page with plots to this file instead",
    )
    reportsource.add_arguments(parser)
    parser.set_defaults(run_report=run_show)
    subparsers = parser.add_subparsers(metavar="SUBCOMMAND")
    _add_compare(subparsers)
    _add_replay(subparsers)
    _add_selfcheck(subparsers)
    _add_measure(subparsers)


Subparsers = typing.Any


def _add_compare(subparsers: Subparsers) -> None:
    parser = subparsers.add_parser(
        "compare", help="compare the figures with an export of the old system"
    )
    parser.add_argument("old", type=pathlib.Path, metavar="OLD.csv")
    reportsource.add_arguments(parser)
    parser.set_defaults(run_report=run_compare)


def _add_replay(subparsers: Subparsers) -> None:
    parser = subparsers.add_parser(
        "replay", help="compute the figures from a log of request records"
    )
    parser.add_argument("log", type=pathlib.Path, metavar="LOG")
    parser.add_argument(
        "--month", type=month_argument, metavar="YYYY-MM", required=True
    )
    reportsource.add_arguments(parser)
    parser.set_defaults(run_report=run_replay)


def _add_selfcheck(subparsers: Subparsers) -> None:
    parser = subparsers.add_parser(
        "selfcheck",
        help="compare the figures of simulated months with replays",
    )
    parser.add_argument("--requests", type=int, default=5000)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument(
        "--seeds",
        type=int,
        default=1,
        help="number of seeds to run, from --seed on",
    )
    parser.add_argument(
        "--tick-s",
        type=float,
        default=SELFCHECK_TICK_S,
        help="simulated seconds between two writes of a segment",
    )
    parser.add_argument(
        "--keep",
        type=pathlib.Path,
        metavar="DIR",
        help="keep the records, objects and definitions of the last run",
    )
    parser.set_defaults(run_report=run_selfcheck)


def _add_measure(subparsers: Subparsers) -> None:
    parser = subparsers.add_parser(
        "measure", help="measure the time and memory that reports take"
    )
    parser.add_argument("--daemons", type=int, nargs="+", default=[7])
    parser.add_argument("--days", type=int, nargs="+", default=[30])
    parser.add_argument("--requests-per-day", type=int, default=500)
    parser.set_defaults(run_report=run_measure)


def run_show(arguments: argparse.Namespace) -> int:
    """Print the figures of a month, or write them as an HTML page."""
    month = arguments.month
    if month is None:
        raise InputError("--month is required")
    definitions = unwrap_input(reportsource.load_definitions(arguments))
    months = [month, month.shift(-1)] if arguments.html else [month]
    data = read_months(
        unwrap_input(reportsource.load_objects(arguments)), months
    )
    current = report.build_report(data[month], definitions)
    if arguments.html is None:
        sys.stdout.write(FORMATS[arguments.format](current))
        return commands.EXIT_DONE
    previous = report.build_report(data[month.shift(-1)], definitions)
    page = reporthtml.as_html(current, previous, data[month])
    arguments.html.write_text(page, encoding="utf-8")
    return commands.EXIT_DONE


def run_compare(arguments: argparse.Namespace) -> int:
    """Print each figure next to that of the old system."""
    definitions = unwrap_input(reportsource.load_definitions(arguments))
    try:
        content = arguments.old.read_bytes()
    except OSError as error:
        raise InputError(f"{arguments.old}: {error.strerror}") from None
    read = reportcompare.read_export(content, str(arguments.old), definitions)
    if isinstance(read, result.Err):
        raise InputError("\n".join(str(bad) for bad in read.err_value))
    old_values = read.ok_value
    months = sorted({old.month for old in old_values})
    data = read_months(
        unwrap_input(reportsource.load_objects(arguments)), months
    )
    compared = [
        reportcompare.compare(old, definitions[old.name], data[old.month])
        for old in old_values
    ]
    sys.stdout.write(reportcompare.as_text(compared))
    differs = reportcompare.Verdict.DIFFERS
    if any(item.verdict is differs for item in compared):
        return commands.EXIT_FAILED
    return commands.EXIT_DONE


def run_replay(arguments: argparse.Namespace) -> int:
    """Print the figures computed from a log of request records.

    With ``--from-dir``, records in the known gaps of the month are left out.
    """
    definitions = unwrap_input(reportsource.load_definitions(arguments))
    gaps = []
    if arguments.from_dir is not None:
        read = read_months(
            unwrap_input(reportsource.load_objects(arguments)),
            [arguments.month],
        )
        gaps = read[arguments.month].gaps
    try:
        with arguments.log.open("rb") as stream:
            records = requestrecord.read_lines(stream, str(arguments.log))
            values = reportreplay.replay(
                records, [arguments.month], definitions, gaps
            )
    except OSError as error:
        raise InputError(f"{arguments.log}: {error.strerror}") from None
    except errors.MessageError as error:
        raise InputError(str(error)) from None
    for (month, name), value in values.items():
        sys.stdout.write(f"{month} {name} {value.text()}\n")
    return commands.EXIT_DONE


def run_selfcheck(arguments: argparse.Namespace) -> int:
    """Compare the figures of simulated months with their replays."""
    logs.configure_logs("text", "WARNING")
    failed = False
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        outcome = reportselfcheck.run_selfcheck(
            seed, arguments.requests, arguments.tick_s, arguments.keep
        )
        sys.stdout.write(reportselfcheck.summary_text(seed, outcome))
        sys.stdout.flush()
        failed = failed or bool(outcome.differences)
    return commands.EXIT_FAILED if failed else commands.EXIT_DONE


def run_measure(arguments: argparse.Namespace) -> int:
    """Print the cost of a report for each number of daemons and days."""
    logs.configure_logs("text", "WARNING")
    for daemon_count in arguments.daemons:
        for day_count in arguments.days:
            measured = reportmeasure.measure(
                daemon_count, day_count, arguments.requests_per_day
            )
            sys.stdout.write(reportmeasure.as_text(measured))
    return commands.EXIT_DONE


@commands.command(
    "report", "Print or compare the monthly figures.", add_report_arguments
)
def run_report(arguments: argparse.Namespace) -> int:
    """Run ``report`` or one of its subcommands."""
    try:
        code: int = arguments.run_report(arguments)
    except InputError as error:
        sys.stderr.write(f"plantainhook report: {error}\n")
        return commands.EXIT_USAGE
    except errors.PlantainhookError as error:
        sys.stderr.write(f"plantainhook report: {error}\n")
        return commands.EXIT_FAILED
    return code
