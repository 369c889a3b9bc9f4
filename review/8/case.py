"""A process that replaces another goes on with an endpoint that its relay was told drains."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts_2 import Bench, Client, Endpoint, Platform, Relay, main, now, settings  # noqa: E402

CELL = 3
RELAYS = 3  # BRIEF, "Scale": 2 to 3 relays
GRACE_S = 0.25 + 0.05  # safety.drain-grace-ms, and 50 ms (PROTOCOL, "The rules on sockets")
NEWS_S = 2.0 + 0.05  # LATER: news counts as told 2 s after the yes, and the same 50 ms
OVERBOOKED_S = 8.0  # STANDING: `herd+mass` has discovery down for 8 s
MESSAGES, PAUSE_S = 140, 0.1


async def hand_in(client: Client) -> None:
    for _ in range(MESSAGES):
        await client.hand_in(CELL)
        await asyncio.sleep(PAUSE_S)


async def replace(bench: Bench, relay: Relay, platform: Platform, trouble: bool) -> float:
    """Starts a second process; meanwhile the first one is told of a drain. When the second said yes."""
    old = relay.processes[-1]
    platform.asked.clear()
    await platform.asked.wait()  # the first process has just begun another call of its watch
    if trouble:
        platform.overbooked = True  # for calls that begin from now on: the open one goes on
    platform.asked.clear()
    new = await relay.begin()
    await platform.asked.wait()  # the second process has asked for the list
    bench.listing.change("s-old", "draining")
    bench.record.write("s-old drains")
    await relay.ready(new)
    yes_at = now()
    await relay.terminate(old)
    return yes_at


async def case(bench: Bench, trouble: bool) -> list[str]:
    old, other = await bench.endpoint("s-old", CELL), await bench.endpoint("s-other", CELL)
    platform = await bench.platform()
    for endpoint in (old, other):
        bench.listing.put(endpoint.name, endpoint.address, CELL)
    relay = bench.relay(platform, settings(RELAYS))
    await relay.start()
    await asyncio.sleep(3.0)  # the watch is open
    began = now()
    client = Client(bench.record, relay.port)
    messages = asyncio.create_task(hand_in(client))
    yes_at = await replace(bench, relay, platform, trouble)
    await asyncio.sleep(max(0.0, began + OVERBOOKED_S - now()))
    platform.overbooked = False
    bench.record.write("discovery takes calls again")
    await messages
    await asyncio.sleep(1.0)
    return breaches(platform, old, yes_at)


def breaches(platform: Platform, old: Endpoint, yes_at: float) -> list[str]:
    """Calls to the draining endpoint that neither the grace nor the time for news after the yes allows."""
    told_at = platform.told.get(("s-old", "draining"))
    if told_at is None:
        return []
    by = max(told_at + GRACE_S, yes_at + NEWS_S)
    return [
        f"drain: {call.ident} is sent to s-old {call.first_byte_at - told_at:.2f} s after it was told, "
        f"{call.first_byte_at - yes_at:.2f} s after the yes"
        for call in old.calls
        if call.first_byte_at > by
    ]


if __name__ == "__main__":
    main(case, Path(__file__).parent)
