"""Commands of the monthly figures: ``report`` and its subcommands."""

import argparse
import functools
import pathlib
import sys
import typing

import result
import trio

from plantainhook import (
    commands,
    errors,
    figures,
    figuresfile,
    objectapi,
    objectapidir,
    report,
    reportdata,
    schema,
)

FORMATS: typing.Final = {
    "text": report.as_text,
    "json": report.as_json,
    "csv": report.as_csv,
}


class InputError(Exception):
    """Carry an error of the arguments or of an input file."""


def month_argument(text: str) -> figures.Month:
    """Convert an argument to a month."""
    try:
        return figures.parse_month(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def unwrap(
    outcome: "result.Result[typing.Any, errors.PlantainhookError]",
) -> typing.Any:
    """Return the value, or raise InputError."""
    if isinstance(outcome, result.Err):
        raise InputError(str(outcome.err_value))
    return outcome.ok_value


def object_api(arguments: argparse.Namespace) -> objectapi.ObjectApi:
    """Return the object API that the arguments name."""
    if arguments.from_dir is None:
        raise InputError("--from-dir is required")
    api: objectapi.ObjectApi = unwrap(
        objectapidir.load_directory(arguments.from_dir)
    )
    return api


def figure_definitions(
    arguments: argparse.Namespace,
) -> dict[str, schema.Figure]:
    """Return the figures that the arguments name."""
    if arguments.figures is None:
        raise InputError("--figures is required")
    found: dict[str, schema.Figure] = unwrap(
        figuresfile.load_figures(arguments.figures)
    )
    return found


def add_source_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that name the objects and the definitions."""
    parser.add_argument(
        "--from-dir",
        type=pathlib.Path,
        metavar="DIR",
        help="read exported JSON objects from a directory",
    )
    parser.add_argument(
        "--figures",
        type=pathlib.Path,
        metavar="FILE",
        help="read the figure definitions from a settings file",
    )


def add_report_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``report``."""
    parser.add_argument("--month", type=month_argument, metavar="YYYY-MM")
    parser.add_argument("--format", choices=sorted(FORMATS), default="text")
    add_source_arguments(parser)
    parser.set_defaults(run_report=run_show)


def run_show(arguments: argparse.Namespace) -> int:
    """Print the figures of a month."""
    if arguments.month is None:
        raise InputError("--month is required")
    definitions = figure_definitions(arguments)
    api = object_api(arguments)
    data = trio.run(
        functools.partial(reportdata.read_month, api, arguments.month)
    )
    built = report.build_report(unwrap(data), definitions)
    sys.stdout.write(FORMATS[arguments.format](built))
    return commands.EXIT_DONE


@commands.command(
    "report", "Print monthly figures and compare them.", add_report_arguments
)
def run_report(arguments: argparse.Namespace) -> int:
    """Run ``report`` or one of its subcommands."""
    try:
        code: int = arguments.run_report(arguments)
    except InputError as error:
        sys.stderr.write(f"plantainhook report: {error}\n")
        return commands.EXIT_USAGE
    return code
