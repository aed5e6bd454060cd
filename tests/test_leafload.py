"""Test what leafs receive from a fleet of daemons under faults.

The rules bound the leafs that run one request of a caller, the time that they
are given, the repeated requests in a window, and the requests in a pause that
a leaf has asked for.
"""

import random
import typing
from collections import abc

import loguru
import testtools
import trio

from tests import casefiles, forwardfleet

WINDOW_S: typing.Final = 10.0
RETRY_RATIO: typing.Final = 0.2
EXTRA_COUNT: typing.Final = 54.0
REQUESTS_COUNT: typing.Final = 160
INTERVAL_S: typing.Final = 0.05
# What callers state; None if they state no deadline.
LEFT_MS: typing.Final = (None, 800.0, 2_000.0, 4_000.0, 9_000.0)


def build_conduct(
    case: casefiles.Case, rng: random.Random
) -> abc.Callable[[], forwardfleet.Conduct]:
    """Return how leafs handle requests in a case."""

    def choose() -> forwardfleet.Conduct:
        unit = rng.random()
        for name, status in (
            ("lost", forwardfleet.LOST),
            ("full", forwardfleet.FULL),
            ("misdirected", forwardfleet.MISDIRECTED),
        ):
            unit -= case.get(name, 0.0)
            if unit < 0.0:
                delay_s = rng.choice((0.002, 0.01))
                pause_s = 0.0
                if status == forwardfleet.LOST:
                    delay_s = rng.choice((0.005, 0.3, 0.8))
                if status == forwardfleet.FULL and rng.random() < 0.5:
                    pause_s = case.get("pause_s", 0.0)
                return forwardfleet.Conduct(delay_s, status, pause_s)
        if unit < case.get("slow", 0.0):
            return forwardfleet.Conduct(
                rng.uniform(0.2, case.get("slow_s", 1.5))
            )
        return forwardfleet.Conduct(rng.uniform(0.003, 0.02))

    return choose


async def disturb(fleet: forwardfleet.Fleet, case: casefiles.Case) -> None:
    """Let faults happen to daemons until cancelled."""
    rng = fleet.rng
    interval_s = case.get("fault_interval_s", 0.5)
    while True:
        await trio.sleep(rng.uniform(0.2, 1.8) * interval_s)
        daemon = rng.choice(fleet.daemons)
        match rng.choice(case["faults"]):
            case "kill":
                daemon.kill()
                await trio.sleep(rng.uniform(0.05, 1.0))
                await fleet.restart(daemon)
            case "cut":
                daemon.is_cut_off = True
                await trio.sleep(rng.uniform(0.05, 1.5))
                daemon.is_cut_off = False
            case "stop":
                daemon.begin_stop(1.0)
                await trio.sleep(1.0)
                daemon.kill()
                await trio.sleep(0.3)
                await fleet.restart(daemon)


async def play(fleet: forwardfleet.Fleet, case: casefiles.Case) -> None:
    """Send requests at any daemon while leafs fail."""
    rng = fleet.rng
    for leaf in fleet.leafs:
        leaf.conduct = build_conduct(case, rng)
    async with trio.open_nursery() as nursery:
        if "faults" in case:
            nursery.start_soon(disturb, fleet, case)
        async with trio.open_nursery() as callers:
            for number in range(REQUESTS_COUNT):
                up = [daemon for daemon in fleet.daemons if daemon.is_up]
                path = forwardfleet.GATHER_PREFIX
                if number % 3 == 0:
                    path = forwardfleet.SINGLE_PREFIX
                callers.start_soon(
                    fleet.send, rng.choice(up), path, rng.choice(LEFT_MS)
                )
                await trio.sleep(rng.uniform(0.2, 1.8) * INTERVAL_S)
        nursery.cancel_scope.cancel()


def check(case: casefiles.Case, seed: int = 1) -> str | None:
    """Run a case; return what broke a rule, or None."""
    fleet = forwardfleet.run(
        lambda fleet: play(fleet, case),
        count=case["daemons"],
        seed=seed,
        budget_extra_count=case.get("extra", EXTRA_COUNT),
        goal_ms=case.get("goal_ms", forwardfleet.GOAL_MS),
    )
    found: dict[str, list[typing.Any]] = {
        "runs on too many leafs": fleet.excess_runs(),
        "deadlines": fleet.late_deadlines(),
        "requests in a pause": fleet.arrivals_in_pauses(),
        "repeats in a window": fleet.broken_windows(WINDOW_S, RETRY_RATIO),
    }
    broken = {name: items[:3] for name, items in found.items() if items}
    if broken:
        return str(broken)
    served = [sent.status == 200 for sent in fleet.sent.values()]
    if sum(served) < case["served"] * len(served):
        return f"{sum(served)} of {len(served)} requests were served"
    repeats = [len(fleet.repeats(name)) for name in fleet.services]
    if sum(repeats) < case["repeated"]:
        return f"only {sum(repeats)} requests were repeated"
    return None


