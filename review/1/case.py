"""Some leafs send some of their answers twice, the second one late.

The requests may run once only. The leafs are full at times and turn requests
away then. With TROUBLE=0 each answer comes once.
"""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins
from standins import now

HOST, ZONE = "twice.example", "suwon"
SERVICES = ("file-a", "file-b", "file-c", "file-d", "file-e")
SLOTS, QUEUE = 2, 2
WORK_S = 0.04
# For each service; its only leaf can serve 50 a second.
REQUESTS_PER_S = 42.0
# The dose of `garble`, how = "extra late", in the site file; it comes again.
EXTRA_SHARE, EXTRA_RATIO, EXTRA_FOR_S = 0.6, 0.03, 5.0
EXTRA_PAUSE_S = 1.0
EXTRA_AFTER_S = 0.02
END_S = 90.0


async def main(record, folder, daemons):
    network = standins.own_network()
    store = standins.Store(record)
    await store.start(f"{network}.1")
    runs = {}
    shed = []

    class Slots:
        """The slots and the queue of a leaf."""

        def __init__(self):
            self.free = asyncio.Semaphore(SLOTS)
            self.count = 0

    slots_of = {}

    async def work(leaf, arrival):
        slots = slots_of[leaf]
        if slots.count >= SLOTS + QUEUE:
            shed.append(arrival)
            record(f"full: {leaf.id} turns {arrival.id} away")
            return 503, {"Not-Executed": 1}, b""
        slots.count += 1
        try:
            async with slots.free:
                arrival.ran = True
                runs.setdefault(arrival.id, []).append((now(), leaf.id))
                record(f"{leaf.id} runs {arrival.id}")
                await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
        finally:
            slots.count -= 1
        return 200, {}, b"filed"

    leafs = []
    for index, service in enumerate(SERVICES):
        leaf = standins.Leaf(store, service, ZONE, work, record, slots=SLOTS)
        slots_of[leaf] = Slots()
        leaf.extra_after_s = EXTRA_AFTER_S
        leafs.append(leaf)
        await leaf.start(f"{network}.2")
    store.put(
        "config",
        "main",
        standins.configuration(
            7,
            [
                standins.route(
                    f"r-{service}",
                    HOST,
                    f"/{service}/",
                    service=service,
                    kind="non_idempotent",
                    **{"timeout-ms": 5000, "latency-goal-ms": 800},
                )
                for service in SERVICES
            ],
            SERVICES,
        ),
    )
    for index in range(3):
        daemons.append(
            standins.Daemon(
                folder,
                f"frontend-{index}",
                f"{network}.{10 + index}",
                ZONE,
                store,
            )
        )
    for daemon in daemons:
        daemon.seeds = [each.control for each in daemons]
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    await asyncio.gather(*(daemon.wait_ready() for daemon in daemons))
    record("all daemons are ready", show=True)
    answers = {}

    async def garble():
        while True:
            chosen = random.sample(leafs, int(len(leafs) * EXTRA_SHARE))
            record(f"extra answers from {[leaf.id for leaf in chosen]}")
            for leaf in chosen:
                leaf.extra_ratio = EXTRA_RATIO
            await asyncio.sleep(EXTRA_FOR_S)
            for leaf in chosen:
                leaf.extra_ratio = 0.0
            record("no extra answers")
            await asyncio.sleep(EXTRA_PAUSE_S)

    background = None
    if standins.TROUBLE:
        background = asyncio.ensure_future(garble())

    async def send(daemon):
        request_id = standins.new_id()
        record(f"sent {request_id} to {daemon.name}")
        answers[request_id] = 0
        try:
            answers[request_id], _, _ = await standins.one_request(
                daemon.front,
                "POST",
                f"/{random.choice(SERVICES)}/x",
                {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": 5000},
                b"form",
            )
        except OSError as error:
            record(f"failed {request_id}: {error}")
        record(f"answered {request_id} by {daemon.name}: "
               f"{answers[request_id]}")

    tasks = []
    began_s = now()
    while now() < began_s + END_S:
        tasks.append(asyncio.ensure_future(send(random.choice(daemons))))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S * len(SERVICES)))
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(2.0)
    if background is not None:
        background.cancel()
    statuses = {}
    for status in answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    record(f"statuses: {statuses}; {len(shed)} times a full leaf turned a "
           "request away", show=True)
    twice = {each: ran for each, ran in runs.items() if len(ran) > 1}
    for request_id, ran in twice.items():
        record(f"TWICE: {request_id} ran {len(ran)} times: {ran}")
    refused = [each for each in runs if answers.get(each) in (429, 503)]
    for request_id in refused:
        record(f"REFUSED: {request_id} was answered "
               f"{answers[request_id]} and ran: {runs[request_id]}")
    record(f"TWICE: {len(twice)} of {len(answers)} requests ran more than "
           f"once (REFUSED: {len(refused)} were answered 503 and ran)",
           show=True)
    if statuses.get(200, 0) < 100 or not shed:
        raise standins.CannotRun("too few requests were served or refused")
    return standins.BROKEN if twice else standins.HELD


standins.run_script(pathlib.Path(__file__).parent, main)
