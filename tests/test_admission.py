"""Test admission: the cases of test-data/admission.toml and fairness."""

import pathlib
import random
import tomllib
import typing

import testtools

from plantainhook import admission, errors, schema

CASES: typing.Final = (
    pathlib.Path(__file__).parent.parent / "test-data" / "admission.toml"
)
CLASSES: typing.Final = {
    "u": schema.RequestClass.URGENT,
    "i": schema.RequestClass.INTERACTIVE,
    "s": schema.RequestClass.SEARCH,
    "a": schema.RequestClass.ARCHIVE,
}


def describe(decision: admission.Decision) -> str:
    """Return a decision in the notation of the case file."""
    name = decision.entry.request_id
    if isinstance(decision, admission.Start):
        return f"start {name}"
    return f"refuse {name} {decision.kind}"


def perform(
    queue: admission.AdmissionQueue, words: list[str], at_s: float
) -> list[admission.Decision]:
    """Carry out one event of a case."""
    if words[0] == "offer":
        entry = admission.Entry(
            words[1], CLASSES[words[2]], deadline_s=float(words[3])
        )
        return queue.offer(entry, at_s)
    if words[0] == "finish":
        return queue.finish(words[1], at_s, service_s=at_s)
    return queue.abandon(words[1], at_s)


class AdmissionCasesTest(testtools.TestCase):
    """Run every case of the file."""

    def test_cases(self) -> None:
        """Guard against a wrong order and lost or late requests."""
        for case in tomllib.loads(CASES.read_text(encoding="utf-8"))["case"]:
            limits = admission.Limits(
                case["running_count"],
                case["queued_count"],
                case["archive_queued_count"],
            )
            queue = admission.AdmissionQueue(limits)
            for event in case["events"]:
                found = perform(queue, event["do"].split(), event["at_s"])
                self.assertEqual(
                    event["expect"],
                    [describe(decision) for decision in found],
                    f"{case['name']}: {event['do']}",
                )


class AdmissionLoadTest(testtools.TestCase):
    """Check the queue under random load."""

    def test_no_class_starves(self) -> None:
        """Guard against a class that gets no slot while others wait."""
        queue = admission.AdmissionQueue(admission.Limits(10, 10_000, 10_000))
        started = dict.fromkeys(schema.RequestClass, 0)
        running: list[str] = []
        for number in range(8000):
            request_class = list(schema.RequestClass)[number % 4]
            entry = admission.Entry(str(number), request_class, 1e9)
            decisions = queue.offer(entry, 0.0)
            if number % 8 == 7 and running:
                decisions += queue.finish(running.pop(0), 0.0, 0.0)
            for decision in decisions:
                self.assertIsInstance(decision, admission.Start)
                started[decision.entry.request_class] += 1
                running.append(decision.entry.request_id)
        self.assertGreater(min(started.values()), 10)
        self.assertGreater(
            started[schema.RequestClass.URGENT],
            started[schema.RequestClass.ARCHIVE],
        )

    def test_every_offer_is_decided_once(self) -> None:
        """Guard against requests that are lost or decided twice."""
        for seed in range(100):
            rng = random.Random(seed)
            queue = admission.AdmissionQueue(admission.Limits(4, 20, 10))
            running: list[str] = []
            decided: list[str] = []
            for number in range(400):
                now_s = number / 100
                entry = admission.Entry(
                    str(number),
                    rng.choice(list(schema.RequestClass)),
                    now_s + rng.uniform(0.0, 2.0),
                )
                decisions = queue.offer(entry, now_s)
                if running and rng.random() < 0.6:
                    done = running.pop(rng.randrange(len(running)))
                    decisions += queue.finish(done, now_s, 0.02)
                for decision in decisions:
                    decided.append(decision.entry.request_id)
                    if isinstance(decision, admission.Start):
                        running.append(decision.entry.request_id)
            self.assertEqual(len(decided), len(set(decided)))
            self.assertEqual(400, len(decided) + queue.waiting_count())
            self.assertLessEqual(queue.running_count(), 4)

    def test_accepted_archive_is_not_shed(self) -> None:
        """Guard against shedding archive requests that were accepted."""
        queue = admission.AdmissionQueue(admission.Limits(1, 5, 5))
        queue.offer(
            admission.Entry("first", schema.RequestClass.SEARCH, 1e9), 0.0
        )
        for number in range(5):
            entry = admission.Entry(
                f"a{number}", schema.RequestClass.ARCHIVE, 1e9
            )
            self.assertEqual([], queue.offer(entry, 0.0))
        for number in range(100):
            entry = admission.Entry(
                f"s{number}", schema.RequestClass.SEARCH, 1e9
            )
            for decision in queue.offer(entry, 0.0):
                assert isinstance(decision, admission.Refuse)
                self.assertEqual(f"s{number}", decision.entry.request_id)
                self.assertEqual(errors.RefusalKind.OVERLOADED, decision.kind)
        self.assertEqual(5, queue.waiting_count(schema.RequestClass.ARCHIVE))
