"""Owns the measures of a whole fleet: what many relays do together, on the virtual clock.

The size of each is the number of relays. A parameter that names a field of `Scenario`, or of what it holds
(`Load`, `DestinationSettings`, `DiscoverySettings`, `Delays`, `Safety`), sets it; besides, all measures with
a load know `total_per_s` (messages over all relays, in place of `per_relay_per_s`) and
`destinations_per_relay`. A parameter that a measure does not know is a ValueError.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, fields, replace
from functools import partial
from typing import Any

from hdrh.histogram import HdrHistogram

from ..interface import EndpointList, Rates, Safety
from ..net.discovery import Directory, Watch
from . import clock
from .clients import Load
from .destinations import DestinationSettings, Health
from .discovery import Counts, Discovery, DiscoverySettings, Item, Outage, discovery_for, item
from .events import DestinationsDown, Event, RegionCut, RollingRestart
from .fleet import SAFETY, FleetResult, Look, Scenario, histogram, run_fleet
from .measure import Params, Sample, measure
from .network import Delays, EmulatedAgent, Network, Traffic
from .streams import plain_stream

PARTS = {
    "load": Load,
    "destination": DestinationSettings,
    "discovery": DiscoverySettings,
    "delays": Delays,
    "safety": Safety,
}
SCALED = ("total_per_s", "destinations_per_relay")


def named(kind: type[Any], params: Params) -> dict[str, Any]:
    """The parameters that name a field of this dataclass."""
    return {each.name: params[each.name] for each in fields(kind) if each.name in params}


def own(params: Params, **defaults: Any) -> dict[str, Any]:
    """A measure's own parameters, each of its default's type."""
    return {name: type(value)(params.get(name, value)) for name, value in defaults.items()}


def check(params: Params, known: Iterable[str]) -> None:
    unknown = sorted(set(params) - set(known))
    if unknown:
        raise ValueError(f"parameters that this measure does not know: {', '.join(unknown)}")


def scenario_of(params: Params, size: int, mine: Iterable[str], events: tuple[Event, ...] = ()) -> Scenario:
    """A fleet of `size` relays as the parameters say; `mine` are the measure's own parameters."""
    known = {each.name for kind in (Scenario, *PARTS.values()) for each in fields(kind)}
    check(params, (known - set(PARTS) - {"relays", "events", "classes"}) | set(SCALED) | set(mine))
    plain = named(Scenario, params)
    if "rates" in plain:
        plain["rates"] = Rates(plain["rates"])
    if "destinations_per_relay" in params:
        plain["destinations"] = max(1, round(params["destinations_per_relay"] * size))
    load = Load(**named(Load, params))
    if "total_per_s" in params:
        load = replace(load, per_relay_per_s=params["total_per_s"] / size)
    if not isinstance(load.class_shares, tuple):  # a list, as files have them
        load = replace(load, class_shares=tuple(load.class_shares))
    places = {"limit_per_s": 0.0} | named(DestinationSettings, params)
    return Scenario(
        **plain
        | {
            "relays": size,
            "load": load,
            "destination": DestinationSettings(**places),
            "discovery": DiscoverySettings(**named(DiscoverySettings, params)),
            "delays": Delays(**named(Delays, params)),
            "safety": replace(SAFETY, **named(Safety, params)),
            "events": events,
        }
    )


def sample(result: FleetResult, **further: float) -> Sample:
    return Sample(
        counted=result.counted() | further, timed=result.timed, histograms={"latency_ms": result.latency_ms}
    )


def peak_per_s(looks: Sequence[Look], name: str, begin_s: float, end_s: float) -> float:
    """The most of a count that any second in between saw."""
    within = [look for look in looks if begin_s <= look.at_s <= end_s]
    return max(
        (
            getattr(later, name) - getattr(look, name)
            for look in within
            for later in within
            if math.isclose(later.at_s - look.at_s, 1.0)
        ),
        default=0.0,
    )


# -- discovery alone -----------------------------------------------------------------------------------------


