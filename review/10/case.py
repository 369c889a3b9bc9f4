"""A kill during a replacement leaves a file behind that nobody removes, and the state folder overflows."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts_2 import DOWN_S, Bench, Client, CouldNotRun, Relay, main, now, settings  # noqa: E402

CELL = 3
RELAYS = 3  # BRIEF, "Scale": 2 to 3 relays
LIMIT_BYTES = 3 * 1024 * 1024  # DEPLOY: "disk_mb":3; a megabyte is taken as 2**20 bytes, which allows more
BLOCK_BYTES = 512  # DEPLOY: "every file counted in whole 512 bytes"
BODY_BYTES = 60_000  # PROTOCOL: a body holds 64 KiB at most
HELD = 18  # messages that wait at the kill
SPARE_BYTES = 600_000  # of the spare file when the kill is sent
ATTEMPTS = 8  # each with a relay of its own: the kill has to fall into a compaction
REPLACED_S = 5.0  # LATER: the new process says yes within 6 s
WARM_S = 14.0  # safety.cold-ms, and one second: the destination comes back
PLAY_S, LOOK_S = 8.0, 0.001
CLIENTS, PAUSE_S = (
    2,
    0.03,
)  # some 55 messages a second (BRIEF: 53 in all, 1.6 to 2.3 times as many for 2.3 to 8.3 s)


def folder_bytes(state: Path) -> int:
    """What the folder holds, each file in whole blocks."""
    total = 0
    for name in os.listdir(state):
        try:
            size = (state / name).stat().st_size
        except FileNotFoundError:
            continue
        total += -(-size // BLOCK_BYTES) * BLOCK_BYTES
    return total


class Killer(threading.Thread):
    """Kills the relay's processes once a spare file in its folder has so many bytes."""

    def __init__(self, state: Path, pids: list[int]) -> None:
        super().__init__(daemon=True)
        self.state, self.pids = state, pids
        self.ended = self.struck = False

    def run(self) -> None:
        spare = str(self.state / "journal.new")
        while not self.ended and not self.struck:
            try:
                self.struck = os.stat(spare).st_size >= SPARE_BYTES
            except FileNotFoundError:
                continue
            if self.struck:
                for pid in self.pids:
                    os.kill(pid, signal.SIGKILL)


async def hold(client: Client) -> None:
    """Fills the folder with messages for a destination that refuses connections."""
    for _ in range(HELD):
        await client.hand_in(CELL, body=os.urandom(BODY_BYTES))


async def killed_while_replaced(bench: Bench, relay: Relay) -> bool:
    """Whether the kill left a spare file of some size."""
    old = relay.processes[-1]
    new = await relay.begin()
    killer = Killer(relay.state, [old.pid, new.pid])
    killer.start()
    until = now() + REPLACED_S
    while not killer.struck and now() < until:
        await asyncio.sleep(0.01)
    killer.ended = True
    for process in (old, new):
        await relay.kill(process)
    left = {path.name: path.stat().st_size for path in relay.state.iterdir()}
    bench.record.write(f"the relay was killed; its folder has {left}")
    return left.get("journal.new", 0) >= SPARE_BYTES


async def hand_in(client: Client, until: float) -> None:
    while now() < until:
        await client.hand_in(CELL, body=os.urandom(BODY_BYTES))
        await asyncio.sleep(PAUSE_S)


async def busy(bench: Bench, relay: Relay, client: Client) -> int:
    """Hands in messages that are delivered at once; the most that the folder held."""
    most, until = 0, now() + PLAY_S
    clients = [asyncio.create_task(hand_in(client, until)) for _ in range(CLIENTS)]
    while now() < until:
        most = max(most, folder_bytes(relay.state))
        await asyncio.sleep(LOOK_S)
    await asyncio.gather(*clients)
    left = {path.name: path.stat().st_size for path in relay.state.iterdir()}
    bench.record.write(f"the folder held {most} bytes at most, and has {left}")
    return most


async def one(bench: Bench, trouble: bool, number: int) -> int | None:
    """The most that the folder held; None: the kill came too late."""
    endpoint = await bench.endpoint(f"s-{number}", CELL)
    platform = await bench.platform()
    bench.listing.put(endpoint.name, endpoint.address, CELL)
    endpoint.close()
    relay = bench.relay(platform, settings(RELAYS))
    await relay.start()
    client = Client(bench.record, relay.port)
    await hold(client)
    if trouble:
        if not await killed_while_replaced(bench, relay):
            await relay.end()
            bench.listing.change(endpoint.name, "gone")
            return None
        await asyncio.sleep(DOWN_S)
        await relay.start()
    else:
        old = relay.processes[-1]
        await relay.start()
        await relay.terminate(old)
    await endpoint.listen()
    bench.record.write(f"{endpoint.name} takes connections again")
    await asyncio.sleep(WARM_S)
    return await busy(bench, relay, client)


async def case(bench: Bench, trouble: bool) -> list[str]:
    for number in range(ATTEMPTS):
        most = await one(bench, trouble, number)
        if most is not None:
            broken = most > LIMIT_BYTES
            return [f"crash: the folder held {most} bytes of {LIMIT_BYTES}"] * broken
    raise CouldNotRun("no kill fell into a compaction")


if __name__ == "__main__":
    main(case, Path(__file__).parent)
