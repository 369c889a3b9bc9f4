"""A message that must not be repeated is delivered twice: see claim.txt."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import stand_ins as stand

BODY_BYTES = 60_000  # PROTOCOL: "A body holds 64 KiB at most."
LEFT_MS = 16_000  # the class's deadline
FILLERS = 7  # for the destination that stays down: they hold the room that the second process has
ONCE_ONES = 16  # more than the folder of 3 MB takes: the rest is refused
OUTAGE_S = 9.0  # BRIEF: "refuse connections for 8.9 to 21 s"
DELIVERED_BEFORE_KILL = 3
relays: list[stand.Relay] = []


async def door_says_yes(address: stand.Address) -> None:
    """Waits until the second process takes clients."""
    for _ in range(1200):
        if await stand.status_of(address, "GET", "/-/ready") == 200:
            return
        await asyncio.sleep(0.005)
    raise stand.CannotRun("the second process does not say yes within 6 s")


async def play(record: stand.Record, folder: Path) -> list[str]:
    returning = stand.Endpoint(record, "s-1", 1)  # refuses connections until it is opened
    returning.takes_s = 0.5
    down = stand.Endpoint(record, "s-2", 2)  # refuses connections all the time
    platform = stand.Platform(record)
    platform.change(returning, "ready")
    platform.change(down, "ready")
    await platform.open()
    relay = stand.Relay(record, folder, platform, stand.settings())
    relays.append(relay)
    relay.configure(platform.whole(), mgmt=stand.free_address())
    first = await relay.start()
    await relay.ready()
    for number in range(FILLERS):
        await stand.hand_in(record, relay, f"filler-{number}", "safe", 2, LEFT_MS, bytes(BODY_BYTES))
    for number in range(ONCE_ONES):
        await stand.hand_in(record, relay, f"once-{number}", "once", 1, LEFT_MS, bytes(BODY_BYTES))
    # The process is replaced, in both runs: LATER, "Replacing the process".
    door = stand.free_address()
    relay.configure(platform.whole(), mgmt=door)
    second = await relay.start()
    await door_says_yes(door)
    await relay.end(first, signal.SIGTERM)
    await asyncio.sleep(max(0.0, OUTAGE_S - stand.now_s()))
    await returning.open()
    for _ in range(600):
        if len(returning.delivered) >= DELIVERED_BEFORE_KILL:
            break
        await asyncio.sleep(0.01)
    else:
        raise stand.CannotRun("too little was delivered in time")
    delivered = dict(returning.delivered)
    await asyncio.sleep(0.2)  # their answers are read, and written down
    if stand.trouble_wanted():
        await relay.end(second, signal.SIGKILL)
        await asyncio.sleep(stand.DOWN_S)
        await relay.start()
        await relay.ready()
    await asyncio.sleep(6.0)
    broken = []
    for ident, delivered_s in delivered.items():
        calls = [call for call in returning.calls if ident in call.idents]
        if len(calls) > 1:
            broken.append(
                f"duplicate: {ident} of class once was answered 200 at {delivered_s:.3f} "
                f"and is sent again at {calls[-1].first_byte_s:.3f}"
            )
    return broken


stand.main(Path(__file__).parent, play, relays)
