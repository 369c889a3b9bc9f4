"""Where lists are pushed, a restarted relay goes on after 2 s with a list older than what its agent had."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts_2 import DOWN_S, Bench, Client, Endpoint, main, now, settings  # noqa: E402

CELL = 3
RELAYS = 3  # BRIEF, "Scale": 2 to 3 relays
GRACE_S = 0.25 + 0.05  # safety.drain-grace-ms, and 50 ms (PROTOCOL, "The rules on sockets")
DOWN_FOR_S = 8.0  # STANDING: discovery is down for 8 s
MESSAGES, PAUSE_S = 70, 0.1


async def hand_in(client: Client) -> None:
    for _ in range(MESSAGES):
        await client.hand_in(CELL)
        await asyncio.sleep(PAUSE_S)


async def case(bench: Bench, trouble: bool) -> list[str]:
    leaves, stays = await bench.endpoint("s-leaves", CELL), await bench.endpoint("s-stays", CELL)
    for endpoint in (leaves, stays):
        bench.listing.put(endpoint.name, endpoint.address, CELL)
    platform = await bench.platform()
    relay = bench.relay(platform, settings(RELAYS, mode="push"))
    await relay.start()
    await asyncio.sleep(2.0)
    if trouble:
        await relay.kill(relay.processes[-1])
    bench.listing.change(leaves.name, "draining")
    bench.record.write(f"{leaves.name} drains: the agent has it")
    await asyncio.sleep(0.3)
    if trouble:
        platform.close()
        platform.reset_all()
        bench.record.write("discovery is down")
    down_at = now()
    await asyncio.sleep(DOWN_S - 0.3)
    if trouble:
        await relay.start()
    ready_at = now()
    client = Client(bench.record, relay.port)
    messages = asyncio.create_task(hand_in(client))
    await asyncio.sleep(max(0.0, down_at + DOWN_FOR_S - now()))
    if trouble:
        await platform.listen()
        bench.record.write("discovery is back")
    await messages
    return breaches(leaves, ready_at)


def breaches(leaves: Endpoint, ready_at: float) -> list[str]:
    """Counted from when the new process was ready, which is later than its first moment."""
    return [
        f"drain: {call.ident} is sent to {leaves.name} {call.first_byte_at - ready_at:.2f} s after the relay "
        "was ready, and its agent had the drain before the start"
        for call in leaves.calls
        if call.first_byte_at > ready_at + GRACE_S
    ]


if __name__ == "__main__":
    main(case, Path(__file__).parent)