class LeafLoadTest(testtools.TestCase):
    """Check the requests that reach leafs."""

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.disable("plantainhook")
        self.addCleanup(loguru.logger.enable, "plantainhook")

    def test_cases(self) -> None:
        """Guard against more load on leafs than the rules allow."""
        self.assertEqual([], casefiles.failures("leafload", check))


class DeadlineTest(testtools.TestCase):
    """Check the time that leafs get for a request that has waited."""

    def run_request(
        self, scenario: abc.Callable[[forwardfleet.Fleet], typing.Any]
    ) -> tuple[float, float | None]:
        """Run a scenario that sends one request; return both deadlines."""
        fleet = forwardfleet.run(scenario, count=1)
        (arrival,) = fleet.arrivals()
        (sent,) = fleet.sent.values()
        return sent.deadline_s, arrival.deadline_s

    def test_request_of_a_peer(self) -> None:
        """Guard against the time that a request took to its gatherer."""

        async def scenario(fleet: forwardfleet.Fleet) -> None:
            now_s = trio.current_time()
            fleet.sent["q"] = forwardfleet.Sent(
                now_s - 2.0, now_s + 2.0, False, 0
            )
            await fleet.daemons[0].forward.service.answer_for_peer(
                forwardfleet.build_request("q", 4_000.0), 2.0
            )

        allowed_s, given_s = self.run_request(scenario)
        assert given_s is not None
        self.assertTrue(allowed_s - 0.1 < given_s <= allowed_s)

    def test_request_during_the_start(self) -> None:
        """Guard against the time that a request waits for the start."""

        async def scenario(fleet: forwardfleet.Fleet) -> None:
            daemon = fleet.daemons[0]
            daemon.kill()
            daemon.build()
            fleet.configures = False
            await fleet.nursery.start(daemon.run)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    fleet.send, daemon, forwardfleet.SINGLE_PREFIX
                )
                await trio.sleep(0.25)
                fleet.configure(daemon.forward)

        allowed_s, given_s = self.run_request(scenario)
        assert given_s is not None
        self.assertTrue(allowed_s - 0.1 < given_s <= allowed_s)

    def test_request_that_waits_for_a_connection(self) -> None:
        """Guard against the time that a request waits for a connection."""

        async def scenario(fleet: forwardfleet.Fleet) -> None:
            daemon = fleet.daemons[0]
            daemon.connect_s = 0.6
            await fleet.send(daemon, forwardfleet.SINGLE_PREFIX)

        allowed_s, given_s = self.run_request(scenario)
        assert given_s is not None
        self.assertTrue(allowed_s - 0.1 < given_s <= allowed_s)


class SlowCaller:
    """Send a request in pieces; implements ``SocketTransport``."""

    def __init__(self, pieces: list[bytes], interval_s: float) -> None:
        self._pieces = pieces
        self._interval_s = interval_s

    async def wait_readable(self) -> None:
        """Return at once: the first piece is there."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next piece."""
        if not self._pieces:
            await trio.sleep_forever()
        await trio.sleep(self._interval_s)
        return self._pieces.pop(0)

    async def send_some(self, data: bytes) -> int:
        """Receive a response."""
        await trio.lowlevel.checkpoint()
        return len(data)

    def is_readable(self) -> bool:
        """Return whether a piece is left."""
        return bool(self._pieces)

    def send_eof(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class SlowBodyTest(testtools.TestCase):
    """Check the time that leafs get for a request that arrives slowly."""

    def test_deadline_begins_with_the_request(self) -> None:
        """Guard against leafs that work on after their caller has left."""
        head = (
            b"POST /s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow\r\n"
            b"Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\n"
        )
        pieces = [head, *(b"x" for _ in range(4))]

        async def scenario(fleet: forwardfleet.Fleet) -> None:
            sent_s = trio.current_time()
            fleet.sent["slow"] = forwardfleet.Sent(
                sent_s, sent_s + 4.0, False, 0
            )
            caller: typing.Any = SlowCaller(pieces, 0.4)
            server = fleet.daemons[0].forward.caller_server
            with trio.move_on_after(3.0):
                await server.serve_transport(caller)

        fleet = forwardfleet.run(scenario, count=1)
        self.assertEqual(1, len(fleet.arrivals()))
        self.assertEqual([], fleet.late_deadlines())
