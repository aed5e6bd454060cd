"""What the callers and leafs of the soak saw, and the violations."""

import dataclasses
import typing

import trio

# Events this long before a violation are reported with it.
NOTED_S: typing.Final = 6.0


@dataclasses.dataclass(slots=True)
class Sent:
    """Record a request of a caller, and its answer if there is one."""

    daemon: int
    path: str
    sent_s: float
    status: int | None = None


@dataclasses.dataclass(slots=True)
class Ledger:
    """Record requests, runs and violations, and when things were disturbed.

    ``runs`` maps a request to the leafs that began to run it. ``disturbed_s``
    holds when a daemon, or the store under "store", was disturbed last.
    """

    sent: dict[str, Sent] = dataclasses.field(default_factory=dict)
    runs: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    violations: list[str] = dataclasses.field(default_factory=list)
    faults: dict[str, int] = dataclasses.field(default_factory=dict)
    events: list[tuple[float, str]] = dataclasses.field(default_factory=list)
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
