"""Run aggregation passes while this daemon holds the aggregation lease.

Every daemon runs this controller, and the lease allows only one of them to
aggregate at a time. A daemon that doesn't get the lease waits about one
interval before its next attempt, so that 4,900 contenders make few calls of
the object API.

The log part, the lease and the settings say "folding" for aggregation, because
operators and stored objects use these names.
"""

import random
import typing

import result
import trio

from plantainhook import (
    aggregation,
    aggregationplan,
    blackboard,
    clock,
    errors,
    lease,
    logs,
    objectapi,
    steps,
)

LOGGER: typing.Final = logs.part_logger("folding")
LEASE_NAME: typing.Final = "folding"
# A daemon that membership no longer lists as alive and that has not written
# for this long is treated as dead. Live daemons may also be unable to write
# for some minutes, while the object API is down.
SILENCE_BEFORE_DEAD_S: typing.Final = 900.0
PEER: typing.Final = "lease"


class LeaseWriter:
    """Write month objects while the lease is held."""

    def __init__(
        self, held_lease: lease.Lease, api: objectapi.ObjectApi
    ) -> None:
        self._lease = held_lease
        self._api = api

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease."""
        return self._lease.epoch

    async def fenced_put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.PlantainhookError]:
        """Write conditionally, or return FencedError if the lease ended."""
        if self._lease.remaining_s() <= 0:
            return result.Err(
                errors.FencedError(
                    steps.Step.FIGURES_FOLD, PEER, "the lease has ended"
                )
            )
        return await objectapi.write_resolved(
            self._api, key, value, if_version, request_id
        )


class AggregationController:
    """Acquire the lease at intervals, and aggregate while holding it."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        api: objectapi.ObjectApi,
        own_clock: clock.Clock,
        interval_s: float,
        lease_duration_s: float,
        rng: random.Random,
    ) -> None:
        holder = f"{board.incarnation:x}"
        self._board = board
        self._api = api
        self._clock = own_clock
        self._interval_s = interval_s
        self._rng = rng
        self._lease = lease.Lease(
            api, LEASE_NAME, holder, lease_duration_s, own_clock
        )
        writer = LeaseWriter(self._lease, api)
        self._aggregator = aggregation.Aggregator(api, writer)

    async def run(self) -> None:
        """Attempt a pass at intervals until cancelled."""
        while True:
            await trio.sleep(self._interval_s * self._rng.uniform(0.5, 1.5))
            await self.step()

    async def step(self) -> None:
        """Run one pass if the lease can be acquired.

        The lease is not released but left to expire, so the fleet as a whole
        makes one pass per lease duration.
        """
        acquired = await self._lease.acquire()
        if isinstance(acquired, result.Err):
            LOGGER.debug(
                "Aggregation lease not acquired: {}", acquired.err_value
            )
            return
        outcome = await self._aggregate()
        if isinstance(outcome, result.Err):
            LOGGER.warning(
                "Aggregation failed; the next pass retries it: {}",
                outcome.err_value,
            )

    async def _aggregate(
        self,
    ) -> result.Result[
        aggregation.AggregationSummary, errors.PlantainhookError
    ]:
        listing = await aggregationplan.list_segments(self._api)
        if isinstance(listing, result.Err):
            return listing
        now_wall_s = self._clock.wall_s()
        live = {
            incarnation
            for incarnation, member in self._board.members.items()
            if member.alive
        } | {self._board.incarnation}
        dead = aggregationplan.dead_daemons(
            listing.ok_value, live, now_wall_s, SILENCE_BEFORE_DEAD_S
        )
        return await self._aggregator.run_pass(now_wall_s, dead)
