"""Run a sample of the fault matrix, and defects that it must detect."""

import dataclasses
import typing
from collections import abc
from unittest import mock

import testtools

from plantainhook import (
    callerapi,
    coverage,
    daemon,
    errors,
    faults,
    holderrouter,
    leafgateway,
    leafstate,
    planner,
    steps,
)
from tests import matrixdriver, matrixfaults

# The tests run one cell in this many; ``make matrix`` runs all of them.
SAMPLE_STRIDE: typing.Final = 12


def sample_cells() -> list[matrixdriver.Case]:
    """Return a sample of the cells that covers every fault and step."""
    return matrixdriver.all_cells()[::SAMPLE_STRIDE]


@dataclasses.dataclass(frozen=True, slots=True)
class Defect:
    """Describe a defect and the case that must detect it.

    The defect replaces ``attribute`` of ``owner``. ``caught_by`` is part of
    the violation that the case must report.
    """

    name: str
    owner: typing.Any
    attribute: str
    replacement: typing.Any
    step: steps.Step
    faults: tuple[faults.Fault, ...]
    caught_by: str


def do_nothing(*args: typing.Any) -> None:
    """Do nothing."""


async def do_nothing_async(*args: typing.Any) -> None:
    """Do nothing."""


_BUILD_MACHINE: typing.Final = planner.BlackboardPlanner.build_machine
_CALL: typing.Final = holderrouter.HolderRouter.call
_REFUSAL_RESPONSE: typing.Final = callerapi.refusal_response


def machine_without_idempotence(
    own: planner.BlackboardPlanner,
    request: typing.Any,
    rules: typing.Any,
    now_s: float,
) -> typing.Any:
    """Plan every request as if it were idempotent."""
    rules = dataclasses.replace(rules, idempotent=True)
    return _BUILD_MACHINE(own, request, rules, now_s)


def refusal_always_not_run(
    refusal: errors.RefusalError, ticket: str = ""
) -> callerapi.Response:
    """State "not run" in every refusal, even if the request ran."""
    refusal.ran = errors.Ran.NO
    return _REFUSAL_RESPONSE(refusal, ticket)


async def call_of_other_version(
    own: holderrouter.HolderRouter, request: typing.Any, send: typing.Any
) -> typing.Any:
    """Query version 2 if the requested one fails, and relabel the reply."""
    outcome = await _CALL(own, request, send)
    if outcome.is_ok():
        return outcome
    other = dataclasses.replace(send, snapshot=2)
    reply = await _CALL(own, request, other)
    return reply.map(
        lambda found: dataclasses.replace(found, snapshot=send.snapshot)
    )


def fields_of_first_request(
    own: typing.Any, request: typing.Any
) -> typing.Any:
    """Send the fields of the first request with every request."""
    cached = own._fields
    if not cached:
        cached["first"] = leafgateway.RequestFields(
            request.request_id, request.kind, request.fingerprint, b"{}"
        )
    return dataclasses.replace(cached["first"], request_id=request.request_id)


DEFECTS: typing.Final = (
    Defect(
        "coverage is always 1",
        coverage.Merge,
        "ratio",
        lambda own: 1.0,
        steps.Step.QUERY_ACCEPT,
        (faults.Fault.VERSION_CHANGE,),
        "coverage 1.0 of",
    ),
    Defect(
        "non-idempotent requests are hedged",
        planner.BlackboardPlanner,
        "build_machine",
        machine_without_idempotence,
        steps.Step.QUERY_SEND,
        (faults.Fault.LATE_REPLY,),
        "ran more than once",
    ),
    Defect(
        "every refusal states not run",
        callerapi,
        "refusal_response",
        refusal_always_not_run,
        steps.Step.QUERY_SEND,
        (faults.Fault.HALF_OPEN,),
        "false 'not run'",
    ),
    Defect(
        "a stop does not wait for requests in flight",
        daemon.Daemon,
        "drain",
        do_nothing_async,
        steps.Step.STOP_DRAIN,
        (faults.Fault.CLOCK_JUMP,),
        "got no response",
    ),
    Defect(
        "versions are mixed",
        holderrouter.HolderRouter,
        "call",
        call_of_other_version,
        steps.Step.QUERY_ACCEPT,
        (faults.Fault.VERSION_CHANGE,),
        "mixed snapshots",
    ),
    Defect(
        "all requests send the fields of the first one",
        holderrouter.HolderRouter,
        "_fields_of",
        fields_of_first_request,
        steps.Step.QUERY_SEND,
        (faults.Fault.CLOCK_JUMP,),
        "results of another request",
    ),
    Defect(
        "signs that a leaf drains are ignored",
        leafstate.LeafStateTracker,
        "on_leaving",
        do_nothing,
        steps.Step.QUERY_SEND,
        (faults.Fault.LEAF_DRAINS,),
        "while draining",
    ),
)


class MatrixTest(testtools.TestCase):
    """Run the sample of cells and the defects."""

    def test_every_step_and_fault_is_known(self) -> None:
        """Guard against a step or a fault that no case covers."""
        families = matrixdriver.load_families()
        covered = [step for found in families.values() for step in found]
        missing = matrixdriver.steps_without_scenario()
        self.assertEqual(sorted(steps.Step), sorted(covered + missing))
        self.assertEqual(set(faults.Fault), set(matrixfaults.INJECTORS))

    def test_sample_of_cells(self) -> None:
        """Guard against a violated guarantee under a single fault."""
        failed = violation_lines(sample_cells())
        self.assertEqual([], failed)

    def test_defects_are_caught(self) -> None:
        """Guard against checks of the matrix that never fail."""
        for defect in DEFECTS:
            case = matrixdriver.Case(defect.step, defect.faults, seed=0)
            with mock.patch.object(
                defect.owner, defect.attribute, defect.replacement
            ):
                outcome = matrixdriver.run_case(case)
            found = " ".join(outcome.violations)
            self.assertIn(defect.caught_by, found, defect.name)


def violation_lines(cases: abc.Iterable[matrixdriver.Case]) -> list[str]:
    """Return a line for each case that violated a guarantee."""
    return [
        f"{outcome.case.text()}: {'; '.join(outcome.violations)}"
        for outcome in matrixdriver.run_cases(cases)
        if outcome.violations
    ]
