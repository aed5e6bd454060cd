"""Simulate a month of a fleet with faults, for the self-check of the figures.

Daemons count generated traffic and write segments to a store that is
unavailable at times and loses replies. Each daemon is replaced about once a
day: some stop cleanly, and others are killed, some of them in the middle of a
write. Some daemons are declared dead while they are alive, and one is
disconnected from the store until after the month is closed. Aggregation passes
crash or are paused at a random call, and the next holder of the lease takes
over.
"""

import dataclasses
import random
import typing
from collections import abc

import result
import trio
import trio.testing

from plantainhook import (
    aggregation,
    aggregationplan,
    errors,
    figures,
    objectapi,
    requestrecord,
    segments,
    selfcheckstore,
    selfchecktraffic,
)

DAY_S: typing.Final = 86_400.0
LOST_RATIO: typing.Final = 0.05
OUTAGE_RATIO: typing.Final = 0.02
OUTAGE_TICKS_MAX: typing.Final = 5
KILL_RATIO: typing.Final = 0.6
KILL_DURING_WRITE_RATIO: typing.Final = 0.3
FALSE_DEATH_RATIO: typing.Final = 0.005
PASS_FAULT_RATIO: typing.Final = 0.25
PAUSE_CALL_MAX: typing.Final = 60
DETECTION_MAX_S: typing.Final = 60.0
# Days of traffic before and after the month.
MARGIN_DAYS: typing.Final = 1
# Days after the month until the disconnected daemon returns. By then the month
# has been closed.
RETURN_DAYS: typing.Final = 4
# Days before the end of the month at which that daemon is disconnected.
DISCONNECTED_DAYS: typing.Final = 3

RecordSink = abc.Callable[[requestrecord.RequestRecord], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Define the size of a run."""

    month: figures.Month
    seed: int
    request_count: int
    daemon_count: int = 7
    tick_s: float = 3600.0


class PausableApi:
    """Forward calls of the object API and pause at one of them until released.

    The call number ``pause_at_call`` sets ``reached`` and waits for
    ``released``; 0 means that no call waits. A pass that ends earlier sets
    ``reached`` too. While ``disconnected`` is set, all calls fail.
    """

    reached: trio.Event
    released: trio.Event
    disconnected: bool
    _inner: selfcheckstore.FaultyStore
    _pause_at_call: int
    _calls_count: int

    def __init__(
        self, inner: selfcheckstore.FaultyStore, pause_at_call: int = 0
    ) -> None:
        self.reached = trio.Event()
        self.released = trio.Event()
        self.disconnected = False
        self._inner = inner
        self._pause_at_call = pause_at_call
        self._calls_count = 0

    async def _begin_call(self) -> objectapi.ObjectApi:
        self._calls_count += 1
        if self._calls_count == self._pause_at_call:
            self.reached.set()
            await self.released.wait()
        if self.disconnected:
            return selfcheckstore.FaultyStore.unreachable()
        return self._inner

    async def get(
        self, key: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Forward the call."""
        return await (await self._begin_call()).get(key)

    async def list(
        self, prefix: str
    ) -> result.Result[objectapi.Listing, errors.ObjectApiError]:
        """Forward the call."""
        return await (await self._begin_call()).list(prefix)

    async def put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.ObjectApiError]:
        """Forward the call."""
        api = await self._begin_call()
        return await api.put(key, value, if_version, request_id)

    async def delete(
        self, key: str, if_version: int, request_id: str
    ) -> result.Result[None, errors.ObjectApiError]:
        """Forward the call."""
        api = await self._begin_call()
        return await api.delete(key, if_version, request_id)

    async def watch(
        self, prefix: str, from_version: int, timeout_s: float
    ) -> result.Result[
        abc.Sequence[objectapi.StoredObject], errors.ObjectApiError
    ]:
        """Forward the call."""
        api = await self._begin_call()
        return await api.watch(prefix, from_version, timeout_s)


@dataclasses.dataclass(slots=True)
class RunningDaemon:
    """Track one incarnation of a simulated daemon.

    For the next ``silent_ticks`` ticks, it counts answers but writes nothing.
    """

    name: str
    incarnation: int
    started_wall_s: float
    api: PausableApi
    writer: segments.SegmentWriter
    traffic: selfchecktraffic.Traffic
    replace_at_wall_s: float
    silent_ticks: int = 0


@dataclasses.dataclass(slots=True)
class PausedPass:
    """Track an aggregation pass that is paused at a call."""

    api: PausableApi
    resume_at_wall_s: float


