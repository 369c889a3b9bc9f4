"""Accepted messages whose end never comes: see claim.txt."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import stand_ins as stand

MESSAGES = 24  # more than the folder of 3 MB takes: the rest is refused
BODY_BYTES = 60_000  # PROTOCOL: "A body holds 64 KiB at most."
LONG_MS, SHORT_MS = 15_000, 8_000  # the class's deadline is 16 s
LONG_ONES = 8
LOST_S = 0.3 + 0.05  # PROTOCOL: lost "if 300 ms after its time is up"; "Each time limit grows by 50 ms."
RESTART_S = 1.5 + 0.05  # PROTOCOL: "until 1.5 s after the relay is ready again", and 50 ms as above
OWN_S = 0.25  # this script may itself be late by so much
relays: list[stand.Relay] = []


async def door_says_yes(address: stand.Address) -> None:
    """Waits until the second process takes clients."""
    for _ in range(1200):
        if await stand.status_of(address, "GET", "/-/ready") == 200:
            return
        await asyncio.sleep(0.005)
    raise stand.CannotRun("the second process does not say yes within 6 s")


async def play(record: stand.Record, folder: Path) -> list[str]:
    endpoint = stand.Endpoint(record, "s-1", 1)  # refuses connections all the time: it is never opened
    platform = stand.Platform(record)
    platform.change(endpoint, "ready")
    await platform.open()
    relay = stand.Relay(record, folder, platform, stand.settings())
    relays.append(relay)
    relay.configure(platform.whole(), mgmt=stand.free_address())
    first = await relay.start()
    await relay.ready()
    messages = []
    for number in range(MESSAGES):
        left_ms = LONG_MS if number < LONG_ONES else SHORT_MS
        body = bytes([number]) * BODY_BYTES
        messages.append(await stand.hand_in(record, relay, f"m-{number}", "safe", 1, left_ms, body))
    accepted = [message for message in messages if message.accepted]
    record.add(f"{len(accepted)} of {MESSAGES} messages are accepted")
    if len(accepted) <= LONG_ONES:
        raise stand.CannotRun("too few messages were accepted")
    ready_s = stand.now_s()
    if stand.trouble_wanted():  # the process is replaced: LATER, "Replacing the process"
        door = stand.free_address()
        relay.configure(platform.whole(), mgmt=door)
        await relay.start()
        await door_says_yes(door)
        ready_s = stand.now_s()
        await relay.end(first, signal.SIGTERM)
    last_s = max(message.due_s for message in accepted)
    await asyncio.sleep(max(0.0, last_s + 2.0 - stand.now_s()))
    broken = []
    for message in accepted:
        by_s = max(message.due_s + LOST_S, ready_s + RESTART_S)
        ends_s = [endpoint.delivered.get(message.ident), platform.notices.get(message.ident, (None,))[0]]
        told_s = min((at for at in ends_s if at is not None), default=None)
        if told_s is None:
            broken.append(f"lost: {message.ident} has no end, which was owed by {by_s:.3f}")
        elif told_s > by_s + OWN_S:
            broken.append(f"lost: {message.ident} ended at {told_s:.3f}, which was owed by {by_s:.3f}")
    return broken


stand.main(Path(__file__).parent, play, relays)
