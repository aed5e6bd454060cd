"""Run a job while a lease is held.

The runner waits until a ``lease.Lease`` is acquired, renews it while the job
runs, and cancels the job at the lease's deadline.
"""

import random
import typing
from collections import abc

import result
import trio

from plantainhook import lease

RENEWALS_PER_DURATION: typing.Final = 3


async def wait_until_acquired(
    own_lease: lease.Lease, keys: abc.Sequence[str], rng: random.Random
) -> None:
    """Wait until the lease is acquired.

    A contender tries again when the current holder's lease would expire, with
    jitter, so that waiting costs about one call per lease duration.
    """
    while True:
        acquired = await own_lease.acquire(keys)
        if isinstance(acquired, result.Ok):
            return
        wait_s = own_lease.duration_s
        if isinstance(acquired.err_value, lease.LeaseHeldError):
            wait_s = max(wait_s / 2, acquired.err_value.remaining_s)
        await trio.sleep(wait_s + rng.uniform(0, own_lease.duration_s / 2))


async def run_under_lease(
    own_lease: lease.Lease,
    keys: abc.Sequence[str],
    job: abc.Callable[[lease.Lease], abc.Awaitable[None]],
    rng: random.Random,
) -> None:
    """Run a job whenever the lease is held, until cancelled.

    The lease is renewed three times per duration. The job is cancelled at the
    deadline of the lease. After the job has returned or has been cancelled,
    the lease is released, and acquired again after a pause.
    """
    while True:
        await wait_until_acquired(own_lease, keys, rng)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _renew_until_lost, own_lease, nursery.cancel_scope
            )
            await job(own_lease)
            nursery.cancel_scope.cancel()
        await own_lease.release()
        await trio.sleep(own_lease.duration_s * rng.uniform(0.5, 1.5))


async def _renew_until_lost(
    own_lease: lease.Lease, scope: trio.CancelScope
) -> None:
    """Renew a lease, and cancel the job once the lease is lost."""
    while True:
        remaining_s = own_lease.remaining_s()
        if remaining_s <= 0:
            scope.cancel()
            return
        interval_s = own_lease.duration_s / RENEWALS_PER_DURATION
        await trio.sleep(min(remaining_s, interval_s))
        with trio.move_on_after(own_lease.remaining_s()):
            await own_lease.renew()
