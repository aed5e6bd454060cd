"""Check the soak's check of requests that crash leafs."""

import typing

import testtools
import trio

from tests import soakledger, virtualtime

PATH: typing.Final = "/one/crashes-1"


class CrashingRequestTest(testtools.TestCase):
    """Guard against a check that reports nothing, or excused arrivals."""

    def setUp(self) -> None:
        """Create a ledger with a request that crashed three leafs."""
        super().setUp()
        self.ledger = soakledger.Ledger()
        self.ledger.sent["r"] = soakledger.Sent(0, PATH, 0.0)
        crashes = soakledger.CrashingRequest([0.0, 0.5, 1.0])
        self.ledger.crashing[PATH] = crashes

    def _arrive(self, after_s: float, count: int) -> int:
        """Let the request arrive some times; return the violations."""

        async def main() -> None:
            start_s = trio.current_time()
            crashes = self.ledger.crashing[PATH]
            crashes.crashes_s = [start_s + at_s for at_s in crashes.crashes_s]
            await trio.sleep(after_s)
            for _ in range(count):
                self.ledger.start_run("r", "leaf-1")

        virtualtime.run(main)
        return len(self.ledger.violations)

    def test_fourth_late_arrival_is_reported(self) -> None:
        """Three late arrivals are allowed."""
        self.assertEqual(0, self._arrive(6.0, 3))
        self.assertEqual(1, self._arrive(6.0, 1))

    def test_early_arrivals_are_excused(self) -> None:
        """The daemons have some seconds to learn of the third crash."""
        self.assertEqual(0, self._arrive(4.5, 20))

    def test_two_crashes_are_excused(self) -> None:
        """The rule counts from the third crash."""
        self.ledger.crashing[PATH].crashes_s.pop()
        self.assertEqual(0, self._arrive(20.0, 20))

    def test_disturbed_machines_are_excused(self) -> None:
        """The rule is for machines in touch."""
        for disturbed in (0, "store"):
            self.ledger.disturbed_s = {disturbed: 1e9}
            self.assertEqual(0, self._arrive(20.0, 20))
        self.ledger.disturbed_s = {1: 1e9}
        self.assertEqual(1, self._arrive(20.0, 4))

    def test_gathered_parts_are_excused_for_any_daemon(self) -> None:
        """Another daemon may send the parts of a gathered request."""
        path = "/all/crashes-1"
        self.ledger.sent["r"] = soakledger.Sent(0, path, 0.0)
        self.ledger.crashing[path] = self.ledger.crashing[PATH]
        self.ledger.disturbed_s = {1: 1e9}
        self.assertEqual(0, self._arrive(20.0, 20))
