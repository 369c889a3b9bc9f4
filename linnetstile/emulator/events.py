"""Owns what happens to a world at set times: relays, regions, discovery, destinations and the list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .destinations import Health
from .discovery import Outage, item
from .streams import plain_stream

if TYPE_CHECKING:
    from .fleet import World


class Event(Protocol):
    """Times are seconds from the world's start."""

    @property
    def at_s(self) -> float: ...

    def begin(self, world: World) -> None: ...


def at(seconds: float, call: Callable[..., None], *args: object) -> None:
    loop = asyncio.get_running_loop()
    loop.call_at(max(loop.time(), seconds), call, *args)


def schedule(world: World, events: Sequence[Event]) -> None:
    for event in events:
        at(event.at_s, event.begin, world)


@dataclass(frozen=True, slots=True)
class Machine:
    """Relays killed at one moment and started again, their journals kept: one machine, or a rack of several
    in a row."""

    at_s: float
    first: int = 0
    count: int = 1
    down_s: float = 2.0

    def begin(self, world: World) -> None:
        for number in range(self.first, self.first + self.count):
            world.kill(number % len(world.relays), self.down_s)


@dataclass(frozen=True, slots=True)
class Region:
    """All relays of a region killed at one moment and started again."""

    at_s: float
    region: int
    down_s: float = 5.0

    def begin(self, world: World) -> None:
        for relay in world.relays:
            if relay.region == self.region:
                world.kill(relay.number, self.down_s)


@dataclass(frozen=True, slots=True)
class RegionCut:
    """A region is cut off from the others: nothing enters or leaves it, and nobody is told."""

    at_s: float
    region: int
    for_s: float = 10.0

    def begin(self, world: World) -> None:
        world.network.cut.add(self.region)
        at(self.at_s + self.for_s, world.network.cut.discard, self.region)


@dataclass(frozen=True, slots=True)
class RollingRestart:
    """All relays, `step` at a time: each is told to end, or killed, and started again after `down_s`."""

    at_s: float
    step: int
    gap_s: float = 10.0  # from one step to the next
    down_s: float = 0.6
    planned: bool = True

    def steps(self, relays: int) -> int:
        return -(-relays // self.step)

    def begin(self, world: World) -> None:
        for place in range(self.steps(len(world.relays))):
            numbers = range(place * self.step, min(len(world.relays), (place + 1) * self.step))
            at(self.at_s + place * self.gap_s, self._restart, world, numbers)

    def _restart(self, world: World, numbers: range) -> None:
        for number in numbers:
            if self.planned:
                world.restart(number, self.down_s)
            else:
                world.kill(number, self.down_s)


@dataclass(frozen=True, slots=True)
class DiscoveryDown:
    at_s: float
    for_s: float
    how: Outage = Outage.SILENT

    def begin(self, world: World) -> None:
        world.discovery.go_down(self.how)
        at(self.at_s + self.for_s, world.discovery_back)


@dataclass(frozen=True, slots=True)
class DestinationsDown:
    """A share of the destinations, drawn by the world's seed; at least one. They come back cold."""

    at_s: float
    for_s: float
    share: float = 0.1
    how: Health = Health.DOWN
    first: int | None = None  # so many from the most popular one on, and none drawn

    def begin(self, world: World) -> None:
        count = max(1, round(self.share * len(world.destinations)))
        if self.first is not None:
            struck = world.destinations[self.first : self.first + count]
        else:
            struck = plain_stream(world.seed, "destinations down").sample(world.destinations, count)
        for destination in struck:
            destination.go_down(self.how)
            at(self.at_s + self.for_s, destination.come_back)


@dataclass(frozen=True, slots=True)
class ListChanges:
    """Endpoints replaced one after the other: a new one comes as the old one drains, and later the old one is
    gone. Each replacement makes two versions of the list, so `per_s` versions come a second in the end."""

    at_s: float
    for_s: float
    per_s: float
    drain_s: float = 5.0

    def begin(self, world: World) -> None:
        self._replace(world, 0)

    def _replace(self, world: World, place: int) -> None:
        now = asyncio.get_running_loop().time()
        if now >= self.at_s + self.for_s:
            return
        destination = world.destinations[place % len(world.destinations)]
        old = next(iter(sorted(destination.endpoints & world.discovery.items.keys())), None)
        if old is not None:
            entry = world.discovery.items[old]
            name = f"{old.partition('+')[0]}+{place}"
            destination.endpoints.add(name)
            zone, rate, machine = entry["zone"], entry["weight"], entry["machineType"]
            world.discovery.change(
                [
                    entry | {"lifecycle": "draining"},
                    item(name, destination.number, zone, rate, machine=machine),
                ]
            )
            at(now + self.drain_s, self._gone, world, old)
        at(now + 2 / self.per_s, self._replace, world, place + 1)

    def _gone(self, world: World, name: str) -> None:
        entry = world.discovery.items[name]
        world.destinations[entry["cell"]].endpoints.discard(name)
        world.discovery.change([entry | {"lifecycle": "gone"}])
