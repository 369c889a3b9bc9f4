"""Everything that goes wrong in a soak: one coroutine for each kind of trouble, drawn and overlapping."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .addresses import Addresses
from .client import Clients
from .endpoint import Endpoint
from .hostile_clients import greedy_client, slow_crowd
from .ledger import Ledger
from .platform import MOVED_S, Listing, Platform
from .relay import RelayProcess

PAUSE_S = 0.3, 2.0  # between the beginnings of two troubles
REFUSED_S, LONG_REFUSED_S = (3.0, 10.0), (8.9, 21.0)
CUT_S = 1.0, 6.0
MOOD_S = 1.0, 5.0
FOLDER_S = 0.1, 1.0
DRAINS_S = 0.5, 6.0  # from draining to gone
SERIES_S = 0.02, 1.5  # from a start to the next kill
HUP_TO_KILL_S = 0.02, 0.5
CROWD = 120
SLOW_CROWD, SLOW_CROWD_S = (100, 400), (1.0, 4.0)
GREEDY_S = 0.5, 3.0
LEAVING = 5, 40
SLOW_DISCOVERY_S, IS_SLOW_S = (0.5, 6.0), (2.0, 8.0)
SLOW_SUCCESSOR = 0.3  # of the addresses to which discovery moves
BURST, BURSTS_WEIGHT = (20, 80), 12
FILE_FAULTS = [
    ("write", "ENOSPC"),
    ("write", "EIO"),
    ("write", "half"),
    ("write", "torn"),
    ("rename", "EIO"),
    ("open", "EIO"),
]
CALL_FAULTS = [
    ("accept", "ENFILE"),
    ("accept", "ECONNABORTED"),
    ("socket", "EMFILE"),
    ("connect", "EADDRNOTAVAIL"),
    ("connect", "ENETUNREACH"),
    ("setsockopt", "EINVAL"),
    ("short_send", "EAGAIN"),
    ("send", "ENOBUFS"),
]
FAILING_CALLS_S = 0.1, 0.5
# Nothing leaves a machine on which each of these fails: for as long as a relay may be held up (STANDING.md).
SENDING_CALLS, HELD_UP_S = ("connect", "socket", "send"), (0.05, 0.15)
REFUSES_BEFORE_KILL_S, REFUSES_AFTER_KILL_S = (0.05, 0.5), (0.0, 1.5)
SILENT_DISCOVERY_S = 0.8, 2.0
FOLDER_SETTLES_S = 0.3  # until records that were refused are written


@dataclass
class Troubles:
    rng: random.Random
    relays: list[RelayProcess]
    clients: list[Clients]
    endpoints: list[Endpoint]
    listing: Listing
    ledger: Ledger
    addresses: Addresses
    new_endpoint: Callable[[Endpoint], Awaitable[Endpoint]]
    place: Callable[[Platform], None]  # at the end of a path
    log: logging.Logger
    folder_fails: bool = True
    folder_fills: bool = False  # large bodies wait for destinations that are out for long

    async def run(self, until: float) -> None:
        kinds = [
            self.kills,
            self.kills,
            self.term,
            self.moved_and_killed,
            self.moved_and_killed,
            self.refused_destination,
            self.cut_endpoint,
            self.mood,
            self.mood,
            self.replaced_endpoint,
            self.replaced_endpoint,
            self.silent_platform,
            self.silent_platform,
            self.reset_platform,
            self.start_with_a_silent_discovery,
            self.clock,
            self.failing_calls,
            self.crowd,
            self.slow_crowd,
            self.slow_crowd,
            self.greedy_client,
            self.leaving_client,
            self.leaving_client,
            self.slow_discovery,
            *[self.burst] * BURSTS_WEIGHT,
        ]
        if self.folder_fails:
            kinds += [self.failing_folder, self.start_on_a_failing_folder, self.kill_on_a_failing_folder]
        if self.folder_fills:
            kinds += [self.refused_destination, self.refused_destination, self.kills]
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < until:
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))
                kind = self.rng.choice(kinds)
                self.ledger.faults[kind.__name__] += 1
                tasks.create_task(self._logged(kind))

    async def _logged(self, kind: Callable[[], Awaitable[None]]) -> None:
        """With its times, to be held against the relays' logs."""
        self.log.info("%s begins", kind.__name__)
        await kind()
        self.log.info("%s ends", kind.__name__)

    def _series(self) -> list[float]:
        return [self.rng.uniform(*SERIES_S) for _ in range(self.rng.choice([0, 0, 1, 2, 3]))]

    def _relay(self) -> RelayProcess:
        return self.rng.choice(self.relays)

    # -- relays ------------------------------------------------------------------------------------------

    async def kills(self) -> None:
        relay = self._relay()
        async with relay.busy:
            await relay.restart(signal.SIGKILL, self._series())

    async def term(self) -> None:
        relay = self._relay()
        async with relay.busy:
            await relay.restart(signal.SIGTERM, self._series())

    async def moved_and_killed(self) -> None:
        """Discovery moves; in two of three cases the process is killed right behind the signal."""
        relay = self._relay()
        async with relay.busy:
            successor = Platform(
                self.addresses.next(), relay=relay.number, listing=self.listing, ledger=self.ledger
            )
            self.place(successor)
            if self.rng.random() < SLOW_SUCCESSOR:
                successor.delay_s = self.rng.uniform(*SLOW_DISCOVERY_S)
            await successor.listen()
            old = relay.platform
            await relay.move_discovery(successor)
            moved_at = time.monotonic()
            await asyncio.sleep(self.rng.uniform(*HUP_TO_KILL_S))
            if self.rng.random() < 0.67:
                successor.delay_s = 0.0  # a start is not asked to wait for it
                await relay.restart(signal.SIGKILL, self._series())
            await old.end_as_replaced()
            await asyncio.sleep(max(0.0, moved_at + MOVED_S - time.monotonic()))
            successor.delay_s = 0.0
            successor.tell(self.listing.since(-1)["instances"], moved_at + MOVED_S)

    async def clock(self) -> None:
        self._relay().set_failing(wall_s=self.rng.choice([-3600.0, -5.0, 0.0, 5.0, 3600.0]))

    async def failing_folder(self) -> None:
        relay = self._relay()
        async with relay.busy:
            await self._fail(relay, self.rng.choice(FILE_FAULTS), [1, 2, 5], self.rng.uniform(*FOLDER_S))
            await asyncio.sleep(FOLDER_SETTLES_S)

    async def start_on_a_failing_folder(self) -> None:
        relay = self._relay()
        async with relay.busy:
            name, kind = self.rng.choice([("open", "EIO"), ("pread", "EIO"), ("write", "ENOSPC")])
            restarted = asyncio.create_task(relay.restart(signal.SIGKILL, []))
            await asyncio.sleep(0.3)
            await self._fail(relay, (name, kind), [1, 2], self.rng.uniform(0.5, 1.5))
            await restarted
            await asyncio.sleep(FOLDER_SETTLES_S)

    async def kill_on_a_failing_folder(self) -> None:
        """Killed while the folder refuses records; it heals before the next start, or a little after it."""
        relay = self._relay()
        async with relay.busy:
            refusing_since = time.monotonic()
            relay.set_failing(write=[self.rng.choice(["ENOSPC", "EIO", "torn"]), 1])
            await asyncio.sleep(self.rng.uniform(*REFUSES_BEFORE_KILL_S))
            restarted = asyncio.create_task(relay.restart(signal.SIGKILL, [], refusing_since))
            await asyncio.sleep(self.rng.uniform(*REFUSES_AFTER_KILL_S))
            relay.set_failing(write=None)
            await restarted
            await asyncio.sleep(FOLDER_SETTLES_S)

    async def start_with_a_silent_discovery(self) -> None:
        """It accepts calls for lists and answers none for a while; notices it answers."""
        relay = self._relay()
        async with relay.busy:
            platform = relay.platform
            platform.lists.clear()
            restarted = asyncio.create_task(relay.restart(signal.SIGKILL, []))
            await asyncio.sleep(self.rng.uniform(*SILENT_DISCOVERY_S))
            platform.lists.set()
            await restarted

    async def failing_calls(self) -> None:
        fault, every = self.rng.choice(CALL_FAULTS), self.rng.choice([1, 2, 3])
        cuts_off = every == 1 and fault[0] in SENDING_CALLS
        seconds = self.rng.uniform(*(HELD_UP_S if cuts_off else FAILING_CALLS_S))
        await self._fail(self._relay(), fault, [every], seconds)

    async def _fail(
        self, relay: RelayProcess, fault: tuple[str, str], every: list[int], seconds: float
    ) -> None:
        name, kind = fault
        chosen = self.rng.choice(every)
        self.log.info("relay %d: %s %s, one of %d, for %.2f s", relay.number, name, kind, chosen, seconds)
        relay.set_failing(**{name: [kind, chosen]})
        await asyncio.sleep(seconds)
        relay.set_failing(**{name: None})

    async def crowd(self) -> None:
        await self.rng.choice(self.clients).crowd(CROWD, self.rng.uniform(1.0, 4.0))

    async def slow_crowd(self) -> None:
        count, seconds = self.rng.randint(*SLOW_CROWD), self.rng.uniform(*SLOW_CROWD_S)
        await slow_crowd(self._relay().address, count, seconds, random.Random(self.rng.random()))

    async def greedy_client(self) -> None:
        await greedy_client(self._relay().address, self.rng.uniform(*GREEDY_S))

    async def leaving_client(self) -> None:
        reset = self.rng.random() < 0.5
        await self.rng.choice(self.clients).leave_unread(self.rng.randint(*LEAVING), reset)

    async def slow_discovery(self) -> None:
        """Not across a start: whoever starts may go on with what it knows for a while."""
        relay = self._relay()
        async with relay.busy:
            platform = relay.platform
            platform.delay_s = self.rng.uniform(*SLOW_DISCOVERY_S)
            await asyncio.sleep(self.rng.uniform(*IS_SLOW_S))
            platform.delay_s = 0.0

    async def burst(self) -> None:
        await self.rng.choice(self.clients).burst(self.rng.randint(*BURST))

    # -- platform ----------------------------------------------------------------------------------------

    async def silent_platform(self) -> None:
        """All connections that one relay, or each, has to the platform at this moment fall silent."""
        for relay in self.rng.choice([self.relays, [self._relay()]]):
            relay.platform.silence_open()

    async def reset_platform(self) -> None:
        for relay in self.relays:
            relay.platform.reset_all()

    # -- endpoints ---------------------------------------------------------------------------------------

    def _of_one_destination(self) -> list[Endpoint]:
        destination = self.rng.choice(self.endpoints).destination
        return [each for each in self.endpoints if each.destination == destination]

    async def refused_destination(self) -> None:
        hit = self._of_one_destination()
        for endpoint in hit:
            endpoint.refuse()
        await asyncio.sleep(self.rng.uniform(*(LONG_REFUSED_S if self.folder_fills else REFUSED_S)))
        for endpoint in hit:
            if endpoint.server is None and endpoint in self.endpoints:
                await endpoint.listen()

    async def cut_endpoint(self) -> None:
        endpoint = self.rng.choice(self.endpoints)
        endpoint.cut()
        await asyncio.sleep(self.rng.uniform(*CUT_S))
        endpoint.mend()

    async def mood(self) -> None:
        hit = self.rng.choice([[self.rng.choice(self.endpoints)], self._of_one_destination()])
        for endpoint in hit:
            endpoint.mood = self.rng.choice(["rough", "rough", "failing", "hanging"])
        await asyncio.sleep(self.rng.uniform(*MOOD_S))
        for endpoint in hit:
            endpoint.mood = "well"

    async def replaced_endpoint(self) -> None:
        """Drains while calls are out on it, is gone a little later, and another takes its place."""
        if len(self.endpoints) < 2:
            return
        old = self.rng.choice(self.endpoints)
        self.endpoints.remove(old)
        new = await self.new_endpoint(old)
        self.listing.change(old, "draining")
        if self.rng.random() < 0.5:
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        self.listing.change(new, "ready")
        self.endpoints.append(new)  # from now on it may be hit itself
        await asyncio.sleep(self.rng.uniform(*DRAINS_S))
        self.listing.change(old, "gone")
        await asyncio.sleep(1.0)
        old.refuse()
