"""Owns the measures of a whole fleet: what many relays do together, on the virtual clock."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from ..net.discovery import Directory, Watch
from . import clock
from .discovery import Counts, Discovery, DiscoverySettings, Item, Outage, item
from .measure import Params, Sample, measure
from .network import Delays, EmulatedAgent, Network, Traffic
from .streams import plain_stream

LONGEST_MS = 3_600_000  # the histograms' range, in whole milliseconds


def histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_MS, 3)


def delays(params: Params) -> Delays:
    return Delays(float(params.get("same_ms", 1.0)), float(params.get("cross_ms", 20.0)),
                  float(params.get("jitter", 0.2)))


def discovery_settings(params: Params) -> DiscoverySettings:
    return DiscoverySettings(
        calls_per_s=float(params.get("calls_per_s", 400.0)), wait_ms=float(params.get("wait_ms", 2000.0)),
        turned_away_cost=bool(params.get("turned_away_cost", True)),
        told_per_s=float(params.get("told_per_s", 0.0)))


def outage(params: Params) -> Outage:
    return Outage.SILENT if params.get("silent", True) else Outage.REFUSING


# -- discovery alone -----------------------------------------------------------------------------------------


@dataclass
class _Return:
    """Watches that have the list, lose discovery, and have to hear of one change after its return."""

    discovery: Discovery
    missing: set[int]
    version: int = 0
    back_s: float = 0.0
    heard_ms: HdrHistogram = field(default_factory=histogram)
    all_heard: asyncio.Event = field(default_factory=asyncio.Event)

    def told(self, relay: int, directory: Directory) -> None:
        if self.version and directory.version >= self.version and relay in self.missing:
            self.missing.remove(relay)
            took_ms = 1000 * (asyncio.get_running_loop().time() - self.back_s)
            self.heard_ms.record_value(max(1, round(took_ms)))
            if not self.missing:
                self.all_heard.set()


def _entries(endpoints: int) -> list[Item]:
    return [item(f"s-{number:06x}", number, "a", 10.0) for number in range(endpoints)]


def _watch(relay: int, size: int, params: Params, network: Network, seen: _Return) -> tuple[Watch, Traffic]:
    directory, region = Directory(("m1",), ("a",)), relay % max(1, int(params.get("regions", 3)))
    agent = EmulatedAgent(network, seen.discovery, region, relay)
    return Watch(agent, directory, lambda event: seen.told(relay, directory), size,
                 bool(params.get("pushed", False))), agent.traffic


async def _discovery_return(params: Params, size: int, seed: int) -> Sample:
    began, loop = time.process_time(), asyncio.get_running_loop()
    items = _entries(int(params.get("endpoints", 140)))
    discovery = Discovery(discovery_settings(params), items)
    network = Network(delays(params), plain_stream(seed, "network"))
    seen = _Return(discovery, set(range(size)))
    watches = [_watch(relay, size, params, network, seen) for relay in range(size)]
    tasks = [loop.create_task(watch.run()) for watch, _ in watches]
    await asyncio.sleep(float(params.get("settle_s", 30.0)))
    settled = sum(watch.goes_on for watch, _ in watches)
    discovery.go_down(outage(params))
    await asyncio.sleep(float(params.get("down_s", 8.0)))
    seen.version = discovery.change([items[0] | {"lifecycle": "draining"}])
    before, discovery.counts = discovery.counts, Counts()
    seen.back_s = loop.time()
    discovery.come_back()
    with suppress(TimeoutError):  # who has not heard by then is counted
        async with asyncio.timeout(float(params.get("limit_s", 300.0))):
            await seen.all_heard.wait()
    last_ms = 1000 * (loop.time() - seen.back_s)
    for task in tasks:
        task.cancel()
    counts = discovery.counts
    return Sample(
        counted={
            "watching_before": settled, "last_ms": last_ms, "unheard": len(seen.missing),
            "p50_ms": seen.heard_ms.get_value_at_percentile(50),
            "p99_ms": seen.heard_ms.get_value_at_percentile(99),
            "calls": counts.calls, "begun": counts.begun, "turned_away": counts.turned_away,
            "calls_while_down": before.while_down, "turned_away_before": before.turned_away,
            "bytes_a_relay": sum(traffic.bytes for _, traffic in watches) / size,
        },
        timed={"processor_s": time.process_time() - began},
        histograms={"heard_ms": seen.heard_ms})


@measure("discovery_return")
def discovery_return(params: Params, size: int, seed: int) -> Sample:
    """A fleet of `size` loses discovery for `down_s` (silent, or refusing): from its return on, how long
    until the last relay has a change, and how many calls were turned away."""
    return clock.run(_discovery_return(params, size, seed), seed)
