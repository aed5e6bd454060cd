"""Accept, admit, run and record the queries of callers.

The service is independent of HTTP: it takes a validated body and returns a
response, so programs that embed the package can call it directly. Requests
with a ticket run in the service's own nursery, so that they finish and their
outcome is kept even if the caller disconnects. All other requests are
cancelled with their caller.
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

ADMITTING_STATES: typing.Final = (
    blackboard.LifecycleState.SERVING,
    blackboard.LifecycleState.LEAVING,
)


class Planner(typing.Protocol):
    """Look up the rules of queries and build their machines."""

    def resolve_rules(
        self, body: callerapi.QueryBody
    ) -> querytypes.EffectiveRules | errors.RefusalError:
        """Return the effective rules of a request, or its refusal."""

    def build_machine(
        self,
        request: querytypes.QueryRequest,
        rules: querytypes.EffectiveRules,
        now_s: float,
    ) -> executor.Machine:
        """Build a machine, which has not been started."""


class TicketForwarder(typing.Protocol):
    """Forward a query with a ticket to the daemon that issued the ticket."""

    async def forward(
        self, ticket: tickets.Ticket, query: bytes, timeout_s: float
    ) -> callerapi.Response | errors.PeerError:
        """Return the issuer's response, or the error if there is none."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnsweredRequest:
    """Describe a request that was answered or refused, for the recorder."""

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
    """Record answered requests."""

    def record(self, answered: AnsweredRequest) -> None:
        """Record an answered request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Collect the objects that a query service uses."""

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
class _AcceptedRequest:
    """Represent a request whose target, kind and rules are known."""

    body: callerapi.QueryBody
    request: querytypes.QueryRequest
    rules: querytypes.EffectiveRules
    arrived_wall_s: float


