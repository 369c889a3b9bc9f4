"""Plays one soak: builds its world, lets clients and troubles loose, waits for all ends, and judges."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from dataclasses import dataclass, field
from pathlib import Path

from .addresses import Addresses
from .client import LEFT_MS, Clients
from .endpoint import Endpoint
from .judge import LATE_S, OWN_S, RESTART_S, Breach, Judge
from .ledger import Ledger
from .platform import Listing, Platform
from .relay import RelayProcess
from .stand_in import StandIn
from .trouble import Troubles
from .world import CLASSES, UNSAFE, WINDOW_MS, Paths, World, drawn, large_share

OWN_LOOK_S = 0.02
QUIET_S = 1.0  # from when all relays are ready until troubles begin
LOG_SIGNS = ("invariant broken", "Traceback", "records are lost")


@dataclass(frozen=True, slots=True)
class Plan:
    """What a soak is asked for."""

    seed: int
    seconds: float
    per_s: float = 12.0  # messages handed in at each relay
    relays: int | None = None  # as drawn, unless told


@dataclass
class Result:
    plan: Plan
    world: World
    ledger: Ledger
    breaches: list[Breach]

    def line(self) -> str:
        """One row of the table."""
        ledger = self.ledger
        delivered = sum(each.ident in ledger.delivered for each in ledger.heard)
        return (
            f"{self.plan.seed:6d} {self.world.relays:6d} {len(self.world.destinations):6d} "
            f"{'push' if self.world.pushed else 'ask':>5s} {len(ledger.hand_ins):9d} "
            f"{len(ledger.heard):8d} {delivered:9d} {len(ledger.told):5d} "
            f"{sum(ledger.faults.values()):6d} {ledger.peak_bytes / 1e6:7.1f} {len(self.breaches):8d}"
        )


HEADER = "  seed relays  dests lists handed in accepted delivered  told faults peak MB breaches"


@dataclass
class Soak:
    plan: Plan
    folder: Path
    ledger: Ledger = field(default_factory=Ledger)
    relays: list[RelayProcess] = field(default_factory=list)
    endpoints: list[Endpoint] = field(default_factory=list)
    numbers: int = 0

    def __post_init__(self) -> None:
        self.addresses = Addresses(self.plan.seed)
        self.paths = Paths.of(self.plan.seed)
        self.log = logging.getLogger(f"linnetstile.soak.{self.plan.seed}")
        self.log.setLevel(logging.INFO)
        self.log.propagate = False

    def place(self, stand_in: StandIn) -> None:
        """At the end of a path of its own."""
        stand_in.path_s = self.paths.one_way_s()
        stand_in.extras_share = self.paths.extras_share
        stand_in.extras_rng = random.Random(self.paths.rng.random())

    async def play(self) -> Result:
        rng = random.Random(self.plan.seed)
        world = drawn(rng)
        if self.plan.relays is not None:
            world = World(self.plan.relays, world.destinations, world.pushed)
        listing = await self._list_endpoints(world, rng)
        self.folder.mkdir(parents=True, exist_ok=True)
        handler = logging.FileHandler(self.folder / "troubles.log")
        handler.setFormatter(logging.Formatter("%(asctime)s %(message)s"))
        self.log.addHandler(handler)
        own_loop = asyncio.create_task(self._watch_own_loop())
        try:
            await self._play(world, listing, rng)
        finally:
            own_loop.cancel()
            self.log.removeHandler(handler)
            handler.close()
            for relay in self.relays:
                relay.kill()
        windows_s = {"keyed": WINDOW_MS / 1000}
        breaches = Judge(self.ledger, windows_s, UNSAFE).breaches() + self._in_logs()
        return Result(self.plan, world, self.ledger, breaches)

    async def _list_endpoints(self, world: World, rng: random.Random) -> Listing:
        listing = Listing()
        for destination, (kind, count) in enumerate(world.destinations):
            for _ in range(count):
                endpoint = await self._endpoint(destination, kind, rng)
                self.endpoints.append(endpoint)
                listing.states[endpoint.name] = endpoint, "ready"
        return listing

    async def _endpoint(self, destination: int, kind: str, rng: random.Random) -> Endpoint:
        self.numbers += 1
        endpoint = Endpoint(
            self.addresses.next(),
            name=f"s-{self.numbers}",
            destination=destination,
            kind=kind,
            ledger=self.ledger,
            rng=random.Random(rng.random()),
        )
        self.place(endpoint)
        await endpoint.listen()
        return endpoint

    async def _play(self, world: World, listing: Listing, rng: random.Random) -> None:
        for number in range(world.relays):
            platform = Platform(self.addresses.next(), relay=number, listing=listing, ledger=self.ledger)
            self.place(platform)
            await platform.listen()
            self.relays.append(
                RelayProcess(
                    number,
                    self.folder / f"n{number}",
                    world.settings(),
                    platform,
                    self.ledger,
                    self.addresses.next(),
                )
            )
        await asyncio.gather(*(relay.start() for relay in self.relays))
        clients = [
            Clients(
                relay.number,
                relay.address,
                list(range(len(world.destinations))),
                CLASSES,
                self.ledger,
                random.Random(rng.random()),
                relay.was_killed,
                path_s=self.paths.one_way_s(),
                large_share=large_share(self.plan.seed),
            )
            for relay in self.relays
        ]
        until = time.monotonic() + QUIET_S + self.plan.seconds

        async def another(old: Endpoint) -> Endpoint:
            return await self._endpoint(old.destination, old.kind, rng)

        troubles = Troubles(
            random.Random(rng.random()),
            self.relays,
            clients,
            self.endpoints,
            listing,
            self.ledger,
            self.addresses,
            another,
            self.place,
            self.log,
            folder_fills=large_share(self.plan.seed) > 0.0,
        )
        async with asyncio.TaskGroup() as tasks:
            for each in clients:
                tasks.create_task(each.run(until, self.plan.per_s))
            await asyncio.sleep(QUIET_S)
            tasks.create_task(troubles.run(until))
        await asyncio.sleep(max(LEFT_MS) / 1000 + LATE_S + RESTART_S)
        await asyncio.gather(*(relay.stop() for relay in self.relays))

    async def _watch_own_loop(self) -> None:
        """Logs when this process was late itself: what its stand-ins saw then is as late."""
        while True:
            asleep_at = time.monotonic()
            await asyncio.sleep(OWN_LOOK_S)
            late_s = time.monotonic() - asleep_at - OWN_LOOK_S
            if late_s > OWN_S / 2:
                self.log.info("this process is %.3f s late", late_s)

    def _in_logs(self) -> list[Breach]:
        return [
            Breach("log", f"relay {relay.number}: {line}")
            for relay in self.relays
            for line in relay.log.read_text(errors="replace").splitlines()
            if any(sign in line for sign in LOG_SIGNS)
        ]


async def play(plan: Plan, folder: Path) -> Result:
    return await Soak(plan, folder).play()
