"""Run the query cases in test-data/query.toml."""

import dataclasses

import testtools

from plantainhook import query, queryplan, querytypes, snapshot
from tests import datacases, querycase


def run_event(
    machine: query.QueryMachine, event: querycase.Table
) -> list[querytypes.Action]:
    """Pass one event of a case to the machine."""
    now_s = event["at_s"]
    if "reply" in event:
        reply = querycase.build_reply(
            event["shards"],
            event.get("version", 1),
            event.get("request_id", "r1"),
        )
        return machine.on_reply(event["reply"], reply, now_s)
    if "fail" in event:
        failure = querycase.build_failure(
            event["kind"], event["ran"], event.get("served", ())
        )
        return machine.on_failure(event["fail"], failure, now_s)
    if "cancel" in event:
        return machine.on_cancel(now_s)
    if "timer" in event:
        return machine.on_timer(now_s)
    return machine.start(now_s)


def case_view(
    case: querycase.Table, known: querycase.Table
) -> snapshot.TargetView:
    """Build the view of a case for the versions known to be served."""
    return querycase.build_view(
        case["leafs"], case["versions"], known, case.get("tiles", {})
    )


def run_case(case: querycase.Table) -> tuple[list[str], list[str]]:
    """Run a case and return expected and actual lines."""
    versions: querycase.Table = case["versions"]
    known: querycase.Table = case.get("known", versions)
    known_later: querycase.Table = case.get("known_later", known)
    views = [case_view(case, known)]
    rules = querycase.build_rules(case.get("rules", {}))
    plan = querycase.build_plan(views[0], rules, case.get("area", ()))
    plan = dataclasses.replace(plan, latest_view=lambda: views[-1])
    policies = queryplan.build_policies("dc-1", 0)
    for leaf in case.get("lost_before", ()):
        policies.quarantine.record_connection_loss(leaf, "f1", 0.0)
    machine = query.QueryMachine(plan, policies, 0.0)
    expected: list[str] = []
    actual: list[str] = []
    for event in case["events"]:
        expected += [f"at {event['at_s']}", *event.get("expect", ())]
        actual.append(f"at {event['at_s']}")
        actual += [
            querycase.action_text(action)
            for action in run_event(machine, event)
            if not isinstance(action, querytypes.SetTimer)
        ]
        views.append(case_view(case, known_later))
    for name, count in case.get("counters", {}).items():
        expected.append(f"{name}={count}")
        actual.append(f"{name}={getattr(policies.counters, name)}")
    return expected, actual


class QueryCaseTest(testtools.TestCase):
    """Run every case of the file."""

    def test_cases(self) -> None:
        """Guard against the failure that each case describes."""
        for case in datacases.load("query")["case"]:
            expected, actual = run_case(case)
            self.assertEqual(expected, actual, case["guards_against"])
