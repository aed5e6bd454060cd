"""Command ``serve``: run a daemon on an entry VM.

The first SIGTERM or SIGINT starts the planned stop. A second one stops the
daemon at once and logs how many requests were aborted.
"""

import argparse
import contextlib
import pathlib
import signal
import sys
import typing
from collections import abc

import result
import trio

from plantainhook import (
    clock,
    commands,
    daemon,
    daemonenvironment,
    logs,
    objectapihttp,
    options,
    vmlist,
)

LOGGER: typing.Final = logs.part_logger("serve")


def add_serve_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``serve``."""
    parser.add_argument(
        "--config",
        type=pathlib.Path,
        help="TOML file with the options of this daemon",
    )
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="OPTION=VALUE",
        help="set one option, overriding the file; may be repeated",
    )


@commands.command("serve", "Run a daemon on an entry VM.", add_serve_arguments)
def run_serve(arguments: argparse.Namespace) -> int:
    """Run a daemon until its planned stop has ended."""
    loaded = options.load_options(arguments.config, arguments.set)
    if isinstance(loaded, result.Err):
        print(f"error: {loaded.err_value}", file=sys.stderr)
        return commands.EXIT_USAGE
    run_options = loaded.ok_value
    logs.configure_logs(run_options.log_format, run_options.log_level)
    try:
        return trio.run(serve, run_options)
    except* OSError as group:
        for error in flatten_errors(group):
            print(f"error: {error}", file=sys.stderr)
    return commands.EXIT_FAILED


def flatten_errors(
    group: BaseExceptionGroup[OSError],
) -> abc.Iterator[OSError]:
    """Yield the errors of a group and of the groups nested in it."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from flatten_errors(error)
        else:
            yield error


async def serve(run_options: options.Options) -> int:
    """Run a daemon with HTTP clients of the object API and the VM list."""
    own_clock = clock.TrioClock()
    vm_list = vmlist.VmListClient(run_options.vm_list_url)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(vm_list.aclose)
        api = await stack.enter_async_context(
            objectapihttp.open_object_api(
                run_options.object_api_url,
                run_options.object_api_token,
                run_options.object_api_timeout_s,
                run_options.object_api_calls_per_s,
                own_clock,
            )
        )
        nursery = await stack.enter_async_context(trio.open_nursery())
        environment = daemonenvironment.Environment(api, vm_list)
        running = daemon.Daemon(run_options, environment, nursery)
        exit_codes: list[int] = []
        nursery.start_soon(watch_signals, running, nursery, exit_codes)
        await running.run()
        exit_codes.append(commands.EXIT_DONE)
        nursery.cancel_scope.cancel()
    return exit_codes[0]


async def watch_signals(
    running: daemon.Daemon, nursery: trio.Nursery, exit_codes: list[int]
) -> None:
    """Start the planned stop at the first signal; exit at the second."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        count = 0
        async for _ in received:
            count += 1
            if count == 1:
                LOGGER.info("Received a signal; starting the planned stop.")
                running.request_drain()
                continue
            LOGGER.error(
                "Received a second signal; aborting {} requests in flight.",
                running.in_flight_count(),
            )
            exit_codes.append(commands.EXIT_FAILED)
            nursery.cancel_scope.cancel()
            return