@dataclass
class Watches:
    """A fleet's watches on discovery, with no module behind them, and when each has which version."""

    discovery: Discovery
    size: int
    regions: int
    pushed: bool
    network: Network
    from_version: int = 2  # what came before does not count
    heard_ms: HdrHistogram = field(default_factory=histogram)
    late_from_s: float = 0.0  # a change made before counts from here on
    has: list[int] = field(default_factory=list)
    watches: list[Watch] = field(default_factory=list)
    traffic: list[Traffic] = field(default_factory=list)
    missing: int = 0  # relays without the newest version
    all_heard: asyncio.Event = field(default_factory=asyncio.Event)

    def start(self) -> None:
        self.has, self.missing = [-1] * self.size, self.size
        for relay in range(self.size):
            agent = EmulatedAgent(self.network, self.discovery, relay % self.regions, relay)
            directory = Directory(("m1",), ("a",))
            watch = Watch(agent, directory, partial(self._told, relay, directory), self.size, self.pushed)
            self.watches.append(watch)
            self.traffic.append(agent.traffic)

    def change(self, items: Iterable[Item]) -> None:
        self.missing = self.size
        self.all_heard.clear()
        self.discovery.change(items)

    def _told(self, relay: int, directory: Directory, event: EndpointList) -> None:
        before, now = self.has[relay], directory.version
        if before == now:
            return
        self.has[relay] = now
        for version in range(max(before + 1, self.from_version), now + 1):
            made_s = max(self.discovery.made_s[version], self.late_from_s)
            self.heard_ms.record_value(max(1, round(1000 * (asyncio.get_running_loop().time() - made_s))))
        if now == self.discovery.version:
            self.missing -= 1
            if not self.missing:
                self.all_heard.set()

    def figures(self) -> dict[str, float]:
        return {
            "p50_ms": self.heard_ms.get_value_at_percentile(50),
            "p99_ms": self.heard_ms.get_value_at_percentile(99),
            "worst_ms": self.heard_ms.get_max_value(),
        }

    def sent(self) -> tuple[int, int]:
        return sum(each.messages for each in self.traffic), sum(each.bytes for each in self.traffic)


def watches_of(params: Params, size: int, seed: int, mine: dict[str, Any]) -> Watches:
    shared = {"endpoints": 140, "regions": 3, "pushed": False, "settle_s": 30.0}
    check(
        params,
        {each.name for kind in (DiscoverySettings, Delays) for each in fields(kind)}
        | set(mine)
        | set(shared),
    )
    figures = own(params, **shared)
    items = [item(f"s-{number:06x}", number, "a", 10.0) for number in range(figures["endpoints"])]
    network = Network(Delays(**named(Delays, params)), plain_stream(seed, "network"))
    settings = discovery_for(DiscoverySettings(**named(DiscoverySettings, params)), figures["pushed"])
    return Watches(Discovery(settings, items), size, figures["regions"], figures["pushed"], network)


async def _started(watches: Watches, settle_s: float) -> list[asyncio.Task[None]]:
    watches.start()
    tasks = [asyncio.get_running_loop().create_task(watch.run()) for watch in watches.watches]
    await asyncio.sleep(settle_s)
    return tasks


async def _discovery_return(params: Params, size: int, seed: int) -> Sample:
    began, loop = time.process_time(), asyncio.get_running_loop()
    figures = own(params, down_s=8.0, silent=True, limit_s=300.0)
    watches = watches_of(params, size, seed, figures)
    discovery = watches.discovery
    _tasks = await _started(watches, float(params.get("settle_s", 30.0)))
    settled = sum(watch.goes_on for watch in watches.watches)
    discovery.go_down(Outage.SILENT if figures["silent"] else Outage.REFUSING)
    await asyncio.sleep(figures["down_s"])
    watches.change([next(iter(discovery.items.values())) | {"lifecycle": "draining"}])
    before, discovery.counts = discovery.counts, Counts()
    watches.late_from_s = loop.time()
    discovery.come_back()
    with suppress(TimeoutError):  # who has not heard by then is counted
        async with asyncio.timeout(figures["limit_s"]):
            await watches.all_heard.wait()
    counts = discovery.counts
    return Sample(
        counted={
            "watching_before": settled,
            "last_ms": 1000 * (loop.time() - watches.late_from_s),
            "unheard": watches.missing,
            "calls": counts.calls,
            "begun": counts.begun,
            "turned_away": counts.turned_away,
            "calls_while_down": before.while_down,
            "turned_away_before": before.turned_away,
        }
        | watches.figures(),
        timed={"processor_s": time.process_time() - began},
        histograms={"heard_ms": watches.heard_ms},
    )


@measure("discovery_return")
def discovery_return(params: Params, size: int, seed: int) -> Sample:
    """A fleet's watches lose discovery for `down_s` (silent, or refusing): from its return on, how long until
    the last relay has a change made meanwhile, and how many calls were turned away."""
    return clock.run(_discovery_return(params, size, seed), seed)


