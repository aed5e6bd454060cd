"""What the callers and leafs of the soak saw, and the violations."""

import dataclasses
import typing

import trio

# Events this long before a violation are reported with it.
NOTED_S: typing.Final = 6.0
# A daemon is in touch once it and the store were calm for this long.
IN_TOUCH_S: typing.Final = 4.0
# Arrivals of a request later than ``IN_TOUCH_S`` after its third crash.
LATE_ARRIVALS_MAX_COUNT: typing.Final = 3
CRASHES_COUNT: typing.Final = 3


@dataclasses.dataclass(slots=True)
class Sent:
    """Record a request of a caller, and its answer if there is one."""

    daemon: int
    path: str
    sent_s: float
    status: int | None = None


@dataclasses.dataclass(slots=True)
class CrashingRequest:
    """Record the crashes that a request caused, and its late arrivals."""

    crashes_s: list[float] = dataclasses.field(default_factory=list)
    late_count: int = 0

    def is_late(self) -> bool:
        """Return whether the daemons had time to hold the request back."""
        if len(self.crashes_s) < CRASHES_COUNT:
            return False
        third_s = self.crashes_s[CRASHES_COUNT - 1]
        return trio.current_time() - third_s > IN_TOUCH_S


@dataclasses.dataclass(slots=True)
class Ledger:
    """Record requests, runs and violations, and when things were disturbed.

    ``runs`` maps a request to the leafs that began to run it. ``disturbed_s``
    holds when a daemon, or the store under "store", was disturbed last.
    ``crashing`` holds requests that crash leafs, by path.
    """

    sent: dict[str, Sent] = dataclasses.field(default_factory=dict)
    runs: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    violations: list[str] = dataclasses.field(default_factory=list)
    faults: dict[str, int] = dataclasses.field(default_factory=dict)
    events: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    crashing: dict[str, CrashingRequest] = dataclasses.field(
        default_factory=dict
    )
    disturbed_s: dict[int | str, float] = dataclasses.field(
        default_factory=dict
    )
    # The answers in which a leaf said that it leaves, by request and leaf, and
    # when a daemon first passed on such an answer.
    words: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    told_s: dict[tuple[int, str], float] = dataclasses.field(
        default_factory=dict
    )

    def report(self, text: str) -> None:
        """Record a violation, with the events shortly before it."""
        now_s = trio.current_time()
        recent = [
            f"{at_s - now_s:.2f} s {event}"
            for at_s, event in self.events
            if now_s - at_s < NOTED_S
        ]
        self.violations.append(f"{text} [{'; '.join(recent)}]")

    def note(self, event: str) -> None:
        """Record an event, for the reports of violations."""
        self.events.append((trio.current_time(), event))

    def disturb(self, what: int | str, for_s: float = 0.0) -> None:
        """Record that a daemon or the store is disturbed for some time."""
        until_s = trio.current_time() + for_s
        self.disturbed_s[what] = max(
            until_s, self.disturbed_s.get(what, float("-inf"))
        )

    def calm_s(self, daemon: int) -> float:
        """Return for how long a daemon and the store were undisturbed."""
        last_s = max(
            self.disturbed_s.get(daemon, float("-inf")),
            self.disturbed_s.get("store", float("-inf")),
        )
        return trio.current_time() - last_s

    def start_run(self, request_id: str, leaf: str) -> None:
        """Record that a leaf begins to run a request."""
        self.runs.setdefault(request_id, []).append(leaf)
        sent = self.sent.get(request_id)
        if sent is not None and sent.path in self.crashing:
            self._check_crashing(request_id, sent, leaf)

    def _check_crashing(self, request_id: str, sent: Sent, leaf: str) -> None:
        """Check an arrival of a request that crashes leafs.

        The parts of a gathered request may come from any daemon.
        """
        request = self.crashing[sent.path]
        calm_s = self.calm_s(sent.daemon)
        if sent.path.startswith("/all/"):
            calm_s = min(
                calm_s, *(self.calm_s(each) for each in self._daemons())
            )
        if not request.is_late() or calm_s <= IN_TOUCH_S:
            return
        request.late_count += 1
        if request.late_count > LATE_ARRIVALS_MAX_COUNT:
            self.report(
                f"BUDGET: {request_id} on {sent.path} reaches {leaf} from "
                f"daemon {sent.daemon}, late arrival {request.late_count} "
                f"after {len(request.crashes_s)} crashes"
            )

    def _daemons(self) -> list[int]:
        return [what for what in self.disturbed_s if isinstance(what, int)]
