"""Case 6: another writer's unreadable entry among the servers."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig_b as rigs  # noqa: E402

TIMEOUT_MS = {"/grid/": 800, "/log/": 1000}
# Clients would wait for longer than the routes allow.
DEADLINE_MS = 3000
LATE_S = 0.5
CALM_S = 5.0
WATCHED_S = 25.0
# The pages allow values of up to 1,048,576 bytes.
ENTRY_BYTES = 262_144


def unreadable_entry():
    """A dump of some program as text, whose line ends are not escaped."""
    line = b'{\\"shard\\":\\"grid-17\\",\\"state\\":\\"ready\\"},\n'
    dump = line * (ENTRY_BYTES // len(line) - 4)
    return (b'{"service":"grid-1","address":"127.0.0.1:1","zone":"zone-kallio",'
            b'"state":"ready","seq":1,"version":"' + dump + b'"}')


async def ask_again(rig, client, path, stop, results):
    while not stop.is_set():
        sent_s = rig.record.now()
        _, status, took_s = await client.ask(
            f"{path}a?x=1", DEADLINE_MS, wait_s=DEADLINE_MS / 1000)
        results.append((sent_s, path, status, took_s))
        await asyncio.sleep(0.2)


async def watch_ready(rig, daemon, stop, misses):
    """Ask once a second, as the platform does."""
    while not stop.is_set():
        if not await daemon.is_ready():
            misses.append((rig.record.now(), daemon.number))
            rig.record.line(f"daemon {daemon.number} is not ready")
        await asyncio.sleep(1.0)


async def case(rig):
    shards = [f"grid-{number}" for number in range(6)]
    for zone in ("zone-harbour", "zone-kallio"):
        rig.leafs += [rigs.Leaf(rig, shard, zone) for shard in shards]
        rig.leafs += [rigs.Leaf(rig, "archive-read", zone) for _ in range(2)]
    await rig.start(
        ["zone-harbour", "zone-kallio", "zone-mastola"],
        rigs.configuration(
            [
                rigs.route("grid", "/grid/", TIMEOUT_MS["/grid/"], 175,
                           gather=shards, **{"top-k": 5, "min-coverage": 0.8}),
                rigs.route("log", "/log/", TIMEOUT_MS["/log/"], 535,
                           service="archive-read"),
            ],
            {**dict.fromkeys(shards, 25), "archive-read": 96},
        ),
    )
    stop = asyncio.Event()
    results, misses = [], []
    for daemon in rig.daemons:
        rig.spawn(watch_ready(rig, daemon, stop, misses))
        for number in range(2):
            for path in TIMEOUT_MS:
                client = rigs.Client(
                    rig, daemon, f"client-{daemon.number}-{number}{path[:-1]}")
                rig.spawn(ask_again(rig, client, path, stop, results))
    await asyncio.sleep(CALM_S)
    before = [each for each in results if each[2] == 200]
    written_s = rig.record.now()
    if rigs.TROUBLE:
        entry = unreadable_entry()
        rig.store.put("servers", "j-state-dump", entry)
        rig.record.say(f"another writer writes servers/j-state-dump, "
                       f"{len(entry)} bytes")
    await asyncio.sleep(WATCHED_S)
    restarted = rig.daemons[0]
    restarted.signal(9)
    restarted.process.wait()
    restarted.start()
    rig.record.say("daemon 0 is killed and started again")
    end = time.monotonic() + 15
    while not await restarted.is_ready() and time.monotonic() < end:
        await asyncio.sleep(0.2)
    is_back = await restarted.is_ready()
    rig.record.say(f"daemon 0 is {'' if is_back else 'not '}ready again")
    stop.set()
    # Requests of the first half second may still be answered in time, and
    # those around the restart do not count.
    judged = [each for each in results
              if written_s < each[0] < written_s + WATCHED_S - 4.0]
    late = [each for each in judged if each[3] > TIMEOUT_MS[each[1]] / 1000]
    later = [each for each in late
             if each[3] > TIMEOUT_MS[each[1]] / 1000 + LATE_S]
    served = [each for each in judged if each[2] == 200]
    rig.record.say(f"{len(before)} requests were served before")
    rig.record.say(
        f"judged {len(judged)}: {len(served)} served, {len(late)} unanswered "
        f"at their route's timeout-ms, {len(later)} of them half a second "
        f"later; {len(misses)} readiness checks missed")
    if not before:
        raise rigs.NotRunError("nothing was served before")
    is_broken = len(later) * 2 > len(late) and len(later) > 3
    return rigs.BROKEN if is_broken or not is_back else rigs.HELD


rigs.play(HERE, case)
