"""The sum of a fleet at a destination that comes back cold: what all relays send it, in every window.

A world of relays on one given clock, which know of each other only their number, against one destination."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from linnetstile import interface as api
from linnetstile import slow_start
from linnetstile.control import Relay

from .conftest import CLASSES, make_settings

DEST = 1
LIMIT_S = 1.0  # seconds of its rate that the destination takes at once


@dataclass(frozen=True)
class Case:
    """One draw: all that a fleet and its destination are given."""

    relays: int
    rate: float  # calls a second that the destination takes warm, from all relays
    fault: str  # timeout, refused, error, full (no told wait), shut (told until when, for most calls)
    seed: int
    outage_ms: float = 10000.0
    load: float = 0.8  # new messages a second, of the rate
    backlog: float = 10.0  # messages that come on top while it is out, in seconds of the rate
    rates: api.Rates = api.Rates.NOMINAL
    batch: int = 1
    endpoints: int = 1


@dataclass
class Arrival:
    at: float
    told: bool  # whether its relay had seen a call fail or refused there in the outage
    weight: float


@dataclass
class Fleet:
    case: Case
    now: float = 0.0
    events: list[tuple[float, int, int, tuple[api.Event, ...]]] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)  # of calls, since the return
    told: set[int] = field(default_factory=set)
    number: int = 0
    level: float = 0.0
    level_at: float = 0.0

    def __post_init__(self) -> None:
        case, self.rng = self.case, random.Random(self.case.seed)
        settings = make_settings(
            relays=case.relays,
            rates=case.rates,
            slots=8,
            hold=200,
            kinds=(api.DestinationKind("k", case.batch),),
        )
        self.safety = settings.safety
        self.relays = [Relay(settings, self.rng.randrange(2**32)) for _ in range(case.relays)]
        self.tries: list[dict[int, int]] = [{} for _ in self.relays]
        self.out_at = 12000.0
        self.back_at = self.out_at + case.outage_ms
        self.until = self.back_at + self.safety.cold_ms
        rough = self.rng.uniform(1 / 1.5, 1.5) if case.rates is api.Rates.ROUGH else 1.0
        entries = tuple(
            api.Endpoint(10 + n, DEST, api.Listing.READY, 0, 0, case.rate * rough)
            for n in range(case.endpoints)
        )
        for ident in range(case.relays):
            self.at(0.0, ident, api.EndpointList(api.ListKind.WHOLE, entries))
        shares = [self.rng.uniform(0.3, 1.7) for _ in self.relays]
        for at in self.arriving():
            ident = self.rng.choices(range(case.relays), shares)[0]
            self.number += 1
            self.at(at, ident, api.Message(self.number, DEST, 0, CLASSES[0].deadline_ms))

    def arriving(self) -> Iterator[float]:
        at = 0.0
        while (at := at + self.rng.expovariate(self.case.load * self.case.rate / 1000)) < self.until:
            yield at
        for _ in range(int(self.case.backlog * self.case.rate)):
            yield self.back_at - self.rng.uniform(0.0, min(9000.0, self.case.outage_ms))

    def at(self, at: float, relay: int, *events: api.Event) -> None:
        self.number += 1
        heapq.heappush(self.events, (at, self.number, relay, events))

    def run(self) -> Fleet:
        while self.events and self.events[0][0] < self.until:
            self.now, _, ident, events = heapq.heappop(self.events)
            if any(isinstance(e, api.AttemptEnded) and e.outcome is not api.Outcome.OK for e in events):
                failed = [e for e in events if isinstance(e, api.AttemptEnded)][0]
                news = self.out_at <= self.now - failed.latency_ms < self.back_at
            else:
                news = False
            calls: dict[int, list[api.Send]] = {}
            for act in self.relays[ident].handle(self.now, list(events)):
                if isinstance(act, api.SetTimer):
                    self.at(self.now + act.delay_ms, ident, api.TimerFired(0))
                elif isinstance(act, api.Send):
                    calls.setdefault(act.endpoint, []).append(act)
            for sends in calls.values():
                for n in range(0, len(sends), self.case.batch):
                    self.call(ident, sends[n : n + self.case.batch])
            if news:  # what is sent in reply to the batch that tells it is not yet told
                self.told.add(ident)
        return self

    def call(self, ident: int, sends: list[api.Send]) -> None:
        took, wait = self.rng.uniform(60, 140) * (1 + 0.1 * (len(sends) - 1)), 0.0
        if self.out_at <= self.now < self.back_at:
            outcome, took, wait = self.fails(took, sends)
        else:
            if self.now >= self.back_at:
                weight = 1 + 0.1 * (len(sends) - 1)
                self.arrivals.append(Arrival(self.now, ident in self.told, weight))
            outcome = self.takes()
        events = []
        for send in sends:
            number = self.tries[ident].get(send.id, 0)
            self.tries[ident][send.id] = number + 1
            events.append(
                api.AttemptEnded(
                    send.id, number, send.endpoint, outcome, took, outcome is api.Outcome.OK, wait
                )
            )
        self.at(self.now + took, ident, *events)

    def fails(self, took: float, sends: list[api.Send]) -> tuple[api.Outcome, float, float]:
        match self.case.fault:
            case "timeout":
                return api.Outcome.TIMEOUT, min(send.give_up_at_ms for send in sends) - self.now, 0.0
            case "refused":
                return api.Outcome.CONNECT_FAILED, 2.0, 0.0
            case "error":
                return api.Outcome.ERROR, took, 0.0
            case "shut" if self.rng.random() < 0.8:
                return api.Outcome.FULL, took, max(0.0, self.back_at - self.now - took)
        return api.Outcome.FULL, took, 0.0

    def takes(self) -> api.Outcome:
        """A plain rate, from all relays together."""
        rate = self.case.rate
        self.level = max(0.0, self.level - rate * (self.now - self.level_at) / 1000)
        self.level_at = self.now
        if self.level + 1 > max(1.0, rate * LIMIT_S):
            return api.Outcome.FULL
        self.level += 1
        return api.Outcome.OK

    # -- what the destination got ------------------------------------------------------------------------

    def capacity(self, at: float) -> float:
        """Calls a second: a share right at the return, all at the end of the cold time."""
        warm = min(1.0, max(0.0, at - self.back_at) / self.safety.cold_ms)
        return self.case.rate * (self.safety.cold_share + (1 - self.safety.cold_share) * warm)

    def windows(self) -> Iterator[tuple[float, float, float, float]]:
        """For each that ends with a call: its end, the calls in it, those of told relays, the most allowed,
        by the capacity at its beginning."""
        recent: deque[Arrival] = deque()
        for arrival in self.arrivals:
            recent.append(arrival)
            while recent[0].at <= arrival.at - self.safety.fall_ms:
                recent.popleft()
            n = self.safety.fall_multiple * self.capacity(arrival.at - self.safety.fall_ms)
            n *= self.safety.fall_ms / 1000
            most = n + 2 * n**0.5 + 2 if n >= 30 else n + 3 * n**0.5 + 3
            yield (arrival.at, sum(a.weight for a in recent), sum(a.weight for a in recent if a.told), most)

    def excess(self) -> float:
        """The most calls above what is allowed in a window most of which came from told relays; below 0 where
        the rule holds."""
        return max(
            (calls - most for _, calls, told, most in self.windows() if told * 3 > calls * 2),
            default=-self.case.rate,
        )

    def falls(self) -> bool:
        """Whether the rule is broken: by the first fall, since there is no second."""
        for _, calls, told, most in self.windows():
            if calls > most:
                return told * 3 > calls * 2
        return False

    def used(self) -> float:
        """What it got while cold, of all that it could be sent, which its limit bounds as well."""
        step = 100.0
        could = (
            sum(
                min(self.case.rate, self.safety.fall_multiple * self.capacity(self.back_at + n * step))
                for n in range(int(self.safety.cold_ms / step))
            )
            * step
            / 1000
        )
        return len(self.arrivals) / could

    def risen(self) -> float:
        """Milliseconds from the return until it got nine tenths of its limit for two seconds."""
        recent: deque[float] = deque()
        for arrival in self.arrivals:
            recent.append(arrival.at)
            while recent[0] <= arrival.at - 2000:
                recent.popleft()
            if len(recent) >= 0.9 * 2 * self.case.rate:
                return arrival.at - self.back_at
        return self.safety.cold_ms


FAULTS = ("timeout", "refused", "error", "full", "shut")


def draws(relays: int, number: int) -> list[Case]:
    """Of each fault and each kind of listed rate alike; all else is drawn."""
    cases = []
    for n in range(number):
        rng = random.Random(1000 * relays + n)
        cases.append(
            Case(
                relays,
                rng.choice([2.0, 6.0, 20.0, 60.0][: 3 if relays < 20 else 4]),
                FAULTS[n % 5],
                n,
                rng.uniform(5000, 15000),
                rng.uniform(0.45, 0.9),
                rng.choice([0.0, 3.0, 10.0]),
                list(api.Rates)[n % 3],
                rng.choice([1, 20]),
                rng.choice([1, 2, 3]),
            )
        )
    return cases


@pytest.mark.parametrize("calls", [0.5, 1.2, 12.0, 29.9, 30.0, 180.0, 5000.0])
@pytest.mark.parametrize("relays", [1.0, 3.0, 30.0, 200.0, 1900.0])
def test_the_mean_leaves_room_for_chance_and_starves_nobody(calls: float, relays: float) -> None:
    mean = slow_start.mean_calls(calls, relays)
    stray = min(mean**0.5, relays**0.5 / 2)
    assert 0.4 * calls <= mean <= calls
    assert mean + 4 * stray <= slow_start.allowed(calls)


def test_the_bound_is_that_of_the_settings_page() -> None:
    assert slow_start.allowed(16.0) == 16 + 12 + 3
    assert slow_start.allowed(36.0) == 36 + 12 + 2


def test_as_many_relays_know_as_calls_can_have_told() -> None:
    for relays in (1.0, 30.0, 200.0):
        assert slow_start.knowing(relays, 0.0) == 1.0
        assert slow_start.knowing(relays, 1e6) == pytest.approx(relays)
        assert slow_start.knowing(relays, 5.0) <= min(relays, 6.0)


@pytest.mark.parametrize("relays", [1, 3, 20, 30, 200])
def test_the_sum_of_a_fleet_does_not_push_a_returning_destination_over(relays: int) -> None:
    fleets = [Fleet(case).run() for case in draws(relays, 40)]
    assert [(fleet.case, fleet.excess()) for fleet in fleets if fleet.falls()] == []
    assert sum(fleet.used() for fleet in fleets) / len(fleets) > 0.35  # nor is it starved
