"""Tickets: at-most-once execution of non-idempotent requests.

A caller gets a ticket first and sends it with the request. The ticket names
the daemon incarnation that issued it, and only that incarnation may run the
request. A resend with the same ticket joins the running request or gets the
stored outcome. Where the state is lost, the outcome is unknown and the request
is never run again. The state is kept in the issuer's memory only, so the
guarantee holds during outages of the object API and changes of membership.
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
    """Identify the issuing daemon incarnation and one of its requests."""

    peer_address: str
    incarnation: int
    number: int

    def text(self) -> str:
        """Return the text form, which callers send with the request."""
        return f"{self.peer_address}/{self.incarnation:x}/{self.number}"


def parse_ticket(text: str) -> result.Result[Ticket, errors.MessageError]:
    """Parse the text form of a ticket; malformed text is an error."""
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
    """List the states of an issued ticket, in the order in which they occur.

    ``OUTCOME_DROPPED`` means that the request ran and its outcome was dropped
    to limit memory.
    """

    UNUSED = "unused"
    RUNNING = "running"
    DONE = "done"
    OUTCOME_DROPPED = "outcome_dropped"


class TicketUse(enum.Enum):
    """State how a request that presents a ticket is to be handled.

    ``RUN`` lets the request run, ``JOIN`` makes it wait for the running one,
    and ``STORED`` means that the outcome is available. With ``UNKNOWN`` the
    outcome is not known, and ``MISMATCH`` reports that the ticket belongs to
    another request.
    """

    RUN = "run"
    JOIN = "join"
    STORED = "stored"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


@dataclasses.dataclass(slots=True)
class _Record:
    """Track one issued ticket and the outcome of its request.

    ``issued_s`` is renewed while the request runs.
    """

    issued_s: float
    state: TicketState = TicketState.UNUSED
    fingerprint: str = ""
    outcome: bytes = b""
    http_status: int = 0


class TicketRegistry:
    """Issue tickets and track those of this daemon incarnation.

    A ticket expires after ``TICKET_AGE_LIMIT_S``, unless its request is still
    running. The oldest stored outcomes are dropped above
    ``OUTCOME_LIMIT_BYTES``.
    """

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
        self._remove_expired(now_s)
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
        """Use a ticket for a request; it may run only if this returns ``RUN``.

        A ticket is bound to the first request that uses it, and a request with
        another fingerprint gets ``TicketUse.MISMATCH``.
        """
        self._remove_expired(now_s)
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
        """Make a ticket usable again whose request certainly did not run."""
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

        Raises KeyError if there is none; see ``TicketUse.STORED``.
        """
        record = self._records[ticket.number]
        if record.state is not TicketState.DONE:
            raise KeyError(ticket.number)
        return record.http_status, record.outcome

    def _remove_expired(self, now_s: float) -> None:
        while self._records:
            number, record = next(iter(self._records.items()))
            age_s = now_s - record.issued_s
            if age_s < TICKET_AGE_LIMIT_S:
                return
            if record.state is TicketState.RUNNING:
                # The ticket of a running request stays valid, so that a
                # resend can join it. Its age starts anew.
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
