"""Owns a whole run: a world of relays, destinations and discovery, its load, and what came of it."""

from __future__ import annotations

import asyncio
import gc
import json
import time
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from hdrh.histogram import HdrHistogram

from .. import interface as api
from . import clock
from .checker import Checker
from .clients import Arrival, Load, arrivals, popularity, relay_rates
from .destinations import Destination, DestinationSettings, Return
from .discovery import Discovery, DiscoverySettings, Item, discovery_for, item
from .events import Event, schedule
from .hollow import HollowRelay, Surroundings
from .network import Delays, Network
from .streams import plain_stream

LONGEST_MS = 3_600_000  # the histograms' range, in whole milliseconds
SAMPLE_S = 0.5  # how often the world's backlog and rates are looked at
WARNED = 2 / 3  # a fall is the relays' fault if more of its calls came from relays that had met the outage
ENDPOINT = "s-{:05x}-{}"

CLASSES = (
    api.MessageClass("event", api.Effect.SAFE, 2000.0, 10_000.0, 1.0, 0.3),
    api.MessageClass("charge", api.Effect.KEYED, 2000.0, 8000.0, 2.0, 0.2, key_window_ms=20_000.0),
    api.MessageClass("command", api.Effect.UNSAFE, 1000.0, 4000.0, 3.0, 0.0),
)
SAFETY = api.Safety(
    answer_slack_ms=50.0,
    drain_grace_ms=2000.0,
    cold_share=0.25,
    cold_ms=10_000.0,
    fall_multiple=2.0,
    fall_ms=1500.0,
    ask_within_ms=3000.0,
    key_rest_ms=500.0,
)


def histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_MS, 3)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet, what it serves, and what happens to it. Rates are a second, and of calls at destinations."""

    relays: int = 20
    destinations: int = 40
    endpoints_each: int = 2
    regions: int = 3
    load: Load = Load()
    duration_s: float = 60.0  # of load; what is held then is waited for
    settle_s: float = 10.0  # nothing before it counts as steady state
    headroom: float = 2.0  # a destination's limit, as a multiple of the messages it gets
    least_limit_per_s: float = 2.0
    limit_per_s: float = 0.0  # of each destination; 0: by the headroom
    destination: DestinationSettings = DestinationSettings(limit_per_s=0.0)
    batch: int = 1
    slots: int = 64
    hold: int = 400
    attempts: int = 8
    tick_ms: float = 5.0
    rates: api.Rates = api.Rates.NOMINAL
    pushed: bool = False
    classes: tuple[api.MessageClass, ...] = CLASSES
    safety: api.Safety = SAFETY
    delays: Delays = Delays()
    discovery: DiscoverySettings = DiscoverySettings()
    events: tuple[Event, ...] = ()

    def settings(self, region: int) -> api.Settings:
        return api.Settings(
            classes=self.classes,
            kinds=(api.DestinationKind("m1", self.batch),),
            slots=self.slots,
            hold=self.hold,
            attempts=self.attempts,
            relays=self.relays,
            zone=region,
            rates=self.rates,
            ask_for_list=not self.pushed,
            idle_ms=15_000.0,
            connect_timeout_ms=1000.0,
            tick_ms=self.tick_ms,
            marks_repeats=True,
            decay=api.Decay.LINE,
            safety=self.safety,
            longest_advice_ms=2000.0,
            report_fields=("x0", "x1") if self.destination.reports else (),
            limit_report=(0, 1) if self.destination.reports else None,
        )


@dataclass(frozen=True, slots=True)
class Look:
    """The world at one moment: counts from its start on."""

    at_s: float
    held: int
    calls: int  # that came to destinations
    delivered: int
    asked: int  # calls to discovery


@dataclass(slots=True)
class FleetResult:
    """What came of a run. Everything but `timed` is the same for the same scenario and seed."""

    handed_in: int = 0
    turned_away: int = 0  # by a full hold
    rerouted: int = 0  # to another relay, as theirs was not serving
    delivered: int = 0
    returned: int = 0
    failed: int = 0
    resumed: int = 0  # taken up from the journal by a new process
    latency_ms: HdrHistogram = field(default_factory=histogram)  # of what was delivered
    control_messages_per_s: float = 0.0  # of one relay, to and from discovery, in steady state
    control_bytes_per_s: float = 0.0
    discovery_calls: int = 0
    discovery_turned_away: int = 0
    versions: int = 0
    staleness_ms: float = 0.0  # the longest from a change to a relay's having it
    calls: int = 0
    refused: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    returns: list[Return] = field(default_factory=list)  # of destinations
    turns: int = 0  # of the relays' modules
    module_events: int = 0
    breaches: int = 0  # always: the first ends the run
    checks: int = 0  # attempts that were held against the rules
    looks: list[Look] = field(default_factory=list)
    timed: dict[str, float] = field(default_factory=dict)

    def counted(self) -> dict[str, float]:
        falls = [each for each in self.returns if each.fell]
        back = [each.full_after_ms for each in self.returns if each.full_after_ms is not None]
        return {
            "handed_in": self.handed_in,
            "turned_away": self.turned_away,
            "rerouted": self.rerouted,
            "delivered": self.delivered,
            "returned": self.returned,
            "failed": self.failed,
            "resumed": self.resumed,
            "delivered_share": self.delivered / max(1, self.handed_in),
            "p50_ms": self.latency_ms.get_value_at_percentile(50),
            "p99_ms": self.latency_ms.get_value_at_percentile(99),
            "control_messages_per_s": self.control_messages_per_s,
            "control_bytes_per_s": self.control_bytes_per_s,
            "discovery_calls": self.discovery_calls,
            "discovery_turned_away": self.discovery_turned_away,
            "versions": self.versions,
            "staleness_ms": self.staleness_ms,
            "calls": self.calls,
            "refused": self.refused,
            "returns": len(self.returns),
            "falls": len(falls),
            "warned_falls": sum(each.warned > WARNED for each in falls),
            "window_of_budget": max((each.of_budget for each in self.returns), default=0.0),
            "window_of_bound": max((each.of_bound for each in self.returns), default=0.0),
            "back_in_full": len(back),
            "full_after_ms": max(back, default=0.0),
            "turns": self.turns,
            "module_events": self.module_events,
            "breaches": self.breaches,
            "checks": self.checks,
        }

    def text(self) -> str:
        """All that is counted, for comparing runs byte by byte."""
        looks = [(look.at_s, look.held, look.calls, look.delivered, look.asked) for look in self.looks]
        return json.dumps(
            [self.counted(), self.outcomes, looks, self.latency_ms.encode().decode()], sort_keys=True
        )


class World:
    """A scenario under way. Its relays, destinations and events act through the running loop."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.result = FleetResult()
        self.network = Network(scenario.delays, plain_stream(seed, "network"))
        self.zones = tuple(f"z{region}" for region in range(scenario.regions))
        self.popular = popularity(scenario.load, scenario.destinations)
        settings = [scenario.settings(region) for region in range(scenario.regions)]
        self.checker = Checker(settings[0])
        self.destinations = [self._destination(number) for number in range(scenario.destinations)]
        self.discovery = Discovery(
            discovery_for(scenario.discovery, scenario.pushed),
            [each for destination in self.destinations for each in self._items(destination)],
        )
        self.around = Surroundings(
            self.network,
            self.discovery,
            self.destinations,
            self.checker,
            self.zones,
            scenario.pushed,
            self._delivered,
            self._told,
        )
        self.relays = [
            HollowRelay(
                number,
                number % scenario.regions,
                settings[number % scenario.regions],
                self.around,
                plain_stream(seed, "relay", number),
            )
            for number in range(scenario.relays)
        ]
        self.up_s = [0.0] * scenario.relays
        self.back_s = 0.0  # when discovery came back the last time
        self.rates = relay_rates(scenario.load, scenario.relays, seed)
        self.last_id = 0

    def _destination(self, number: int) -> Destination:
        scenario = self.scenario
        load = scenario.load.per_relay_per_s * scenario.relays * float(self.popular[number])
        limit = scenario.limit_per_s or max(scenario.least_limit_per_s, scenario.headroom * load)
        names = {ENDPOINT.format(number, place) for place in range(scenario.endpoints_each)}
        return Destination(
            number,
            replace(scenario.destination, limit_per_s=limit),
            scenario.safety,
            plain_stream(self.seed, "destination", number),
            names,
        )

    def _items(self, destination: Destination) -> list[Item]:
        """A destination's endpoints lie in one region after the other."""
        return [
            item(
                ENDPOINT.format(destination.number, place),
                destination.number,
                self.zones[(destination.number + place) % len(self.zones)],
                destination.settings.limit_per_s,
            )
            for place in range(self.scenario.endpoints_each)
        ]

    # -- what relays tell of -----------------------------------------------------------------------------

    def _delivered(self, took_ms: float) -> None:
        self.result.latency_ms.record_value(max(1, round(took_ms)))

    def _told(self, relay: int, before: int, now: int) -> None:
        if 0 < before < now:
            self._stale(relay, before)

    def _stale(self, relay: int, version: int) -> None:
        """How old the first change is that came after this version, as far as the relay could have it."""
        made = max(self.discovery.made_s[version + 1], self.up_s[relay], self.back_s)
        stale_ms = 1000 * (asyncio.get_running_loop().time() - made)
        self.result.staleness_ms = max(self.result.staleness_ms, stale_ms)

    # -- what events do ----------------------------------------------------------------------------------

    def kill(self, number: int, down_s: float) -> None:
        relay = self.relays[number]
        if relay.up:
            relay.kill()
            self._start_later(number, down_s)

    def restart(self, number: int, down_s: float) -> None:
        self.relays[number].close(lambda: self._start_later(number, down_s))

    def _start_later(self, number: int, down_s: float) -> None:
        asyncio.get_running_loop().call_later(down_s, self._start, number)

    def _start(self, number: int) -> None:
        self.up_s[number] = asyncio.get_running_loop().time()
        self.result.resumed += len(self.relays[number].held)
        self.relays[number].start()

    def discovery_back(self) -> None:
        self.back_s = asyncio.get_running_loop().time()
        self.discovery.come_back()

    # -- the load ----------------------------------------------------------------------------------------

    def _arrive(self, number: int, arrival: Arrival, coming: Iterator[Arrival]) -> None:
        relay = self._serving(number)
        for destination, class_ in arrival.messages:
            self.last_id += 1
            self.result.handed_in += 1
            if relay is None or not relay.take(self.last_id, destination, class_, self.scenario.load.bytes):
                self.result.turned_away += 1
        self._next(number, coming)

    def _serving(self, number: int) -> HollowRelay | None:
        """A client whose relay does not serve goes to the next one that does."""
        for further in range(len(self.relays)):
            relay = self.relays[(number + further) % len(self.relays)]
            if relay.serving:
                self.result.rerouted += further > 0
                return relay
        return None

    def _next(self, number: int, coming: Iterator[Arrival]) -> None:
        loop, arrival = asyncio.get_running_loop(), next(coming)
        when = loop.time() + arrival.gap_ms / 1000
        if when < self.scenario.duration_s:
            loop.call_at(when, self._arrive, number, arrival, coming)

    # -- the run -----------------------------------------------------------------------------------------

    async def run(self) -> FleetResult:
        loop, scenario = asyncio.get_running_loop(), self.scenario
        known = {"generation": 1, "reset": True, "instances": list(self.discovery.items.values())}
        for relay in self.relays:
            relay.known = known
            relay.start()
        gc.freeze()  # what is built stays: looking through it again and again would take much of the time
        schedule(self, scenario.events)
        for number, rate in enumerate(self.rates.tolist()):
            self._next(number, arrivals(scenario.load, rate, self.popular, self.seed, number))
        self._look()
        await asyncio.sleep(scenario.settle_s)
        before, spent = self._control(), self._spent()
        await asyncio.sleep(scenario.duration_s - scenario.settle_s)
        after, span_s = self._control(), scenario.duration_s - scenario.settle_s
        result = self.result
        result.control_messages_per_s = (after[0] - before[0]) / span_s / scenario.relays
        result.control_bytes_per_s = (after[1] - before[1]) / span_s / scenario.relays
        while any(relay.held or not relay.up for relay in self.relays):  # ends: each has a deadline
            await asyncio.sleep(SAMPLE_S)
        self.checker.finish(loop.time() * 1000)
        self._sum_up()
        self._time(spent)
        return result

    def _spent(self) -> tuple[float, float, int]:
        """Processor seconds so far, those of them in the relays' modules, and what these were told."""
        works = [relay.work for relay in self.relays]
        return time.process_time(), sum(w.handle_s for w in works), sum(w.events for w in works)

    def _time(self, before: tuple[float, float, int]) -> None:
        """Without the start, in which all relays take the whole list."""
        processor_s, module_s, events = (now - then for now, then in zip(self._spent(), before, strict=True))
        self.result.timed = {
            "processor_s": processor_s,
            "module_s": module_s,
            "module_us_an_event": 1e6 * module_s / max(1, events),
            "processor_us_an_event": 1e6 * processor_s / max(1, events),
        }

    def _control(self) -> tuple[int, int]:
        traffic = [relay.traffic for relay in self.relays]
        return sum(each.messages for each in traffic), sum(each.bytes for each in traffic)

    def _look(self) -> None:
        self.checker.look(self.relays[0].now())
        loop = asyncio.get_running_loop()
        self.result.looks.append(
            Look(
                loop.time(),
                sum(len(relay.held) for relay in self.relays),
                sum(each.tally.calls for each in self.destinations),
                sum(relay.work.ends["delivered"] for relay in self.relays),
                self.discovery.counts.calls,
            )
        )
        loop.call_later(SAMPLE_S, self._look)

    def _sum_up(self) -> None:
        result, works = self.result, [relay.work for relay in self.relays]
        for relay in self.relays:
            if relay.version < self.discovery.version:
                self._stale(relay.number, relay.version)
            for outcome, count in relay.work.outcomes.items():
                result.outcomes[outcome] = result.outcomes.get(outcome, 0) + count
        for how in ("delivered", "returned", "failed"):
            setattr(result, how, sum(work.ends[how] for work in works))
        tallies = [destination.tally for destination in self.destinations]
        result.calls, result.refused = sum(t.calls for t in tallies), sum(t.refused for t in tallies)
        result.returns = [each for tally in tallies for each in tally.returns]
        result.discovery_calls = self.discovery.counts.calls
        result.discovery_turned_away = self.discovery.counts.turned_away
        result.versions = self.discovery.version - 1
        result.turns, result.module_events = sum(w.turns for w in works), sum(w.events for w in works)
        result.checks = self.checker.checks


async def _run(scenario: Scenario, seed: int) -> FleetResult:
    return await World(scenario, seed).run()


def run_fleet(scenario: Scenario, seed: int) -> FleetResult:
    """Plays the scenario once; raises `checker.Breach` at the first broken rule."""
    try:
        return clock.run(_run(scenario, seed), seed)
    finally:
        gc.unfreeze()
