"""Command ``bench``: run scenarios of the decision benchmark."""

import argparse
import dataclasses
import json
import sys
import typing

from plantainhook import (
    bench,
    benchcpu,
    benchscenarios,
    commands,
    hedging,
)

CPU_SCENARIO: typing.Final = "cpu"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command."""
    parser.add_argument(
        "--list", action="store_true", help="list the scenarios"
    )
    parser.add_argument("--scenario", metavar="NAME")
    parser.add_argument(
        "--policy",
        metavar="NAME",
        default="adaptive",
        choices=hedging.POLICIES.names(),
        help="one of %(choices)s",
    )
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument(
        "--seeds",
        type=int,
        default=1,
        metavar="N",
        help="run N seeds from --seed on, one line of JSON each",
    )
    parser.add_argument(
        "--requests", type=int, metavar="N", help="number of requests"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


@commands.command(
    "bench", "Measure the query decisions on a virtual clock.", add_arguments
)
def run_bench(arguments: argparse.Namespace) -> int:
    """Run a scenario; return 1 if there was a safety violation."""
    names = (*bench.scenario_names(), CPU_SCENARIO)
    if arguments.list:
        for name in sorted(names):
            sys.stdout.write(f"{name}  {describe(name)}\n")
        return commands.EXIT_DONE
    if arguments.scenario not in names:
        known = ", ".join(sorted(names))
        sys.stderr.write(
            f"bench: unknown scenario {arguments.scenario!r}; known: {known}\n"
        )
        return commands.EXIT_USAGE
    if arguments.scenario == CPU_SCENARIO:
        sys.stdout.write(json.dumps(benchcpu.measure(arguments.policy)) + "\n")
        return commands.EXIT_DONE
    return run_seeds(arguments)


def describe(name: str) -> str:
    """Return a one-line description of a scenario's size."""
    if name == CPU_SCENARIO:
        return "CPU time of one query at several fan-outs"
    scenario = benchscenarios.SCENARIOS.create(name)
    kinds = ", ".join(kind.name for kind in scenario.kinds)
    return (
        f"{len(scenario.leafs)} leafs, {scenario.request_count} requests "
        f"of kinds {kinds}"
    )


def run_seeds(arguments: argparse.Namespace) -> int:
    """Run a scenario for each seed and print the reports."""
    code = commands.EXIT_DONE
    scenario = benchscenarios.SCENARIOS.create(arguments.scenario)
    if arguments.requests is not None:
        scenario = dataclasses.replace(
            scenario, request_count=arguments.requests
        )
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        simulation = bench.run(scenario, arguments.policy, seed)
        report = bench.report(
            arguments.scenario, arguments.policy, seed, simulation
        )
        print_report(report, arguments.json)
        if bench.count_safety_violations(simulation):
            code = commands.EXIT_FAILED
    return code


def print_report(report: bench.Report, as_json: bool) -> None:
    """Print a report as one line of JSON or as text."""
    if as_json:
        sys.stdout.write(json.dumps(report) + "\n")
        return
    head = f"{report['scenario']} {report['policy']} seed {report['seed']}"
    sys.stdout.write(head + "\n")
    for kind, figures in (*report["kinds"].items(), ("run", report["run"])):
        values = " ".join(f"{key}={value}" for key, value in figures.items())
        sys.stdout.write(f"  {kind}: {values}\n")
