"""Tickets: at-most-once execution of non-idempotent requests.

A ticket names the daemon incarnation that issued it, and only that
incarnation runs the request. A resend joins the running request or gets the
stored outcome; where the state is lost, the outcome is unknown and the
request is never run again. No other store is involved, so the rule holds
through outages of the object API and changes of membership.
"""

import collections
import dataclasses
import enum
import typing

import result

from plantainhook import errors, steps

TICKET_AGE_LIMIT_S: typing.Final = 600.0
OUTCOME_LIMIT_BYTES: typing.Final = 32_000_000
ISSUE_LIMIT_COUNT: typing.Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Name the issuing daemon, its incarnation and a number."""

    peer_address: str
    incarnation: int
    number: int

    def text(self) -> str:
        """Return the form in which callers carry the ticket."""
        return f"{self.peer_address}/{self.incarnation:x}/{self.number}"


def parse_ticket(text: str) -> result.Result[Ticket, errors.MessageError]:
    """Read a ticket that a caller sent."""
    parts = text.split("/")
    try:
        address, incarnation, number = parts
        ticket = Ticket(address, int(incarnation, 16), int(number))
    except ValueError:
        detail = f"{text[:80]!r} is not a ticket"
        return result.Err(
            errors.MessageError(steps.Step.QUERY_ACCEPT, "caller", detail)
        )
    return result.Ok(ticket)


class TicketState(enum.Enum):
    """Order the states of an issued ticket."""

    UNUSED = "unused"
    RUNNING = "running"
    DONE = "done"
    OUTCOME_DROPPED = "outcome_dropped"


class TicketUse(enum.Enum):
    """State what the holder of a ticket may do."""

    RUN = "run"
    JOIN = "join"
    STORED = "stored"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


@dataclasses.dataclass(slots=True)
class _Record:
    """Hold the state of one issued ticket."""

    issued_s: float
    state: TicketState = TicketState.UNUSED
    fingerprint: str = ""
    outcome: bytes = b""
    http_status: int = 0


class TicketRegistry:
    """Hold the tickets that this daemon incarnation issued."""

    def __init__(self, peer_address: str, incarnation: int) -> None:
        self.peer_address = peer_address
        self.incarnation = incarnation
        self._next_number = 1
        self._records: collections.OrderedDict[int, _Record] = (
            collections.OrderedDict()
        )
        self._outcome_bytes = 0

    def issue(self, now_s: float) -> Ticket:
        """Return a new ticket."""
        self._forget_old(now_s)
        number = self._next_number
        self._next_number += 1
        self._records[number] = _Record(issued_s=now_s)
        return Ticket(self.peer_address, self.incarnation, number)

    def is_own(self, ticket: Ticket) -> bool:
        """Return whether this incarnation issued the ticket."""
        return ticket.incarnation == self.incarnation

    def begin(
        self, ticket: Ticket, fingerprint: str, now_s: float
    ) -> TicketUse:
        """Claim a ticket for a request; only ``Use.RUN`` allows to run it.

        A ticket is bound to the first request that uses it; another
        request with the same ticket gets ``Use.MISMATCH``.
        """
        self._forget_old(now_s)
        record = self._records.get(ticket.number)
        if not self.is_own(ticket) or record is None:
            return TicketUse.UNKNOWN
        if record.state is TicketState.UNUSED:
            record.state = TicketState.RUNNING
            record.fingerprint = fingerprint
            return TicketUse.RUN
        if record.fingerprint != fingerprint:
            return TicketUse.MISMATCH
        if record.state is TicketState.RUNNING:
            return TicketUse.JOIN
        if record.state is TicketState.DONE:
            return TicketUse.STORED
        return TicketUse.UNKNOWN

    def release(self, ticket: Ticket) -> None:
        """Make a ticket usable again whose request provably did not run."""
        record = self._records.get(ticket.number)
        if record is not None and record.state is TicketState.RUNNING:
            record.state = TicketState.UNUSED
            record.fingerprint = ""

    def complete(
        self, ticket: Ticket, http_status: int, outcome: bytes
    ) -> None:
        """Store the outcome of a request that ran or may have run."""
        record = self._records.get(ticket.number)
        if record is None or record.state is not TicketState.RUNNING:
            return
        record.state = TicketState.DONE
        record.http_status = http_status
        record.outcome = outcome
        self._outcome_bytes += len(outcome)
        self._drop_outcomes()

    def outcome(self, ticket: Ticket) -> tuple[int, bytes]:
        """Return the HTTP status and body of a stored outcome.

        Raises KeyError where ``begin`` did not return ``Use.STORED``.
        """
        record = self._records[ticket.number]
        if record.state is not TicketState.DONE:
            raise KeyError(ticket.number)
        return record.http_status, record.outcome

    def _forget_old(self, now_s: float) -> None:
        while self._records:
            number, record = next(iter(self._records.items()))
            age_s = now_s - record.issued_s
            if age_s < TICKET_AGE_LIMIT_S:
                return
            if record.state is TicketState.RUNNING:
                # A running request keeps its ticket, or a resend could not
                # join it; the next call looks at it again.
                record.issued_s = now_s
                self._records.move_to_end(number)
                continue
            self._outcome_bytes -= len(record.outcome)
            del self._records[number]

    def _drop_outcomes(self) -> None:
        for record in self._records.values():
            if self._outcome_bytes <= OUTCOME_LIMIT_BYTES:
                return
            if record.state is TicketState.DONE:
                self._outcome_bytes -= len(record.outcome)
                record.outcome = b""
                record.state = TicketState.OUTCOME_DROPPED
