"""An entry of another writer is cut off in its middle.

Three daemons of one deployment serve ordinary requests. Another writer writes
one entry of kind ``servers`` whose bytes end in the middle, so it is no JSON.
The store hands out the bytes that it was given. Then all processes are killed
and start again, as at the end of some days.

With TROUBLE=0 the entry is whole, and one of its fields has another type.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig3

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zone-harbour", "zone-kallio", "zone-mastola")
SERVICE = "archive-read"
BEFORE_S = 5.0
# kill_all, down_s = 0.86 at most.
DOWN_S = 0.8
# contract-params.recover-s.
RECOVER_S = 12.0
JUDGED_S = 15.0
SERVED_RATIO = 0.25
CUT_BYTES = 60


async def ordinary(daemon, record, answers):
    """Send an ordinary request ten times a second."""
    number = 0
    name = daemon.fields["node-name"]
    while True:
        number += 1
        request_id = f"{name}-{number}"
        sent_s = time.monotonic()
        status, _, _ = await rig3.request(
            daemon.fields["listen"]["front"], "GET", "/x/1",
            {"Host": "a.example", "Request-Id": request_id,
             "Deadline-Ms": "2000"}, timeout_s=2.5,
        )
        record.line(f"client {request_id} got {status}")
        answers.append((sent_s, status))
        await asyncio.sleep(0.1)


def count(answers, from_s, until_s):
    """Return how many requests of a time were served, and how many sent."""
    statuses = [
        status for sent_s, status in answers if from_s <= sent_s < until_s
    ]
    return statuses.count(200), len(statuses)


async def main():
    record = rig3.Record(HERE / "record.txt")
    store = rig3.Store()
    await store.start()
    leafs = [
        rig3.Leaf(store, f"leaf-{number}", SERVICE, ZONES[number % 3], record)
        for number in range(6)
    ]
    for leaf in leafs:
        await leaf.start()
    await store.put("config", "main", json.dumps(rig3.configuration(
        3, [rig3.route("r", "a.example", "/x/", SERVICE)],
        [{"name": SERVICE, "max-conns": 96, "health-path": "/health"}],
    )))
    ips = [rig3.loopback() for _ in ZONES]
    ports = [rig3.free_ports(3, ip) for ip in ips]
    seeds = [f"{ip}:{each[2]}" for ip, each in zip(ips, ports)]
    folder = rig3.temporary_folder()
    daemons = [
        rig3.Daemon(rig3.small_fields(
            ips[number], ZONES[number], 1, store.address, seeds,
            ports[number],
        ), folder)
        for number in range(3)
    ]
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        if not await rig3.wait_ready(daemon):
            print("a daemon did not start")
            rig3.finish(2, daemons)
    answers = []
    tasks = [
        asyncio.create_task(ordinary(daemon, record, answers))
        for daemon in daemons
    ]
    entry = {**leafs[0].entry(), "address": "127.0.0.1:9"}
    text = json.dumps(entry)[:CUT_BYTES]
    if not TROUBLE:
        text = json.dumps({**entry, "state": False})
    await store.put("servers", "other-writer-1", text)
    record.line(f"another writer wrote servers/other-writer-1: {text}")
    began_s = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    for daemon in daemons:
        daemon.stop()
    killed_s = time.monotonic()
    record.line("all processes were killed")
    await asyncio.sleep(DOWN_S)
    for daemon in daemons:
        daemon.start()
    back_s = time.monotonic()
    record.line("all processes were started again")
    await asyncio.sleep(RECOVER_S + JUDGED_S)
    ready = [await rig3.is_ready(daemon) for daemon in daemons]
    before = count(answers, began_s, killed_s)
    after = count(answers, back_s + RECOVER_S, time.monotonic())
    if not before[1] or before[0] < SERVED_RATIO * before[1] or not after[1]:
        print(f"too few were served before: {before}")
        rig3.finish(2, daemons)
    broken = after[0] < SERVED_RATIO * after[1]
    text = (
        f"served before the fault: {before[0]} of {before[1]}; of the "
        f"requests sent later than {RECOVER_S:.0f} s after the machines were "
        f"back: {after[0]} of {after[1]}; {sum(ready)} of {len(ready)} "
        "daemons are ready; " + ("broken" if broken else "held")
    )
    record.line(text)
    print(text)
    del tasks
    rig3.finish(1 if broken else 0, daemons)


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
