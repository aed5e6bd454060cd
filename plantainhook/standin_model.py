"""Model of a backend server: slots, queue, versions, states and faults.

``LeafModel`` answers the requests of the leaf protocol without any socket;
``standin_leaf`` serves it on connections. ``Behaviour`` has the settings that
can be changed while it runs. A journal records which requests were executed,
so that tests can check what callers were told.
"""

import dataclasses
import math
import random
import typing
from collections import abc

import msgspec
import trio

from plantainhook import (
    leafprotocol,
    standin_faults,
    standin_journal,
    standinhttp,
)

FOREVER: typing.Final = -1
RAN_NO: typing.Final = (("Plantainhook-Ran", "no"),)
RAN_YES: typing.Final = (("Plantainhook-Ran", "yes"),)

_SEARCH_DECODER: typing.Final = msgspec.json.Decoder(
    leafprotocol.SearchRequest
)


class Behaviour(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Configure how the stand-in leaf behaves.

    ``close_lag_ms`` is how much longer a closed connection counts as open.
    The service time is lognormal with ``service_median_ms`` and
    ``service_sigma``, plus ``shard_extra_ms`` for each shard after the first;
    while the leaf is cold, ``cold_factor`` multiplies it. ``health_lag_ms``
    and ``versions_lag_ms`` are the ages of the reported values, and
    ``health_says`` and ``load_says`` are reported instead of the true ones.
    A search crashes the leaf if its fingerprint is in ``crash_fingerprints``
    or its parameters contain ``crash_param``. The next
    ``drop_requests_count`` searches are dropped without being executed.
    ``fault_count`` is the number of further replies to which ``reply_fault``
    applies, or ``FOREVER``.
    """

    slot_count: int = 2
    queue_limit_count: int = 8
    connection_limit_count: int = 25
    connect_ms: float = 0.0
    close_lag_ms: float = 0.0
    service_median_ms: float = 5.0
    service_sigma: float = 0.3
    shard_extra_ms: float = 0.0
    items_per_shard_count: int = 3
    cold_ms: float = 0.0
    cold_factor: float = 5.0
    cold_refuses: bool = False
    down_ms: float = 1000.0
    health_lag_ms: float = 0.0
    versions_lag_ms: float = 0.0
    state_delay_ms: float = 0.0
    health_says: leafprotocol.HealthState | None = None
    load_says: int | None = None
    gives_reason: bool = True
    crash_fingerprints: list[str] = []
    crash_param: str = ""
    drop_requests_count: int = 0
    reply_fault: standin_faults.ReplyFault = "none"
    fault_count: int = FOREVER
    reply_delay_ms: float = 1000.0


@dataclasses.dataclass(slots=True)
class AcceptedSearch:
    """Track one accepted search while it runs or waits for a slot.

    ``started`` is set once it has a slot, ``cancelled`` if the client
    cancelled it.
    """

    search: leafprotocol.SearchRequest
    scope: trio.CancelScope
    started: bool = False
    cancelled: bool = False


class LeafModel:
    """Answer the requests of the leaf protocol and record what was executed.

    ``versions`` maps each served index version to its shards. ``down`` is
    whether the leaf has crashed. ``request_times_s`` lists the arrival times
    of all searches.
    """

    name: str
    behaviour: Behaviour
    journal: standin_journal.Journal
    down: bool

    def __init__(
        self,
        name: str,
        versions: dict[int, set[str]],
        behaviour: Behaviour | None = None,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.behaviour = behaviour or Behaviour()
        self.journal = standin_journal.Journal()
        self.down = False
        self._rng = random.Random(seed)
        self._versions = standin_journal.History(versions)
        self._state = standin_journal.History(leafprotocol.HealthState.LIVE)
        self._cold_until_s = -math.inf
        self._slots = trio.Semaphore(self.behaviour.slot_count)
        self.request_times_s: list[float] = []
        self._accepted: dict[str, AcceptedSearch] = {}

    def start_cold(self) -> None:
        """Begin the cold phase that follows a start."""
        self._cold_until_s = trio.current_time() + self.behaviour.cold_ms / 1e3
        self._state.append(leafprotocol.HealthState.LIVE)

    def crash(self) -> None:
        """Mark the leaf as down; the server drops every connection."""
        self.down = True

    def drain(self) -> None:
        """Refuse new searches; accepted ones are completed."""
        self._state.append(leafprotocol.HealthState.DRAINING)

    def undrain(self) -> None:
        """Accept searches again."""
        self._state.append(leafprotocol.HealthState.LIVE)

    def set_versions(self, versions: dict[int, set[str]]) -> None:
        """Replace the served index versions and their shards."""
        self._versions.append(versions)

    def update(self, changes: dict[str, object]) -> None:
        """Change some fields of the behaviour.

        Raises msgspec.ValidationError if a field or its type is not valid.
        """
        merged = {**msgspec.to_builtins(self.behaviour), **changes}
        slot_count = self.behaviour.slot_count
        self.behaviour = msgspec.convert(merged, Behaviour)
        if self.behaviour.slot_count != slot_count:
            self._slots = trio.Semaphore(self.behaviour.slot_count)

    def state(self) -> leafprotocol.HealthState:
        """Return the true state, which may differ from the reported one."""
        state = self._state.now()
        cold = trio.current_time() < self._cold_until_s
        if state is leafprotocol.HealthState.LIVE and cold:
            return leafprotocol.HealthState.COLD
        return state

    def in_flight_count(self) -> int:
        """Return the number of searches that run or wait for a slot."""
        return len(self._accepted)

    async def answer_state_request(self, path: str) -> standinhttp.HttpReply:
        """Answer a request to a state endpoint.

        The reply may be late or wrong, as the behaviour configures.
        """
        await trio.sleep(self.behaviour.state_delay_ms / 1000)
        reports: dict[str, abc.Callable[[], object]] = {
            leafprotocol.HEALTH_PATH: self._health,
            leafprotocol.LOAD_PATH: self._load,
            leafprotocol.VERSIONS_PATH: self._served_versions,
        }
        report = reports.get(path)
        if report is None:
            return standinhttp.HttpReply(404)
        return standinhttp.json_reply(200, report())

    def report_health(self) -> leafprotocol.HealthState:
        """Return the state that the health endpoint reports."""
        lag_s = self.behaviour.health_lag_ms / 1000
        state = self.behaviour.health_says
        if state is None and lag_s:
            state = self._state.at(trio.current_time() - lag_s)
        return state or self.state()

    def _health(self) -> leafprotocol.HealthReply:
        return leafprotocol.HealthReply(self.report_health())

    def _load(self) -> leafprotocol.LoadReply:
        reported = self.behaviour.load_says
        in_flight_count = (
            self.in_flight_count() if reported is None else reported
        )
        return leafprotocol.LoadReply(
            in_flight_count, self.behaviour.slot_count
        )

    def _served_versions(self) -> leafprotocol.VersionsReply:
        lag_s = self.behaviour.versions_lag_ms / 1000
        versions = self._versions.at(trio.current_time() - lag_s)
        return leafprotocol.VersionsReply(
            {version: sorted(shards) for version, shards in versions.items()}
        )

    def cancel(self, request_id: str) -> standinhttp.HttpReply:
        """Cancel a search that runs or waits for a slot."""
        accepted = self._accepted.get(request_id)
        if accepted is not None:
            accepted.cancelled = True
            accepted.scope.cancel()
        return standinhttp.json_reply(200, {"found": accepted is not None})

    async def search(self, body: bytes) -> standinhttp.HttpReply:
        """Run a search and return its reply, or a refusal.

        The header ``Plantainhook-Ran`` of a refusal or an aborted search
        states whether the search was executed.
        """
        self.request_times_s.append(trio.current_time())
        try:
            search = _SEARCH_DECODER.decode(body)
        except msgspec.DecodeError as error:
            detail = {"detail": str(error)}
            return standinhttp.json_reply(400, detail, RAN_NO)
        if self.behaviour.drop_requests_count:
            self.behaviour.drop_requests_count -= 1
            return standinhttp.HttpReply(200, raw=b"")
        refusal = self._find_refusal(search)
        if refusal is not None:
            return refusal
        return await self._accept(search)

    def _find_refusal(
        self, search: leafprotocol.SearchRequest
    ) -> standinhttp.HttpReply | None:
        """Return a refusal, or None if the search can be accepted."""
        state = self.state()
        if state is leafprotocol.HealthState.DRAINING:
            return self._build_refusal(leafprotocol.Refusal.DRAINING)
        cold = state is leafprotocol.HealthState.COLD
        if cold and self.behaviour.cold_refuses:
            return self._build_refusal(leafprotocol.Refusal.COLD)
        versions = self._versions.now()
        if not versions.get(search.snapshot, set()).issuperset(search.shards):
            served = {"served": sorted(versions)}
            return standinhttp.json_reply(409, served, RAN_NO)
        limit = self.behaviour.slot_count + self.behaviour.queue_limit_count
        if self.in_flight_count() >= limit:
            return self._build_refusal(leafprotocol.Refusal.OVERLOADED)
        return None

    def _build_refusal(
        self, reason: leafprotocol.Refusal
    ) -> standinhttp.HttpReply:
        if not self.behaviour.gives_reason:
            reason = leafprotocol.Refusal.UNKNOWN
        body = leafprotocol.RefusalBody(reason)
        return standinhttp.json_reply(503, body, RAN_NO)

    async def _accept(
        self, search: leafprotocol.SearchRequest
    ) -> standinhttp.HttpReply:
        deadline_s = trio.current_time() + search.deadline_ms / 1000
        accepted = AcceptedSearch(
            search, trio.CancelScope(deadline=deadline_s)
        )
        self._accepted[search.request_id] = accepted
        try:
            with accepted.scope:
                async with self._slots:
                    accepted.started = True
                    await self._run(search)
        finally:
            del self._accepted[search.request_id]
        if accepted.scope.cancelled_caught:
            status = 410 if accepted.cancelled else 504
            ran = RAN_YES if accepted.started else RAN_NO
            return standinhttp.json_reply(status, {}, ran)
        return await self._reply(search)

    async def _run(self, search: leafprotocol.SearchRequest) -> None:
        """Occupy the slot for the service time and record the run."""
        runs = self.journal.start(
            search.request_id,
            search.kind,
            search.fingerprint,
            search.shards,
            search.snapshot,
        )
        completed = False
        try:
            if self._is_poison(search):
                self.crash()
            await trio.sleep(self._draw_service_s(len(search.shards)))
            completed = True
        finally:
            self.journal.finish(runs, completed)

    def _is_poison(self, search: leafprotocol.SearchRequest) -> bool:
        if search.fingerprint in self.behaviour.crash_fingerprints:
            return True
        param = self.behaviour.crash_param
        return bool(param) and param.encode() in bytes(search.params)

    def _draw_service_s(self, shard_count: int) -> float:
        """Draw a lognormal service time in seconds."""
        behaviour = self.behaviour
        drawn = self._rng.lognormvariate(0.0, behaviour.service_sigma)
        time_ms = behaviour.service_median_ms * drawn
        time_ms += behaviour.shard_extra_ms * (shard_count - 1)
        if self.state() is leafprotocol.HealthState.COLD:
            time_ms *= behaviour.cold_factor
        return time_ms / 1000

    def _items(self, search: leafprotocol.SearchRequest, shard: str) -> object:
        """Return items that carry their shard, snapshot and request.

        With these, an observer notices an item of another reply.
        """
        items = [
            {
                "shard": shard,
                "snapshot": search.snapshot,
                "fingerprint": search.fingerprint,
                "rank": rank,
            }
            for rank in range(self.behaviour.items_per_shard_count)
        ]
        return {"items": items, "weight": 1.0}

    async def _reply(
        self, search: leafprotocol.SearchRequest
    ) -> standinhttp.HttpReply:
        body: dict[str, typing.Any] = {
            "request_id": search.request_id,
            "snapshot": search.snapshot,
            "results": {s: self._items(search, s) for s in search.shards},
        }
        fault = self._next_reply_fault()
        if fault == "delay":
            await trio.sleep(self.behaviour.reply_delay_ms / 1000)
        return standin_faults.build_reply(fault, body)

    def _next_reply_fault(self) -> standin_faults.ReplyFault:
        """Return the fault of the next reply, and count it."""
        if self.behaviour.fault_count == 0:
            return "none"
        fault = self.behaviour.reply_fault
        if fault != "none" and self.behaviour.fault_count > 0:
            self.behaviour.fault_count -= 1
        return fault