class Simulation:
    """Run the fleet over the month and the days around it.

    ``killed`` maps the names of the incarnations that were killed to their
    declarations; other declarations concern daemons that are alive.
    """

    store: selfcheckstore.FaultyStore
    killed: dict[str, aggregationplan.DeadDaemon]
    record_count: int
    _plan: Plan
    _sink: RecordSink
    _random: random.Random
    _daemons: list[RunningDaemon]
    _dead: list[aggregationplan.DeadDaemon]
    _epoch: int
    _outage_ticks: int
    _paused: list[PausedPass]

    def __init__(self, plan: Plan, sink: RecordSink) -> None:
        self.store = selfcheckstore.FaultyStore(plan.seed, LOST_RATIO)
        self.killed = {}
        self.record_count = 0
        self._plan = plan
        self._sink = sink
        self._random = random.Random(plan.seed)
        self._dead = []
        self._epoch = 1
        self._outage_ticks = 0
        self._paused = []
        start_wall_s = self.start_wall_s()
        self._daemons = [
            self._start(f"daemon-{number}", start_wall_s)
            for number in range(plan.daemon_count)
        ]

    def start_wall_s(self) -> float:
        """Return the start of the run."""
        first = self._plan.month.first_quarter_hour() * figures.QUARTER_HOUR_S
        return first - MARGIN_DAYS * DAY_S

    def month_end_wall_s(self) -> float:
        """Return the end of the month in UTC."""
        next_month = self._plan.month.shift(1)
        return float(next_month.first_quarter_hour() * figures.QUARTER_HOUR_S)

    async def run(self) -> None:
        """Run to the end; afterwards every segment is aggregated."""
        async with trio.open_nursery() as nursery:
            wall_s = self.start_wall_s()
            stop_wall_s = self.month_end_wall_s() + MARGIN_DAYS * DAY_S
            count = self._requests_per_tick(stop_wall_s - wall_s)
            while wall_s < stop_wall_s:
                await self._tick(wall_s, count, nursery)
                wall_s += self._plan.tick_s
            await self._finish(wall_s)

    def _requests_per_tick(self, length_s: float) -> int:
        ticks = length_s / self._plan.tick_s
        per_tick = self._plan.request_count / ticks / self._plan.daemon_count
        return max(1, round(per_tick + 0.5))

    async def _tick(
        self, wall_s: float, count: int, nursery: trio.Nursery
    ) -> None:
        self._choose_outage()
        end_wall_s = wall_s + self._plan.tick_s
        for number, daemon in enumerate(self._daemons):
            daemon.traffic.add_arrivals(
                max(wall_s, daemon.started_wall_s), end_wall_s, count
            )
            if wall_s <= daemon.replace_at_wall_s < end_wall_s:
                self._daemons[number] = await self._replace(daemon)
            else:
                await self._run_daemon(daemon, end_wall_s)
        self._disconnect(self._daemons[0], end_wall_s)
        await self._aggregate(end_wall_s, nursery)

    def _choose_outage(self) -> None:
        if self._outage_ticks:
            self._outage_ticks -= 1
        elif self._random.random() < OUTAGE_RATIO:
            self._outage_ticks = self._random.randint(1, OUTAGE_TICKS_MAX)
        self.store.unavailable = self._outage_ticks > 0

    def _disconnect(self, daemon: RunningDaemon, wall_s: float) -> None:
        """Disconnect the daemon from the store near the end of the month."""
        if wall_s < self.month_end_wall_s() - DISCONNECTED_DAYS * DAY_S:
            return
        if not daemon.api.disconnected:
            daemon.api.disconnected = True
            daemon.replace_at_wall_s = float("inf")
            self._declare_dead(daemon, wall_s)

    async def _run_daemon(self, daemon: RunningDaemon, wall_s: float) -> None:
        self._count_answers(daemon, wall_s)
        if daemon.silent_ticks:
            daemon.silent_ticks -= 1
            return
        if self._random.random() < FALSE_DEATH_RATIO:
            daemon.silent_ticks = self._random.randint(1, 3)
            self._declare_dead(daemon, wall_s)
            return
        await daemon.writer.flush(wall_s)

    def _count_answers(self, daemon: RunningDaemon, wall_s: float) -> None:
        for record in daemon.traffic.pop_answered(wall_s):
            daemon.writer.record(record)
            self.record_count += 1
            self._sink(record)

    def _declare_dead(
        self, daemon: RunningDaemon, wall_s: float
    ) -> aggregationplan.DeadDaemon:
        dead = aggregationplan.DeadDaemon(
            daemon.name,
            daemon.incarnation,
            daemon.started_wall_s,
            wall_s + self._random.uniform(1, DETECTION_MAX_S),
        )
        self._dead.append(dead)
        return dead

    async def _replace(self, daemon: RunningDaemon) -> RunningDaemon:
        wall_s = daemon.replace_at_wall_s
        if self._random.random() < KILL_RATIO:
            await self._kill(daemon, wall_s)
        else:
            wall_s = await self._stop(daemon, wall_s)
        return self._start(daemon.name, wall_s + DETECTION_MAX_S)

    async def _kill(self, daemon: RunningDaemon, wall_s: float) -> None:
        self._count_answers(daemon, wall_s)
        if self._random.random() < KILL_DURING_WRITE_RATIO:
            self.store.lost_ratio = 1.0
            await daemon.writer.flush(wall_s)
            self.store.lost_ratio = LOST_RATIO
        dead = self._declare_dead(daemon, wall_s)
        name = segments.incarnation_name(daemon.incarnation)
        self.killed[name] = dead

    async def _stop(self, daemon: RunningDaemon, wall_s: float) -> float:
        """Stop cleanly; the store is made available for this."""
        end_wall_s = max(wall_s, daemon.traffic.last_answer_wall_s())
        self._count_answers(daemon, end_wall_s)
        was_unavailable, self.store.unavailable = self.store.unavailable, False
        while not daemon.writer.closed:
            await daemon.writer.close(end_wall_s)
        self.store.unavailable = was_unavailable
        return end_wall_s

    def _start(self, name: str, wall_s: float) -> RunningDaemon:
        incarnation = self._random.getrandbits(64)
        api = PausableApi(self.store)
        return RunningDaemon(
            name=name,
            incarnation=incarnation,
            started_wall_s=wall_s,
            api=api,
            writer=segments.SegmentWriter(api, name, incarnation, wall_s),
            traffic=selfchecktraffic.Traffic(
                name, incarnation, random.Random(incarnation)
            ),
            replace_at_wall_s=wall_s + self._random.uniform(0.5, 1.2) * DAY_S,
        )

    async def _aggregate(self, wall_s: float, nursery: trio.Nursery) -> None:
        dead = list(self._dead)
        await self._resume_passes(wall_s)
        if self._random.random() >= PASS_FAULT_RATIO:
            await self._run_pass(PausableApi(self.store), wall_s, dead)
            return
        api = PausableApi(self.store, self._random.randint(1, PAUSE_CALL_MAX))
        if self._random.random() < 0.5:
            await self._crash_pass(api, wall_s, dead)
        else:
            await self._pause_pass(api, wall_s, dead, nursery)
        self._epoch += 1
        await self._run_pass(PausableApi(self.store), wall_s, dead)

    async def _run_pass(
        self,
        api: PausableApi,
        wall_s: float,
        dead: list[aggregationplan.DeadDaemon],
    ) -> result.Result[
        aggregation.AggregationSummary, errors.PlantainhookError
    ]:
        writer = selfcheckstore.EpochWriter(api, self._epoch)
        outcome = await aggregation.Aggregator(api, writer).run_pass(
            wall_s, dead
        )
        if isinstance(outcome, result.Ok) and not outcome.ok_value.failures:
            self._dead = [
                daemon for daemon in self._dead if daemon not in dead
            ]
        return outcome

    async def _crash_pass(
        self,
        api: PausableApi,
        wall_s: float,
        dead: list[aggregationplan.DeadDaemon],
    ) -> None:
        async with trio.open_nursery() as inner:
            inner.start_soon(self._run_pass_and_signal, api, wall_s, dead)
            await api.reached.wait()
            inner.cancel_scope.cancel()

    async def _pause_pass(
        self,
        api: PausableApi,
        wall_s: float,
        dead: list[aggregationplan.DeadDaemon],
        nursery: trio.Nursery,
    ) -> None:
        nursery.start_soon(self._run_pass_and_signal, api, wall_s, dead)
        await api.reached.wait()
        pause_s = self._random.randint(1, 30) * self._plan.tick_s
        self._paused.append(PausedPass(api, wall_s + pause_s))

    async def _run_pass_and_signal(
        self,
        api: PausableApi,
        wall_s: float,
        dead: list[aggregationplan.DeadDaemon],
    ) -> None:
        await self._run_pass(api, wall_s, dead)
        api.reached.set()

    async def _resume_passes(self, wall_s: float) -> None:
        due = [item for item in self._paused if item.resume_at_wall_s < wall_s]
        for item in due:
            self._paused.remove(item)
            item.api.released.set()
            await trio.testing.wait_all_tasks_blocked()

    async def _finish(self, wall_s: float) -> None:
        """Complete the run.

        Stop all daemons except the disconnected one, close the month, and then
        let that daemon return.
        """
        self.store.unavailable = False
        for daemon in self._daemons[1:]:
            await self._stop(daemon, wall_s)
        await self._resume_passes(float("inf"))
        await self._aggregate_all(wall_s)
        closed_wall_s = self.month_end_wall_s() + RETURN_DAYS * DAY_S
        await self._aggregate_all(closed_wall_s)
        returning = self._daemons[0]
        returning.api.disconnected = False
        await self._stop(returning, closed_wall_s)
        self.store.apply_late_writes()
        await self._aggregate_all(closed_wall_s + self._plan.tick_s)

    async def _aggregate_all(self, wall_s: float) -> None:
        """Run passes until one finds nothing to do and nothing fails."""
        while True:
            outcome = await self._run_pass(
                PausableApi(self.store), wall_s, list(self._dead)
            )
            if isinstance(outcome, result.Err):
                continue
            summary = outcome.ok_value
            work = summary.sealed_count + summary.aggregated_count
            if not work and not summary.failures:
                return
