"""Decision on the state of one leaf, from all signs; no I/O.

A leaf counts as leaving as long as one source reports it. A report is
withdrawn only by a reading of the same source that was started after it. A
refusal because of draining outweighs the health endpoint for a hold time,
which doubles each time the leaf refuses again after the endpoint said that
it is live.
"""

import dataclasses
import enum
import typing

from plantainhook import blackboard, leafprotocol

HOLD_MIN_S: typing.Final = 10.0
HOLD_MAX_S: typing.Final = 300.0
PEER_HOLD_S: typing.Final = 10.0
SILENCE_LIMIT_S: typing.Final = 2.0


class Source(enum.StrEnum):
    """Name who said that a leaf is leaving."""

    HEALTH = "health"
    REFUSAL = "refusal"
    VM_LIST = "vm_list"
    PEER = "peer"


@dataclasses.dataclass(slots=True)
class LeafStateTracker:
    """Hold what is known of one leaf; times are monotonic seconds.

    ``leaving_s`` maps a source to the time of its last sign of leaving.
    """

    health: leafprotocol.HealthState | None = None
    health_s: float = 0.0
    down: bool = False
    failing_since_s: float | None = None
    leaving_s: dict[Source, float] = dataclasses.field(default_factory=dict)
    hold_s: float = HOLD_MIN_S
    released_s: float = -float("inf")
    versions: dict[int, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    in_flight_count: int = 0
    poll_count: int = 0

    def on_leaving(self, source: Source, now_s: float) -> None:
        """Note a sign that the leaf is leaving."""
        if source is Source.REFUSAL and source not in self.leaving_s:
            again = now_s - self.released_s < HOLD_MAX_S
            doubled_s = min(HOLD_MAX_S, self.hold_s * 2)
            self.hold_s = doubled_s if again else HOLD_MIN_S
        self.leaving_s[source] = now_s

    def on_health(
        self,
        state: leafprotocol.HealthState,
        started_s: float,
        now_s: float,
    ) -> None:
        """Note a health reading that was started at a time."""
        self.down = False
        self.failing_since_s = None
        self.health = state
        self.health_s = now_s
        if state is leafprotocol.HealthState.DRAINING:
            self.on_leaving(Source.HEALTH, now_s)
        else:
            self._withdraw(Source.HEALTH, started_s, 0.0)
            self._withdraw(Source.PEER, started_s, 0.0)
            self._withdraw(Source.REFUSAL, started_s, self.hold_s)

    def on_vm_listed(
        self, leaving: bool, started_s: float, now_s: float
    ) -> None:
        """Note the state in a VM list whose read started at a time."""
        if leaving:
            self.on_leaving(Source.VM_LIST, now_s)
        else:
            self._withdraw(Source.VM_LIST, started_s, 0.0)

    def on_unreachable(self, refused: bool, now_s: float) -> None:
        """Note a failed poll; a refused connect takes effect at once."""
        if self.failing_since_s is None:
            self.failing_since_s = now_s
        heard_s = (
            self.failing_since_s if self.health is None else self.health_s
        )
        silent_s = now_s - heard_s
        if refused or silent_s >= SILENCE_LIMIT_S:
            self.down = True

    def expire(self, now_s: float) -> None:
        """Drop the reports of peers where the leaf is not polled here."""
        said_s = self.leaving_s.get(Source.PEER)
        if said_s is not None and now_s - said_s >= PEER_HOLD_S:
            del self.leaving_s[Source.PEER]

    def state(self) -> blackboard.LeafState | None:
        """Return the state, or None where nothing is known."""
        if self.leaving_s:
            return blackboard.LeafState.DRAINING
        if self.down:
            return blackboard.LeafState.DOWN
        if self.health is leafprotocol.HealthState.COLD:
            return blackboard.LeafState.COLD
        if self.health is not None:
            return blackboard.LeafState.LIVE
        return None

    def _withdraw(
        self, source: Source, started_s: float, hold_s: float
    ) -> None:
        said_s = self.leaving_s.get(source)
        if said_s is None or started_s <= said_s + hold_s:
            return
        del self.leaving_s[source]
        if source is Source.REFUSAL:
            self.released_s = started_s
