"""Command ``standin``, with the stand-ins ``leaf`` and ``vmlist``.

A stand-in replaces an external system in tests and demos. The command has
one subcommand for each stand-in in the registry of ``standins``.
"""

import argparse
import functools
import pathlib
import sys
import typing

import msgspec
import trio

from plantainhook import (
    commands,
    leafprotocol,
    leaftransport,
    standin_leaf,
    standin_model,
    standin_vmlist,
    standins,
)

LEAF_PORT: typing.Final = 9100
VMLIST_PORT: typing.Final = 9001
_VMS_DECODER: typing.Final = msgspec.json.Decoder(list[leafprotocol.VmEntry])


def add_standin_arguments(parser: argparse.ArgumentParser) -> None:
    """Add a subparser for each registered stand-in."""
    subparsers = parser.add_subparsers(
        dest="standin", required=True, metavar="STANDIN"
    )
    for entry in sorted(standins.STANDINS.values(), key=lambda s: s.name):
        subparser = subparsers.add_parser(
            entry.name, help=entry.summary, description=entry.summary
        )
        entry.add_arguments(subparser)
        subparser.set_defaults(run_standin=entry.run)


@commands.command(
    "standin",
    "Run a stand-in for an external system.",
    add_standin_arguments,
)
def run_standin(arguments: argparse.Namespace) -> int:
    """Run the chosen stand-in."""
    code: int = arguments.run_standin(arguments)
    return code


def add_leaf_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of the leaf stand-in."""
    standins.add_listen_argument(parser, LEAF_PORT)
    parser.add_argument("--name", default="leaf")
    parser.add_argument(
        "--versions",
        default='{"1": ["s0"]}',
        metavar="JSON",
        help="shards served for each index version (default: %(default)s)",
    )
    parser.add_argument(
        "--behaviour",
        default="{}",
        metavar="JSON",
        help="fields of the behaviour that differ from their defaults",
    )
    parser.add_argument("--seed", type=int, default=0)


@standins.standin(
    "leaf", "Run a stand-in for a backend server.", add_leaf_arguments
)
def run_leaf(arguments: argparse.Namespace) -> int:
    """Run the leaf stand-in until interrupted."""
    try:
        versions = msgspec.json.decode(
            arguments.versions, type=dict[int, set[str]]
        )
        behaviour = msgspec.json.decode(
            arguments.behaviour, type=standin_model.Behaviour
        )
    except msgspec.DecodeError as error:
        sys.stderr.write(f"plantainhook standin leaf: {error}\n")
        return commands.EXIT_USAGE
    leaf = standin_leaf.StandinLeaf(
        arguments.name, versions, behaviour, arguments.seed
    )
    return serve_until_interrupted(leaf, arguments.listen)


def add_vmlist_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of the VM list stand-in."""
    standins.add_listen_argument(parser, VMLIST_PORT)
    parser.add_argument(
        "--vms",
        type=pathlib.Path,
        metavar="FILE",
        help="JSON file with the list of VMs",
    )
    parser.add_argument(
        "--lag-s",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="report the list as it was this long ago (default: %(default)s)",
    )


@standins.standin(
    "vmlist", "Run a stand-in for the VM list.", add_vmlist_arguments
)
def run_vmlist(arguments: argparse.Namespace) -> int:
    """Run the VM list stand-in until interrupted."""
    try:
        text = arguments.vms.read_bytes() if arguments.vms else b"[]"
        vms = _VMS_DECODER.decode(text)
    except (OSError, msgspec.DecodeError) as error:
        sys.stderr.write(f"plantainhook standin vmlist: {error}\n")
        return commands.EXIT_USAGE
    vm_list = standin_vmlist.StandinVmList(vms, arguments.lag_s)
    return serve_until_interrupted(vm_list, arguments.listen)


class Server(typing.Protocol):
    """Represent a stand-in that serves on an address."""

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until cancelled; ``task_status`` receives the address."""


def serve_until_interrupted(server: Server, address: str) -> int:
    """Serve until interrupted and return the exit code."""
    code = commands.EXIT_DONE
    try:
        trio.run(functools.partial(serve_and_print, server, address))
    except* OSError as group:
        reason = group.exceptions[0]
        sys.stderr.write(f"plantainhook standin: {address}: {reason}\n")
        code = commands.EXIT_FAILED
    except* KeyboardInterrupt:
        code = commands.EXIT_DONE
    return code


async def serve_and_print(server: Server, address: str) -> None:
    """Serve and print the bound address once it is known."""
    host, port = leaftransport.split_address(address)
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(server.serve, host, port)
        sys.stdout.write(f"{bound}\n")
        sys.stdout.flush()
