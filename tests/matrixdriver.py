"""Run the cells of the fault matrix and pairs of faults, and write its page.

A cell is one fault that is injected at one step. ``python -m
tests.matrixdriver`` runs every cell and some random pairs of faults, prints
the violations and writes docs/fault-matrix.md. The environment variable SEED
selects the pairs; CASES limits the run to a random sample and leaves the page
as it is. ``test-data/matrix.toml`` lists the steps of each family; a step
that is missing there, or a fault without an injector, fails ``test_matrix``.
"""

import dataclasses
import functools
import os
import pathlib
import random
import sys
import tomllib
import traceback
import typing
from collections import abc

import trio
import trio.testing

from plantainhook import faults, logs, steps
from tests import (
    matrixcluster,
    matrixfaults,
    matrixobserver,
    matrixscenarios,
)

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
DATA_FILE: typing.Final = ROOT / "test-data" / "matrix.toml"
PAGE_FILE: typing.Final = ROOT / "docs" / "fault-matrix.md"
PAIR_COUNT: typing.Final = 200
# In virtual time. A case that takes longer is a failure.
CASE_LIMIT_S: typing.Final = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Describe a test case: a step, the faults injected there and a seed."""

    step: steps.Step
    faults: tuple[faults.Fault, ...]
    seed: int

    def text(self) -> str:
        """Return a description of the case on one line."""
        names = "+".join(self.faults)
        return f"{self.step} {names} seed {self.seed}"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Record the result of a case.

    ``observed`` lists what the caller, operator or lease holder saw, and
    ``violations`` the guarantees that were broken.
    """

    case: Case
    observed: tuple[str, ...]
    violations: tuple[str, ...]


def load_families() -> dict[str, list[steps.Step]]:
    """Return the steps of each family with a scenario, from DATA_FILE."""
    data = tomllib.loads(DATA_FILE.read_text(encoding="utf-8"))
    return {
        family: [steps.Step(name) for name in names]
        for family, names in data["steps"].items()
    }


def steps_without_scenario() -> list[steps.Step]:
    """Return the steps that DATA_FILE lists as not covered by the matrix."""
    data = tomllib.loads(DATA_FILE.read_text(encoding="utf-8"))
    return [steps.Step(name) for name in data["not_covered"]["steps"]]


def all_cells() -> list[Case]:
    """Return one case for each fault at each step."""
    return [
        Case(step, (fault,), seed=0)
        for family_steps in load_families().values()
        for step in family_steps
        for fault in faults.Fault
    ]


def random_pairs(count: int, seed: int) -> list[Case]:
    """Return cases with random pairs of faults at random steps."""
    rng = random.Random(seed)
    every_step = [
        step
        for family_steps in load_families().values()
        for step in family_steps
    ]
    every_fault = list(faults.Fault)
    return [
        Case(
            rng.choice(every_step),
            (rng.choice(every_fault), rng.choice(every_fault)),
            seed=rng.randrange(1_000_000),
        )
        for _ in range(count)
    ]


def run_case(case: Case) -> Outcome:
    """Run one case on a virtual clock; an exception is a violation."""
    scheduler: typing.Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(case.seed)
    mock_clock = trio.testing.MockClock(autojump_threshold=0)
    try:
        return trio.run(_run, case, mock_clock, clock=mock_clock)
    except Exception as error:
        lines = traceback.format_exception(error)
        return Outcome(case, (), (f"the case raised: {''.join(lines)}",))


async def _run(case: Case, mock_clock: trio.testing.MockClock) -> Outcome:
    async with trio.open_nursery() as nursery:
        cluster = matrixcluster.Cluster(nursery, mock_clock, case.seed)
        await cluster.start()
        for fault in case.faults:
            inject = matrixfaults.INJECTORS[fault]
            cluster.add_hook(case.step, functools.partial(inject, cluster))
        family = case.step.partition(".")[0]
        observed: list[str] = []
        with trio.move_on_after(CASE_LIMIT_S) as scope:
            observed = await matrixscenarios.SCENARIOS[family](
                cluster, case.step
            )
        violations = [
            *cluster.violations,
            *matrixobserver.check_cluster(cluster),
        ]
        if scope.cancelled_caught:
            violations.append("the case did not end in time")
        if case.step not in cluster.reached_steps:
            violations.append("the step was not reached")
        nursery.cancel_scope.cancel()
    return Outcome(case, tuple(observed), tuple(violations))


def run_cases(cases: abc.Iterable[Case]) -> list[Outcome]:
    """Run cases one after another and return their outcomes."""
    return [run_case(case) for case in cases]


def write_page(outcomes: abc.Iterable[Outcome]) -> None:
    """Write the page: a table per family, a row per fault, a column per step.

    Needs the outcome of every cell; outcomes of pairs are ignored.
    """
    by_cell = {
        (outcome.case.step, outcome.case.faults[0]): outcome
        for outcome in outcomes
        if len(outcome.case.faults) == 1
    }
    lines = [
        "# Fault matrix",
        "",
        "Generated by `make matrix`. In each cell, the fault is injected when "
        "the step is reached; the text is what the caller, operator or lease "
        "holder observed. Every cell checks all eight guarantees against "
        "what the stand-in leafs executed; **BROKEN** marks a violation.",
    ]
    for family, family_steps in load_families().items():
        names = [step.partition(".")[2] for step in family_steps]
        lines += ["", f"## {family}", ""]
        lines.append("| fault | " + " | ".join(names) + " |")
        lines.append("|---" * (len(names) + 1) + "|")
        for fault in faults.Fault:
            cells = [cell_text(by_cell[step, fault]) for step in family_steps]
            lines.append(f"| {fault} | " + " | ".join(cells) + " |")
    missing = ", ".join(steps_without_scenario())
    lines += ["", f"Steps without a scenario yet: {missing}.", ""]
    PAGE_FILE.write_text("\n".join(lines), encoding="utf-8")


def cell_text(outcome: Outcome) -> str:
    """Return the text of a cell of the page."""
    text = "; ".join(outcome.observed) or "-"
    return f"**BROKEN** {text}" if outcome.violations else text


def main() -> int:
    """Run all cells and some pairs; return 1 if a guarantee was violated."""
    logs.configure_logs("text", "CRITICAL")
    seed = int(os.environ.get("SEED", "0"))
    limit = int(os.environ.get("CASES", "0"))
    cells = all_cells()
    cases = cells + random_pairs(PAIR_COUNT, seed)
    if limit:
        cases = random.Random(seed).sample(cases, min(limit, len(cases)))
    outcomes = run_cases(cases)
    failed = [outcome for outcome in outcomes if outcome.violations]
    for outcome in failed:
        print(f"{outcome.case.text()}: {'; '.join(outcome.violations)}")
    if not limit:
        write_page(outcomes)
    print(f"{len(outcomes) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