async def _fleet_control(params: Params, size: int, seed: int) -> Sample:
    began = time.process_time()
    figures = own(params, changes_per_s=1.0, duration_s=60.0)
    watches = watches_of(params, size, seed, figures)
    discovery, span_s = watches.discovery, figures["duration_s"]
    _tasks = await _started(watches, float(params.get("settle_s", 30.0)))
    before, discovery.counts = watches.sent(), Counts()
    changes = max(1, round(span_s * figures["changes_per_s"]))
    items = list(discovery.items.values())
    for place in range(changes):  # one endpoint's listed rate after the other
        await asyncio.sleep(span_s / changes)
        watches.change([items[place % len(items)] | {"weight": 11.0 + place}])
    messages, sent = (now - then for now, then in zip(watches.sent(), before, strict=True))
    calls = discovery.counts
    with suppress(TimeoutError):  # the last change is waited for
        async with asyncio.timeout(60.0):
            await watches.all_heard.wait()
    return Sample(
        counted={
            "messages_per_s": messages / span_s / size,
            "bytes_per_s": sent / span_s / size,
            "discovery_calls_per_s": calls.calls / span_s,
            "begun_per_s": calls.begun / span_s,
            "turned_away": calls.turned_away,
            "versions": changes,
            "unheard": watches.missing,
        }
        | watches.figures(),
        timed={"processor_s": time.process_time() - began},
        histograms={"heard_ms": watches.heard_ms},
    )


@measure("fleet_control")
def fleet_control(params: Params, size: int, seed: int) -> Sample:
    """Messages and bytes a second between one relay and discovery in steady state, with `changes_per_s`
    versions of the list a second over `duration_s`, and how long each version took to reach each relay."""
    return clock.run(_fleet_control(params, size, seed), seed)


# -- whole fleets --------------------------------------------------------------------------------------------


@measure("fleet_service")
def fleet_service(params: Params, size: int, seed: int) -> Sample:
    """A fleet with nothing amiss: the share delivered, latency, turns, and processor time an event."""
    return sample(run_fleet(scenario_of(params, size, ()), seed))


@measure("cold_return")
def cold_return(params: Params, size: int, seed: int) -> Sample:
    """The most popular `struck` destinations go down at `at_s` for `down_s` (`how`: down, silent or erring)
    and come back cold: falls, the calls of the worst window against what the settings allow, and the time
    from the return to a window of calls served at 90% of the limit (`back_in_full` of `returns` came to it).
    """
    figures = own(params, struck=1, at_s=15.0, down_s=8.0, how="down")
    plain = scenario_of(params, size, figures)
    share = figures["struck"] / plain.destinations
    down = DestinationsDown(figures["at_s"], figures["down_s"], share, Health(figures["how"]), first=0)
    return sample(run_fleet(replace(plain, events=(down,)), seed))


@measure("rolling_restart")
def rolling_restart(params: Params, size: int, seed: int) -> Sample:
    """All relays are restarted from `at_s` on, a `step_share` of them every `gap_s` (`planned`, or killed).
    The run lasts 15 s longer than the steps do."""
    figures = own(params, step_share=0.1, at_s=15.0, gap_s=5.0, down_s=0.6, planned=True)
    roll = RollingRestart(
        figures["at_s"],
        max(1, round(size * figures["step_share"])),
        figures["gap_s"],
        figures["down_s"],
        figures["planned"],
    )
    end_s = figures["at_s"] + roll.steps(size) * figures["gap_s"] + 15.0
    plain = scenario_of(params, size, figures, (roll,))
    result = run_fleet(replace(plain, duration_s=end_s), seed)
    return sample(
        result,
        steps=roll.steps(size),
        discovery_calls_per_s_before=peak_per_s(result.looks, "asked", plain.settle_s, figures["at_s"]),
        discovery_calls_per_s_peak=peak_per_s(result.looks, "asked", figures["at_s"], end_s),
        held_peak=max(look.held for look in result.looks),
    )


@measure("region_cut")
def region_cut(params: Params, size: int, seed: int) -> Sample:
    """The region `region` is cut off from the others at `at_s` for `cut_s`: what is held at its return, the
    most calls a second at destinations after it, and how long until no more is held than the most before."""
    figures = own(params, region=1, at_s=20.0, cut_s=10.0)
    plain = scenario_of(
        params, size, figures, (RegionCut(figures["at_s"], figures["region"], figures["cut_s"]),)
    )
    result = run_fleet(plain, seed)
    looks, begin_s, back_s = result.looks, figures["at_s"], figures["at_s"] + figures["cut_s"]
    usual = max(look.held for look in looks if plain.settle_s <= look.at_s <= begin_s)
    drained_s = next(look.at_s for look in looks if look.at_s > back_s and look.held <= usual) - back_s
    return sample(
        result,
        held_before=usual,
        held_at_return=next(x.held for x in looks if x.at_s >= back_s),
        calls_per_s_before=peak_per_s(looks, "calls", plain.settle_s, begin_s),
        calls_per_s_peak=peak_per_s(looks, "calls", back_s, plain.duration_s),
        drained_after_ms=1000 * drained_s,
    )
