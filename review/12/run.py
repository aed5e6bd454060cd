"""The configuration changes many times, and each version stays in memory.

Three daemons of a small deployment serve callers on kept connections. They read
a configuration that has grown by many routes twice. Then configurations come in
quick succession, as in the site's standard days, again and again. The platform
kills a process that exceeds the memory of its machine.
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
# As in the site file: 11 leafs with 2 slots each.
LEAFS_COUNT = 11
CALLERS_COUNT = 7
WORK_S = 0.3
# LOST: "more than three times".
CUTS_ALLOWED = 3
FIRST_ROUTES_COUNT = 30
# big_config, count = 430, twice.
MORE_ROUTES_COUNT = 2 * 430
# config_storm, gap_s = 0.06, for_s = 1.5.
GAP_S = 0.06
STORM_S = 1.5
PAUSE_S = 0.5
BEFORE_S = 6.0
PLAY_S = 70.0
AFTER_S = 3.0


def config_text(version):
    """Return a version; each changes the time-out of one route."""
    routes = [rig3.route("r", "a.example", "/x/", SERVICE)]
    routes += [
        rig3.route(
            f"route-{number:04d}", f"pupu{number % 7}.example",
            f"/timi{number:04d}/", SERVICE,
        )
        for number in range(FIRST_ROUTES_COUNT + MORE_ROUTES_COUNT)
    ]
    routes[1 + version % 20]["timeout-ms"] = 3000 + version
    return json.dumps(rig3.configuration(
        version, routes,
        [{"name": SERVICE, "max-conns": 96, "health-path": "/health"}],
    ))


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
    version = 3
    text = config_text(version)
    record.line(f"configuration {version} has {len(text)} bytes")
    store, daemons = await start_all(record, text)
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
    end_s = time.monotonic() + PLAY_S
    while time.monotonic() < end_s and len(ends) < len(daemons):
        storm_end_s = time.monotonic() + STORM_S
        while TROUBLE and time.monotonic() < storm_end_s:
            version += 3
            await store.put("config", "main", config_text(version))
            await asyncio.sleep(GAP_S)
        shown = ", ".join(
            f"{each.status_kb('VmRSS') / 1e3:.0f}" for each in daemons
        )
        record.line(f"configuration {version}; {shown} MB resident")
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(AFTER_S)
    judge(record, daemons, ends, counts, cuts,
          f"{(version - 3) // 3} changes; ")


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
