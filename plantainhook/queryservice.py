"""Takes a caller's query through acceptance, admission, run and record.

The service knows no HTTP: it takes a validated body and returns a response,
so programs that embed the package call it directly. Requests with a ticket
run in the service's own nursery, so that they end and keep their outcome
even if the caller leaves; all others end with their caller.
"""

import dataclasses
import typing

import trio

from plantainhook import (
    admission,
    admissiongate,
    blackboard,
    callerapi,
    clock,
    errors,
    executor,
    logs,
    messages,
    querytypes,
    steps,
    tickets,
)

ADMITTING: typing.Final = (
    blackboard.LifecycleState.SERVING,
    blackboard.LifecycleState.LEAVING,
)


class Planner(typing.Protocol):
    """Build the machine that decides one query."""

    def resolve_rules(
        self, body: callerapi.QueryBody
    ) -> querytypes.EffectiveRules | errors.RefusalError:
        """Return the rules in force for a request, or why there are none."""

    def build_machine(
        self,
        request: querytypes.QueryRequest,
        rules: querytypes.EffectiveRules,
        now_s: float,
    ) -> executor.Machine:
        """Return a machine that has not started."""


class TicketForwarder(typing.Protocol):
    """Send a ticketed query to the daemon that issued its ticket."""

    async def forward(
        self, ticket: tickets.Ticket, query: bytes, timeout_s: float
    ) -> callerapi.Response | errors.PeerError:
        """Return the issuer's response or why there is none."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnsweredRequest:
    """Describe one answered request to the recorder."""

    request_id: str
    kind: str
    request_class: str
    arrived_wall_s: float
    answered_wall_s: float
    latency_s: float
    deadline_met: bool
    outcome: executor.Outcome
    resend_of: str


class Recorder(typing.Protocol):
    """Take one record per answered request."""

    def record(self, served: AnsweredRequest) -> None:
        """Count an answered request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Hold what a query service works with."""

    board: blackboard.Blackboard
    gate: admissiongate.AdmissionGate
    tickets: tickets.TicketRegistry
    planner: Planner
    leafs: executor.LeafCaller
    forwarder: TicketForwarder
    recorder: Recorder
    clock: clock.Clock
    decisions: logs.DecisionLog
    nursery: trio.Nursery


@dataclasses.dataclass(frozen=True, slots=True)
class _Accepted:
    """Hold a request whose target, kind and rules are known."""

    body: callerapi.QueryBody
    request: querytypes.QueryRequest
    rules: querytypes.EffectiveRules
    arrived_wall_s: float


class QueryService:
    """Answer the queries of callers."""

    def __init__(self, parts: Dependencies) -> None:
        self.parts = parts
        self.in_flight_count = 0
        self._idle = trio.Event()
        self._idle.set()
        self._number = 0
        self._ticketed: dict[int, trio.Event] = {}

    async def query(self, body: callerapi.QueryBody) -> callerapi.Response:
        """Answer one query; never raises for a failure of the query."""
        self._enter()
        try:
            if body.ticket:
                return await self._query_with_ticket(body)
            return await self._query_once(body, resend_of="")
        finally:
            self._leave()

    async def query_as_issuer(
        self, body: callerapi.QueryBody
    ) -> callerapi.Response:
        """Answer a ticketed query that another daemon forwarded.

        A ticket of an earlier incarnation at this address is not forwarded
        again; its outcome is unknown.
        """
        parsed = tickets.parse_ticket(body.ticket)
        if parsed.is_err() or not self.parts.tickets.is_own(parsed.unwrap()):
            return callerapi.refusal_response(outcome_unknown("ticket book"))
        return await self.query(body)

    def issue_tickets(self, count: int) -> list[str]:
        """Return new tickets."""
        now_s = self.parts.clock.now_s()
        return [self.parts.tickets.issue(now_s).text() for _ in range(count)]

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.in_flight_count:
            await self._idle.wait()

    def _enter(self) -> None:
        self.in_flight_count += 1
        if self._idle.is_set():
            self._idle = trio.Event()

    def _leave(self) -> None:
        self.in_flight_count -= 1
        if not self.in_flight_count:
            self._idle.set()

    async def _query_once(
        self, body: callerapi.QueryBody, resend_of: str
    ) -> callerapi.Response:
        accepted = self._accept(body)
        if isinstance(accepted, errors.RefusalError):
            return callerapi.refusal_response(accepted)
        if not accepted.rules.idempotent and not body.ticket:
            return self._ask_for_ticket(body)
        outcome = await self._run(accepted)
        self._record(accepted, outcome, resend_of)
        return self._response(outcome)

    def _accept(
        self, body: callerapi.QueryBody
    ) -> _Accepted | errors.RefusalError:
        parts = self.parts
        if parts.board.lifecycle is blackboard.LifecycleState.STARTING:
            return refuse(
                steps.Step.QUERY_ACCEPT,
                messages.STARTING,
                errors.RefusalKind.STARTING,
            )
        if parts.board.lifecycle not in ADMITTING:
            return refuse(
                steps.Step.QUERY_ACCEPT,
                messages.DRAINING,
                errors.RefusalKind.DRAINING,
            )
        rules = parts.planner.resolve_rules(body)
        if isinstance(rules, errors.RefusalError):
            return rules
        now_s = parts.clock.now_s()
        deadline_ms = rules.deadline_ms
        if body.deadline_ms is not None:
            deadline_ms = min(deadline_ms, body.deadline_ms)
        self._number += 1
        request = querytypes.QueryRequest(
            request_id=f"{parts.board.incarnation:x}-{self._number}",
            target=body.target,
            kind=body.kind,
            params=body.params,
            fingerprint=callerapi.fingerprint_of(body),
            arrived_s=now_s,
            deadline_s=now_s + deadline_ms / 1000,
            area=tuple(body.area),
            shards=tuple(body.shards),
            ticket=body.ticket,
        )
        return _Accepted(body, request, rules, parts.clock.wall_s())

    def _ask_for_ticket(self, body: callerapi.QueryBody) -> callerapi.Response:
        refusal = refuse(
            steps.Step.QUERY_ACCEPT,
            messages.TICKET_REQUIRED.format(kind=body.kind),
            errors.RefusalKind.TICKET_REQUIRED,
        )
        return callerapi.refusal_response(refusal, self.issue_tickets(1)[0])

    async def _run(self, accepted: _Accepted) -> executor.Outcome:
        parts = self.parts
        request = accepted.request
        entry = admission.Entry(
            request.request_id,
            accepted.rules.request_class,
            request.deadline_s,
        )
        try:
            async with parts.gate.admit(entry):
                machine = parts.planner.build_machine(
                    request, accepted.rules, parts.clock.now_s()
                )
                return await executor.run_query(
                    machine, request, parts.leafs, parts.clock
                )
        except errors.RefusalError as refusal:
            return refusal

    def _record(
        self, accepted: _Accepted, outcome: executor.Outcome, resend_of: str
    ) -> None:
        parts = self.parts
        now_s = parts.clock.now_s()
        request = accepted.request
        served = AnsweredRequest(
            request_id=request.request_id,
            kind=request.kind,
            request_class=accepted.rules.request_class,
            arrived_wall_s=accepted.arrived_wall_s,
            answered_wall_s=parts.clock.wall_s(),
            latency_s=now_s - request.arrived_s,
            deadline_met=now_s <= request.deadline_s,
            outcome=outcome,
            resend_of=resend_of,
        )
        parts.recorder.record(served)
        parts.decisions.log(describe_outcome(request, outcome))

    def _response(self, outcome: executor.Outcome) -> callerapi.Response:
        if isinstance(outcome, querytypes.Answer):
            return callerapi.answer_response(outcome)
        return callerapi.refusal_response(outcome)

    async def _query_with_ticket(
        self, body: callerapi.QueryBody
    ) -> callerapi.Response:
        parsed = tickets.parse_ticket(body.ticket)
        if parsed.is_err():
            detail = parsed.unwrap_err().detail
            return callerapi.refusal_response(callerapi.bad_request(detail))
        ticket = parsed.unwrap()
        if not self.parts.tickets.is_own(ticket):
            return await self._forward(ticket, body)
        fingerprint = callerapi.fingerprint_of(body)
        now_s = self.parts.clock.now_s()
        use = self.parts.tickets.begin(ticket, fingerprint, now_s)
        if use is tickets.TicketUse.UNKNOWN:
            return callerapi.refusal_response(outcome_unknown("ticket book"))
        if use is tickets.TicketUse.MISMATCH:
            detail = "the ticket was used for another request"
            return callerapi.refusal_response(callerapi.bad_request(detail))
        if use is tickets.TicketUse.RUN:
            return await self._run_ticketed(ticket, body)
        if use is tickets.TicketUse.JOIN:
            await self._ticketed[ticket.number].wait()
        return self._stored(ticket)

    async def _run_ticketed(
        self, ticket: tickets.Ticket, body: callerapi.QueryBody
    ) -> callerapi.Response:
        done = trio.Event()
        self._ticketed[ticket.number] = done
        self._enter()
        responses: list[callerapi.Response] = []
        self.parts.nursery.start_soon(
            self._ticketed_task, ticket, body, done, responses
        )
        await done.wait()
        if not responses:
            # The daemon stops at once and has cut the request off.
            return callerapi.refusal_response(outcome_unknown("daemon"))
        return responses[0]

    async def _ticketed_task(
        self,
        ticket: tickets.Ticket,
        body: callerapi.QueryBody,
        done: trio.Event,
        responses: list[callerapi.Response],
    ) -> None:
        try:
            response = await self._query_once(body, resend_of="")
            responses.append(response)
            if response_ran(response) is errors.Ran.NO:
                self.parts.tickets.release(ticket)
            else:
                self.parts.tickets.complete(
                    ticket, response.http_status, response.body
                )
        finally:
            del self._ticketed[ticket.number]
            done.set()
            self._leave()

    def _stored(self, ticket: tickets.Ticket) -> callerapi.Response:
        try:
            http_status, body = self.parts.tickets.outcome(ticket)
        except KeyError:
            # The request that this resend joined was refused before it ran.
            refusal = refuse(
                steps.Step.QUERY_ACCEPT,
                "the request did not run; send it again",
                errors.RefusalKind.OVERLOADED,
            )
            return callerapi.refusal_response(refusal)
        return callerapi.Response(http_status, body)

    async def _forward(
        self, ticket: tickets.Ticket, body: callerapi.QueryBody
    ) -> callerapi.Response:
        timeout_s = (body.deadline_ms or 600_000) / 1000
        self.parts.decisions.log(f"Ticket {ticket.text()} goes to its issuer.")
        response = await self.parts.forwarder.forward(
            ticket, body.model_dump_json().encode(), timeout_s
        )
        if isinstance(response, errors.PeerError):
            # The issuer may have run an earlier copy of this request, so
            # even a forward that was never sent does not prove "not run".
            refusal = outcome_unknown(response.peer)
            return callerapi.refusal_response(refusal)
        return response


def refuse(
    step: steps.Step, detail: str, kind: errors.RefusalKind
) -> errors.RefusalError:
    """Build a refusal of a request that did not run."""
    return errors.RefusalError(step, "daemon", detail, kind, errors.Ran.NO)


def outcome_unknown(peer: str) -> errors.RefusalError:
    """Build the refusal of a request that may have run before."""
    return errors.RefusalError(
        steps.Step.QUERY_ACCEPT,
        peer,
        messages.OUTCOME_UNKNOWN,
        errors.RefusalKind.OUTCOME_UNKNOWN,
        errors.Ran.MAYBE,
    )


def response_ran(response: callerapi.Response) -> errors.Ran:
    """Return whether the request of a response ran."""
    if response.http_status == 200:
        return errors.Ran.YES
    return callerapi.RefusalBody.model_validate_json(response.body).ran


def describe_outcome(
    request: querytypes.QueryRequest, outcome: executor.Outcome
) -> str:
    """Return the log line of an answered request."""
    if isinstance(outcome, querytypes.Answer):
        status = "complete" if outcome.complete else "partial"
        return (
            f"Request {request.request_id} {request.kind} is {status}: "
            f"snapshot {outcome.snapshot}, "
            f"coverage {outcome.coverage_ratio:.4f}."
        )
    return (
        f"Request {request.request_id} {request.kind} is refused: "
        f"{outcome.kind}, ran {outcome.ran}."
    )
