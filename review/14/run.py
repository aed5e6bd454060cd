"""An entry of another writer states a start that is no time.

Three daemons of one deployment serve callers on kept connections. Another
writer then writes one entry of kind ``servers`` whose ``born`` is a number of
400 digits. The service that it names limits the requests to cold leafs
(``cold-per-s``). Each daemon that ends is started again, as the platform does.
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
# As in the site file: 11 leafs with 2 slots each.
LEAFS_COUNT = 11
CALLERS_COUNT = 7
WORK_S = 0.3
# LOST: "more than three times".
CUTS_ALLOWED = 3
BEFORE_S = 6.0
AFTER_S = 15.0


async def start_all(record, text):
    """Start the store, the leafs and the daemons."""
    store = rig3.Store()
    await store.start()
    for number in range(LEAFS_COUNT):
        await rig3.Leaf(
            store, f"leaf-{number}", SERVICE, ZONES[number % 3], record,
            work_s=WORK_S,
        ).start()
    await store.put("config", "main", text)
    ips = [rig3.loopback() for _ in ZONES]
    ports = [rig3.free_ports(3, ip) for ip in ips]
    seeds = [f"{ip}:{each[2]}" for ip, each in zip(ips, ports)]
    folder = rig3.temporary_folder()
    daemons = []
    for number, zone in enumerate(ZONES):
        fields = rig3.small_fields(
            ips[number], zone, 1, store.address, seeds, ports[number],
        )
        fields["contract-params"] |= {
            "cold-over": 1.5, "cold-slack": 5, "evac-ms": 5000,
        }
        daemons.append(rig3.Daemon(fields, folder))
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        if not await rig3.wait_ready(daemon):
            print("a daemon did not start")
            rig3.finish(2, daemons)
    return store, daemons


def judge(record, daemons, ends, counts, cuts, detail):
    """Check the rule and exit."""
    most = max(cuts.values(), default=0)
    broken = most > CUTS_ALLOWED
    memory_count = sum(why == "memory" for _, why in ends)
    text = (
        f"{detail}{len(ends)} ends of {len({node for node, _ in ends})} of "
        f"{len(daemons)} daemons, {memory_count} of them for memory; requests "
        f"that a leaf had begun, cut on kept connections: {cuts}; answers "
        f"{counts}; " + ("broken" if broken else "held")
    )
    record.line(text)
    print(text)
    rig3.finish(1 if broken else 0, daemons)


async def main():
    record = rig3.Record(HERE / "record.txt")
    store, daemons = await start_all(record, json.dumps(rig3.configuration(
        3, [rig3.route("r", "a.example", "/x/", SERVICE)],
        [{"name": SERVICE, "max-conns": 96, "health-path": "/health",
          "cold-per-s": 50, "warmup-s": 3}],
    )))
    counts, cuts, ends, tasks = {}, {}, [], []
    for daemon in daemons:
        tasks.append(
            asyncio.create_task(rig3.play_platform(daemon, record, ends))
        )
        tasks += [
            asyncio.create_task(
                rig3.call_kept(daemon, number, record, counts, cuts)
            )
            for number in range(CALLERS_COUNT)
        ]
    await asyncio.sleep(BEFORE_S)
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
    for line in daemons[0].log_text().splitlines():
        if "OverflowError" in line:
            record.line(f"log: {line.strip()[:200]}")
            break
    judge(record, daemons, ends, counts, cuts, "")


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