class QueryService:
    """Answer the queries of callers."""

    def __init__(self, dependencies: Dependencies) -> None:
        self.dependencies = dependencies
        self.in_flight_count = 0
        self._idle = trio.Event()
        self._idle.set()
        self._request_count = 0
        self._ticketed_events: dict[int, trio.Event] = {}

    async def query(self, body: callerapi.QueryBody) -> callerapi.Response:
        """Answer one query; a failed query gets a refusal as its response."""
        self._begin_request()
        try:
            if body.ticket:
                return await self._query_with_ticket(body)
            return await self._query_once(body, resend_of="")
        finally:
            self._end_request()

    async def query_as_issuer(
        self, body: callerapi.QueryBody
    ) -> callerapi.Response:
        """Answer a query with a ticket that another daemon forwarded.

        If an earlier incarnation of this daemon issued the ticket, the query
        is not forwarded again, and its outcome is unknown.
        """
        parsed = tickets.parse_ticket(body.ticket)
        if parsed.is_err() or not self.dependencies.tickets.is_own(
            parsed.unwrap()
        ):
            return callerapi.refusal_response(
                outcome_unknown_refusal("ticket book")
            )
        return await self.query(body)

    def issue_tickets(self, count: int) -> list[str]:
        """Issue new tickets; return their texts."""
        now_s = self.dependencies.clock.now_s()
        return [
            self.dependencies.tickets.issue(now_s).text() for _ in range(count)
        ]

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.in_flight_count:
            await self._idle.wait()

    def _begin_request(self) -> None:
        self.in_flight_count += 1
        if self._idle.is_set():
            self._idle = trio.Event()

    def _end_request(self) -> None:
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
            return self._refuse_without_ticket(body)
        outcome = await self._run(accepted)
        self._record_answer(accepted, outcome, resend_of)
        return self._response(outcome)

    def _accept(
        self, body: callerapi.QueryBody
    ) -> _AcceptedRequest | errors.RefusalError:
        dependencies = self.dependencies
        if dependencies.board.lifecycle is blackboard.LifecycleState.STARTING:
            return build_refusal(
                steps.Step.QUERY_ACCEPT,
                messages.STARTING,
                errors.RefusalKind.STARTING,
            )
        if dependencies.board.lifecycle not in ADMITTING_STATES:
            return build_refusal(
                steps.Step.QUERY_ACCEPT,
                messages.DRAINING,
                errors.RefusalKind.DRAINING,
            )
        rules = dependencies.planner.resolve_rules(body)
        if isinstance(rules, errors.RefusalError):
            return rules
        now_s = dependencies.clock.now_s()
        deadline_ms = rules.deadline_ms
        if body.deadline_ms is not None:
            deadline_ms = min(deadline_ms, body.deadline_ms)
        self._request_count += 1
        request = querytypes.QueryRequest(
            request_id=f"{dependencies.board.incarnation:x}-{self._request_count}",
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
        return _AcceptedRequest(
            body, request, rules, dependencies.clock.wall_s()
        )

    def _refuse_without_ticket(
        self, body: callerapi.QueryBody
    ) -> callerapi.Response:
        """Refuse a request that needs a ticket; the response has a new one."""
        refusal = build_refusal(
            steps.Step.QUERY_ACCEPT,
            messages.TICKET_REQUIRED.format(kind=body.kind),
            errors.RefusalKind.TICKET_REQUIRED,
        )
        return callerapi.refusal_response(refusal, self.issue_tickets(1)[0])

    async def _run(self, accepted: _AcceptedRequest) -> executor.Outcome:
        dependencies = self.dependencies
        request = accepted.request
        entry = admission.Entry(
            request.request_id,
            accepted.rules.request_class,
            request.deadline_s,
        )
        try:
            async with dependencies.gate.admit(entry):
                machine = dependencies.planner.build_machine(
                    request, accepted.rules, dependencies.clock.now_s()
                )
                return await executor.run_query(
                    machine, request, dependencies.leafs, dependencies.clock
                )
        except errors.RefusalError as refusal:
            return refusal

    def _record_answer(
        self,
        accepted: _AcceptedRequest,
        outcome: executor.Outcome,
        resend_of: str,
    ) -> None:
        dependencies = self.dependencies
        now_s = dependencies.clock.now_s()
        request = accepted.request
        answered = AnsweredRequest(
            request_id=request.request_id,
            kind=request.kind,
            request_class=accepted.rules.request_class,
            arrived_wall_s=accepted.arrived_wall_s,
            answered_wall_s=dependencies.clock.wall_s(),
            latency_s=now_s - request.arrived_s,
            deadline_met=now_s <= request.deadline_s,
            outcome=outcome,
            resend_of=resend_of,
        )
        dependencies.recorder.record(answered)
        dependencies.decisions.log(describe_outcome(request, outcome))

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
            return callerapi.refusal_response(
                callerapi.bad_request_refusal(detail)
            )
        ticket = parsed.unwrap()
        if not self.dependencies.tickets.is_own(ticket):
            return await self._forward(ticket, body)
        fingerprint = callerapi.fingerprint_of(body)
        now_s = self.dependencies.clock.now_s()
        use = self.dependencies.tickets.begin(ticket, fingerprint, now_s)
        if use is tickets.TicketUse.UNKNOWN:
            return callerapi.refusal_response(
                outcome_unknown_refusal("ticket book")
            )
        if use is tickets.TicketUse.MISMATCH:
            detail = "the ticket was used for another request"
            return callerapi.refusal_response(
                callerapi.bad_request_refusal(detail)
            )
        if use is tickets.TicketUse.RUN:
            return await self._run_ticketed(ticket, body)
        if use is tickets.TicketUse.JOIN:
            await self._ticketed_events[ticket.number].wait()
        return self._stored_response(ticket)

    async def _run_ticketed(
        self, ticket: tickets.Ticket, body: callerapi.QueryBody
    ) -> callerapi.Response:
        done = trio.Event()
        self._ticketed_events[ticket.number] = done
        self._begin_request()
        responses: list[callerapi.Response] = []
        self.dependencies.nursery.start_soon(
            self._run_ticketed_task, ticket, body, done, responses
        )
        await done.wait()
        if not responses:
            # The daemon is stopping without draining and has cancelled the
            # request.
            return callerapi.refusal_response(
                outcome_unknown_refusal("daemon")
            )
        return responses[0]

    async def _run_ticketed_task(
        self,
        ticket: tickets.Ticket,
        body: callerapi.QueryBody,
        done: trio.Event,
        responses: list[callerapi.Response],
    ) -> None:
        try:
            response = await self._query_once(body, resend_of="")
            responses.append(response)
            if read_ran(response) is errors.Ran.NO:
                self.dependencies.tickets.release(ticket)
            else:
                self.dependencies.tickets.complete(
                    ticket, response.http_status, response.body
                )
        finally:
            del self._ticketed_events[ticket.number]
            done.set()
            self._end_request()

    def _stored_response(self, ticket: tickets.Ticket) -> callerapi.Response:
        try:
            http_status, body = self.dependencies.tickets.outcome(ticket)
        except KeyError:
            # This resend waited for a request that was refused before it ran.
            refusal = build_refusal(
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
        self.dependencies.decisions.log(
            f"Forwarding ticket {ticket.text()} to its issuer."
        )
        response = await self.dependencies.forwarder.forward(
            ticket, body.model_dump_json().encode(), timeout_s
        )
        if isinstance(response, errors.PeerError):
            # The issuer may have run an earlier copy of this request, so even
            # if this one was never sent, ran=no would be wrong.
            refusal = outcome_unknown_refusal(response.peer)
            return callerapi.refusal_response(refusal)
        return response


def build_refusal(
    step: steps.Step, detail: str, kind: errors.RefusalKind
) -> errors.RefusalError:
    """Build the refusal of a request that did not run."""
    return errors.RefusalError(step, "daemon", detail, kind, errors.Ran.NO)


def outcome_unknown_refusal(peer: str) -> errors.RefusalError:
    """Build the refusal of a request that may have run before."""
    return errors.RefusalError(
        steps.Step.QUERY_ACCEPT,
        peer,
        messages.OUTCOME_UNKNOWN,
        errors.RefusalKind.OUTCOME_UNKNOWN,
        errors.Ran.MAYBE,
    )


def read_ran(response: callerapi.Response) -> errors.Ran:
    """Return whether the request of a response may have run."""
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
