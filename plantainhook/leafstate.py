"""State of one leaf, derived from the reports of all sources; no I/O.

``leafhealth`` passes in what it learns of a leaf (health readings, failed
polls, refused calls, the VM list, reports of peers) with the current time,
and reads the resulting ``LeafState``.

A leaf counts as leaving as long as any source reports it. A report is
withdrawn only by a later reading: one that was started after the report, so
that a reading that was under way when the leaf began to leave cannot undo
it. The health endpoint withdraws its own reports, those of peers, and
refusals; only the VM list withdraws what the VM list reported.

A refusal because of draining overrides a live health endpoint for a hold
time, because the endpoint may report a wrong state. The hold time doubles
each time the leaf refuses again within ``REFUSAL_HOLD_MAX_S`` of the health
reading that withdrew its previous refusal.
"""

import dataclasses
import enum
import typing

from plantainhook import blackboard, leafprotocol

REFUSAL_HOLD_MIN_S: typing.Final = 10.0
REFUSAL_HOLD_MAX_S: typing.Final = 300.0
PEER_REPORT_TTL_S: typing.Final = 10.0
SILENCE_LIMIT_S: typing.Final = 2.0


class ReportSource(enum.StrEnum):
    """Identify the source of a report that a leaf is leaving."""

    HEALTH = "health"
    REFUSAL = "refusal"
    VM_LIST = "vm_list"
    PEER = "peer"


@dataclasses.dataclass(slots=True)
class LeafStateTracker:
    """Track the reports on one leaf and derive its state.

    All times are monotonic seconds of this daemon. ``leaving_reported_s``
    maps each source that reports the leaf as leaving to the time of its last
    report. ``refusal_withdrawn_s`` is the start of the health reading that
    last withdrew a refusal.
    """

    health: leafprotocol.HealthState | None = None
    health_read_s: float = 0.0
    down: bool = False
    failing_since_s: float | None = None
    leaving_reported_s: dict[ReportSource, float] = dataclasses.field(
        default_factory=dict
    )
    refusal_hold_s: float = REFUSAL_HOLD_MIN_S
    refusal_withdrawn_s: float = -float("inf")
    versions: dict[int, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    in_flight_count: int = 0
    poll_count: int = 0

    def on_leaving(self, source: ReportSource, now_s: float) -> None:
        """Record a report that the leaf is leaving."""
        if (
            source is ReportSource.REFUSAL
            and source not in self.leaving_reported_s
        ):
            is_repeated = now_s - self.refusal_withdrawn_s < REFUSAL_HOLD_MAX_S
            doubled_s = min(REFUSAL_HOLD_MAX_S, self.refusal_hold_s * 2)
            self.refusal_hold_s = (
                doubled_s if is_repeated else REFUSAL_HOLD_MIN_S
            )
        self.leaving_reported_s[source] = now_s

    def on_health(
        self,
        state: leafprotocol.HealthState,
        started_s: float,
        now_s: float,
    ) -> None:
        """Record a health reading that was requested at ``started_s``."""
        self.down = False
        self.failing_since_s = None
        self.health = state
        self.health_read_s = now_s
        if state is leafprotocol.HealthState.DRAINING:
            self.on_leaving(ReportSource.HEALTH, now_s)
        else:
            self._withdraw(ReportSource.HEALTH, started_s, 0.0)
            self._withdraw(ReportSource.PEER, started_s, 0.0)
            self._withdraw(
                ReportSource.REFUSAL, started_s, self.refusal_hold_s
            )

    def on_vm_listed(
        self, leaving: bool, started_s: float, now_s: float
    ) -> None:
        """Record the VM's state in a list requested at ``started_s``."""
        if leaving:
            self.on_leaving(ReportSource.VM_LIST, now_s)
        else:
            self._withdraw(ReportSource.VM_LIST, started_s, 0.0)

    def on_unreachable(self, connect_failed: bool, now_s: float) -> None:
        """Record a failed poll of the leaf.

        A connection that could not be set up marks the leaf down at once. Any
        other failure does so once the leaf has not answered for
        ``SILENCE_LIMIT_S``.
        """
        if self.failing_since_s is None:
            self.failing_since_s = now_s
        silent_since_s = (
            self.failing_since_s if self.health is None else self.health_read_s
        )
        silent_s = now_s - silent_since_s
        if connect_failed or silent_s >= SILENCE_LIMIT_S:
            self.down = True

    def expire(self, now_s: float) -> None:
        """Remove a report of a peer that is older than its time to live.

        A daemon that does not poll the leaf gets no health reading that
        would withdraw the report.
        """
        reported_s = self.leaving_reported_s.get(ReportSource.PEER)
        if reported_s is not None and now_s - reported_s >= PEER_REPORT_TTL_S:
            del self.leaving_reported_s[ReportSource.PEER]

    def state(self) -> blackboard.LeafState | None:
        """Return the state, or None if there is no reading or report."""
        if self.leaving_reported_s:
            return blackboard.LeafState.DRAINING
        if self.down:
            return blackboard.LeafState.DOWN
        if self.health is leafprotocol.HealthState.COLD:
            return blackboard.LeafState.COLD
        if self.health is not None:
            return blackboard.LeafState.LIVE
        return None

    def _withdraw(
        self, source: ReportSource, started_s: float, hold_s: float
    ) -> None:
        """Remove the report of a source if a reading supersedes it.

        The reading must have started later than ``hold_s`` after the report.
        """
        reported_s = self.leaving_reported_s.get(source)
        if reported_s is None or started_s <= reported_s + hold_s:
            return
        del self.leaving_reported_s[source]
        if source is ReportSource.REFUSAL:
            self.refusal_withdrawn_s = started_s
