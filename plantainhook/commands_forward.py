"""Command ``forward``: run a daemon that forwards HTTP requests by route.

SIGTERM or SIGINT starts the planned stop. SIGHUP reads the options file again
and logs whether it is valid; changed addresses take effect at the next start.
"""

import argparse
import pathlib
import signal
import sys
import typing

import result
import trio

from plantainhook import commands, forwarddaemon, logs, options
from plantainhook.platform import adapters

LOGGER: typing.Final = logs.part_logger("forward")


def add_forward_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``forward``."""
    parser.add_argument(
        "--config",
        type=pathlib.Path,
        required=True,
        help="TOML file with the options of this daemon",
    )


@commands.command(
    "forward",
    "Run a daemon that forwards HTTP requests by route.",
    add_forward_arguments,
)
def run_forward(arguments: argparse.Namespace) -> int:
    """Run a daemon until its planned stop has ended."""
    loaded = options.load_options(arguments.config)
    if isinstance(loaded, result.Err):
        print(f"error: {loaded.err_value}", file=sys.stderr)
        return commands.EXIT_USAGE
    run_options = loaded.ok_value
    if run_options.forward is None:
        print(
            f"error: {arguments.config}: forward: expected a table",
            file=sys.stderr,
        )
        return commands.EXIT_USAGE
    logs.configure_logs(run_options.log_format, run_options.log_level)
    trio.run(forward, run_options, run_options.forward, arguments.config)
    return commands.EXIT_DONE


async def forward(
    run_options: options.Options,
    forward_options: options.ForwardOptions,
    config: pathlib.Path,
) -> None:
    """Run a daemon with the adapters of the real platform."""
    running = forwarddaemon.ForwardDaemon(
        run_options, forward_options, adapters.build_adapters(forward_options)
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_signals, running, config)
        await running.run()
        nursery.cancel_scope.cancel()


async def watch_signals(
    running: forwarddaemon.ForwardDaemon, config: pathlib.Path
) -> None:
    """Start the stop at SIGTERM or SIGINT; check the file at SIGHUP."""
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        async for number in received:
            if number != signal.SIGHUP:
                LOGGER.info("Received a signal; starting the planned stop.")
                running.request_stop()
                continue
            loaded = options.load_options(config)
            if isinstance(loaded, result.Err):
                LOGGER.error(
                    "Could not read the options file again: {}",
                    loaded.err_value,
                )
            else:
                LOGGER.info("Read the options file again.")
