"""Run daemons as processes under faults and check what callers are told.

``make soak SEED=... MINUTES=... DAEMONS=...`` runs one seed. A run ends with a
calm time, after which all requests must be answered and every daemon must
serve the newest configuration. It prints the seed, the faults, the requests
and the violations, and exits with 1 if there are any.
"""

import argparse
import pathlib
import random
import sys
import tempfile
import typing
from collections import abc

import loguru
import trio

from tests import soakcallers, soakdaemons, soakfaults, soakledger, soakworld

CALLERS_PER_DAEMON_COUNT: typing.Final = 3
START_LIMIT_S: typing.Final = 30.0
# Faults end, copies and connections recover, and callers are served again.
CALM_S: typing.Final = 8.0
SERVED_MIN_RATIO: typing.Final = 0.97


async def soak(
    seed: int,
    fault_s: float,
    daemons_count: int,
    directory: pathlib.Path,
    some_faults: abc.Sequence[str] = (),
) -> soakledger.Ledger:
    """Run one seed, with the faults named or all; return what was recorded."""
    rng = random.Random(seed)
    world = soakworld.World(random.Random(rng.random()))
    daemons = [
        soakdaemons.SoakDaemon(number, world, directory)
        for number in range(daemons_count)
    ]
    for daemon in daemons:
        daemon.configure(daemons)
    async with trio.open_nursery() as nursery:
        await nursery.start(world.run)
        for daemon in daemons:
            nursery.start_soon(daemon.run)
        if not await _all_ready(daemons):
            world.ledger.report("START: not all daemons are ready in time")
        with trio.CancelScope() as calling:
            async with trio.open_nursery() as callers:
                for daemon in daemons:
                    for number in range(CALLERS_PER_DAEMON_COUNT):
                        caller = soakcallers.Caller(
                            f"s{seed}-d{daemon.number}-{number}",
                            daemon,
                            world,
                            random.Random(rng.random()),
                        )
                        callers.start_soon(caller.run)
                context = soakfaults.Context(world, daemons, rng)
                end_s = trio.current_time() + fault_s
                async with trio.open_nursery() as faults:
                    faults.start_soon(
                        soakfaults.run_faults, context, end_s, some_faults
                    )
                    # Draws of its own, so the other faults stay those of the
                    # seed.
                    faults.start_soon(
                        soakfaults.run_crashing_requests,
                        context._replace(rng=random.Random(-seed - 1)),
                        end_s,
                    )
                await _recover(world, daemons)
                calling.cancel()
        nursery.cancel_scope.cancel()
    soakcallers.check_runs(world.ledger)
    return world.ledger


async def _all_ready(daemons: list[soakdaemons.SoakDaemon]) -> bool:
    """Wait until all daemons report that they are ready."""
    with trio.move_on_after(START_LIMIT_S):
        for daemon in daemons:
            while not await daemon.is_ready():
                await trio.sleep(0.1)
        return True
    return False


async def _recover(
    world: soakworld.World, daemons: list[soakdaemons.SoakDaemon]
) -> None:
    """Wait for the recovery; check that callers are served after it."""
    ledger = world.ledger
    if not await _all_ready(daemons):
        ledger.report("RECOVER: not all daemons are ready again")
    world.change_configuration()
    await trio.sleep(CALM_S)
    began_s = trio.current_time()
    await trio.sleep(CALM_S / 2)
    late = [
        sent
        for sent in ledger.sent.values()
        if sent.sent_s >= began_s
        and sent.sent_s < trio.current_time() - soakcallers.LATE_S
    ]
    served = [sent for sent in late if sent.status == 200]
    if len(served) < SERVED_MIN_RATIO * len(late):
        ledger.report(
            f"RECOVER: {len(served)} of {len(late)} requests are served "
            f"{CALM_S:.0f} s after the last fault"
        )


def main() -> int:
    """Run the seeds of the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument(
        "--faults",
        nargs="+",
        default=(),
        choices=soakfaults.FAULTS.names(),
        help="faults to draw from; all if not given",
    )
    arguments = parser.parse_args()
    # The stand-ins log each connection that they break on purpose.
    loguru.logger.remove()
    failed_count = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        ledger = trio.run(
            soak,
            seed,
            arguments.minutes * 60.0,
            arguments.daemons,
            directory,
            arguments.faults,
        )
        print(describe(seed, ledger), flush=True)
        failed_count += bool(ledger.violations)
    return 1 if failed_count else 0


def describe(seed: int, ledger: soakledger.Ledger) -> str:
    """Return a summary of a run with its violations."""
    statuses: dict[str, int] = {}
    for sent in ledger.sent.values():
        name = str(sent.status or "none")
        statuses[name] = statuses.get(name, 0) + 1
    faults = sum(ledger.faults.values())
    crashes = sum(len(each.crashes_s) for each in ledger.crashing.values())
    lines = [
        f"seed {seed}: {faults} faults, {crashes} leafs crashed by requests, "
        f"{len(ledger.sent)} requests {dict(sorted(statuses.items()))}, "
        f"{len(ledger.violations)} violations"
    ]
    return "\n  ".join([*lines, *ledger.violations[:20]])


if __name__ == "__main__":
    sys.exit(main())
