"""A relay that sends clients away takes them again after a restart, and nobody has ended the drain."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts_2 import DOWN_S, Bench, Client, CouldNotRun, get, main, now, settings  # noqa: E402

CELL = 3
RELAYS = 3  # BRIEF, "Scale": 2 to 3 relays
LOOK_AT_S = 4.0  # LATER, "Sending clients away": at 4 s, a yes breaks the rule on lost messages


async def case(bench: Bench, trouble: bool) -> list[str]:
    endpoint = await bench.endpoint("s-1", CELL)
    bench.listing.put(endpoint.name, endpoint.address, CELL)
    platform = await bench.platform()
    relay = bench.relay(platform, settings(RELAYS))
    await relay.start()
    client = Client(bench.record, relay.port)
    for _ in range(5):
        await client.hand_in(CELL)
    status = await get(relay.door, "/-/drain", "POST")
    drained_at = now()
    bench.record.write(f"POST /-/drain: answer {status}")
    if status is None or not 200 <= status < 300:
        raise CouldNotRun("the relay does not drain")
    await asyncio.sleep(1.0)
    bench.record.write(f"GET /healthz at 1 s: answer {await get(relay.port, '/healthz')}")
    if trouble:
        await relay.kill(relay.processes[-1])
        await asyncio.sleep(DOWN_S)
        await relay.begin()
    await asyncio.sleep(max(0.0, drained_at + LOOK_AT_S - now()))
    status = await get(relay.port, "/healthz")
    bench.record.write(f"GET /healthz at {now() - drained_at:.2f} s: answer {status}")
    taken = await client.hand_in(CELL, name="after-")
    bench.record.write(f"a message handed in then: answer {taken}")
    if status == 200:
        return ["lost: GET /healthz is answered 200 at 4 s, and nobody called /-/resume"]
    return []


if __name__ == "__main__":
    main(case, Path(__file__).parent)
