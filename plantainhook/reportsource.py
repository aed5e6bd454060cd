"""Load the input of ``report`` from exported files or from the object API.

From the object API, the stored objects of the figures are copied and the
figure definitions are taken from the current settings revision. The report
then works on that copy.
"""

import argparse
import pathlib
import typing

import result
import trio

from plantainhook import (
    clock,
    errors,
    figuresfile,
    monthobjects,
    objectapi,
    objectapidir,
    objectapihttp,
    options,
    schema,
    segments,
    settingsobjects,
    settingsstore,
    tallystore,
)

PREFIXES: typing.Final = (
    segments.SEGMENT_PREFIX,
    monthobjects.MONTH_PREFIX,
    tallystore.PART_PREFIX,
)
CALLS_PER_S: typing.Final = 50.0

Definitions = dict[str, schema.Figure]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that select the objects and the definitions.

    ``replay`` reads only the gaps from the objects, and only with
    ``--from-dir``.
    """
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
    parser.add_argument(
        "--options",
        type=pathlib.Path,
        metavar="FILE",
        help="options file of a daemon with the object API and its token",
    )
    parser.add_argument(
        "--platform", metavar="URL", help="address of the object API"
    )


def load_objects(
    arguments: argparse.Namespace,
) -> result.Result[objectapi.ObjectApi, errors.PlantainhookError]:
    """Return the stored objects of the figures."""
    if arguments.from_dir is not None:
        return objectapidir.load_directory(arguments.from_dir)
    run_options = load_options(arguments)
    if isinstance(run_options, result.Err):
        return run_options
    return trio.run(_copy_objects, run_options.ok_value)


def load_definitions(
    arguments: argparse.Namespace,
) -> result.Result[Definitions, errors.PlantainhookError]:
    """Return the figure definitions."""
    if arguments.figures is not None:
        return figuresfile.load_figures(arguments.figures)
    run_options = load_options(arguments)
    if isinstance(run_options, result.Err):
        return run_options
    return trio.run(_read_definitions, run_options.ok_value)


def load_options(
    arguments: argparse.Namespace,
) -> result.Result[options.Options, errors.SettingsError]:
    """Return the options, including the address of the object API."""
    assignments = []
    if arguments.platform is not None:
        assignments.append(f"object_api_url={arguments.platform}")
    return options.load_options(arguments.options, assignments)


async def _copy_objects(
    run_options: options.Options,
) -> result.Result[objectapi.ObjectApi, errors.PlantainhookError]:
    copied: dict[str, objectapi.StoredObject] = {}
    async with open_client(run_options) as api:
        for prefix in PREFIXES:
            listed = await api.list(prefix)
            if isinstance(listed, result.Err):
                return result.Err(listed.err_value)
            for stored in listed.ok_value.objects:
                copied[stored.key] = stored
    return result.Ok(objectapidir.DirectoryObjectApi(copied))


async def _read_definitions(
    run_options: options.Options,
) -> result.Result[Definitions, errors.PlantainhookError]:
    async with open_client(run_options) as api:
        store = settingsstore.SettingsStore(api, clock.TrioClock())
        current = await store.load_current()
    if isinstance(current, result.Err):
        return result.Err(current.err_value)
    settings = settingsobjects.settings_of(current.ok_value.records)
    return result.Ok(settings.figure)


def open_client(run_options: options.Options) -> typing.Any:
    """Open a client of the object API."""
    return objectapihttp.open_object_api(
        run_options.object_api_url,
        run_options.object_api_token,
        run_options.object_api_timeout_s,
        CALLS_PER_S,
        clock.TrioClock(),
    )
