"""Command ``plantainhook standin platform``: serve a fake object API."""

import argparse
import signal
import typing

import quart_trio
import trio

from plantainhook import commands, objectapifake, standin_platform, standins

DEFAULT_LISTEN: typing.Final = "127.0.0.1:9000"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options for the address, the limits and the token."""
    parser.add_argument(
        "--listen",
        default=DEFAULT_LISTEN,
        metavar="ADDRESS:PORT",
        help="address to serve on (default %(default)s)",
    )
    parser.add_argument(
        "--calls-per-s",
        type=float,
        default=0.0,
        metavar="N",
        help="refuse calls over this rate with 429 (default 0: no limit)",
    )
    parser.add_argument(
        "--delay-ms",
        type=float,
        default=0.0,
        metavar="N",
        help="delay each call by this many milliseconds",
    )
    parser.add_argument(
        "--token",
        default="",
        help="bearer token that callers must send (default: none)",
    )


@standins.standin("platform", "Run a fake object API.", add_arguments)
def run(arguments: argparse.Namespace) -> int:
    """Serve the object API from memory until interrupted."""
    faults = objectapifake.Faults(
        delay_s=arguments.delay_ms / 1000, calls_per_s=arguments.calls_per_s
    )
    api = objectapifake.FakeObjectApi(faults=faults)
    app = standin_platform.build_app(api, arguments.token)
    trio.run(_serve, app, arguments.listen)
    return commands.EXIT_DONE


async def _serve(app: quart_trio.QuartTrio, listen: str) -> None:
    """Serve until SIGINT or SIGTERM."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:

        async def wait_for_signal() -> None:
            await anext(signals)

        await standin_platform.serve(app, listen, wait_for_signal)
