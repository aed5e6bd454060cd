"""Some answers of leafs have a body without end, in short chunks.

With TROUBLE=0 all answers are sound. CHUNK is the length of a chunk (1).
"""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins
from standins import now

HOST, PREFIX = "hang.example", "/search/"
ZONES = ("suwon", "ansan", "bucheon")
SHARDS = tuple(f"counter-app-{index}" for index in range(10))
LEAFS_PER_SHARD = 2
REQUESTS_PER_S = 30.0
TIMEOUT_S, LATE_S, DEADLINE_S = 1.2, 0.5, 5.0
# The dose of `garble` in the site file; it comes again.
GARBLE_SHARE, GARBLE_RATIO, GARBLE_FOR_S, PAUSE_S = 0.6, 0.03, 5.0, 1.0
CHUNK = int(os.environ.get("CHUNK", "1"))
BEGIN_S, END_S = 6.0, 40.0
LATE_MIN = 8


async def main(record, folder, daemons):
    network = standins.own_network()
    store = standins.Store(record)
    await store.start(f"{network}.1")

    async def work(leaf, arrival):
        arrival.ran = True
        await asyncio.sleep(0.01)
        return 200, {}, random.randbytes(16 * 20)

    leafs = []
    for index, service in enumerate(SHARDS):
        for copy in range(LEAFS_PER_SHARD):
            leaf = standins.Leaf(
                store, service, ZONES[(index + copy) % 3], work, record
            )
            leaf.endless_chunk = b"%x\r\n%s\r\n" % (CHUNK, b"z" * CHUNK)
            leafs.append(leaf)
            await leaf.start(f"{network}.2")
    store.put(
        "config",
        "main",
        standins.configuration(
            7,
            [
                standins.route(
                    "r",
                    HOST,
                    PREFIX,
                    gather=list(SHARDS),
                    **{
                        "timeout-ms": int(TIMEOUT_S * 1000),
                        "latency-goal-ms": 297,
                        "top-k": 20,
                        "min-coverage": 0.89,
                    },
                )
            ],
            SHARDS,
        ),
    )
    for index in range(3):
        daemons.append(
            standins.Daemon(
                folder,
                f"frontend-{index}",
                f"{network}.{10 + index}",
                ZONES[index],
                store,
            )
        )
    for daemon in daemons:
        daemon.seeds = [each.control for each in daemons]
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    await asyncio.gather(*(daemon.wait_ready() for daemon in daemons))
    record("all daemons are ready", show=True)
    statuses = {}
    waits_s = []
    checks = {"asked": 0, "missed": 0}

    async def ask_ready(daemon):
        while True:
            checks["asked"] += 1
            if not await daemon.is_ready():
                checks["missed"] += 1
                record(f"balancer: no 200 from {daemon.name} within 1 s")
            await asyncio.sleep(1.0)

    async def garble():
        await asyncio.sleep(BEGIN_S)
        while True:
            chosen = random.sample(leafs, int(len(leafs) * GARBLE_SHARE))
            record(f"{len(chosen)} of {len(leafs)} leafs spoil answers")
            for leaf in chosen:
                leaf.endless_ratio = GARBLE_RATIO
            await asyncio.sleep(GARBLE_FOR_S)
            for leaf in chosen:
                leaf.endless_ratio = 0.0
            record("no leaf spoils answers")
            await asyncio.sleep(PAUSE_S)

    background = [asyncio.ensure_future(ask_ready(each)) for each in daemons]
    if standins.TROUBLE:
        background.append(asyncio.ensure_future(garble()))

    async def send(daemon):
        request_id = standins.new_id()
        record(f"sent {request_id} to {daemon.name}")
        sent_s = now()
        status = 0
        try:
            status, _, _ = await asyncio.wait_for(
                standins.one_request(
                    daemon.front,
                    "GET",
                    PREFIX + "x",
                    {
                        "Host": HOST,
                        "Request-Id": request_id,
                        "Deadline-Ms": int(DEADLINE_S * 1000),
                    },
                ),
                DEADLINE_S,
            )
        except (OSError, asyncio.TimeoutError) as error:
            record(f"failed {request_id}: {error!r}")
        waits_s.append(now() - sent_s)
        record(f"answered {request_id} by {daemon.name}: {status} after "
               f"{waits_s[-1]:.3f} s")
        statuses[status] = statuses.get(status, 0) + 1

    tasks = []
    began_s = next_s = now()
    while now() < began_s + END_S:
        tasks.append(asyncio.ensure_future(send(random.choice(daemons))))
        next_s += 1.0 / REQUESTS_PER_S
        await asyncio.sleep(next_s - now())
    await asyncio.gather(*tasks, return_exceptions=True)
    for task in background:
        task.cancel()
    record(f"statuses: {statuses}; the balancer got no 200 within 1 s to "
           f"{checks['missed']} of {checks['asked']} questions", show=True)
    unanswered = sum(wait_s > TIMEOUT_S for wait_s in waits_s)
    late = sum(wait_s > TIMEOUT_S + LATE_S for wait_s in waits_s)
    record(f"CONFIG: {unanswered} of {len(waits_s)} requests were unanswered "
           f"at the timeout of the route, and {late} of these {LATE_S} s "
           f"later; the longest took {max(waits_s):.1f} s", show=True)
    if statuses.get(200, 0) < 20:
        raise standins.CannotRun("too few requests were served")
    if late >= LATE_MIN and late > unanswered / 2:
        return standins.BROKEN
    return standins.HELD


standins.run_script(pathlib.Path(__file__).parent, main)
