"""Where ``report`` reads from: exported files or the object API.

From the object API it takes a copy of the objects of the figures and the
figure definitions of the revision in force, and works on that copy.
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
    """Add the arguments that name the objects and the definitions.

    ``replay`` reads only the gaps from the objects, where they are named.
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
    """Return the objects of the figures."""
    if arguments.from_dir is not None:
        return objectapidir.load_directory(arguments.from_dir)
    chosen = load_options(arguments)
    if isinstance(chosen, result.Err):
        return chosen
    return trio.run(_copy_objects, chosen.ok_value)


def load_definitions(
    arguments: argparse.Namespace,
) -> result.Result[Definitions, errors.PlantainhookError]:
    """Return the figure definitions."""
    if arguments.figures is not None:
        return figuresfile.load_figures(arguments.figures)
    chosen = load_options(arguments)
    if isinstance(chosen, result.Err):
        return chosen
    return trio.run(_read_definitions, chosen.ok_value)


def load_options(
    arguments: argparse.Namespace,
) -> result.Result[options.Options, errors.SettingsError]:
    """Return the options with the address of the object API."""
    assignments = []
    if arguments.platform is not None:
        assignments.append(f"object_api_url={arguments.platform}")
    return options.load_options(arguments.options, assignments)


async def _copy_objects(
    chosen: options.Options,
) -> result.Result[objectapi.ObjectApi, errors.PlantainhookError]:
    copied: dict[str, objectapi.StoredObject] = {}
    async with open_client(chosen) as api:
        for prefix in PREFIXES:
            listed = await api.list(prefix)
            if isinstance(listed, result.Err):
                return result.Err(listed.err_value)
            for stored in listed.ok_value.objects:
                copied[stored.key] = stored
    return result.Ok(objectapidir.DirectoryObjectApi(copied))


async def _read_definitions(
    chosen: options.Options,
) -> result.Result[Definitions, errors.PlantainhookError]:
    async with open_client(chosen) as api:
        store = settingsstore.SettingsStore(api, clock.TrioClock())
        current = await store.load_current()
    if isinstance(current, result.Err):
        return result.Err(current.err_value)
    settings = settingsobjects.settings_of(current.ok_value.records)
    return result.Ok(settings.figure)


def open_client(chosen: options.Options) -> typing.Any:
    """Open a client of the object API."""
    return objectapihttp.open_object_api(
        chosen.object_api_url,
        chosen.object_api_token,
        chosen.object_api_timeout_s,
        CALLS_PER_S,
        clock.TrioClock(),
    )
