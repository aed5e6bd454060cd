"""An entry of another writer states a start that is no time.

Three daemons of one deployment serve ordinary requests. Another writer then
writes one entry of kind ``servers`` whose ``born`` is a number of 400 digits.
The service that it names limits the requests to cold leafs (``cold-per-s``).
Each daemon that ends is started again, as the platform does.
"""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig3

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zone-harbour", "zone-kallio", "zone-mastola")
SERVICE = "archive-read"
BEFORE_S = 3.0
AFTER_S = 15.0
RESTART_S = 0.5


def fields_of(number, store_address, ips, ports):
    """Return the settings of a daemon, with the figures of cold leafs."""
    seeds = [f"{ip}:{each[2]}" for ip, each in zip(ips, ports)]
    fields = rig3.small_fields(
        ips[number], ZONES[number], 1, store_address, seeds, ports[number],
    )
    fields["contract-params"] |= {
        "cold-over": 1.5, "cold-slack": 5, "evac-ms": 5000,
    }
    return fields


async def ordinary(daemon, record, counts):
    """Send an ordinary request ten times a second."""
    number = 0
    name = daemon.fields["node-name"]
    while True:
        number += 1
        request_id = f"{name}-{number}"
        status, _, _ = await rig3.request(
            daemon.fields["listen"]["front"], "GET", "/x/1",
            {"Host": "a.example", "Request-Id": request_id,
             "Deadline-Ms": "2000"}, timeout_s=2.5,
        )
        record.line(f"client {request_id} got {status}")
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.1)


async def keep_running(daemon, record, ends):
    """Start a daemon again each time that it has ended."""
    while True:
        await asyncio.sleep(0.05)
        code = daemon.process.poll()
        if code is not None:
            name = daemon.fields["node-name"]
            record.line(f"daemon {name} ended by itself with code {code}")
            ends.append(name)
            await asyncio.sleep(RESTART_S)
            daemon.start()


async def main():
    record = rig3.Record(HERE / "record.txt")
    store = rig3.Store()
    await store.start()
    for number in range(6):
        await rig3.Leaf(
            store, f"leaf-{number}", SERVICE, ZONES[number % 3], record
        ).start()
    await store.put("config", "main", json.dumps(rig3.configuration(
        3, [rig3.route("r", "a.example", "/x/", SERVICE)],
        [{"name": SERVICE, "max-conns": 96, "health-path": "/health",
          "cold-per-s": 50, "warmup-s": 3}],
    )))
    ips = [rig3.loopback() for _ in range(3)]
    ports = [rig3.free_ports(3, ip) for ip in ips]
    folder = rig3.temporary_folder()
    daemons = [
        rig3.Daemon(fields_of(number, store.address, ips, ports), folder)
        for number in range(3)
    ]
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        if not await rig3.wait_ready(daemon):
            print("a daemon did not start")
            rig3.finish(2, daemons)
    counts, ends, tasks = {}, [], []
    for daemon in daemons:
        tasks.append(asyncio.create_task(ordinary(daemon, record, counts)))
        tasks.append(asyncio.create_task(keep_running(daemon, record, ends)))
    await asyncio.sleep(BEFORE_S)
    record.line(f"answers by status so far: {counts}")
    counts.clear()
    if TROUBLE:
        entry = {
            "service": SERVICE, "address": "127.0.0.1:9",
            "zone": ZONES[0], "version": "1", "max-concurrency": 2,
            "state": "ready", "warmup-left-ms": 0, "seq": 1,
            "born": 10**400,
        }
        await store.put("servers", "other-writer-1", json.dumps(entry))
        record.line("another writer wrote servers/other-writer-1")
    await asyncio.sleep(AFTER_S)
    text = (
        f"{len(ends)} ends of {len(set(ends))} of {len(daemons)} daemons; "
        f"answers by status after that: {counts}; "
        + ("broken" if ends else "held")
    )
    record.line(text)
    for line in daemons[0].log_text().splitlines():
        if "Error" in line:
            record.line(f"log: {line.strip()[:200]}")
            break
    print(text)
    rig3.finish(1 if ends else 0, daemons)


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
