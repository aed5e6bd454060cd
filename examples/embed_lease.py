"""Embed one module: a lease with fencing over an object API.

The example uses the in-memory object API. Your own program passes a client of
its platform instead, which implements ``objectapi.ObjectApi``.
"""

import trio

from plantainhook import clock, lease, objectapifake


async def main() -> None:
    """Let two holders compete; the late write of the first is rejected."""
    api = objectapifake.FakeObjectApi()
    own_clock = clock.TrioClock()
    first = lease.Lease(api, "job", "holder-1", 0.2, own_clock)
    second = lease.Lease(api, "job", "holder-2", 0.2, own_clock)
    print("first acquires:", (await first.acquire(["result"])).is_ok())
    print("second has to wait:", (await second.acquire()).is_err())
    while (await second.acquire(["result"])).is_err():
        await trio.sleep(0.5)
    print("second took over: True")
    print("first is fenced:", (await first.fenced_put("result", 1)).is_err())
    print("second writes:", (await second.fenced_put("result", 2)).is_ok())


if __name__ == "__main__":
    trio.run(main)
