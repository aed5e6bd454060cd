"""Folds the figures of gone daemons while this daemon holds the lease.

Every daemon runs this controller; the lease lets one of them fold at a
time. A daemon that does not get the lease waits a whole interval, so that
4,900 contenders make few calls.
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
# A daemon that membership has lost and that has not written for this long
# is gone; the object API can be down for some minutes.
SILENT_S: typing.Final = 900.0
PEER: typing.Final = "lease"


class LeaseWriter:
    """Write month objects while the lease is held."""

    def __init__(self, held: lease.Lease, api: objectapi.ObjectApi) -> None:
        self._lease = held
        self._api = api

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease."""
        return self._lease.epoch

    async def fenced_put(
        self, key: str, value: typing.Any, if_version: int, request_id: str
    ) -> result.Result[objectapi.StoredObject, errors.PlantainhookError]:
        """Write conditionally, or FencedError where the lease has ended."""
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
    """Take the lease at intervals and fold under it."""

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
        self._folder = aggregation.Aggregator(api, writer)

    async def run(self) -> None:
        """Fold at intervals until cancelled."""
        while True:
            await trio.sleep(self._interval_s * self._rng.uniform(0.5, 1.5))
            await self.step()

    async def step(self) -> None:
        """Run one pass if the lease is free.

        The lease is kept until it ends, so the fleet as a whole makes one
        pass in its duration.
        """
        acquired = await self._lease.acquire()
        if isinstance(acquired, result.Err):
            LOGGER.debug("No lease: {}", acquired.err_value)
            return
        outcome = await self._fold()
        if isinstance(outcome, result.Err):
            LOGGER.warning("Folding waits: {}", outcome.err_value)

    async def _fold(
        self,
    ) -> result.Result[
        aggregation.AggregationSummary, errors.PlantainhookError
    ]:
        found = await aggregationplan.list_segments(self._api)
        if isinstance(found, result.Err):
            return found
        now_wall_s = self._clock.wall_s()
        live = {
            incarnation
            for incarnation, member in self._board.members.items()
            if member.alive
        } | {self._board.incarnation}
        gone = aggregationplan.dead_daemons(
            found.ok_value, live, now_wall_s, SILENT_S
        )
        return await self._folder.run_pass(now_wall_s, gone)
