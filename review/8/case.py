"""Case 8: a request that crashes leafs, on a path that others use too."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig_b as rigs  # noqa: E402

PATH = "/meter/4711"
TIMEOUT_MS = 5000
OTHERS_PAUSE_S = 0.05
CRASHER_PAUSE_S = 2.0
AWAY_S = 2.0
CALM_S = 4.0
WATCHED_S = 45.0
KEYS = {"household": "key-household-1", "billing": "key-billing-1"}


async def others(rig, daemon, stop, answers):
    """Callers of one tenant, whose requests are sound."""
    client = rigs.Client(rig, daemon, f"household-{daemon.number}")
    headers = {"Authorization": f"Token {KEYS['household']}"}
    while not stop.is_set():
        answers.append(await client.ask(PATH, TIMEOUT_MS, headers))
        await asyncio.sleep(OTHERS_PAUSE_S)


async def writers(rig, daemon, stop, answers):
    """Callers of the same tenant whose requests may run only once."""
    client = rigs.Client(rig, daemon, f"writer-{daemon.number}")
    headers = {"Authorization": f"Token {KEYS['household']}"}
    while not stop.is_set():
        answers.append(await client.ask(
            "/note/1", TIMEOUT_MS, headers, "POST", b"a note"))
        await asyncio.sleep(OTHERS_PAUSE_S)


async def case(rig):
    crashed, arrivals = [], []

    def on_run(leaf, first, headers, body):
        if first.startswith(f"GET {PATH} ") and (
            headers.get("tenant") == "billing"
        ):
            arrivals.append(rig.record.now())
            crashed.append(rig.record.now())
            rig.record.line(f"leaf {leaf.id} crashes")
            leaf.crash(AWAY_S)
            return "crash"
        return None

    for zone in ("zone-harbour", "zone-kallio", "zone-mastola"):
        rig.leafs += [
            rigs.Leaf(rig, "nightly-bill", zone, work_s=0.05, on_run=on_run)
            for _ in range(3)
        ]
    await rig.start(
        ["zone-harbour", "zone-kallio", "zone-mastola"],
        rigs.configuration(
            [
                rigs.route("tariff", "/meter/", TIMEOUT_MS, 1505,
                           service="nightly-bill"),
                rigs.route("note", "/note/", TIMEOUT_MS, 1505,
                           kind="non_idempotent", service="nightly-bill"),
            ],
            {"nightly-bill": 430},
            tenants=[
                {"name": name, "api-keys": [key], "priority": 1}
                for name, key in KEYS.items()
            ],
        ),
    )
    stop = asyncio.Event()
    reads, notes = [], []
    for daemon in rig.daemons:
        rig.spawn(others(rig, daemon, stop, reads))
        rig.spawn(writers(rig, daemon, stop, notes))
    await asyncio.sleep(CALM_S)
    headers = {"Authorization": f"Token {KEYS['billing']}"}
    end_s = rig.record.now() + WATCHED_S
    attempts = 0
    while rig.record.now() < end_s:
        if rigs.TROUBLE:
            daemon = rig.daemons[attempts % len(rig.daemons)]
            client = rigs.Client(rig, daemon, "billing")
            await client.ask(PATH, TIMEOUT_MS, headers)
            client.close()
            attempts += 1
        await asyncio.sleep(CRASHER_PAUSE_S)
    stop.set()
    served = sum(each[1] == 200 for each in reads)
    lost = sum(each[1] == 502 for each in notes)
    rig.record.say(f"{served} of {len(reads)} sound reads served; "
                   f"{len(notes)} requests that may run once, {lost} of them "
                   "ended with 502")
    rig.record.say(f"the request was sent {attempts} times and crashed "
                   f"{len(crashed)} leafs")
    if served < 100:
        raise rigs.NotRunError("too few sound requests were served")
    if len(crashed) < 3:
        return rigs.HELD
    due_s = crashed[2] + rigs.STABLE_WINDOW_S
    after = [at_s for at_s in arrivals if at_s > due_s]
    rig.record.say(f"third crash at {crashed[2]:.1f} s; later than "
                   f"stable-window-ms after it, {len(after)} arrivals at leafs")
    return rigs.BROKEN if len(after) > 3 else rigs.HELD


rigs.play(HERE, case)
