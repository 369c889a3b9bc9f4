"""The emulated world: its clock, its discovery, its destinations, its rules; all on virtual time."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from linnetstile.control import Relay
from linnetstile.emulator import clock
from linnetstile.emulator.checker import Breach, Checker
from linnetstile.emulator.clients import Load
from linnetstile.emulator.destinations import Destination, DestinationSettings, Health, bound
from linnetstile.emulator.discovery import Discovery, DiscoverySettings, Outage, item
from linnetstile.emulator.events import (
    DestinationsDown,
    DiscoveryDown,
    Event,
    ListChanges,
    Machine,
    Region,
    RegionCut,
    RollingRestart,
)
from linnetstile.emulator.fleet import Scenario, run_fleet
from linnetstile.emulator.fleet_measures import (
    cold_return,
    discovery_return,
    fleet_control,
    fleet_service,
    region_cut,
    rolling_restart,
)
from linnetstile.emulator.hollow import Shared, SharedDirectory
from linnetstile.emulator.measure import MEASURES
from linnetstile.emulator.network import Delays, EmulatedAgent, Network
from linnetstile.interface import (
    AttemptEnded,
    DestinationKind,
    Effect,
    Endpoint,
    EndpointList,
    Listing,
    ListKind,
    MessageClass,
    Outcome,
    Rates,
    Safety,
    Scope,
    Settings,
)
from linnetstile.net.agent import AgentError, Silent
from linnetstile.net.discovery import Directory, Watch


def network(cross_ms: float = 0.0) -> Network:
    return Network(Delays(same_ms=0.0, cross_ms=cross_ms, jitter=0.0), random.Random(1))


def discovery(calls_per_s: float = 10.0, wait_ms: float = 1000.0, cost: bool = True) -> Discovery:
    return Discovery(
        DiscoverySettings(calls_per_s, wait_ms, cost),
        [item(f"s-{number}", number, "a", 5.0) for number in range(3)],
    )


# -- the clock -----------------------------------------------------------------------------------------------


def test_the_clock_jumps_to_the_next_timer() -> None:
    async def work() -> list[float]:
        loop = asyncio.get_running_loop()
        seen = [loop.time()]
        await asyncio.sleep(86_400.0)
        seen.append(loop.time())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.25):
                await loop.create_future()
        return [*seen, loop.time()]

    assert clock.run(work(), 1) == [0.0, 86_400.0, 86_400.25]


def test_timers_of_one_moment_run_in_the_order_in_which_they_were_set() -> None:
    async def work() -> list[int]:
        seen, loop = list[int](), asyncio.get_running_loop()
        for number in range(50):
            loop.call_at(1.0, seen.append, number)
        await asyncio.sleep(2.0)
        return seen

    assert clock.run(work(), 1) == list(range(50))


def test_a_run_in_which_nothing_can_happen_any_more_says_so() -> None:
    async def work() -> None:
        await asyncio.sleep(3.0)
        await asyncio.get_running_loop().create_future()

    with pytest.raises(clock.Deadlock, match=r"3\.000 s"):
        clock.run(work(), 1)


def test_a_run_ends_with_its_budget_of_turns() -> None:
    async def work() -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(clock.TurnsSpent):
        clock.run(work(), 1, most_turns=50)


def test_what_a_callback_raises_ends_the_run() -> None:
    async def work() -> None:
        asyncio.get_running_loop().call_later(1.0, [].pop)
        await asyncio.sleep(10.0)

    with pytest.raises(IndexError):
        clock.run(work(), 1)


def test_an_error_that_the_relay_only_logs_ends_the_run() -> None:
    def told(event: object) -> None:
        raise ZeroDivisionError

    async def work() -> None:
        watch = Watch(EmulatedAgent(network(), discovery(), 0, 0), Directory(("m1",), ("a",)), told)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(20.0)
        task.cancel()

    with pytest.raises(ZeroDivisionError):
        clock.run(work(), 1)


def test_the_module_random_is_seeded_for_the_run_and_as_before_afterwards() -> None:
    async def work() -> float:
        return random.random()

    random.seed(5)
    drawn = [clock.run(work(), 1), clock.run(work(), 1), clock.run(work(), 2)]
    after = random.random()
    random.seed(5)
    assert drawn[0] == drawn[1] != drawn[2] and after == random.random()


# -- the network and discovery -------------------------------------------------------------------------------


def test_an_agent_hears_nothing_from_a_region_that_is_cut_off_and_an_answer_from_one_that_is_not() -> None:
    async def work() -> tuple[float, int, int]:
        net, served = network(cross_ms=30.0), discovery(calls_per_s=1000.0)
        agent, loop = EmulatedAgent(net, served, 1, 7), asyncio.get_running_loop()
        status, body = await agent.ask("GET", "/v1/servers", b"", 2.0)
        assert status == 200 and Directory(("m1",), ("a",)).apply(json.loads(body))
        took = loop.time()
        net.cut.add(1)
        with pytest.raises(Silent):
            await agent.ask("GET", "/v1/servers", b"", 2.0)
        net.cut.clear()
        asked = loop.create_task(agent.ask("GET", "/v1/servers?from=1&hold_ms=2000", b"", 3.0))
        await asyncio.sleep(1.0)
        net.cut.add(1)  # the answer is lost on its way
        with pytest.raises(Silent):
            await asked
        return took, agent.traffic.messages_out, agent.traffic.messages_in

    took, sent, heard = clock.run(work(), 1)
    assert took == pytest.approx(0.061) and (sent, heard) == (3, 1)


def test_what_is_on_its_way_when_a_region_is_cut_off_is_lost() -> None:
    async def work() -> list[str]:
        net, seen = network(cross_ms=30.0), list[str]()
        net.carry(0, 1, lambda: seen.append("cut off on its way"))
        net.carry(1, 1, lambda: seen.append("within the region"))
        await asyncio.sleep(0.01)
        net.cut.add(1)
        net.carry(0, 1, lambda: seen.append("sent while cut off"))
        net.carry(0, 2, lambda: seen.append("between others"))
        await asyncio.sleep(0.1)
        net.cut.clear()
        await asyncio.sleep(0.1)
        return seen

    assert clock.run(work(), 1) == ["within the region", "between others"]


async def asked_at_once(served: Discovery, calls: int) -> list[tuple[float, int]]:
    net, loop = network(), asyncio.get_running_loop()

    async def ask(caller: int) -> tuple[float, int]:
        status, _ = await EmulatedAgent(net, served, 0, caller).ask("GET", "/v1/servers", b"", 9.0)
        return round(loop.time(), 6), status

    return list(await asyncio.gather(*(ask(caller) for caller in range(calls))))


def test_discovery_works_calls_off_in_turn_and_turns_away_what_waits_too_long() -> None:
    served = discovery(calls_per_s=10.0, wait_ms=250.0)
    seen = clock.run(asked_at_once(served, 5), 1)
    assert sorted(seen) == [(0.1, 200), (0.2, 200), (0.25, 503), (0.25, 503), (0.3, 200)]
    assert (served.counts.begun, served.counts.turned_away) == (3, 2)


@pytest.mark.parametrize(("cost", "free_at"), [(True, 0.5), (False, 0.3)])
def test_a_call_turned_away_may_cost_discovery_its_work(cost: bool, free_at: float) -> None:
    served = discovery(calls_per_s=10.0, wait_ms=250.0, cost=cost)
    clock.run(asked_at_once(served, 5), 1)
    assert served.free_at_s == pytest.approx(free_at)


def test_a_watch_that_goes_on_does_not_wait_for_its_turn_and_hears_of_a_change_at_once() -> None:
    async def work() -> tuple[float, float, bytes]:
        served, loop = discovery(calls_per_s=1.0, wait_ms=9000.0), asyncio.get_running_loop()
        agent = EmulatedAgent(network(), served, 0, 0)
        await agent.ask("GET", "/v1/servers", b"", 9.0)
        for caller in range(1, 4):  # discovery is busy with these for 3 s
            loop.create_task(EmulatedAgent(network(), served, 0, caller).ask("GET", "/v1/servers", b"", 9.0))
        await asyncio.sleep(0.1)
        loop.call_later(0.5, served.change, [item("s-1", 1, "a", 5.0, "draining")])
        _, body = await agent.ask("GET", "/v1/servers?from=1&hold_ms=2000", b"", 9.0)
        heard = loop.time()
        await asyncio.sleep(0.3)  # too long for the watch to go on
        await agent.ask("GET", "/v1/servers?from=1&hold_ms=2000", b"", 9.0)
        return heard, loop.time(), body

    heard, began, body = clock.run(work(), 1)
    assert heard == pytest.approx(1.6) and began == pytest.approx(5.0)
    assert b'"generation":2,"reset":false' in body and body.count(b"instanceId") == 1


@pytest.mark.parametrize("how", list(Outage))
def test_an_outage_of_discovery_ends_what_is_open(how: Outage) -> None:
    async def work() -> float:
        served, loop = discovery(), asyncio.get_running_loop()
        agent = EmulatedAgent(network(), served, 0, 0)
        loop.call_later(1.0, served.go_down, how)
        with pytest.raises(Silent if how is Outage.SILENT else AgentError):
            await agent.ask("GET", "/v1/servers?from=1&hold_ms=5000", b"", 3.0)
        ended = loop.time()
        if how is Outage.REFUSING:
            assert await agent.ask("GET", "/v1/servers", b"", 3.0) == (503, b"")
        served.come_back()
        assert (await agent.ask("GET", "/v1/servers", b"", 3.0))[0] == 200
        return ended

    assert clock.run(work(), 1) == pytest.approx(3.0 if how is Outage.SILENT else 1.0)


def test_a_fleet_hears_of_a_change_after_the_return_and_the_same_seed_gives_the_same_bytes() -> None:
    params = {"endpoints": 4, "calls_per_s": 20.0, "wait_ms": 500.0, "down_s": 5.0, "settle_s": 20.0}
    first, again, other = (discovery_return(params, 30, seed) for seed in (1, 1, 2))
    assert first.counted["unheard"] == 0 and first.counted["begun"] >= 30
    assert first.counted["calls_while_down"] >= 30
    assert repr(first.counted) == repr(again.counted) != repr(other.counted)
    assert first.histograms["heard_ms"].encode() == again.histograms["heard_ms"].encode()


def test_where_lists_are_pushed_no_relay_waits_for_another() -> None:
    params = {"endpoints": 4, "calls_per_s": 1.0, "wait_ms": 100.0, "down_s": 5.0, "settle_s": 10.0}
    shared, pushed = (
        discovery_return(params | {"pushed": on, "limit_s": 20.0}, 10, 1).counted for on in (False, True)
    )
    assert shared["turned_away"] > 0 and shared["last_ms"] > 4000
    assert pushed["turned_away"] == pushed["unheard"] == 0 and pushed["last_ms"] < 4000


# -- destinations --------------------------------------------------------------------------------------------

SAFETY = Safety(cold_share=0.25, cold_ms=1e9, fall_multiple=2.0, fall_ms=1000.0, drain_grace_ms=2000.0)


@dataclass(eq=False)
class Heard:
    """A call that keeps what became of it."""

    caller: int = 0
    size: int = 1
    answers: list[tuple[Outcome, float]] = field(default_factory=list)
    resets: int = 0

    def answer(self, outcome: Outcome, wait_ms: float = 0.0, report: tuple[float, ...] = ()) -> None:
        self.answers.append((outcome, wait_ms))

    def reset(self) -> None:
        self.resets += 1


def destination(limit_per_s: float = 10.0, refused_cost: bool = False, cold_ms: float = 1e9) -> Destination:
    settings = DestinationSettings(limit_per_s, latency_ms=50.0, refused_cost=refused_cost)
    return Destination(0, settings, replace(SAFETY, cold_ms=cold_ms), random.Random(1), {"s-0"})


async def calls_at_return(calls: int, met: int = 0) -> Destination:
    """So many calls at one moment right after an outage that failed `met` relays."""
    there = destination()
    there.go_down(Health.DOWN)
    for caller in range(met):
        assert there.accepts("s-0", caller) is False
    there.come_back()
    for caller in range(calls):
        there.arrive(Heard(caller))
    return there


def test_a_cold_destination_falls_at_the_first_call_above_its_bound_and_not_below() -> None:
    assert bound(5.0) == pytest.approx(14.708, abs=0.001)  # N is 2 x 0.25 x 10 calls in 1 s
    stands, falls = (clock.run(calls_at_return(calls), 1) for calls in (14, 15))
    assert stands.health is Health.UP and not stands.tally.returns[0].fell
    assert stands.tally.returns[0].calls == 14 and stands.tally.returns[0].of_budget == 14 / 5
    assert falls.health is Health.DOWN and falls.tally.returns[0].fell


def test_calls_spread_over_more_than_a_window_do_not_bring_a_cold_destination_down() -> None:
    async def work() -> Destination:
        there = await calls_at_return(0)
        for _ in range(60):
            await asyncio.sleep(0.125)  # eight in each window, refused ones included
            there.arrive(Heard())
        return there

    there = clock.run(work(), 1)
    assert there.tally.refused > 0 and there.tally.returns[0].calls == 8 and there.health is Health.UP


@pytest.mark.parametrize(("met", "warned"), [(0, 0.0), (12, 0.8)])
def test_a_fall_tells_how_many_of_its_calls_came_from_relays_that_had_met_the_outage(
    met: int, warned: float
) -> None:
    assert clock.run(calls_at_return(15, met), 1).tally.returns[0].warned == warned


def test_a_destination_that_has_fallen_comes_back_cold_again() -> None:
    async def work() -> Destination:
        there = await calls_at_return(15)
        await asyncio.sleep(3.1)
        return there

    there = clock.run(work(), 1)
    assert there.health is Health.UP and [each.fell for each in there.tally.returns] == [True, False]


def test_a_destination_has_nothing_saved_up_at_its_return() -> None:
    async def work() -> list[Outcome]:
        there = await calls_at_return(0)
        calls = [Heard(), Heard()]
        for call in calls:
            there.arrive(call)
        await asyncio.sleep(1.0)
        return [call.answers[0][0] for call in calls]

    assert clock.run(work(), 1) == [Outcome.OK, Outcome.FULL]


def test_a_cold_destination_takes_its_share_and_all_of_its_limit_later() -> None:
    async def work() -> list[float]:
        there, loop = destination(cold_ms=8000.0), asyncio.get_running_loop()
        before = there.capacity(0.0)
        there.go_down(Health.SILENT)
        there.come_back()
        seen = [before, there.capacity(0.0)]
        await asyncio.sleep(4.0)
        seen.append(there.capacity(loop.time() * 1000))
        return [*seen, there.capacity(9000.0)]

    assert clock.run(work(), 1) == [10.0, 2.5, 6.25, 10.0]


@pytest.mark.parametrize(("cost", "served"), [(False, 10 + 5), (True, 10)])
def test_the_limit_holds_over_all_relays_and_refused_calls_may_use_it_up(cost: bool, served: int) -> None:
    async def work() -> tuple[int, float]:
        there = destination(refused_cost=cost)
        first = [Heard(caller) for caller in range(20)]
        for call in first:
            there.arrive(call)
        await asyncio.sleep(0.5)
        later = [Heard() for _ in range(5)]
        for call in later:
            there.arrive(call)
        await asyncio.sleep(1.0)
        answers = [call.answers[0] for call in first + later]
        return answers.count((Outcome.OK, 0.0)), next(wait for out, wait in answers if out is Outcome.FULL)

    found, wait = clock.run(work(), 1)
    assert found == served and wait == (200.0 if cost else 100.0)


@pytest.mark.parametrize(
    ("how", "resets", "answers"),
    [(Health.DOWN, 1, []), (Health.SILENT, 0, []), (Health.ERRING, 0, [(Outcome.OK, 0.0)])],
)
def test_an_outage_breaks_what_is_open_or_leaves_it_without_an_answer(
    how: Health, resets: int, answers: list[tuple[Outcome, float]]
) -> None:
    async def work() -> tuple[Heard, bool | None, Heard]:
        there, running, late = destination(), Heard(), Heard()
        there.arrive(running)
        there.go_down(how)
        accepted = there.accepts("s-0", 0)
        there.arrive(late)
        await asyncio.sleep(1.0)
        return running, accepted, late

    running, accepted, late = clock.run(work(), 1)
    assert (running.resets, running.answers) == (resets, answers)
    assert accepted is {Health.DOWN: False, Health.SILENT: None, Health.ERRING: True}[how]
    assert late.answers == ([(Outcome.ERROR, 0.0)] if how is Health.ERRING else [])


# -- the rules -----------------------------------------------------------------------------------------------

SAFE, KEYED, UNSAFE = range(3)
RULES = Settings(
    classes=(
        MessageClass("event", Effect.SAFE, 1000.0, 5000.0),
        MessageClass("charge", Effect.KEYED, 1000.0, 5000.0, key_window_ms=1000.0, key_scope=Scope.ZONE),
        MessageClass("command", Effect.UNSAFE, 1000.0, 5000.0),
    ),
    kinds=(DestinationKind("m1"),),
    slots=4,
    hold=9,
    attempts=2,
    safety=SAFETY,
)
HERE, THERE, OTHER = (
    Endpoint(1, 0, Listing.READY),
    Endpoint(2, 0, Listing.READY, zone=1),
    Endpoint(3, 1, Listing.READY),
)


def watched(class_: int = SAFE) -> Checker:
    """Message 7 for destination 0, taken on at 0, due at 5,000."""
    checker = Checker(RULES)
    checker.restarted(-10_000.0, 0)
    checker.listed(0.0, 0, EndpointList(ListKind.WHOLE, (HERE, THERE, OTHER)))
    checker.taken(0.0, 0, 7, class_, 0, 5000.0)
    return checker


def tried(checker: Checker, at: float, outcome: Outcome, entry: Endpoint = HERE) -> Checker:
    checker.wrote(at, 0, 7, entry)
    checker.attempt_ended(at + 10.0, 7, outcome)
    return checker


def out_at(checker: Checker, at: float) -> Checker:
    checker.wrote(at, 0, 7, HERE)
    return checker


def drained(checker: Checker, at: float) -> Checker:
    gone = replace(HERE, listing=Listing.DRAINING)
    checker.listed(at, 0, EndpointList(ListKind.CHANGES, (gone,)))
    return checker


def waiting(checker: Checker) -> Checker:
    checker.told_wait(1000.0, 0, HERE, 990.0, 500.0)
    return checker


def died(checker: Checker, at: float) -> Checker:
    """The process ends and comes back with the same list."""
    checker.killed(at, 0)
    checker.listed(at, 0, EndpointList(ListKind.WHOLE, (HERE, THERE, OTHER)))
    checker.restarted(at + 600.0, 0)
    return checker


def ended(checker: Checker, at: float) -> Checker:
    checker.ended(at, 7, "returned")
    return checker


BREACHES: list[tuple[str, Callable[[], object], Callable[[], object]]] = [
    ("second end", lambda: ended(ended(watched(), 10.0), 20.0), lambda: ended(watched(), 10.0)),
    (
        "sent after its end",
        lambda: tried(ended(watched(), 10.0), 20.0, Outcome.OK),
        lambda: tried(watched(), 20.0, Outcome.OK),
    ),
    ("late end", lambda: ended(watched(), 5351.0), lambda: ended(watched(), 5349.0)),
    ("no end", lambda: watched().look(5351.0), lambda: watched().look(5349.0)),
    ("no end", lambda: died(watched(), 4000.0).look(6101.0), lambda: died(watched(), 4000.0).look(6099.0)),
    ("no end", lambda: watched().finish(9.0), lambda: ended(watched(), 8.0).finish(9.0)),
    (
        "two attempts out",
        lambda: out_at(out_at(watched(), 10.0), 20.0),
        lambda: tried(tried(watched(), 10.0, Outcome.FULL), 20.0, Outcome.FULL),
    ),
    (
        "attempt limit",
        lambda: out_at(tried(tried(watched(), 1.0, Outcome.FULL), 20.0, Outcome.FULL), 40.0),
        lambda: out_at(tried(watched(), 1.0, Outcome.FULL), 20.0),
    ),
    (
        "unsafe repeat",
        lambda: tried(tried(watched(UNSAFE), 1.0, Outcome.TIMEOUT), 20.0, Outcome.OK),
        lambda: tried(tried(watched(UNSAFE), 1.0, Outcome.CONNECT_FAILED), 20.0, Outcome.OK),
    ),
    (
        "unsafe repeat",
        lambda: tried(died(out_at(watched(UNSAFE), 1.0), 20.0), 900.0, Outcome.OK),
        lambda: tried(died(out_at(watched(SAFE), 1.0), 20.0), 900.0, Outcome.OK),
    ),
    (
        "key window",
        lambda: tried(tried(watched(KEYED), 1.0, Outcome.RESET), 1002.0, Outcome.OK),
        lambda: tried(tried(watched(KEYED), 1.0, Outcome.RESET), 1000.0, Outcome.OK),
    ),
    (
        "key scope",
        lambda: tried(tried(watched(KEYED), 1.0, Outcome.RESET), 20.0, Outcome.OK, THERE),
        lambda: tried(tried(watched(KEYED), 1.0, Outcome.FULL), 20.0, Outcome.OK, THERE),
    ),
    (
        "told wait",
        lambda: tried(waiting(watched()), 1489.0, Outcome.OK),
        lambda: tried(waiting(watched()), 1490.0, Outcome.OK),
    ),
    (
        "told wait",
        lambda: tried(waiting(watched()), 1091.0, Outcome.OK),
        lambda: tried(waiting(watched()), 1089.0, Outcome.OK),
    ),
    (
        "drained endpoint",
        lambda: tried(drained(watched(), 100.0), 2151.0, Outcome.OK),
        lambda: tried(drained(watched(), 100.0), 2149.0, Outcome.OK),
    ),
    (
        "wrong endpoint",
        lambda: tried(watched(), 1.0, Outcome.OK, OTHER),
        lambda: tried(watched(), 1.0, Outcome.OK, HERE),
    ),
]


@pytest.mark.parametrize(("rule", "wrong", "right"), BREACHES)
def test_each_broken_rule_is_caught_and_what_just_keeps_it_is_not(
    rule: str, wrong: Callable[[], object], right: Callable[[], object]
) -> None:
    right()
    with pytest.raises(Breach, match="relay 0, message 7") as caught:
        wrong()
    assert caught.value.rule == rule


def test_a_process_that_died_owes_nothing_while_it_is_down_and_is_not_bound_by_waits_told_to_it() -> None:
    down = watched()
    down.killed(4000.0, 0)
    down.look(60_000.0)
    tried(died(waiting(watched()), 1050.0), 1400.0, Outcome.OK)


# -- hollow relays -------------------------------------------------------------------------------------------

ERRING = DestinationSettings(0.0, error_share=0.3)
SMALL = Scenario(relays=4, destinations=6, load=Load(per_relay_per_s=4.0), duration_s=25.0, settle_s=5.0)


real_listed, real_ended = Relay._listed, Relay._ended


def never(*_: object) -> None:
    """Stands for a part of the module that is missing."""


def hears_of_no_changes(self: Relay, now: float, event: EndpointList) -> None:
    if event.kind is ListKind.WHOLE:
        real_listed(self, now, event)


def forgets_waits(self: Relay, now: float, event: AttemptEnded) -> None:
    real_ended(self, now, replace(event, wait_ms=0.0))


FAULTS: list[tuple[str, str, Callable[..., Any], dict[str, Any]]] = [
    ("unsafe repeat", "_until", lambda self, held: held.due, {"destination": ERRING}),
    ("no end", "_close_late", never, {"events": (DestinationsDown(5.0, 20.0, 1.0, Health.SILENT),)}),
    (
        "drained endpoint",
        "_listed",
        hears_of_no_changes,
        {"events": (ListChanges(5.0, 18.0, 4.0, drain_s=30.0),)},
    ),
    (
        "told wait",
        "may_write",
        lambda self, now, ident: True,
        {"limit_per_s": 0.2, "rates": Rates.NONE, "delays": Delays(cross_ms=200.0)},
    ),
    ("told wait", "_ended", forgets_waits, {"limit_per_s": 0.2, "rates": Rates.NONE}),
]


@pytest.mark.parametrize(("rule", "part", "fault", "changes"), FAULTS)
def test_a_fault_planted_in_the_module_breaks_its_rule_in_a_world_that_is_else_without_a_breach(
    rule: str, part: str, fault: Callable[..., Any], changes: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    scenario = replace(SMALL, **changes)
    assert run_fleet(scenario, 3).breaches == 0
    monkeypatch.setattr(Relay, part, fault)
    with pytest.raises(Breach) as caught:
        run_fleet(scenario, 3)
    assert caught.value.rule == rule


def test_a_directory_that_shares_its_entries_holds_what_the_relays_own_does() -> None:
    ready = [item(f"s-{number}", number, "a", 5.0) for number in range(4)]
    lists = [ready[:3], [ready[1] | {"lifecycle": "gone"}, ready[3]], [ready[1]], ready[1:], ready]
    shared: Shared = {}
    for _ in range(2):
        own, sharing = Directory(("m1",), ("a",)), SharedDirectory(("m1",), ("a",), shared)
        for place, items in enumerate(lists):
            raw = {"generation": place, "reset": place in (0, 3), "instances": items}
            assert own.apply(raw) == sharing.apply(raw)
            assert own.by_name == sharing.by_name and own.by_number == sharing.by_number


@pytest.mark.parametrize("how", list(Health)[1:])
def test_hollow_relays_deliver_through_an_outage_and_all_else_ends_once(how: Health) -> None:
    result = run_fleet(replace(SMALL, events=(DestinationsDown(8.0, 5.0, 0.5, how),)), 1)
    assert result.handed_in == result.delivered + result.returned + result.failed > 300
    assert result.delivered > 0.8 * result.handed_in and len(result.returns) >= 3
    assert result.checks >= result.delivered and result.latency_ms.get_total_count() == result.delivered
    calls = [look.calls for look in result.looks]
    assert calls == sorted(calls) and calls[-1] == result.calls


def test_the_messages_of_killed_relays_are_taken_up_and_end_once() -> None:
    events = (DestinationsDown(8.0, 6.0, 0.5, Health.SILENT), Machine(10.0, 0, 4, down_s=2.0))
    result = run_fleet(replace(SMALL, events=events), 1)
    assert result.resumed > 5 and result.turned_away > 0  # no relay serves for 2 s
    ends = result.delivered + result.returned + result.failed
    assert ends + result.turned_away == result.handed_in and result.failed > 0


def test_a_new_process_goes_on_from_the_attempts_of_the_old_one() -> None:
    """One attempt more than the limit would end the run."""
    kills = [Machine(at_s, 0, 4, down_s=0.5) for at_s in (7.0, 9.0, 11.0, 13.0)]
    events: tuple[Event, ...] = DestinationsDown(5.0, 12.0, 1.0, Health.ERRING), *kills
    result = run_fleet(replace(SMALL, attempts=2, events=events), 1)
    assert result.resumed > 20 and result.outcomes["error"] > 100


def test_a_region_that_dies_is_taken_up_by_its_new_processes() -> None:
    result = run_fleet(
        replace(SMALL, events=(DestinationsDown(8.0, 6.0, 0.5, Health.SILENT), Region(10.0, 0, down_s=2.0))),
        1,
    )
    assert result.resumed > 0 and result.rerouted > 0 and result.turned_away == 0
    assert result.delivered + result.returned + result.failed == result.handed_in


def test_a_relay_turns_a_tick_apart_at_the_least(monkeypatch: pytest.MonkeyPatch) -> None:
    turns: dict[int, list[float]] = {}
    real_handle = Relay.handle

    def handle(self: Relay, now_ms: float, events: list[Any]) -> list[Any]:
        turns.setdefault(id(self), []).append(now_ms)
        return real_handle(self, now_ms, events)

    monkeypatch.setattr(Relay, "handle", handle)
    run_fleet(replace(SMALL, load=Load(per_relay_per_s=200.0), duration_s=2.0, settle_s=1.0), 1)
    gaps = [later - now for times in turns.values() for now, later in zip(times, times[1:], strict=False)]
    close = [gap for gap in gaps if gap < SMALL.tick_ms + 0.001]  # events came faster than turns
    assert len(turns) == SMALL.relays and len(close) > 100 and min(gaps) > SMALL.tick_ms - 0.001


def test_staleness_counts_from_a_change_to_the_last_relays_having_it() -> None:
    changes = ListChanges(10.0, 8.0, 1.0)
    reached = run_fleet(replace(SMALL, events=(changes,)), 1)
    cut = run_fleet(replace(SMALL, events=(changes, RegionCut(9.9, 1, 6.0))), 1)
    assert reached.versions == cut.versions >= 8
    assert 0 < reached.staleness_ms < 100 and 6000 <= cut.staleness_ms < 10_000


def test_staleness_counts_from_the_return_of_discovery_or_of_the_relay() -> None:
    changes = ListChanges(10.0, 12.0, 1.0)
    events: tuple[Event, ...] = DiscoveryDown(9.9, 8.0), Machine(9.9, 0, 1, down_s=8.0)
    for event in events:
        assert 100 < run_fleet(replace(SMALL, events=(changes, event)), 1).staleness_ms < 7000


def test_the_same_seed_gives_the_same_run_byte_for_byte() -> None:
    scenario = replace(
        SMALL,
        batch=3,
        discovery=DiscoverySettings(5.0, 500.0),
        events=(
            DestinationsDown(6.0, 4.0, 0.3),
            ListChanges(2.0, 20.0, 1.0),
            Machine(9.0, 1, 2),
            RegionCut(12.0, 1, 4.0),
            DiscoveryDown(17.0, 3.0),
            RollingRestart(20.0, 2, 3.0),
        ),
    )
    first, again, other = (run_fleet(scenario, seed).text() for seed in (1, 1, 2))
    assert first == again != other


# -- the measures of a fleet ---------------------------------------------------------------------------------


def test_measures_are_registered_and_know_their_parameters() -> None:
    names = (
        "discovery_return",
        "fleet_control",
        "fleet_service",
        "cold_return",
        "rolling_restart",
        "region_cut",
    )
    for name in names:
        with pytest.raises(ValueError, match="relays, setle_s"):
            MEASURES[name]({"setle_s": 1.0, "relays": 3}, 2, 1)


def test_a_steady_fleet_exchanges_two_messages_for_each_change_or_each_hold() -> None:
    changing = fleet_control({"endpoints": 5, "changes_per_s": 1.0, "duration_s": 20.0}, 6, 1).counted
    assert changing["messages_per_s"] == pytest.approx(2.0, rel=0.1) and changing["unheard"] == 0
    assert changing["versions"] == 20 and changing["begun_per_s"] == 0 and changing["worst_ms"] < 100
    calm = fleet_control({"endpoints": 5, "changes_per_s": 0.05, "duration_s": 20.0}, 6, 1).counted
    assert calm["messages_per_s"] == pytest.approx(1.0, rel=0.1)  # a hold of 2 s, told and asked again
    assert calm["bytes_per_s"] < changing["bytes_per_s"]


COLD = {
    "destinations": 3,
    "zipf": 0.0,
    "total_per_s": 90.0,
    "headroom": 1.2,
    "duration_s": 35.0,
    "tells_wait": False,
}


def test_a_cold_return_shows_falls_only_where_relays_do_not_keep_to_the_cold_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    kept = cold_return(COLD, 12, 1).counted
    assert kept["falls"] == 0 and kept["returns"] == kept["back_in_full"] == 1
    assert 0 < kept["window_of_bound"] <= 1 and 0 < kept["full_after_ms"] < 20_000
    monkeypatch.setattr(Relay, "_pace", lambda self, now, lane, out: (lane.total, 3.0))
    hasty = cold_return(COLD, 12, 1).counted
    assert hasty["falls"] > 0 and hasty["warned_falls"] > 0 and hasty["window_of_bound"] > 1


@pytest.mark.parametrize("planned", [True, False])
def test_a_rolling_restart_reaches_every_relay_and_loses_nothing(planned: bool) -> None:
    params = {"destinations": 6, "per_relay_per_s": 4.0, "step_share": 0.34, "gap_s": 4.0, "planned": planned}
    seen = rolling_restart(params, 6, 1).counted
    ends = seen["delivered"] + seen["returned"] + seen["failed"] + seen["turned_away"]
    assert seen["steps"] == 3 and seen["rerouted"] > 0 and ends == seen["handed_in"]
    assert seen["delivered_share"] > 0.95
    assert seen["resumed"] > 0 or planned


def test_a_region_that_was_cut_off_holds_a_backlog_and_works_it_off() -> None:
    params = {
        "destinations": 9,
        "endpoints_each": 1,
        "per_relay_per_s": 4.0,
        "cut_s": 6.0,
        "duration_s": 45.0,
    }
    seen = region_cut(params, 6, 1).counted
    assert seen["held_at_return"] > 2 * seen["held_before"] and seen["drained_after_ms"] > 0
    assert seen["calls_per_s_peak"] > seen["calls_per_s_before"]


def test_a_steady_fleet_delivers_and_the_same_seed_counts_the_same() -> None:
    params = {"destinations": 5, "duration_s": 20.0, "rates": "none", "class_shares": [1.0, 1.0, 1.0]}
    first, again = (fleet_service(params, 5, 1) for _ in range(2))
    assert first.counted == again.counted and first.counted["delivered_share"] > 0.95
    assert set(first.timed) >= {"processor_us_an_event", "module_us_an_event"}
    assert all(value > 0 for value in first.timed.values())
